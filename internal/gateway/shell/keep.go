package shell

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"trefoilpath.org/trefoilpath/internal/store"
)

// Other programs write keys under the prefixes of this gateway too. What says nothing to it is left out
// as it is read from the store or from a peer, so that it takes no room in the copies.

// keepConfig keeps the key of the configuration.
func (g *Gateway) keepConfig(p store.Pair) ([]byte, store.Use) {
	if p.Key != g.cfg.Decoder.ConfigPrefix() {
		return nil, store.Unusable
	}
	return p.Value, store.Needed
}

// keepRegistration keeps registrations that name an endpoint. Those of services that no configuration
// in force has named are spare.
func (g *Gateway) keepRegistration(p store.Pair) ([]byte, store.Use) {
	reg, err := g.cfg.Decoder.Registration(p.Key, p.Value)
	if err != nil {
		g.unusableRegistrations.add(&g.log, g.now(), p, err)
		return nil, store.Unusable
	}
	value, err := g.cfg.Decoder.CompactRegistration(p.Value)
	if err != nil {
		g.unusableRegistrations.add(&g.log, g.now(), p, err)
		return nil, store.Unusable
	}
	if table := g.table.Load(); table != nil && !table.Names(reg.Service) {
		return value, store.Spare
	}
	return value, store.Needed
}

// keepEvacuation keeps the keys of failure domains. Their values say nothing. Domains that the
// settings don't name are spare.
func (g *Gateway) keepEvacuation(p store.Pair) ([]byte, store.Use) {
	domain, err := g.cfg.Decoder.Evacuation(p.Key)
	if err != nil {
		g.unusableEvacuations.add(&g.log, g.now(), p, err)
		return nil, store.Unusable
	}
	regions := g.cfg.Settings.Regions
	if _, ok := regions[domain]; len(regions) > 0 && !ok {
		return nil, store.Spare
	}
	return nil, store.Needed
}

// unusableLogInterval is the shortest time between two log lines of one kind of unusable pairs: there
// may be many of them, and each listing reads all again.
const unusableLogInterval = 10 * time.Second

// unusablePairs logs pairs of the store that can't be used. It is safe for concurrent use.
type unusablePairs struct {
	event string

	mu    sync.Mutex
	next  time.Duration // the earliest time of the next line, on the gateway's clock
	count int           // pairs since the last line
}

func (u *unusablePairs) add(log *zerolog.Logger, now time.Duration, p store.Pair, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.count++
	if now < u.next {
		return
	}
	log.Warn().Str("event", u.event).Uint64("revision", p.Version).Int("count", u.count).Err(err).Send()
	u.next, u.count = now+unusableLogInterval, 0
}
