package limits

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/membership"
	"trefoilpath.org/trefoilpath/internal/wire"
)

var largeLimits = declaration.Limits{RequestsPerSecond: 2000, TokensPerSecond: 1e6, BurstSeconds: 2, Concurrency: 30}

func oneAccount(l declaration.Limits) map[wire.AccountID]declaration.Limits {
	return map[wire.AccountID]declaration.Limits{"antigua": l}
}

// offer keeps want requests of the account in flight at the entry for d, each
// lasting 50 ms, and returns how many were admitted and refused.
func (f *fleet) offer(n *node, id wire.AccountID, want int, d time.Duration) (admitted, refused int) {
	var ends []time.Duration
	for end := f.now + d; f.now < end; {
		for len(ends) > 0 && ends[0] <= f.now {
			f.release(n, id)
			ends = ends[1:]
		}
		for len(ends) < want {
			if !f.admit(n, id, 100).OK {
				refused++
				break
			}
			admitted++
			ends = append(ends, f.now+50*time.Millisecond)
		}
		f.step()
	}
	for range ends {
		f.release(n, id)
	}
	return admitted, refused
}

func TestSingleEntryUsesTheWholeLimit(t *testing.T) {
	f := newFleet(t, 1, 1, oneAccount(largeLimits))
	f.run(listPeriod)
	if f.nodes[0].m.CanUseShare(f.now) || f.admit(f.nodes[0], "antigua", 100).OK {
		t.Fatal("admitted before other entries could be on the list")
	}
	f.run(maxListLag + time.Second)
	for i := range largeLimits.Concurrency {
		if d := f.admit(f.nodes[0], "antigua", 100); !d.OK {
			t.Fatalf("request %d: %+v", i, d)
		}
	}
	if d := f.admit(f.nodes[0], "antigua", 100); d.OK || d.Code != Concurrency {
		t.Fatalf("request over the limit: %+v", d)
	}
	f.release(f.nodes[0], "antigua")
	if d := f.admit(f.nodes[0], "antigua", 100); !d.OK {
		t.Fatalf("request after another has ended: %+v", d)
	}
}

func TestRatesAreHeldAndReached(t *testing.T) {
	for _, tc := range []struct {
		name   string
		limits declaration.Limits
		code   Code
		want   int // admitted in 20 s
	}{
		{"requests", declaration.Limits{RequestsPerSecond: 10, TokensPerSecond: 1e6, BurstSeconds: 1, Concurrency: 50}, RequestRate, 200},
		{"tokens", declaration.Limits{RequestsPerSecond: 100, TokensPerSecond: 1000, BurstSeconds: 1, Concurrency: 50}, TokenRate, 200},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t, 1, 3, oneAccount(tc.limits))
			f.run(maxListLag + time.Second)
			n := f.nodes[1]
			f.offer(n, "antigua", 20, 5*time.Second)
			admitted, _ := f.offer(n, "antigua", 20, 20*time.Second)
			if admitted < tc.want*8/10 || admitted > tc.want*105/100 {
				t.Fatalf("only busy entry admitted %d requests, limit %d", admitted, tc.want)
			}
			if d := f.admit(n, "antigua", 100); d.OK || d.Code != tc.code || d.RetryAfter <= 0 {
				t.Fatalf("request over the limit: %+v", d)
			}
		})
	}
}

// TestBusyEntryBorrowsAndIdleShareComesBack checks that one busy entry gets
// nearly the whole concurrency, and that the others get their part within
// seconds once they need it.
func TestBusyEntryBorrowsAndIdleShareComesBack(t *testing.T) {
	f := newFleet(t, 1, 3, oneAccount(largeLimits))
	f.run(maxListLag + time.Second)
	f.offer(f.nodes[0], "antigua", 100, 5*time.Second)
	if u := f.usable(f.nodes[0], "antigua"); u.concurrency < largeLimits.Concurrency*8/10 {
		t.Fatalf("the only busy entry may use %+v, want a concurrency of at least %d", u, largeLimits.Concurrency*8/10)
	}
	start := f.now
	for f.usable(f.nodes[2], "antigua").concurrency < largeLimits.Concurrency/4 {
		f.offer(f.nodes[2], "antigua", 100, 50*time.Millisecond)
		if f.now > start+3*time.Second {
			t.Fatalf("entry has less than a quarter of the concurrency after %s: %s", f.now-start, f.describe("antigua"))
		}
	}
}

