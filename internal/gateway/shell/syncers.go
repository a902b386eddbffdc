package shell

import (
	"cmp"
	"time"

	"trefoilpath.org/trefoilpath/internal/gateway"
	"trefoilpath.org/trefoilpath/internal/route"
	"trefoilpath.org/trefoilpath/internal/store"
	"trefoilpath.org/trefoilpath/internal/storecopy"
)

// newSyncers creates the syncers of the configuration, the registrations and the evacuations.
func (g *Gateway) newSyncers() {
	g.copyServing = make(chan struct{}, maxCopiesServed)
	g.unusableRegistrations.event, g.unusableEvacuations.event = "registration-unusable", "evacuation-unusable"
	syncer := func(kind gateway.CopyKind, cfg storecopy.Config) *storecopy.Syncer {
		prefix := cfg.Prefix
		return storecopy.NewSyncer(storecopy.Config{
			Prefix: prefix, Single: cfg.Single, Partial: cfg.Partial, Policy: cfg.Policy, Sparing: cfg.Sparing, Keep: cfg.Keep, MaxValue: cfg.MaxValue, Changed: cfg.Changed,
			Client: g.cfg.Store, Now: g.now, EraBegan: g.eraBegan,
			Watchers: func() int { return readCore(g, (*gateway.Core).Watchers) },
			Watches:  func() bool { return readCore(g, (*gateway.Core).Watches) },
			Confirmed: func() time.Duration {
				return readCore(g, func(c *gateway.Core) time.Duration { return c.ConfirmedAt(kind) })
			},
			Listed: func(began time.Duration) {
				g.tick(gateway.Input{Confirmed: &gateway.Confirmed{Copy: kind, At: began}})
			},
			Watching: func(watches bool) {
				g.log.Info().Str("event", "store-watch").Str("prefix", prefix).Bool("ok", watches).Send()
			},
			GaveUp: func(l storecopy.GivenUp) {
				g.log.Warn().Str("event", "listing-given-up").Str("prefix", prefix).Str("detail", string(l.Reason)).
					Int("pages", l.Pages).Int64("bytes", l.Bytes).Send()
			},
			Fetch:       g.fetchCopy,
			FetchFailed: g.peerFailed,
			Reachable: func(ok bool, status store.Status) {
				g.log.Info().Str("event", "store-reachable").Str("prefix", prefix).Bool("ok", ok).Int("status", int(status)).Send()
				// All syncers call the same store, so that the latest outcome counts.
				g.publish(func(v *gateway.Versions) { v.StoreLost = !ok })
			},
		})
	}
	g.configSyncer = syncer(gateway.CopyConfig, storecopy.Config{
		Prefix: g.cfg.Decoder.ConfigPrefix(), Single: true, Keep: g.keepConfig,
		Changed: func(u storecopy.Update) {
			g.configChanged(u)
			if g.registrationSyncer.LacksSpare() {
				g.registrationSyncer.Reconcile() // endpoints of a service that is named now may be left out
			}
		},
		Policy: storecopy.Policy{Compare: g.compareConfigs, ContentVersions: true},
	})
	g.registrationSyncer = syncer(gateway.CopyRegistrations, storecopy.Config{
		Prefix: g.cfg.Decoder.RegistrationPrefix(), Partial: true, Keep: g.keepRegistration, MaxValue: g.cfg.Decoder.MaxRegistration(),
		Changed: g.registrationsChanged,
		Policy:  storecopy.Policy{Compare: g.compareRegistrations},
	})
	if g.cfg.Settings.Evacuations {
		g.evacuationSyncer = syncer(gateway.CopyEvacuations, storecopy.Config{
			Prefix: g.cfg.Decoder.EvacuationPrefix(), Sparing: true, Keep: g.keepEvacuation, MaxValue: 1, Changed: g.evacuationsChanged,
		})
	}
}

// syncers returns the syncers of this gateway.
func (g *Gateway) syncers() []*storecopy.Syncer {
	all := []*storecopy.Syncer{g.configSyncer, g.registrationSyncer}
	if g.evacuationSyncer != nil {
		all = append(all, g.evacuationSyncer)
	}
	return all
}

// compareConfigs orders two configurations by their version. One that can't be decoded
// is the earlier one.
func (g *Gateway) compareConfigs(a, b []byte) int {
	version := func(value []byte) uint64 {
		cfg, err := g.cfg.Decoder.Config(value)
		if err != nil {
			g.log.Error().Str("event", "configuration-unusable").Err(err).Send()
			return 0
		}
		return cfg.Version
	}
	return cmp.Compare(version(a), version(b))
}

