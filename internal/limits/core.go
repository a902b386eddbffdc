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
	// RegionNames lists those regions and overrides Regions. If it is set, the
	// units of concurrency that do not divide evenly are assigned to regions by
	// rendezvous hashing over the account; otherwise no region uses them.
	RegionNames []wire.Region
	// Lease is the shortest term of a grant to another entry. Larger regions
	// have longer terms.
	Lease time.Duration
	// ListLag bounds how long after its start an entry may be missing from the
	// list that other entries read. An entry that has started uses its equal
	// share only after this time; until then it depends on grants.
	ListLag time.Duration
	// MembershipGrace is the least time for which an entry counts as a member
	// after it has left the list.
	MembershipGrace time.Duration
	// MaxHomes bounds the number of entries of a region that are home to
	// accounts.
	MaxHomes int
	// IdleTimeout is how long an unused account is kept.
	IdleTimeout time.Duration
}

// The defaults of Config.
const (
	DefaultLease           = 1500 * time.Millisecond
	DefaultListLag         = 2 * time.Second
	DefaultMembershipGrace = 10 * time.Second
	DefaultMaxHomes        = 32
	DefaultIdleTimeout     = 30 * time.Second
)

// pauseDivisor defines a pause: the process has not run for longer than
// membershipGrace divided by pauseDivisor.
const pauseDivisor = 3

// never is the time of a timer that is not set.
const never = timer.Never

// Durations, in periods of the exchange with a home. The term of a promise counts
// from an earlier reply (see recordLending), so it covers up to two periods until
// the home makes a grant, the grant, and a margin of one period.
const (
	leasePeriods  = 3 // term of a grant
	lendPeriods   = 6 // term of a promise
	demandPeriods = 3 // after which a demand that is not repeated is dropped
)

// periodPerEntry lengthens the period with the number of entries, so that the
// bytes that a home exchanges per second do not grow with the region.
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

// Core enforces the limits at one entry: it admits requests, exchanges grants
// with the home entries, and grants shares of the accounts that have their home
// here. It is deterministic and not safe for concurrent use.
type Core struct {
	cfg      Config
	snapshot *declaration.Snapshot

	view              view
	peers             *table.Table[wire.NodeID, peer]
	joined            bool          // the other entries count this entry's share
	earliestJoin      time.Duration // earliest time of joining
	latestJoin        time.Duration // latest time of joining; 0: no list has been read
	waitUntil         time.Duration // until then shares divided without this entry, or grants of its earlier incarnation, may be in use
	prevHomes         *homeSet      // homes before the last change, kept until frozenUntil
	frozenUntil       time.Duration // until then shares of accounts whose home changed are promised to the old home
	lastGrantEnd      time.Duration // end of the last grant to another entry
	removedPromiseEnd time.Duration // end of the last promise to a removed entry

	lastActive time.Duration // when this Core last ran
	staleUntil time.Duration // until then the list of entries is too old to rely on

	accounts     *table.Table[wire.AccountID, account]
	homeAccounts *table.Table[wire.AccountID, homeAccount]

	requestTimers *timer.Queue[wire.NodeID]    // requests to homes
	accountTimers *timer.Queue[wire.AccountID] // removal of unused accounts
	homeTimers    *timer.Queue[wire.AccountID] // removal of home accounts without holders
	removalTimers *timer.Queue[wire.NodeID]    // removal of entries that left the list
	outbox        []PeerMsg

	divider divider
}

// New returns a Core that admits nothing until SetSnapshot and SetPeers.
func New(cfg Config) *Core {
	option.Default(&cfg.Lease, DefaultLease)
	option.Default(&cfg.ListLag, DefaultListLag)
	option.Default(&cfg.MembershipGrace, DefaultMembershipGrace)
	option.Default(&cfg.MaxHomes, DefaultMaxHomes)
	option.Default(&cfg.IdleTimeout, DefaultIdleTimeout)
	option.Default(&cfg.Regions, 1)
	if len(cfg.RegionNames) > 0 {
		cfg.Regions = len(cfg.RegionNames)
	}
	return &Core{
		cfg:           cfg,
		peers:         table.New[wire.NodeID, peer](),
		accounts:      table.New[wire.AccountID, account](),
		homeAccounts:  table.New[wire.AccountID, homeAccount](),
		requestTimers: timer.New[wire.NodeID](),
		accountTimers: timer.New[wire.AccountID](),
		homeTimers:    timer.New[wire.AccountID](),
		removalTimers: timer.New[wire.NodeID](),
	}
}