func TestPendingIsAnsweredByTheHome(t *testing.T) {
	f := newFleet(t, 1, 3, oneAccount(largeLimits))
	f.run(maxListLag + 2*time.Second)
	home := f.nodes[0].m.Home("antigua")
	for _, n := range f.nodes {
		if n.id == home {
			continue
		}
		d := f.admit(n, "antigua", 100)
		if d.OK || !d.Pending {
			t.Fatalf("first request at an entry that is not the home: %+v, want Pending", d)
		}
		f.run(30 * time.Millisecond)
		if d := f.admit(n, "antigua", 100); !d.OK {
			t.Fatalf("after a round trip: %+v", d)
		}
	}
}

// TestIdleAccountKeepsAGrant checks that an account that was idle for a while is
// admitted at once at an entry that has served it before.
func TestIdleAccountKeepsAGrant(t *testing.T) {
	f := newFleet(t, 1, 3, oneAccount(largeLimits))
	f.run(maxListLag + time.Second)
	for _, n := range f.nodes {
		f.offer(n, "antigua", 1, time.Second)
	}
	f.run(DefaultIdleTimeout / 2)
	for _, n := range f.nodes {
		if d := f.admit(n, "antigua", 100); !d.OK {
			t.Fatalf("%s: request of an idle account: %+v", n.id, d)
		}
		f.release(n, "antigua")
	}
	f.run(DefaultIdleTimeout + f.nodes[0].m.period()) // the demand is being withdrawn
	for _, n := range f.nodes {
		if d := f.admit(n, "antigua", 100); !d.OK && !d.Pending {
			t.Fatalf("%s: refused without waiting for a grant: %+v", n.id, d)
		}
	}
	f.run(100 * time.Millisecond)
	for _, n := range f.nodes {
		if d := f.admit(n, "antigua", 100); !d.OK {
			t.Fatalf("%s: request 100 ms after the withdrawn grant was requested again: %+v", n.id, d)
		}
	}
}

// TestPartitionedEntryUsesItsEqualShare partitions one entry from the others and
// checks that both sides continue and stay within their parts of the limit.
func TestPartitionedEntryUsesItsEqualShare(t *testing.T) {
	f := newFleet(t, 1, 3, oneAccount(largeLimits))
	f.run(maxListLag + time.Second)
	home := f.node(f.nodes[0].m.Home("antigua"))
	var away *node
	for _, n := range f.nodes {
		if n != home {
			away = n
		}
	}
	f.offer(away, "antigua", 100, 3*time.Second)
	for _, n := range f.nodes {
		if n != away {
			f.partition(away, n, true)
		}
	}
	f.run(6 * time.Second)
	if u := f.usable(away, "antigua"); u.concurrency != largeLimits.Concurrency/3 {
		t.Fatalf("partitioned entry may use %+v, want a concurrency of %d", u, largeLimits.Concurrency/3)
	}
	f.offer(home, "antigua", 100, 5*time.Second)
	if u := f.usable(home, "antigua"); u.concurrency < largeLimits.Concurrency*2/3-2 {
		t.Fatalf("the home may use %+v while another entry is partitioned, want a concurrency of at least %d", u, largeLimits.Concurrency*2/3-2)
	}
	for _, n := range f.nodes {
		f.partition(away, n, false)
	}
	f.run(3 * time.Second)
	f.offer(away, "antigua", 100, 5*time.Second)
	if u := f.usable(away, "antigua"); u.concurrency < largeLimits.Concurrency/2 {
		t.Fatalf("after the partition has ended the entry may use %+v, want a concurrency of at least %d", u, largeLimits.Concurrency/2)
	}
}