// compareRegistrations orders two registrations of one endpoint. One that can't be
// decoded tells nothing; registrationsChanged logs it.
func (g *Gateway) compareRegistrations(a, b []byte) int {
	key := g.cfg.Decoder.RegistrationPrefix() + "compared"
	x, errX := g.cfg.Decoder.Registration(key, a)
	y, errY := g.cfg.Decoder.Registration(key, b)
	if errX != nil || errY != nil {
		return 0
	}
	return x.Compare(y)
}

// eraBegan logs and counts a restore of the store from a backup.
func (g *Gateway) eraBegan(e storecopy.EraChange) {
	g.meters.storeEras.Inc(1)
	g.log.Warn().Str("event", "store-era").Str("prefix", e.Prefix).Uint64("old", e.Old.Era).Uint64("new", e.New.Era).
		Uint64("old_revision", e.Old.Revision).Uint64("revision", e.New.Revision).Str("source", string(e.Source)).
		Int("stale", e.Stale).Int("missing", e.Missing).Send()
}

// readCore returns a value of the core. Lock order: a syncer's copy before g.mu;
// nothing that holds g.mu may lock a copy.
func readCore[T any](g *Gateway, read func(*gateway.Core) T) T {
	g.mu.Lock()
	defer g.mu.Unlock()
	return read(g.core)
}

// configChanged activates a new configuration. If it can't be decoded or compiled,
// or has no higher version, the active one stays.
func (g *Gateway) configChanged(u storecopy.Update) {
	g.meters.storeCall.Update(u.Took.Milliseconds())
	for _, p := range u.Listing.Pairs {
		began := time.Now()
		cfg, err := g.cfg.Decoder.Config(p.Value)
		if err != nil {
			g.log.Error().Str("event", "configuration-unusable").Uint64("revision", p.Version).Err(err).Send()
			continue
		}
		table, err := route.Compile(cfg)
		if err != nil {
			g.log.Error().Str("event", "configuration-unusable").Uint64("revision", p.Version).Err(err).Send()
			continue
		}
		if table.Version() <= g.activeVersion() {
			continue
		}
		g.log.Info().Str("event", "configuration-read").Uint64("version", cfg.Version).Uint64("revision", p.Version).
			Str("source", string(u.Source)).Dur("took_ms", u.Took).Dur("decoded_ms", time.Since(began)).
			Int("bytes", len(p.Value)).Send()
		g.tick(gateway.Input{Config: table})
	}
	g.publishVersions(u)
}

// registrationsChanged passes a new set of endpoints to the core.
func (g *Gateway) registrationsChanged(u storecopy.Update) {
	g.meters.storeCall.Update(u.Took.Milliseconds())
	in := &gateway.Endpoints{Revision: u.Listing.Revision}
	for _, p := range u.Listing.Pairs {
		reg, err := g.cfg.Decoder.Registration(p.Key, p.Value)
		if err != nil {
			g.unusableRegistrations.add(&g.log, g.now(), p, err)
			continue
		}
		reg.Revision = p.Version
		in.Rows = append(in.Rows, reg)
	}
	g.log.Info().Str("event", "registrations-read").Uint64("revision", u.Listing.Revision).
		Str("source", string(u.Source)).Dur("took_ms", u.Took).Int("endpoints", len(in.Rows)).Int("written_late", u.Late).Send()
	g.tick(gateway.Input{Endpoints: in})
	g.publishVersions(u)
}

// evacuationsChanged passes the failure domains that are out of use to the core.
func (g *Gateway) evacuationsChanged(u storecopy.Update) {
	g.meters.storeCall.Update(u.Took.Milliseconds())
	in := &gateway.Evacuations{Revision: u.Listing.Revision, Source: string(u.Source)}
	for _, p := range u.Listing.Pairs {
		domain, err := g.cfg.Decoder.Evacuation(p.Key)
		if err != nil {
			g.unusableEvacuations.add(&g.log, g.now(), p, err)
			continue
		}
		in.Domains = append(in.Domains, domain)
	}
	g.meters.evacuated.Update(int64(len(in.Domains)))
	g.tick(gateway.Input{Evacuations: in})
	g.publishVersions(u)
}

// publishVersions passes the versions of all copies to the core, which announces
// them to peers. It is called with one copy locked, so it can't query the other
// syncers and takes their versions from g.versions.
func (g *Gateway) publishVersions(u storecopy.Update) {
	g.publish(func(v *gateway.Versions) {
		switch u.Prefix {
		case g.cfg.Decoder.ConfigPrefix():
			v.Config = u.Version
		case g.cfg.Decoder.RegistrationPrefix():
			v.Registrations = u.Version
		case g.cfg.Decoder.EvacuationPrefix():
			v.Evacuations = u.Version
		}
	})
}

// publish changes the state of the copies that the core announces to peers.
func (g *Gateway) publish(change func(*gateway.Versions)) {
	g.versionsMu.Lock()
	change(&g.versions)
	versions := g.versions
	g.versionsMu.Unlock()
	g.tick(gateway.Input{Versions: &versions})
}