// SetSnapshot activates a revision of the declarations.
func (m *Core) SetSnapshot(now time.Duration, s *declaration.Snapshot) {
	m.snapshot = s
	m.accounts.Each(func(id wire.AccountID, a *account) bool {
		a.limits = m.limitsOf(id)
		return true
	})
	m.homeAccounts.Each(func(id wire.AccountID, h *homeAccount) bool {
		h.setLimits(m.limitsOf(id), now, max(m.lastGrantEnd, now+m.period()))
		return true
	})
}

// limitsOf returns this region's part of an account's limits, which is zero for
// an account that is not declared.
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

// Tick sends the requests to homes that are due, joins if it is time, and
// removes expired accounts and peers.
func (m *Core) Tick(now time.Duration) {
	m.detectPause(now)
	m.removeExpiredPeers(now)
	m.tryJoin(now)
	for {
		node, ok := m.requestTimers.Pop(now)
		if !ok {
			break
		}
		if p := m.peers.Get(node); p != nil {
			m.request(now, p)
		}
	}
	for {
		id, ok := m.accountTimers.Pop(now)
		if !ok {
			break
		}
		m.expireAccount(now, id)
	}
	for {
		id, ok := m.homeTimers.Pop(now)
		if !ok {
			break
		}
		m.expireHome(now, id)
	}
	m.accounts.Compact()
	m.homeAccounts.Compact()
	m.peers.Compact()
}

// Next returns the time at which Tick is due.
func (m *Core) Next() time.Duration {
	next := min(m.requestTimers.Next(), m.accountTimers.Next(), m.homeTimers.Next(), m.removalTimers.Next())
	if m.latestJoin == 0 {
		return next
	}
	if !m.joined {
		next = min(next, m.joinTime())
	}
	// Tick at half the time that counts as a pause, so that an idle entry is not
	// taken for a paused one.
	return min(next, m.lastActive+m.membershipGrace()/pauseDivisor/2)
}

// detectPause records that this entry runs, and detects that it was paused (see
// pauseDivisor). Starting entries wait for the answer of this entry for
// membershipGrace at most, so after a pause entries may run that it does not
// know. It then leaves its own share unused until it has read the list again, or
// for membershipGrace, as long as it would count an entry that is silent.
func (m *Core) detectPause(now time.Duration) {
	if m.latestJoin > 0 && now-m.lastActive > m.membershipGrace()/pauseDivisor {
		m.staleUntil = now + m.membershipGrace()
	}
	m.lastActive = now
}

// canShare reports whether this entry may use, lend or grant its own share.
func (m *Core) canShare(now time.Duration) bool { return m.joined && now >= m.staleUntil }

// CanUseShare reports whether this entry may use its equal share of the limits.
func (m *Core) CanUseShare(now time.Duration) bool { return m.canShare(now) && now >= m.waitUntil }

// TakePeerMessages returns the messages to send to other entries, and clears
// them.
func (m *Core) TakePeerMessages() []PeerMsg {
	out := m.outbox
	m.outbox = nil
	return out
}

// membershipGrace is how long an entry that was on the list, or has just started,
// may use a share without having sent a message to this one: the configured
// MembershipGrace, or longer in large regions.
func (m *Core) membershipGrace() time.Duration {
	return max(m.cfg.MembershipGrace, lendPeriods*m.period())
}

// period is the time between two exchanges with a home.
func (m *Core) period() time.Duration {
	return max(m.cfg.Lease/leasePeriods, periodPerEntry*time.Duration(len(m.view.members)))
}
