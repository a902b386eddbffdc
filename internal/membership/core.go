package membership

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/table"
	"trefoilpath.org/trefoilpath/internal/timer"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Config describes how long a node may be silent.
type Config struct {
	SuspectAfter time.Duration // time without a heartbeat until a node is suspected
	EjectAfter   time.Duration // time under suspicion until a node is ejected
}

// The defaults of Config.
const (
	DefaultSuspectAfter = 3 * time.Second
	DefaultEjectAfter   = 5 * time.Second
)

// State is the liveness of a node as known here.
type State uint8

// The states of a node. Members returns nodes in every state. An Ejected node
// stays there only while it is on the list, and gets no work until its next
// heartbeat.
const (
	Listed  State = 1 // on the list, no heartbeat yet
	Alive   State = 2
	Suspect State = 3 // no heartbeat in time, or its transport failed
	Ejected State = 4
)

// Member is one node as this process sees it.
type Member struct {
	VM          VM
	State       State
	Incarnation wire.Incarnation // 0: no heartbeat yet
	OnList      bool
	Leaving     bool // draining, by the list or by the node's present incarnation
}

// Change reports a new state, or the removal, of a node.
type Change struct {
	Node           wire.NodeID
	State          State
	NewIncarnation bool // a later incarnation has appeared; the state of the earlier one is obsolete
	Removed        bool
}

// Heartbeat is the part of a node's message that describes the node itself.
type Heartbeat struct {
	Node        wire.NodeID
	Incarnation wire.Incarnation
	Leaving     bool
}

// Core merges the platform's lagging list with the nodes' heartbeats. A node
// that sends heartbeats is a member even if the list lacks it; a silent node on
// the list is suspected first and ejected later. Core is deterministic and not
// safe for concurrent use.
type Core struct {
	cfg     Config
	members *table.Table[wire.NodeID, row]
	timers  *timer.Queue[wire.NodeID]
	changes []Change
}

type row struct {
	Member
}

// New returns a Core without members.
func New(cfg Config) *Core {
	if cfg.SuspectAfter == 0 {
		cfg.SuspectAfter = DefaultSuspectAfter
	}
	if cfg.EjectAfter == 0 {
		cfg.EjectAfter = DefaultEjectAfter
	}
	return &Core{cfg: cfg, members: table.New[wire.NodeID, row](), timers: timer.New[wire.NodeID]()}
}

// SetList updates the platform's list. A node that is no longer on it stays a
// member while it sends heartbeats, because the list may lag.
func (m *Core) SetList(now time.Duration, vms []VM) {
	listed := make(map[wire.NodeID]bool, len(vms))
	for _, vm := range vms {
		listed[vm.Node] = true
		r := m.members.Get(vm.Node)
		if r == nil {
			r = m.members.Put(vm.Node, row{})
			m.setState(now, vm.Node, r, Listed, false)
		}
		r.VM = vm
		r.OnList = true
		r.Leaving = r.Leaving || vm.Leaving
	}
	m.members.Each(func(node wire.NodeID, r *row) bool {
		if !listed[node] {
			r.OnList = false
			m.removeIfUnlisted(node, r)
		}
		return true
	})
	m.members.Compact()
}

// HandleHeartbeat handles a heartbeat. It reports false for one from an earlier
// incarnation of the node, which must be ignored.
func (m *Core) HandleHeartbeat(now time.Duration, h Heartbeat) bool {
	r := m.members.Get(h.Node)
	if r == nil {
		r = m.members.Put(h.Node, row{Member: Member{VM: VM{Node: h.Node}}})
	}
	if h.Incarnation < r.Incarnation {
		return false
	}
	newIncarnation := h.Incarnation > r.Incarnation && r.Incarnation != 0
	if newIncarnation {
		r.Leaving = false
	}
	r.Incarnation = h.Incarnation
	r.Leaving = r.Leaving || h.Leaving
	if r.State != Alive || newIncarnation {
		m.setState(now, h.Node, r, Alive, newIncarnation)
		return true
	}
	m.timers.Set(h.Node, now+m.cfg.SuspectAfter)
	return true
}

// TransportFailed records that the transport to a node failed: the node is
// suspected at once, and ejected unless a heartbeat arrives in time.
func (m *Core) TransportFailed(now time.Duration, node wire.NodeID) {
	r := m.members.Get(node)
	if r == nil || (r.State != Alive && r.State != Listed) {
		return
	}
	m.setState(now, node, r, Suspect, false)
}

// Tick suspects and ejects silent nodes.
func (m *Core) Tick(now time.Duration) {
	for {
		node, ok := m.timers.Pop(now)
		if !ok {
			break
		}
		r := m.members.Get(node)
		if r == nil {
			continue
		}
		switch r.State {
		case Listed, Alive:
			m.setState(now, node, r, Suspect, false)
		case Suspect:
			m.setState(now, node, r, Ejected, false)
			m.removeIfUnlisted(node, r)
		}
	}
}

// Next returns the time at which Tick is due.
func (m *Core) Next() time.Duration { return m.timers.Next() }

// Members returns all members in the order in which they appeared.
func (m *Core) Members() []Member {
	members := make([]Member, 0, m.members.Len())
	m.members.Each(func(_ wire.NodeID, r *row) bool {
		members = append(members, r.Member)
		return true
	})
	return members
}

// Get returns one member.
func (m *Core) Get(node wire.NodeID) (Member, bool) {
	r := m.members.Get(node)
	if r == nil {
		return Member{}, false
	}
	return r.Member, true
}

// TakeChanges returns the changes since the last call, oldest first.
func (m *Core) TakeChanges() []Change {
	changes := m.changes
	m.changes = nil
	return changes
}

func (m *Core) setState(now time.Duration, node wire.NodeID, r *row, s State, newIncarnation bool) {
	r.State = s
	m.changes = append(m.changes, Change{Node: node, State: s, NewIncarnation: newIncarnation})
	switch s {
	case Listed, Alive:
		m.timers.Set(node, now+m.cfg.SuspectAfter)
	case Suspect:
		m.timers.Set(node, now+m.cfg.EjectAfter)
	case Ejected:
		m.timers.Stop(node)
	}
}

// removeIfUnlisted drops a node that is not on the list and neither Alive nor
// Suspect.
func (m *Core) removeIfUnlisted(node wire.NodeID, r *row) {
	if r.OnList || r.State == Alive || r.State == Suspect {
		return
	}
	m.timers.Stop(node)
	m.members.Delete(node)
	m.changes = append(m.changes, Change{Node: node, Removed: true})
}
