package dissemination

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/simnet"
	"trefoilpath.org/trefoilpath/internal/standin/storemodel"
	"trefoilpath.org/trefoilpath/internal/store"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// cluster runs one Core per node on a virtual clock, with a network of faulty
// links and a store that can go down.
type cluster struct {
	t         testing.TB
	rnd       *rand.Rand
	clock     simnet.Clock
	net       *simnet.Network
	nodes     []*node
	store     *storemodel.Model
	storeDown bool
	waiting   map[*storemodel.Watch]*node // watches at the store, with the nodes that sent them
	lists     *declaration.Lists
	accepted  uint64 // newest revision
	bytes     int    // of all messages between peers

	operator      sync.Mutex // serializes Do: operators read chunks concurrently
	operatorReads int
}

type node struct {
	c           *cluster
	name        wire.NodeID
	domain      wire.FailureDomain
	incarnation wire.Incarnation
	core        *Core
	wake        *simnet.Event // next tick
	down        bool
	storeCut    bool                     // the store is down for this node
	reachedAt   map[uint64]time.Duration // first time at or above a revision
	highest     uint64                   // revision of this incarnation
	sent        int                      // bytes
}

const (
	linkDelay  = 500 * time.Microsecond
	storeDelay = 3 * time.Millisecond
)

func newCluster(t testing.TB, seed uint64, nodes, domains, accounts int) *cluster {
	c := &cluster{
		t:       t,
		rnd:     rand.New(rand.NewPCG(seed, 1)),
		store:   storemodel.New(),
		waiting: make(map[*storemodel.Watch]*node),
		lists:   testLists(t, accounts),
	}
	c.net = simnet.NewNetwork(&c.clock, c.rnd, func(_, _ simnet.Node) simnet.Link {
		return simnet.Link{Delay: linkDelay, Jitter: linkDelay}
	})
	for i := range nodes {
		domain := wire.FailureDomain(fmt.Sprint("domain-", i%domains))
		c.nodes = append(c.nodes, &node{c: c, name: wire.NodeID(fmt.Sprintf("entry-%03d", i)), domain: domain})
	}
	for _, n := range c.nodes {
		n.start()
	}
	return c
}

func testLists(t testing.TB, accounts int) *declaration.Lists {
	t.Helper()
	read := func(name string) declaration.File {
		data, err := os.ReadFile("../../examples/atitlan/" + name)
		if err != nil {
			t.Fatal(err)
		}
		return declaration.File{Name: name, Data: data}
	}
	l, err := declaration.Parse(read("plans.json"), read("entitlements.json"))
	if err != nil {
		t.Fatal(err)
	}
	for i := range accounts {
		id := fmt.Sprintf("client-account-%05d", i)
		l.Plans.Accounts = append(l.Plans.Accounts, declaration.ClientAccount{
			ID: wire.AccountID(id), Plan: "shop", KeySHA256: []declaration.KeyHash{declaration.HashKey(id)},
		})
	}
	return l
}

// start starts the node as a new incarnation without state.
func (n *node) start() {
	n.incarnation++
	n.down = false
	n.highest = 0
	n.core = New(Config{
		Self: n.name, Incarnation: n.incarnation, Region: "r", FailureDomain: n.domain,
		Rand: rand.New(rand.NewPCG(n.c.rnd.Uint64(), 1)),
	})
	n.listPeers()
	n.step()
}

func (n *node) listPeers() {
	var peers []Peer
	for _, other := range n.c.nodes {
		peers = append(peers, Peer{Node: other.name, Address: "a", Region: "r", FailureDomain: other.domain})
	}
	n.core.SetPeers(n.c.clock.Now(), peers)
}

// step ticks the Core while it is due, executes its outputs and sets its timer.
func (n *node) step() {
	now := n.c.clock.Now()
	for n.core.Next() <= now {
		n.core.Tick(now)
	}
	n.observe(now)
	for _, op := range n.core.TakeStore() {
		n.c.execute(n, op)
	}
	for _, msg := range n.core.TakePeer() {
		n.c.deliver(n, msg)
	}
	if n.wake != nil {
		n.c.clock.Stop(n.wake)
	}
	incarnation := n.incarnation
	n.wake = n.c.clock.At(n.core.Next(), func() { n.run(incarnation, n.step) })
}

// run calls f if the node is up and still the given incarnation.
func (n *node) run(incarnation wire.Incarnation, f func()) {
	if !n.down && n.incarnation == incarnation {
		f()
	}
}