// TestResumedEntryReadsTheListFirst pauses a partitioned entry while another
// one starts. After the pause it must not use its former share until it has
// read the list.
func TestResumedEntryReadsTheListFirst(t *testing.T) {
	f := newFleet(t, 1, 2, scarceAccounts())
	f.nodes = append(f.nodes, &node{id: "late"})
	for _, a := range f.nodes {
		for _, b := range f.nodes {
			f.partition(a, b, true)
		}
	}
	f.load(DefaultMembershipGrace+5*time.Second, f.nodes[:2])
	f.nodes[0].pausedUntil = f.now + DefaultMembershipGrace + 8*time.Second + step
	f.start(f.nodes[2])
	f.list()
	f.load(DefaultMembershipGrace+12*time.Second, f.nodes)
	if !f.nodes[2].m.CanUseShare(f.now) || f.now < f.nodes[0].pausedUntil {
		t.Fatal("the late entry has no share yet, or the pause has not ended")
	}
}

// scarceAccounts returns accounts whose limits load exhausts.
func scarceAccounts() map[wire.AccountID]declaration.Limits {
	accounts := make(map[wire.AccountID]declaration.Limits)
	for id, l := range benchAccounts(12) {
		l.Concurrency = 6
		accounts[id] = l
	}
	return accounts
}

func TestHomeLostForGood(t *testing.T) {
	f := newFleet(t, 1, 3, oneAccount(largeLimits))
	f.run(maxListLag + time.Second)
	home := f.node(f.nodes[0].m.Home("antigua"))
	var away *node
	for _, n := range f.nodes {
		if n != home {
			away = n
		}
	}
	f.offer(away, "antigua", 100, 3*time.Second)
	home.up = false
	f.list()
	f.run(8 * time.Second)
	if u := f.usable(away, "antigua"); u.concurrency != largeLimits.Concurrency/3 {
		t.Fatalf("without a home the entry may use %+v, want a concurrency of %d", u, largeLimits.Concurrency/3)
	}
	f.run(DefaultMembershipGrace)
	f.offer(away, "antigua", 100, 5*time.Second)
	if u := f.usable(away, "antigua"); u.concurrency < largeLimits.Concurrency*2/3 {
		t.Fatalf("with a new home the entry may use %+v, want a concurrency of at least %d", u, largeLimits.Concurrency*2/3)
	}
}

func TestLoweredLimitHoldsAfterOneTerm(t *testing.T) {
	f := newFleet(t, 1, 3, oneAccount(largeLimits))
	f.run(maxListLag + time.Second)
	f.offer(f.nodes[1], "antigua", 100, 3*time.Second)
	low := largeLimits
	low.Concurrency = 5
	lowered := &declaration.Snapshot{Revision: 2, Accounts: map[wire.AccountID]*declaration.Account{"antigua": {ID: "antigua", Limits: low}}}
	for _, n := range f.nodes {
		n.m.SetSnapshot(f.now, lowered)
	}
	f.run(leasePeriods * f.nodes[0].m.period())
	f.snapshot = lowered // from here on check asserts the new limits
	f.offer(f.nodes[1], "antigua", 100, 3*time.Second)
}

// TestGrantsOfAnEarlierIncarnationExpire restarts the entry that holds nearly
// all of a limit and expects the others to get it.
func TestGrantsOfAnEarlierIncarnationExpire(t *testing.T) {
	f := newFleet(t, 1, 3, oneAccount(largeLimits))
	f.run(maxListLag + time.Second)
	home := f.node(f.nodes[0].m.Home("antigua"))
	var away []*node
	for _, n := range f.nodes {
		if n != home {
			away = append(away, n)
		}
	}
	f.offer(away[0], "antigua", 100, 5*time.Second)
	f.start(away[0])
	f.run(maxListLag + time.Second)
	f.offer(away[1], "antigua", 100, 5*time.Second)
	if u := f.usable(away[1], "antigua"); u.concurrency < largeLimits.Concurrency*8/10 {
		t.Fatalf("the only busy entry may use %+v, want a concurrency of at least %d", u, largeLimits.Concurrency*8/10)
	}
}

