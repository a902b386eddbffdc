package spread

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

// world runs machines on a virtual clock with a network of faulty links and a
// store that can go down.
type world struct {
	t         testing.TB
	rnd       *rand.Rand
	clock     simnet.Clock
	net       *simnet.Network
	nodes     []*node
	store     *storemodel.Model
	storeDown bool
	waiting   map[*storemodel.Watch]*node
	lists     *declaration.Lists
	accepted  uint64
	bytes     int // of all messages between peers

	operator      sync.Mutex // operators read chunks side by side
	operatorReads int
}

type node struct {
	w           *world
	name        wire.NodeID
	domain      wire.FailureDomain
	incarnation wire.Incarnation
	machine     *Core
	wake        *simnet.Event
	down        bool
	storeCut    bool                     // the store is down for this node
	reachedAt   map[uint64]time.Duration // first time at or above a revision
	highest     uint64
	sent        int // bytes
}

const (
	linkDelay  = 500 * time.Microsecond
	storeDelay = 3 * time.Millisecond
)

func newWorld(t testing.TB, seed uint64, nodes, domains, accounts int) *world {
	w := &world{
		t:       t,
		rnd:     rand.New(rand.NewPCG(seed, 1)),
		store:   storemodel.New(),
		waiting: make(map[*storemodel.Watch]*node),
		lists:   testLists(t, accounts),
	}
	w.net = simnet.NewNetwork(&w.clock, w.rnd, func(_, _ simnet.Node) simnet.Link {
		return simnet.Link{Delay: linkDelay, Jitter: linkDelay}
	})
	for i := range nodes {
		domain := wire.FailureDomain(fmt.Sprint("domain-", i%domains))
		w.nodes = append(w.nodes, &node{w: w, name: wire.NodeID(fmt.Sprintf("entry-%03d", i)), domain: domain})
	}
	for _, n := range w.nodes {
		n.start()
	}
	return w
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

// start begins a new life of the node, without anything of the old one.
func (n *node) start() {
	n.incarnation++
	n.down = false
	n.highest = 0
	n.machine = New(Config{
		Self: n.name, Incarnation: n.incarnation, Region: "r", FailureDomain: n.domain,
		Rand: rand.New(rand.NewPCG(n.w.rnd.Uint64(), 1)),
	})
	n.listPeers()
	n.act()
}

func (n *node) listPeers() {
	var peers []Peer
	for _, other := range n.w.nodes {
		peers = append(peers, Peer{Node: other.name, Address: "a", Region: "r", FailureDomain: other.domain})
	}
	n.machine.SetPeers(n.w.clock.Now(), peers)
}

// act ticks the machine if it is due, carries out its outputs and sets its timer.
func (n *node) act() {
	now := n.w.clock.Now()
	for n.machine.Next() <= now {
		n.machine.Tick(now)
	}
	n.observe(now)
	for _, op := range n.machine.TakeStore() {
		n.w.execute(n, op)
	}
	for _, msg := range n.machine.TakePeer() {
		n.w.deliver(n, msg)
	}
	if n.wake != nil {
		n.w.clock.Stop(n.wake)
	}
	life := n.incarnation
	n.wake = n.w.clock.At(n.machine.Next(), func() { n.run(life, n.act) })
}

// run calls f if the node still lives the same life.
func (n *node) run(life wire.Incarnation, f func()) {
	if !n.down && n.incarnation == life {
		f()
	}
}

func (n *node) observe(now time.Duration) {
	revision := n.machine.Revision()
	if revision < n.highest {
		n.w.t.Fatalf("%s went back from revision %d to %d", n.name, n.highest, revision)
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

func (w *world) deliver(from *node, msg PeerMsg) {
	body, err := cbor.Marshal(msg.Msg)
	if err != nil {
		w.t.Fatal(err)
	}
	w.bytes += len(body)
	from.sent += len(body)
	to := w.node(msg.Peer)
	life := to.incarnation
	fromLife := from.incarnation
	w.net.Send(simnet.Node(from.name), simnet.Node(to.name), 0, func() {
		if to.down {
			w.clock.After(linkDelay, func() {
				from.run(fromLife, func() { from.machine.PeerDown(w.clock.Now(), to.name); from.act() })
			})
			return
		}
		var got wire.ToPeer
		if err := cbor.Unmarshal(body, &got); err != nil {
			w.t.Fatal(err)
		}
		to.run(life, func() { to.machine.FromPeer(w.clock.Now(), from.name, got); to.act() })
	})
}

func (w *world) node(name wire.NodeID) *node {
	i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == name })
	return w.nodes[i]
}

func (w *world) execute(n *node, op store.Op) {
	life := n.incarnation
	answer := func(r store.Result) {
		w.clock.After(storeDelay, func() {
			n.run(life, func() { n.machine.StoreResult(w.clock.Now(), r); n.act() })
		})
	}
	w.clock.After(storeDelay, func() {
		if w.storeDown || n.storeCut {
			answer(store.Result{ID: op.ID, Status: store.StatusUnavailable})
			return
		}
		r, watch := w.store.Do(w.clock.Now(), op)
		if watch == nil {
			answer(r)
			return
		}
		w.waiting[watch] = n
		w.clock.After(op.TTL, w.answerWatches)
	})
}

func (w *world) answerWatches() {
	w.store.Tick(w.clock.Now())
	for _, watch := range w.store.TakeWatches() {
		n := w.waiting[watch]
		delete(w.waiting, watch)
		life := n.incarnation
		r := watch.Result
		if w.storeDown || n.storeCut {
			r = store.Result{ID: r.ID, Status: store.StatusUnknown}
		}
		w.clock.After(storeDelay, func() {
			n.run(life, func() { n.machine.StoreResult(w.clock.Now(), r); n.act() })
		})
	}
}

// Do lets an operator use the store at the present time.
func (w *world) Do(_ context.Context, op store.Op) store.Result {
	w.operator.Lock()
	defer w.operator.Unlock()
	if !op.Writes() {
		w.operatorReads++
	}
	r, _ := w.store.Do(w.clock.Now(), op)
	return r
}

// accept edits one client account and returns the new revision.
func (w *world) accept() uint64 {
	i := w.rnd.IntN(len(w.lists.Plans.Accounts))
	concurrency := int64(1 + w.rnd.IntN(1_000_000))
	w.lists.Plans.Accounts[i].Limits = &declaration.LimitOverrides{Concurrency: &concurrency}
	r, err := declaration.Accept(context.Background(), w, declaration.Update{
		Lists: w.lists, Expect: w.accepted, Author: "ana", Nonce: w.accepted + 1,
	})
	if err != nil {
		w.t.Fatal(err)
	}
	w.accepted = r.Revision
	w.answerWatches()
	return r.Revision
}

func (w *world) run(d time.Duration) { w.clock.RunUntil(w.clock.Now() + d) }

// lagging returns the running nodes that have not reached the accepted revision.
func (w *world) lagging() []wire.NodeID {
	var out []wire.NodeID
	for _, n := range w.nodes {
		if !n.down && n.machine.Revision() < w.accepted {
			out = append(out, n.name)
		}
	}
	return out
}

func (w *world) requireConverged() {
	w.t.Helper()
	if lagging := w.lagging(); len(lagging) > 0 {
		w.t.Fatalf("at %v %d of %d entries lag behind revision %d: %v", w.clock.Now(), len(lagging), len(w.nodes), w.accepted, lagging[:min(5, len(lagging))])
	}
}

// eachLink changes the links between all nodes of two groups.
func (w *world) eachLink(a, b func(*node) bool, change func(*simnet.Link)) {
	for _, from := range w.nodes {
		for _, to := range w.nodes {
			if from != to && a(from) && b(to) {
				w.net.Change(simnet.Node(from.name), simnet.Node(to.name), change)
			}
		}
	}
}
