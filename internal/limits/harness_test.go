package limits

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/wire"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const testRegion = "guate-central"

// node is one entry of the harness.
type node struct {
	id          wire.NodeID
	incarnation wire.Incarnation
	m           *Core
	up          bool
	pausedUntil time.Duration // no input or Tick before this time
	inbox       []packet
	inFlight    map[wire.AccountID]int64 // requests admitted and not released
}

type packet struct {
	at                  time.Duration
	from                wire.NodeID
	receiverIncarnation wire.Incarnation // receiver's incarnation when it was sent
	msg                 wire.ToPeer
}

// failer is the part of testing.T and rapid.T that the harness needs.
type failer interface {
	Fatalf(format string, args ...any)
}

// fleet drives the Cores of several entries on a virtual clock over a faulty
// network.
type fleet struct {
	t         failer
	r         *rand.Rand
	now       time.Duration
	nodes     []*node
	snapshot  *declaration.Snapshot
	loss      int                     // percent of messages lost
	jitter    int                     // maximum delay of a message in ms
	cut       map[[2]wire.NodeID]bool // from, to
	listLag   time.Duration
	homes     int
	listings  []listing
	messages  int
	maxExcess int64 // most requests in flight beyond a limit
}

// listing is the list of entries as it was at one time.
type listing struct {
	at    time.Duration
	peers []Peer
}

const (
	step       = 5 * time.Millisecond
	listPeriod = 500 * time.Millisecond // between two reads of the list
	maxListLag = 4*time.Second + listPeriod
)

func newFleet(t failer, seed uint64, entries int, accounts map[wire.AccountID]declaration.Limits) *fleet {
	f := &fleet{t: t, r: rand.New(rand.NewPCG(seed, 3)), cut: make(map[[2]wire.NodeID]bool), jitter: 2}
	if f.r.IntN(2) == 0 { // a lagging list, or one that is current
		f.listLag = time.Duration(f.r.IntN(int(maxListLag - listPeriod)))
	}
	if f.r.IntN(2) == 0 { // fewer homes than entries, so that accounts move between entries that are homes already
		f.homes = 1 + f.r.IntN(3)
	}
	f.snapshot = &declaration.Snapshot{Revision: 1, Accounts: make(map[wire.AccountID]*declaration.Account)}
	for id, l := range accounts {
		f.snapshot.Accounts[id] = &declaration.Account{ID: id, Limits: l}
	}
	for i := range entries {
		f.nodes = append(f.nodes, &node{id: wire.NodeID(fmt.Sprintf("entry-%d", i))})
		f.start(f.nodes[i])
	}
	f.list()
	return f
}

func (f *fleet) start(n *node) {
	n.incarnation++
	n.up = true
	n.pausedUntil = 0
	n.inbox = nil
	n.inFlight = make(map[wire.AccountID]int64)
	n.m = New(Config{Self: n.id, Incarnation: n.incarnation, Region: testRegion, ListLag: f.listLag + listPeriod, MaxHomes: f.homes})
	n.m.SetSnapshot(f.now, f.snapshot)
}

// list publishes the entries that are up. They see it after the lag.
func (f *fleet) list() {
	var peers []Peer
	for _, n := range f.nodes {
		if n.up {
			peers = append(peers, Peer{Node: n.id, Address: string(n.id), Region: testRegion})
		}
	}
	f.listings = append(f.listings, listing{f.now, peers})
}

func (f *fleet) laggedList() []Peer {
	current := f.listings[0].peers
	for _, l := range f.listings {
		if l.at <= f.now-f.listLag {
			current = l.peers
		}
	}
	return current
}