// TestGrantIsNotRenewedBeyondItsBacking partitions one idle lender of five
// while another entry holds nearly all of a limit.
func TestGrantIsNotRenewedBeyondItsBacking(t *testing.T) {
	f := newFleet(t, 1, 5, oneAccount(largeLimits))
	f.run(maxListLag + time.Second)
	home := f.node(f.nodes[0].m.Home("antigua"))
	var away []*node
	for _, n := range f.nodes {
		if n != home {
			away = append(away, n)
		}
	}
	f.offer(away[0], "antigua", 100, 5*time.Second)
	for _, n := range f.nodes {
		f.partition(away[1], n, true)
	}
	f.offer(away[0], "antigua", 100, 10*time.Second)
	if u := f.usable(away[1], "antigua"); u.concurrency != largeLimits.Concurrency/5 {
		t.Fatalf("partitioned lender may use %+v, want a concurrency of %d", u, largeLimits.Concurrency/5)
	}
}

// TestReplyWithoutGrantsConfirmsNothing loses a reply that lowers a grant and
// then delivers one that carries no grants, because the two entries disagree
// about the homes at that time.
func TestReplyWithoutGrantsConfirmsNothing(t *testing.T) {
	m := New(Config{Self: "a", Incarnation: 1, Region: testRegion, ListLag: time.Second, MaxHomes: 2})
	snapshot := newFleet(t, 1, 1, manyAccounts).snapshot
	m.SetSnapshot(0, snapshot)
	m.SetPeers(0, []Peer{{Node: "b", Address: "b", Region: testRegion}})
	var id wire.AccountID
	for _, other := range accountIDs(manyAccounts) {
		if m.Home(other) == "a" {
			id = other
		}
	}
	now, sequence := m.membershipGrace(), uint64(0)
	m.SetPeers(now, []Peer{{Node: "b", Address: "b", Region: testRegion}})
	m.Tick(now)
	send := func(r wire.GrantRequest) *wire.GrantReply {
		m.TakePeerMessages()
		now += time.Millisecond
		sequence++
		r.Incarnation, r.EchoIncarnation, r.Sequence, r.MemberCount = 1, 1, sequence, 2
		r.LendFor = lendPeriods * m.period()
		m.HandlePeerMessage(now, "b", wire.ToPeer{GrantRequest: &r})
		return m.TakePeerMessages()[0].Msg.GrantReply
	}
	homes := m.view.homes.digest
	first := send(wire.GrantRequest{HomeDigest: homes})
	demands := []wire.AccountDemand{{Account: id, MilliRequests: 1e6, Tokens: 1e6, Concurrency: 100}}
	high := send(wire.GrantRequest{HomeDigest: homes, Echo: first.Sequence, Demands: demands})
	if len(high.Grants) != 1 || high.Grants[0].Concurrency == 0 {
		t.Fatalf("granted %+v", high.Grants)
	}
	send(wire.GrantRequest{HomeDigest: homes, Echo: high.Sequence, Applied: high.Sequence, Demands: []wire.AccountDemand{{Account: id}}}) // lost
	other := send(wire.GrantRequest{HomeDigest: homes + 1, Echo: high.Sequence, Applied: high.Sequence})
	send(wire.GrantRequest{HomeDigest: homes, Echo: other.Sequence, Applied: high.Sequence})
	if held := m.homeAccounts.Get(id).holder("b").maxHeld(); held.concurrency != high.Grants[0].Concurrency {
		t.Fatalf("counted %+v while the holder may use %+v", held, high.Grants[0])
	}
}

