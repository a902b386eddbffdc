package membership

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/table"
	"trefoilpath.org/trefoilpath/internal/timer"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Config describes how long a node may be silent.
type Config struct {
	SuspectAfter time.Duration // without a heartbeat
	EjectAfter   time.Duration // of suspicion
}

// The defaults of Config.
const (
	DefaultSuspectAfter = 3 * time.Second
	DefaultEjectAfter   = 5 * time.Second
)

// State is what is known of a node's life.
type State uint8

// The states of a node. Listed, Alive and Suspect nodes are members; an Ejected
// one gets no work until it is heard again.
const (
	Listed  State = 1 // on the list, not heard yet
	Alive   State = 2
	Suspect State = 3 // silent, or its transport failed
	Ejected State = 4
)

// Member is one node as this process sees it.
type Member struct {
	VM          VM
	State       State
	Incarnation wire.Incarnation // 0: not heard yet
	OnList      bool
	Leaving     bool // by the list, or by the node itself in its present life
}

// Change reports a new state, or the removal, of a node.
type Change struct {
	Node    wire.NodeID
	State   State
	NewLife bool // a later incarnation has appeared: nothing of the earlier one counts
	Removed bool
}

// Heartbeat is what a message from a node says about it.
type Heartbeat struct {
	Node        wire.NodeID
	Incarnation wire.Incarnation
	Leaving     bool
}

// Core merges the platform's lagging list with what nodes say themselves. A
// node that is heard is a member although the list lacks it; a node on the list
// that is silent is suspected first and ejected later. It is deterministic and
// not safe for concurrent use.
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

// SetList takes the platform's list. A node that has left it stays while it is
// heard, as the list may lag.
func (m *Core) SetList(now time.Duration, vms []VM) {
	listed := make(map[wire.NodeID]bool, len(vms))
	for _, vm := range vms {
		listed[vm.Node] = true
		r := m.members.Get(vm.Node)
		if r == nil {
			r = m.members.Put(vm.Node, row{})
			m.enter(now, vm.Node, r, Listed, false)
		}
		r.VM = vm
		r.OnList = true
		r.Leaving = r.Leaving || vm.Leaving
	}
	m.members.Each(func(node wire.NodeID, r *row) bool {
		if !listed[node] {
			r.OnList = false
			m.removeIfGone(node, r)
		}
		return true
	})
	m.members.Compact()
}

// Heard takes a heartbeat. It reports false for one from an earlier life of the
// node, which must be ignored.
func (m *Core) Heard(now time.Duration, h Heartbeat) bool {
	r := m.members.Get(h.Node)
	if r == nil {
		r = m.members.Put(h.Node, row{Member: Member{VM: VM{Node: h.Node}}})
	}
	if h.Incarnation < r.Incarnation {
		return false
	}
	newLife := h.Incarnation > r.Incarnation && r.Incarnation != 0
	if newLife {
		r.Leaving = false
	}
	r.Incarnation = h.Incarnation
	r.Leaving = r.Leaving || h.Leaving
	if r.State != Alive || newLife {
		m.enter(now, h.Node, r, Alive, newLife)
		return true
	}
	m.timers.Set(h.Node, now+m.cfg.SuspectAfter)
	return true
}

// Down records that the transport to a node failed: it is suspected at once, and
// ejected unless it is heard again in time.
func (m *Core) Down(now time.Duration, node wire.NodeID) {
	r := m.members.Get(node)
	if r == nil || (r.State != Alive && r.State != Listed) {
		return
	}
	m.enter(now, node, r, Suspect, false)
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
			m.enter(now, node, r, Suspect, false)
		case Suspect:
			m.enter(now, node, r, Ejected, false)
			m.removeIfGone(node, r)
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

// TakeChanges returns the changes since the last call.
func (m *Core) TakeChanges() []Change {
	changes := m.changes
	m.changes = nil
	return changes
}

func (m *Core) enter(now time.Duration, node wire.NodeID, r *row, s State, newLife bool) {
	r.State = s
	m.changes = append(m.changes, Change{Node: node, State: s, NewLife: newLife})
	switch s {
	case Listed, Alive:
		m.timers.Set(node, now+m.cfg.SuspectAfter)
	case Suspect:
		m.timers.Set(node, now+m.cfg.EjectAfter)
	case Ejected:
		m.timers.Stop(node)
	}
}

// removeIfGone drops a node that is neither on the list nor heard.
func (m *Core) removeIfGone(node wire.NodeID, r *row) {
	if r.OnList || r.State == Alive || r.State == Suspect {
		return
	}
	m.timers.Stop(node)
	m.members.Delete(node)
	m.changes = append(m.changes, Change{Node: node, Removed: true})
}