func (f *fleet) node(id wire.NodeID) *node {
	for _, n := range f.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// step advances the clock and lets every entry that is up and not paused act.
func (f *fleet) step() {
	f.now += step
	for _, n := range f.nodes {
		if n.up && f.now >= n.pausedUntil {
			f.act(n)
		}
	}
	f.check()
}

func (f *fleet) act(n *node) {
	if f.now%listPeriod == 0 {
		n.m.SetPeers(f.now, f.laggedList())
	}
	kept := n.inbox[:0]
	for _, p := range n.inbox {
		switch {
		case p.receiverIncarnation != n.incarnation:
		case p.at > f.now:
			kept = append(kept, p)
		default:
			n.m.HandlePeerMessage(f.now, p.from, p.msg)
		}
	}
	n.inbox = kept
	if n.m.Next() <= f.now {
		n.m.Tick(f.now)
	}
	f.deliver(n)
}

func (f *fleet) deliver(n *node) {
	for _, msg := range n.m.TakePeerMessages() {
		f.messages++
		to := f.node(msg.Peer)
		if to == nil || !to.up || f.cut[[2]wire.NodeID{n.id, to.id}] || f.r.IntN(100) < f.loss {
			continue
		}
		at := f.now + time.Duration(1+f.r.IntN(f.jitter))*time.Millisecond
		to.inbox = append(to.inbox, packet{at, n.id, to.incarnation, msg.Msg})
		if f.r.IntN(100) < f.loss/2 { // a duplicate, later
			to.inbox = append(to.inbox, packet{at + 50*time.Millisecond, n.id, to.incarnation, msg.Msg})
		}
	}
}

func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.step()
	}
}

// usable returns what the entry may use of the account now, also if it has not
// served the account yet.
func (f *fleet) usable(n *node, id wire.AccountID) allowance {
	active, stale := n.m.lastActive, n.m.staleUntil
	n.m.detectPause(f.now) // as any call of Admit would
	defer func() { n.m.lastActive, n.m.staleUntil = active, stale }()
	if a := n.m.accounts.Get(id); a != nil {
		return n.m.allowed(f.now, a)
	}
	home := n.m.Home(id)
	if home == "" || home == n.id {
		return allowance{} // a home checks its grants when it makes them
	}
	p := n.m.peers.Get(home)
	return n.m.allowed(f.now, &account{id: id, home: home, homePeer: p, limits: n.m.limitsOf(id)})
}

// rateTolerance allows for the rounding of rates in messages and in sums.
const rateTolerance = 1.0001

// check asserts the invariant: what the entries may use of any account together
// is within its limits.
func (f *fleet) check() {
	for id, a := range f.snapshot.Accounts {
		var sum totals
		var inUse int64
		for _, n := range f.nodes {
			if !n.up {
				continue
			}
			u := f.usable(n, id)
			sum.requests += u.requests
			sum.tokens += u.tokens
			sum.concurrency += u.concurrency
			inUse += n.inFlight[id]
		}
		f.maxExcess = max(f.maxExcess, inUse-a.Limits.Concurrency)
		if sum.concurrency > a.Limits.Concurrency || sum.requests > a.Limits.RequestsPerSecond*rateTolerance ||
			sum.tokens > a.Limits.TokensPerSecond*rateTolerance {
			f.t.Fatalf("at %s: entries may use %+v of account %s, limits %+v\n%s", f.now, sum, id, a.Limits, f.describe(id))
		}
	}
}

func (f *fleet) describe(id wire.AccountID) (s string) {
	for _, n := range f.nodes {
		s += fmt.Sprintf("%s/%d up=%v home=%s joined=%v frozen=%s usable=%+v\n",
			n.id, n.incarnation, n.up, n.m.Home(id), n.m.joined, n.m.frozenUntil, f.usable(n, id))
	}
	return s
}

func (f *fleet) admit(n *node, id wire.AccountID, tokens int64) Decision {
	d := n.m.Admit(f.now, id, tokens)
	if d.OK {
		n.inFlight[id]++
	}
	f.deliver(n)
	return d
}

func (f *fleet) release(n *node, id wire.AccountID) {
	n.inFlight[id]--
	n.m.Release(f.now, id, 100, 100)
}

func (f *fleet) partition(a, b *node, cut bool) {
	f.cut[[2]wire.NodeID{a.id, b.id}] = cut
	f.cut[[2]wire.NodeID{b.id, a.id}] = cut
}

func accountIDs(accounts map[wire.AccountID]declaration.Limits) []wire.AccountID {
	var ids []wire.AccountID
	for id := range accounts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
