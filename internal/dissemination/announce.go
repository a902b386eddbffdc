package dissemination

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// announcer decides when and to whom this entry announces its revision.
type announcer struct {
	nextAt    time.Duration // next periodic announcement
	pendingAt time.Duration // announcement of a new revision, while pending is set
	pending   bool
	lastAt    time.Duration // last announcement, if sent
	sent      bool

	// order holds the peers in random order, and next is the index of the peer
	// whose turn is next. The peers are shuffled anew when each had its turn, or
	// when a peer is added or removed.
	order []wire.NodeID
	next  int
}

func (a *announcer) due() time.Duration {
	if a.pending {
		return min(a.nextAt, a.pendingAt)
	}
	return a.nextAt
}

func (a *announcer) resetOrder() { a.order = nil }

// announceSoon announces a new revision at the next tick, or a little later if
// another one has just been announced.
func (m *Core) announceSoon(now time.Duration) {
	a := &m.announce
	if a.pending {
		return
	}
	a.pending, a.pendingAt = true, now
	if a.sent {
		a.pendingAt = max(now, a.lastAt+minAnnounceGap)
	}
}

func (m *Core) tickAnnounce(now time.Duration) {
	a := &m.announce
	switch {
	case a.pending && now >= a.pendingAt:
		m.announceRevision(now)
	case now >= a.nextAt:
		m.announceToNext(now)
	default:
		return
	}
	a.pending, a.sent, a.lastAt = false, true, now
	a.nextAt = now + m.jittered(m.cfg.AnnounceInterval)
}

// announceRevision announces a new revision to some peers, and to the watchers of
// the failure domain so that they know which entries lag behind.
func (m *Core) announceRevision(now time.Duration) {
	m.announceToNext(now)
	if m.peers.Len() <= m.cfg.Fanout {
		return
	}
	for _, node := range m.watchers() {
		if node != m.cfg.Self {
			m.send(node, m.announcement())
		}
	}
}

// announceToNext announces to the next Fanout peers in random order, skipping those
// whose transport failed within retryDownAfter.
func (m *Core) announceToNext(now time.Duration) {
	a := &m.announce
	sent := 0
	for tried := 0; tried < m.peers.Len() && sent < m.cfg.Fanout; tried++ {
		if a.next >= len(a.order) {
			a.order, a.next = m.shuffledPeers(), 0
		}
		node := a.order[a.next]
		a.next++
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
		Incarnation:         m.cfg.Incarnation,
		Region:              m.cfg.Region,
		FailureDomain:       m.cfg.FailureDomain,
		Revision:            m.Revision(),
		RootDigest:          m.digest(),
		Leaving:             m.leaving,
		Ready:               m.ready,
		LowestAgentRevision: m.agentsRevision,
	}}
}

func (m *Core) onAnnounce(now time.Duration, node wire.NodeID, a *wire.Announce) {
	p := m.peer(node)
	if a.Incarnation < p.incarnation {
		return // delayed message of an earlier incarnation
	}
	moved := p.failureDomain != a.FailureDomain || p.leaving != a.Leaving
	p.incarnation = a.Incarnation
	p.region, p.failureDomain = a.Region, a.FailureDomain
	p.revision, p.agentsRevision = a.Revision, a.LowestAgentRevision
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
