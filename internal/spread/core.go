package spread

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/store"
	"trefoilpath.org/trefoilpath/internal/table"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Core keeps one entry at the newest revision.
type Core struct {
	cfg   Config
	peers *table.Table[wire.NodeID, peer]

	state   *declaration.State    // newest revision; nil before the first
	history []*declaration.State  // earlier revisions, newest last
	current *declaration.Snapshot // of state, or local
	local   bool                  // lists were given directly, without a store
	fresh   bool                  // current has not been taken

	ready   bool
	leaving bool
	lagging uint64

	heardAt time.Duration // last sign of the store or a peer
	heard   bool

	announce announcer
	fetch    fetcher
	watch    watcher

	toStore []store.Op
	toPeer  []PeerMsg
}

// PeerMsg is a message to another entry. Address is empty if the peer is known
// by its messages alone.
type PeerMsg struct {
	Peer    wire.NodeID
	Address string
	Msg     wire.ToPeer
}

// New returns a machine without a revision.
func New(cfg Config) *Core {
	return &Core{
		cfg:   cfg.withDefaults(),
		peers: table.New[wire.NodeID, peer](),
		fetch: fetcher{due: never},
		watch: watcher{ops: table.New[uint64, pendingOp]()},
	}
}

// SetStatus sets what announcements say of this entry: whether it is ready,
// whether it is leaving, and the lowest revision in force at its agents.
func (m *Core) SetStatus(ready, leaving bool, lagging uint64) {
	m.ready, m.leaving, m.lagging = ready, leaving, lagging
}

// SetLocal puts lists in force that were given directly. The machine then takes
// no revision from the store or from peers, and always counts as reachable.
func (m *Core) SetLocal(_ time.Duration, s *declaration.Snapshot) {
	m.local, m.current, m.fresh = true, s, true
}

// Tick runs what is due at now.
func (m *Core) Tick(now time.Duration) {
	m.tickWatch(now)
	m.tickFetch(now)
	m.tickAnnounce(now)
}

// Next returns when Tick is due.
func (m *Core) Next() time.Duration {
	return min(m.watch.due(), m.fetch.due, m.announce.due())
}

// TakeStore returns the store operations to execute since the last call.
func (m *Core) TakeStore() []store.Op {
	out := m.toStore
	m.toStore = nil
	return out
}

// TakePeer returns the messages to send since the last call.
func (m *Core) TakePeer() []PeerMsg {
	out := m.toPeer
	m.toPeer = nil
	return out
}

// TakeSnapshot returns the newest revision if it came into force since the last
// call, and otherwise nil.
func (m *Core) TakeSnapshot() *declaration.Snapshot {
	if !m.fresh {
		return nil
	}
	m.fresh = false
	return m.Current()
}

// Current returns the revision in force, or nil.
func (m *Core) Current() *declaration.Snapshot {
	if m.current == nil && m.state != nil {
		m.current = m.state.Snapshot()
	}
	return m.current
}

// Revision returns the number of the revision in force, or 0.
func (m *Core) Revision() uint64 {
	switch {
	case m.local:
		return m.current.Revision
	case m.state != nil:
		return m.state.Revision()
	}
	return 0
}

// Reachable reports whether the store or any peer was heard within ReachFor, or
// the lists were given directly. An entry that is not reachable can't know of
// newer revisions.
func (m *Core) Reachable(now time.Duration) bool {
	return m.local || m.heard && now-m.heardAt < m.cfg.ReachFor
}

func (m *Core) hear(now time.Duration) { m.heard, m.heardAt = true, now }

func (m *Core) send(p wire.NodeID, msg wire.ToPeer) {
	address := ""
	if row := m.peers.Get(p); row != nil {
		address = row.address
	}
	m.toPeer = append(m.toPeer, PeerMsg{Peer: p, Address: address, Msg: msg})
}
