package dissemination

import (
	"slices"
	"strings"
	"time"

	"trefoilpath.org/trefoilpath/internal/membership"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Peer is another entry as listed in the VM list.
type Peer struct {
	Node          wire.NodeID
	Address       string
	Region        wire.Region
	FailureDomain wire.FailureDomain
}

// peer is the known state of another entry, from the VM list and its messages.
type peer struct {
	node          wire.NodeID
	address       string
	region        wire.Region
	failureDomain wire.FailureDomain
	listed        bool // in the VM list

	incarnation    wire.Incarnation
	revision       uint64
	agentsRevision uint64 // lowest active revision at its agents
	leaving        bool
	ready          bool
	seen           bool
	lastSeen       time.Duration

	down   bool // the transport failed since the last message
	downAt time.Duration
}

// PeerStatus is the known state of a peer's revision.
type PeerStatus struct {
	Node             wire.NodeID
	Region           wire.Region
	FailureDomain    wire.FailureDomain
	Revision         uint64        // as last announced; 0 if never announced
	AgentsRevision   uint64        // lowest active revision at the peer's agents
	SinceLastMessage time.Duration // time since its last message; negative if none
	Down             bool          // the transport to it failed since its last message
	Ready            bool
	Leaving          bool
}

// SetPeers replaces the list of other entries. As the VM list can lag behind, an
// unlisted peer is kept until forgetPeerAfter has passed since its last message.
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
		if !p.listed && (!p.seen || now-p.lastSeen > forgetPeerAfter) {
			m.peers.Delete(node)
			m.announce.resetOrder()
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
		m.fetchFromNextCandidate(now)
	}
}

// FromPeer handles a message from another entry and reports whether the message
// belongs to this package.
func (m *Core) FromPeer(now time.Duration, node wire.NodeID, msg wire.ToPeer) bool {
	switch {
	case msg.Announce != nil:
		m.recordPeerContact(now, node)
		m.onAnnounce(now, node, msg.Announce)
	case msg.ChunkRequest != nil:
		m.recordPeerContact(now, node)
		m.onChunkRequest(node, msg.ChunkRequest)
	case msg.Chunks != nil:
		m.recordPeerContact(now, node)
		m.onChunks(now, node, msg.Chunks)
	case msg.Difference != nil:
		m.recordPeerContact(now, node)
		m.onDifference(now, node, msg.Difference)
	default:
		return false
	}
	return true
}

// PeerStatuses returns the known revision of each peer, sorted by node ID.
func (m *Core) PeerStatuses(now time.Duration) []PeerStatus {
	out := make([]PeerStatus, 0, m.peers.Len())
	m.peers.Each(func(_ wire.NodeID, p *peer) bool {
		l := PeerStatus{
			Node: p.node, Region: p.region, FailureDomain: p.failureDomain,
			Revision: p.revision, AgentsRevision: p.agentsRevision, SinceLastMessage: -1,
			Down: p.down, Ready: p.ready, Leaving: p.leaving,
		}
		if p.seen {
			l.SinceLastMessage = now - p.lastSeen
		}
		out = append(out, l)
		return true
	})
	slices.SortFunc(out, func(a, b PeerStatus) int { return strings.Compare(string(a.Node), string(b.Node)) })
	return out
}

func (m *Core) peer(node wire.NodeID) *peer {
	if p := m.peers.Get(node); p != nil {
		return p
	}
	m.announce.resetOrder()
	return m.peers.Put(node, peer{node: node})
}

func (m *Core) recordPeerContact(now time.Duration, node wire.NodeID) {
	m.recordContact(now)
	p := m.peer(node)
	wasDown := p.down
	p.seen, p.lastSeen, p.down = true, now, false
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
