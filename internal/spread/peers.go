package spread

import (
	"slices"
	"strings"
	"time"

	"trefoilpath.org/trefoilpath/internal/membership"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Peer is another entry as the VM list shows it.
type Peer struct {
	Node          wire.NodeID
	Address       string
	Region        wire.Region
	FailureDomain wire.FailureDomain
}

type peer struct {
	node          wire.NodeID
	address       string
	region        wire.Region
	failureDomain wire.FailureDomain
	listed        bool // in the VM list

	incarnation wire.Incarnation
	revision    uint64
	lagging     uint64
	leaving     bool
	ready       bool
	heard       bool
	heardAt     time.Duration

	down   bool // the transport failed since it was heard
	downAt time.Duration
}

// PeerLag is what an entry knows of a peer's revision.
type PeerLag struct {
	Node          wire.NodeID
	Region        wire.Region
	FailureDomain wire.FailureDomain
	Revision      uint64        // as announced last; 0 if never heard
	Lagging       uint64        // lowest revision at the peer's agents
	HeardAgo      time.Duration // negative if never heard
	Down          bool          // the transport to it failed
	Ready         bool
	Leaving       bool
}

// SetPeers replaces the list of other entries. A peer that is missing from the
// lagging list stays while it is heard.
func (m *Core) SetPeers(now time.Duration, list []Peer) {
	m.peers.Each(func(_ wire.NodeID, p *peer) bool {
		p.listed = false
		return true
	})
	for _, l := range list {
		if l.Node == m.cfg.Self {
			continue
		}
		p := m.peer(l.Node)
		p.listed = true
		p.address, p.region, p.failureDomain = l.Address, l.Region, l.FailureDomain
	}
	m.peers.Each(func(node wire.NodeID, p *peer) bool {
		if !p.listed && (!p.heard || now-p.heardAt > forgetPeerAfter) {
			m.peers.Delete(node)
			m.announce.forgetOrder()
		}
		return true
	})
	m.peers.Compact()
	m.updateWatching(now)
}

// PeerDown reports that the transport to a peer failed.
func (m *Core) PeerDown(now time.Duration, node wire.NodeID) {
	p := m.peers.Get(node)
	if p == nil {
		return
	}
	p.down, p.downAt = true, now
	m.updateWatching(now)
	if m.fetch.from == node {
		m.fetchElsewhere(now)
	}
}

// FromPeer takes a message from another entry and reports whether it was one of
// this package's.
func (m *Core) FromPeer(now time.Duration, node wire.NodeID, msg wire.ToPeer) bool {
	switch {
	case msg.Announce != nil:
		m.hearPeer(now, node)
		m.onAnnounce(now, node, msg.Announce)
	case msg.ChunkRequest != nil:
		m.hearPeer(now, node)
		m.onChunkRequest(node, msg.ChunkRequest)
	case msg.Chunks != nil:
		m.hearPeer(now, node)
		m.onChunks(now, node, msg.Chunks)
	case msg.Difference != nil:
		m.hearPeer(now, node)
		m.onDifference(now, node, msg.Difference)
	default:
		return false
	}
	return true
}

// Lag returns what is known of the peers' revisions, in the order of their names.
func (m *Core) Lag(now time.Duration) []PeerLag {
	out := make([]PeerLag, 0, m.peers.Len())
	m.peers.Each(func(_ wire.NodeID, p *peer) bool {
		l := PeerLag{
			Node: p.node, Region: p.region, FailureDomain: p.failureDomain,
			Revision: p.revision, Lagging: p.lagging, HeardAgo: -1,
			Down: p.down, Ready: p.ready, Leaving: p.leaving,
		}
		if p.heard {
			l.HeardAgo = now - p.heardAt
		}
		out = append(out, l)
		return true
	})
	slices.SortFunc(out, func(a, b PeerLag) int { return strings.Compare(string(a.Node), string(b.Node)) })
	return out
}

func (m *Core) peer(node wire.NodeID) *peer {
	if p := m.peers.Get(node); p != nil {
		return p
	}
	m.announce.forgetOrder()
	return m.peers.Put(node, peer{node: node})
}

func (m *Core) hearPeer(now time.Duration, node wire.NodeID) {
	m.hear(now)
	p := m.peer(node)
	wasDown := p.down
	p.heard, p.heardAt, p.down = true, now, false
	if wasDown {
		m.updateWatching(now)
	}
}

// watchers returns the entries of this failure domain that watch the store.
func (m *Core) watchers() []wire.NodeID {
	live := []wire.NodeID{m.cfg.Self}
	m.peers.Each(func(node wire.NodeID, p *peer) bool {
		if p.failureDomain == m.cfg.FailureDomain && !p.down && !p.leaving {
			live = append(live, node)
		}
		return true
	})
	return membership.Pick("declarations/"+string(m.cfg.FailureDomain), live, m.cfg.Watchers)
}
