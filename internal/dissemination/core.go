package dissemination

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/store"
	"trefoilpath.org/trefoilpath/internal/table"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Core is the state machine that keeps one entry at the newest revision.
type Core struct {
	cfg   Config
	peers *table.Table[wire.NodeID, peer]

	state           *declaration.State    // newest revision; nil before the first
	history         []*declaration.State  // earlier revisions, newest last
	current         *declaration.Snapshot // of state, or set by SetLocal; nil: not built yet
	local           bool                  // the declarations were set by SetLocal, without a store
	snapshotUntaken bool                  // TakeSnapshot has not returned current yet

	ready          bool
	leaving        bool   // draining
	agentsRevision uint64 // lowest active revision at this entry's agents

	lastContact time.Duration // last message from the store or a peer, if contacted
	contacted   bool

	announce announcer
	fetch    fetcher
	watch    watcher

	toStore []store.Op
	toPeer  []PeerMsg
}

// PeerMsg is a message to another entry. Address is empty if the peer is not known
// from the VM list.
type PeerMsg struct {
	Peer    wire.NodeID
	Address string
	Msg     wire.ToPeer
}

// New returns a Core without a revision.
func New(cfg Config) *Core {
	return &Core{
		cfg:   cfg.withDefaults(),
		peers: table.New[wire.NodeID, peer](),
		fetch: fetcher{timeoutAt: never},
		watch: watcher{ops: table.New[uint64, pendingOp]()},
	}
}

// SetStatus sets the status of this entry in announcements: whether it is ready,
// whether it is draining, and the lowest active revision at its agents.
func (m *Core) SetStatus(ready, leaving bool, agentsRevision uint64) {
	m.ready, m.leaving, m.agentsRevision = ready, leaving, agentsRevision
}

// SetLocal makes s the active revision. From then on the Core takes no revision
// from the store or from peers, and always counts as reachable.
func (m *Core) SetLocal(_ time.Duration, s *declaration.Snapshot) {
	m.local, m.current, m.snapshotUntaken = true, s, true
}

// Tick starts the reads, fetches and announcements that are due at now.
func (m *Core) Tick(now time.Duration) {
	m.tickWatch(now)
	m.tickFetch(now)
	m.tickAnnounce(now)
}

// Next returns when Tick is due.
func (m *Core) Next() time.Duration {
	return min(m.watch.due(), m.fetch.timeoutAt, m.announce.due())
}

// TakeStore returns the store operations to execute that were added since the
// last call.
func (m *Core) TakeStore() []store.Op {
	out := m.toStore
	m.toStore = nil
	return out
}

// TakePeer returns the messages to send that were added since the last call.
func (m *Core) TakePeer() []PeerMsg {
	out := m.toPeer
	m.toPeer = nil
	return out
}

// TakeSnapshot returns the active revision if it changed since the last call, and
// otherwise nil.
func (m *Core) TakeSnapshot() *declaration.Snapshot {
	if !m.snapshotUntaken {
		return nil
	}
	m.snapshotUntaken = false
	return m.Current()
}

// Current returns the active revision, or nil.
func (m *Core) Current() *declaration.Snapshot {
	if m.current == nil && m.state != nil {
		m.current = m.state.Snapshot()
	}
	return m.current
}

// Revision returns the number of the active revision, or 0.
func (m *Core) Revision() uint64 {
	switch {
	case m.local:
		return m.current.Revision
	case m.state != nil:
		return m.state.Revision()
	}
	return 0
}

// Reachable reports whether the store or any peer sent a message within
// ContactTimeout, or SetLocal was called. An entry that is not reachable can't
// learn of newer revisions.
func (m *Core) Reachable(now time.Duration) bool {
	return m.local || m.contacted && now-m.lastContact < m.cfg.ContactTimeout
}

func (m *Core) recordContact(now time.Duration) { m.contacted, m.lastContact = true, now }

func (m *Core) send(p wire.NodeID, msg wire.ToPeer) {
	address := ""
	if row := m.peers.Get(p); row != nil {
		address = row.address
	}
	m.toPeer = append(m.toPeer, PeerMsg{Peer: p, Address: address, Msg: msg})
}