// TestNewIncarnationOfHomeWaitsForGrants checks that an entry tells a restarted
// home how long a grant of its earlier incarnation stays in use.
func TestNewIncarnationOfHomeWaitsForGrants(t *testing.T) {
	m := New(Config{Self: "a", Incarnation: 1, Region: testRegion, ListLag: time.Hour, MaxHomes: 2})
	m.SetSnapshot(0, newFleet(t, 1, 1, manyAccounts).snapshot)
	m.SetPeers(0, []Peer{{Node: "b", Address: "b", Region: testRegion}})
	id := accountIDs(manyAccounts)[0]
	for _, other := range accountIDs(manyAccounts) {
		if m.Home(other) == "b" {
			id = other
		}
	}
	m.Admit(0, id, 1)
	m.Tick(0)
	request := m.TakePeerMessages()[0].Msg.GrantRequest
	const lease = time.Minute
	m.HandlePeerMessage(1, "b", wire.ToPeer{GrantReply: &wire.GrantReply{
		Incarnation: 1, Sequence: 1, Echo: request.Sequence, EchoIncarnation: 1, Lease: lease,
		Grants: []wire.Grant{{Account: id, MilliRequests: 1000, Tokens: 10, Concurrency: 1}},
	}})
	m.TakePeerMessages()
	m.HandlePeerMessage(2, "b", wire.ToPeer{GrantRequest: &wire.GrantRequest{Incarnation: 2, Sequence: 1, MemberCount: 2}})
	reply := m.TakePeerMessages()[0].Msg.GrantReply
	if reply.Wait < lease-2 {
		t.Fatalf("home was told to wait only %s while a grant of %s is in use", reply.Wait, lease)
	}
}

// TestAccountsMoveBetweenExistingHomes adds an entry that takes the place of a
// home, so that accounts move to a home that already grants others.
func TestAccountsMoveBetweenExistingHomes(t *testing.T) {
	for seed := range uint64(40) {
		f := newFleet(t, seed, 3, scarceAccounts())
		f.listLag, f.homes = 0, 2
		for _, n := range f.nodes {
			f.start(n)
		}
		before := f.nodes
		if seed%2 == 0 { // only the entry that will be paused is busy
			before = f.nodes[seed%3 : seed%3+1]
		}
		f.load(6*time.Second, before)
		f.nodes = append(f.nodes, &node{id: displacingEntry(f.nodes, f.homes)})
		f.start(f.nodes[3])
		f.list()
		f.nodes[seed%3].pausedUntil = f.now + 1200*time.Millisecond // it keeps using its grants
		f.load(8*time.Second, f.nodes)
	}
}

// displacingEntry returns the name of an entry that would replace another as a
// home.
func displacingEntry(nodes []*node, homes int) wire.NodeID {
	var ids []wire.NodeID
	for _, n := range nodes {
		ids = append(ids, n.id)
	}
	for i := 0; ; i++ {
		id := wire.NodeID(fmt.Sprintf("late-%d", i))
		if slices.Contains(membership.Pick(homesKey, append(slices.Clone(ids), id), homes), id) {
			return id
		}
	}
}

// load admits requests of random accounts at the given entries for d.
func (f *fleet) load(d time.Duration, nodes []*node) {
	var ids []wire.AccountID
	for id := range f.snapshot.Accounts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	var ends []requestEnd
	for end := f.now + d; f.now < end; f.step() {
		ends = f.finish(ends)
		for range 4 {
			n, id := nodes[f.r.IntN(len(nodes))], ids[f.r.IntN(len(ids))]
			if f.now >= n.pausedUntil && f.admit(n, id, 100).OK {
				ends = append(ends, requestEnd{f.now + 300*time.Millisecond, n, n.incarnation, id})
			}
		}
	}
}

func TestRegionsDivideEveryUnit(t *testing.T) {
	regions := []wire.Region{"guate-central", "tell-nord", "r3", "r4"}
	snapshot := &declaration.Snapshot{Accounts: map[wire.AccountID]*declaration.Account{
		"antigua": {ID: "antigua", Limits: declaration.Limits{RequestsPerSecond: 8, TokensPerSecond: 80, BurstSeconds: 1, Concurrency: 6}},
	}}
	var total declaration.Limits
	for _, region := range regions {
		m := New(Config{Self: "a", Incarnation: 1, Region: region, RegionNames: regions})
		m.SetSnapshot(0, snapshot)
		l := m.limitsOf("antigua")
		total.RequestsPerSecond += l.RequestsPerSecond
		total.TokensPerSecond += l.TokensPerSecond
		total.Concurrency += l.Concurrency
	}
	if want := (declaration.Limits{RequestsPerSecond: 8, TokensPerSecond: 80, Concurrency: 6}); total != want {
		t.Fatalf("the regions have %+v together, want %+v", total, want)
	}
}
