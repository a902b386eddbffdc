package limits

import (
	"slices"
	"time"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/membership"
	"trefoilpath.org/trefoilpath/internal/option"
	"trefoilpath.org/trefoilpath/internal/table"
	"trefoilpath.org/trefoilpath/internal/timer"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Config describes one entry. Self, Incarnation and Region must be set.
type Config struct {
	Self        wire.NodeID
	Incarnation wire.Incarnation
	Region      wire.Region
	// Regions is the number of regions among which each limit is divided.
	Regions int
	// RegionNames names those regions. If it is set, the units of concurrency
	// that do not divide evenly go to regions by rendezvous hashing over the
	// account; otherwise nobody has them. It takes the place of Regions.
	RegionNames []wire.Region
	// Lease is the shortest term of a grant. Larger regions have longer terms.
	Lease time.Duration
	// ListLag bounds how long after its start an entry may be missing from the
	// list that other entries read. An entry that has started uses its equal
	// share only after this time; until then it depends on grants.
	ListLag time.Duration
	// Settle is how long an entry counts after it has left the list.
	Settle time.Duration
	// Homes bounds the number of entries of a region that are home to accounts.
	Homes int
	// Idle is how long an unused account is kept.
	Idle time.Duration
}

// The defaults of Config.
const (
	DefaultLease   = 1500 * time.Millisecond
	DefaultListLag = 2 * time.Second
	DefaultSettle  = 10 * time.Second
	DefaultHomes   = 32
	DefaultIdle    = 30 * time.Second
)

// pauseParts is the part of the settling time without running that counts as a
// pause: one in pauseParts.
const pauseParts = 3

// never is the time of a timer that is not set.
const never = timer.Never

// Terms in periods of the exchange with a home.
const (
	leasePeriods = 3 // of a grant
	lendPeriods  = 6 // of a promise: a grant, two periods until it is used, and one to spare
	wantPeriods  = 3 // after which a want that is not repeated is forgotten
)

// periodPerEntry lengthens the period with the number of entries, so that the
// bytes that a home exchanges each second stay the same.
const periodPerEntry = 70 * time.Millisecond

// Peer is one entry on the list of entries.
type Peer struct {
	Node    wire.NodeID
	Address string
	Region  wire.Region
}

// PeerMsg is a message to another entry.
type PeerMsg struct {
	Peer    wire.NodeID
	Address string // empty: answer on the connection from the peer
	Msg     wire.ToPeer
}

// Core is the part of the limits that one entry plays. It is deterministic
// and not safe for concurrent use.
type Core struct {
	cfg      Config
	snapshot *declaration.Snapshot

	view        view
	peers       *table.Table[wire.NodeID, peer]
	joined      bool          // the own share counts for the other entries
	joinFrom    time.Duration // earliest time of joining
	joinBy      time.Duration // latest
	joinWait    time.Duration
	prevHomes   *homeSet      // before the last change, until frozenUntil
	frozenUntil time.Duration // shares of accounts whose home changed are still promised
	selfPromise time.Duration // end of the last grant given to another entry
	gonePromise time.Duration // end of the last promise to entries that are gone

	active time.Duration // when the machine last ran
	stale  time.Duration // until then the list is too old to go by

	accounts *table.Table[wire.AccountID, account]
	homes    *table.Table[wire.AccountID, homeAccount]

	sends  *timer.Queue[wire.NodeID]    // requests to homes
	idle   *timer.Queue[wire.AccountID] // removal of unused accounts
	unheld *timer.Queue[wire.AccountID] // removal of home accounts without holders
	gone   *timer.Queue[wire.NodeID]    // removal of entries that left the list
	out    []PeerMsg

	shares scratch
}

// New returns a Core that admits nothing until SetSnapshot and SetPeers.
func New(cfg Config) *Core {
	option.Default(&cfg.Lease, DefaultLease)
	option.Default(&cfg.ListLag, DefaultListLag)
	option.Default(&cfg.Settle, DefaultSettle)
	option.Default(&cfg.Homes, DefaultHomes)
	option.Default(&cfg.Idle, DefaultIdle)
	option.Default(&cfg.Regions, 1)
	if len(cfg.RegionNames) > 0 {
		cfg.Regions = len(cfg.RegionNames)
	}
	return &Core{
		cfg:      cfg,
		peers:    table.New[wire.NodeID, peer](),
		accounts: table.New[wire.AccountID, account](),
		homes:    table.New[wire.AccountID, homeAccount](),
		sends:    timer.New[wire.NodeID](),
		idle:     timer.New[wire.AccountID](),
		unheld:   timer.New[wire.AccountID](),
		gone:     timer.New[wire.NodeID](),
	}
}

// SetSnapshot puts a revision of the declarations in force.
func (m *Core) SetSnapshot(now time.Duration, s *declaration.Snapshot) {
	m.snapshot = s
	m.accounts.Each(func(id wire.AccountID, a *account) bool {
		a.limits = m.limitsOf(id)
		return true
	})
	m.homes.Each(func(id wire.AccountID, h *homeAccount) bool {
		h.setLimits(m.limitsOf(id), now, max(m.selfPromise, now+m.period()))
		return true
	})
}

// limitsOf returns this region's part of an account's limits. An account that
// the declarations do not know has none.
func (m *Core) limitsOf(id wire.AccountID) declaration.Limits {
	if m.snapshot == nil {
		return declaration.Limits{}
	}
	a := m.snapshot.Accounts[id]
	if a == nil {
		return declaration.Limits{}
	}
	l := a.Limits
	regions := m.cfg.Regions
	l.RequestsPerSecond /= float64(regions)
	l.TokensPerSecond /= float64(regions)
	rest := int(l.Concurrency % int64(regions))
	l.Concurrency /= int64(regions)
	if slices.Contains(membership.Pick(string(id), m.cfg.RegionNames, rest), m.cfg.Region) {
		l.Concurrency++
	}
	return l
}

// Tick sends what is due and drops what has expired.
func (m *Core) Tick(now time.Duration) {
	m.wake(now)
	m.expireMembers(now)
	m.join(now)
	for {
		node, ok := m.sends.Pop(now)
		if !ok {
			break
		}
		if p := m.peers.Get(node); p != nil {
			m.request(now, p)
		}
	}
	for {
		id, ok := m.idle.Pop(now)
		if !ok {
			break
		}
		m.expireAccount(now, id)
	}
	for {
		id, ok := m.unheld.Pop(now)
		if !ok {
			break
		}
		m.expireHome(now, id)
	}
	m.accounts.Compact()
	m.homes.Compact()
	m.peers.Compact()
}

// Next returns the time at which Tick is due.
func (m *Core) Next() time.Duration {
	next := min(m.sends.Next(), m.idle.Next(), m.unheld.Next(), m.gone.Next())
	if m.joinBy == 0 {
		return next
	}
	if !m.joined {
		next = min(next, m.joinDue())
	}
	return min(next, m.active+m.settle()/pauseParts/2)
}

// wake notes that the machine runs. If it has not run for a good part of the time
// after which entries that start do without its answer, the process was paused: entries may have started that it has not heard of, so it leaves
// its own share alone until it has read the list again, or for as long as it
// would count an entry that it can't hear.
func (m *Core) wake(now time.Duration) {
	if m.joinBy > 0 && now-m.active > m.settle()/pauseParts {
		m.stale = now + m.settle()
	}
	m.active = now
}

// sharing reports whether this entry may use, lend or grant its own share.
func (m *Core) sharing(now time.Duration) bool { return m.joined && now >= m.stale }

// Joined reports whether this entry may use its equal share of the limits.
func (m *Core) Joined(now time.Duration) bool { return m.sharing(now) && now >= m.joinWait }

// TakePeer returns the messages to send to other entries.
func (m *Core) TakePeer() []PeerMsg {
	out := m.out
	m.out = nil
	return out
}

// settle is how long an entry that was on the list, or has just started, may
// matter without being heard.
func (m *Core) settle() time.Duration {
	return max(m.cfg.Settle, lendPeriods*m.period())
}

// period is the time between two exchanges with a home.
func (m *Core) period() time.Duration {
	return max(m.cfg.Lease/leasePeriods, periodPerEntry*time.Duration(len(m.view.members)))
}