func (n *node) observe(now time.Duration) {
	revision := n.core.Revision()
	if revision < n.highest {
		n.c.t.Fatalf("%s: revision decreased from %d to %d", n.name, n.highest, revision)
	}
	if n.reachedAt == nil {
		n.reachedAt = make(map[uint64]time.Duration)
	}
	for r := n.highest + 1; r <= revision; r++ {
		if _, ok := n.reachedAt[r]; !ok {
			n.reachedAt[r] = now
		}
	}
	n.highest = revision
}

func (c *cluster) deliver(from *node, msg PeerMsg) {
	body, err := cbor.Marshal(msg.Msg)
	if err != nil {
		c.t.Fatal(err)
	}
	c.bytes += len(body)
	from.sent += len(body)
	to := c.node(msg.Peer)
	incarnation := to.incarnation
	fromIncarnation := from.incarnation
	c.net.Send(simnet.Node(from.name), simnet.Node(to.name), 0, func() {
		if to.down {
			c.clock.After(linkDelay, func() {
				from.run(fromIncarnation, func() { from.core.PeerDown(c.clock.Now(), to.name); from.step() })
			})
			return
		}
		var got wire.ToPeer
		if err := cbor.Unmarshal(body, &got); err != nil {
			c.t.Fatal(err)
		}
		to.run(incarnation, func() { to.core.FromPeer(c.clock.Now(), from.name, got); to.step() })
	})
}

func (c *cluster) node(name wire.NodeID) *node {
	i := slices.IndexFunc(c.nodes, func(n *node) bool { return n.name == name })
	return c.nodes[i]
}

func (c *cluster) execute(n *node, op store.Op) {
	incarnation := n.incarnation
	answer := func(r store.Result) {
		c.clock.After(storeDelay, func() {
			n.run(incarnation, func() { n.core.StoreResult(c.clock.Now(), r); n.step() })
		})
	}
	c.clock.After(storeDelay, func() {
		if c.storeDown || n.storeCut {
			answer(store.Result{ID: op.ID, Status: store.StatusUnavailable})
			return
		}
		r, watch := c.store.Do(c.clock.Now(), op)
		if watch == nil {
			answer(r)
			return
		}
		c.waiting[watch] = n
		c.clock.After(op.TTL, c.answerWatches)
	})
}

func (c *cluster) answerWatches() {
	c.store.Tick(c.clock.Now())
	for _, watch := range c.store.TakeWatches() {
		n := c.waiting[watch]
		delete(c.waiting, watch)
		incarnation := n.incarnation
		r := watch.Result
		if c.storeDown || n.storeCut {
			r = store.Result{ID: r.ID, Status: store.StatusUnknown}
		}
		c.clock.After(storeDelay, func() {
			n.run(incarnation, func() { n.core.StoreResult(c.clock.Now(), r); n.step() })
		})
	}
}

// Do executes an operator's store operation at the current time.
func (c *cluster) Do(_ context.Context, op store.Op) store.Result {
	c.operator.Lock()
	defer c.operator.Unlock()
	if !op.Writes() {
		c.operatorReads++
	}
	r, _ := c.store.Do(c.clock.Now(), op)
	return r
}

// accept edits one client account and returns the new revision.
func (c *cluster) accept() uint64 {
	i := c.rnd.IntN(len(c.lists.Plans.Accounts))
	concurrency := int64(1 + c.rnd.IntN(1_000_000))
	c.lists.Plans.Accounts[i].Limits = &declaration.LimitOverrides{Concurrency: &concurrency}
	r, err := declaration.Accept(context.Background(), c, declaration.Update{
		Lists: c.lists, Expect: c.accepted, Author: "ana", Nonce: c.accepted + 1,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.accepted = r.Revision
	c.answerWatches()
	return r.Revision
}

func (c *cluster) run(d time.Duration) { c.clock.RunUntil(c.clock.Now() + d) }

// lagging returns the running nodes below the accepted revision.
func (c *cluster) lagging() []wire.NodeID {
	var out []wire.NodeID
	for _, n := range c.nodes {
		if !n.down && n.core.Revision() < c.accepted {
			out = append(out, n.name)
		}
	}
	return out
}

func (c *cluster) requireConverged() {
	c.t.Helper()
	if lagging := c.lagging(); len(lagging) > 0 {
		c.t.Fatalf("at %v %d of %d entries lag behind revision %d: %v", c.clock.Now(), len(lagging), len(c.nodes), c.accepted, lagging[:min(5, len(lagging))])
	}
}

// eachLink changes the links between all nodes of two groups.
func (c *cluster) eachLink(a, b func(*node) bool, change func(*simnet.Link)) {
	for _, from := range c.nodes {
		for _, to := range c.nodes {
			if from != to && a(from) && b(to) {
				c.net.Change(simnet.Node(from.name), simnet.Node(to.name), change)
			}
		}
	}
}
