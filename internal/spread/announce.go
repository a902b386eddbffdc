package spread

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// announcer decides when and to whom this entry announces its revision.
type announcer struct {
	nextAt time.Duration // periodic
	soonAt time.Duration // of a new revision, while soon is set
	soon   bool
	lastAt time.Duration
	sent   bool

	// order holds the peers in random order; each is announced to once a round.
	order []wire.NodeID
	at    int
}

func (a *announcer) due() time.Duration {
	if a.soon {
		return min(a.nextAt, a.soonAt)
	}
	return a.nextAt
}

func (a *announcer) forgetOrder() { a.order = nil }

// announceSoon announces a new revision at the next tick, or a little later if
// another one has just been announced.
func (m *Core) announceSoon(now time.Duration) {
	a := &m.announce
	if a.soon {
		return
	}
	a.soon, a.soonAt = true, now
	if a.sent {
		a.soonAt = max(now, a.lastAt+minAnnounceGap)
	}
}

func (m *Core) tickAnnounce(now time.Duration) {
	a := &m.announce
	switch {
	case a.soon && now >= a.soonAt:
		m.announceRevision(now)
	case now >= a.nextAt:
		m.announceRound(now)
	default:
		return
	}
	a.soon, a.sent, a.lastAt = false, true, now
	a.nextAt = now + m.jittered(m.cfg.AnnounceEvery)
}

// announceRevision tells some peers of a new revision, and the watchers of the
// failure domain, so that they know who lags.
func (m *Core) announceRevision(now time.Duration) {
	m.announceRound(now)
	if m.peers.Len() <= m.cfg.Fanout {
		return
	}
	for _, node := range m.watchers() {
		if node != m.cfg.Self {
			m.send(node, m.announcement())
		}
	}
}

// announceRound announces to the next peers in random order, passing over those
// whose transport failed a moment ago.
func (m *Core) announceRound(now time.Duration) {
	a := &m.announce
	sent := 0
	for tried := 0; tried < m.peers.Len() && sent < m.cfg.Fanout; tried++ {
		if a.at >= len(a.order) {
			a.order, a.at = m.shuffledPeers(), 0
		}
		node := a.order[a.at]
		a.at++
		if p := m.peers.Get(node); p.down && now-p.downAt < retryDownAfter {
			continue
		}
		m.send(node, m.announcement())
		sent++
	}
}

func (m *Core) shuffledPeers() []wire.NodeID {
	order := m.peers.Keys()
	m.cfg.Rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	return order
}

func (m *Core) announcement() wire.ToPeer {
	return wire.ToPeer{Announce: &wire.Announce{
		Incarnation:   m.cfg.Incarnation,
		Region:        m.cfg.Region,
		FailureDomain: m.cfg.FailureDomain,
		Revision:      m.Revision(),
		RootDigest:    m.digest(),
		Leaving:       m.leaving,
		Ready:         m.ready,
		Lagging:       m.lagging,
	}}
}

func (m *Core) onAnnounce(now time.Duration, node wire.NodeID, a *wire.Announce) {
	p := m.peer(node)
	if a.Incarnation < p.incarnation {
		return // from an earlier life, overtaken by a later message
	}
	moved := p.failureDomain != a.FailureDomain || p.leaving != a.Leaving
	p.incarnation = a.Incarnation
	p.region, p.failureDomain = a.Region, a.FailureDomain
	p.revision, p.lagging = a.Revision, a.Lagging
	p.leaving, p.ready = a.Leaving, a.Ready
	if moved {
		m.updateWatching(now)
	}
	switch {
	case m.local:
	case a.Revision > m.Revision():
		m.startFetch(now, node, a.Revision)
	case a.Revision < m.Revision():
		m.send(node, m.announcement())
	}
}

// jittered returns a duration between three quarters and five quarters of d.
func (m *Core) jittered(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(m.cfg.Rand.Int64N(int64(d)/2+1))
}
