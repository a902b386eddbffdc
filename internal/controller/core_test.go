package controller

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/wire"
)

var (
	luthier   = declaration.Model{Name: "luthier-modelo", Version: "1", MinReplicasPerFailureDomain: 2, Weight: 1}
	mostrador = declaration.Model{Name: "mostrador", Version: "1", MinReplicasPerFailureDomain: 1, Weight: 1}
)

func newFilledDomain(t failer, engines int) *domain {
	d := newDomain(t, engines, 2, snapshotOf(luthier, mostrador))
	d.demand = []ModelDemand{{Model: luthier.Name, TokensPerSecond: 4000}, {Model: mostrador.Name, TokensPerSecond: 1000}}
	d.run(2 * time.Minute)
	if n := d.refused(); n != 0 {
		t.Fatalf("%d orders refused as stale without a fault", n)
	}
	return d
}

func TestPlacementFollowsMinimumsAndDemand(t *testing.T) {
	d := newFilledDomain(t, 6)
	// Demand is 4 to 1, which is 4.8 and 1.2 of 6 engines.
	if diff := cmp.Diff(map[string]int{luthier.Name: 5, mostrador.Name: 1}, d.served()); diff != "" {
		t.Fatalf("engines per model (-want +got):\n%s", diff)
	}
	if d.maxLoads > 2 {
		t.Fatalf("%d loads at a time, 2 slots", d.maxLoads)
	}
	if d.loads() != 6 {
		t.Fatalf("%d loads for 6 engines", d.loads())
	}
}

func TestMaxReplicasIsDividedAmongDomains(t *testing.T) {
	capped := luthier
	capped.MaxReplicas = 5 // the first of two failure domains by name, zona-antigua, takes 3
	d := newDomain(t, 6, 1, snapshotOf(capped))
	d.run(2 * time.Minute)
	if got := d.served()[luthier.Name]; got != 3 {
		t.Fatalf("%d replicas, want 3 of 5", got)
	}
}

func TestSmallChangesOfDemandMoveNothing(t *testing.T) {
	d := newFilledDomain(t, 8)
	before := d.loads()
	r := rand.New(rand.NewPCG(1, 1))
	for range 60 {
		d.demand[0].TokensPerSecond = 4000 * (0.8 + 0.4*r.Float64())
		d.demand[1].TokensPerSecond = 1000 * (0.8 + 0.4*r.Float64())
		d.run(10 * time.Second)
	}
	d.demand[1].TokensPerSecond = 8000
	d.run(2 * time.Second)
	d.demand[1].TokensPerSecond = 1000
	d.run(time.Minute)
	if d.loads() != before {
		t.Fatalf("%d moves under a noise of 20%% and a 2 s peak of demand", d.loads()-before)
	}
	d.resetServed()
	d.maxLoads = 0
	d.demand[0].TokensPerSecond, d.demand[1].TokensPerSecond = 1000, 8000
	d.run(5 * time.Minute)
	served := d.served()
	if served[mostrador.Name] < 5 || served[luthier.Name] < luthier.MinReplicasPerFailureDomain {
		t.Fatalf("served after the demand was inverted: %v", served)
	}
	if moves := d.loads() - before; moves > 5 {
		t.Fatalf("%d moves to follow the inverted demand with 8 engines", moves)
	}
	if d.maxLoads != maxMoves {
		t.Fatalf("up to %d moves at a time, want %d", d.maxLoads, maxMoves)
	}
	if d.minServed[luthier.Name] < luthier.MinReplicasPerFailureDomain {
		t.Fatalf("%d engines of %s while moving", d.minServed[luthier.Name], luthier.Name)
	}
}

func TestRolloutKeepsTheMinimumServing(t *testing.T) {
	for _, engines := range []int{4, 5, 8} {
		d := newFilledDomain(t, engines)
		if engines == 5 { // the model in rollout has its minimum, the other one has engines to spare
			d.demand[0].TokensPerSecond, d.demand[1].TokensPerSecond = 0, 9000
			d.run(5 * time.Minute)
			if d.served()[luthier.Name] != luthier.MinReplicasPerFailureDomain {
				t.Fatalf("before the rollout: served %v", d.served())
			}
		}
		d.resetServed()
		next, same := luthier, mostrador
		next.Version = "2"
		next.Adapters = []string{"es"}
		for _, h := range d.candidates {
			h.m.SetSnapshot(d.now, snapshotOf(next, same))
		}
		d.run(5 * time.Minute)
		for _, a := range d.agents {
			if a.view.Have.Model == luthier.Name && !sameAssignment(a.view.Have, assignmentOf(&next)) {
				t.Fatalf("%d engines: %s still runs %+v", engines, a.view.Endpoint, a.view.Have)
			}
		}
		if d.minServed[luthier.Name] < luthier.MinReplicasPerFailureDomain || d.minServed[mostrador.Name] < mostrador.MinReplicasPerFailureDomain {
			t.Fatalf("%d engines: fewest serving %v", engines, d.minServed)
		}
	}
}

// TestLastReplicaReloadsWhileAnotherDomainServes checks that a failure domain
// without an engine to spare reloads only while another one serves the model,
// and after those with lower names.
func TestLastReplicaReloadsWhileAnotherDomainServes(t *testing.T) {
	one := luthier
	one.MinReplicasPerFailureDomain = 1
	d := newDomain(t, 1, 1, snapshotOf(one))
	d.run(time.Minute)
	next := one
	next.Version = "2"
	d.candidates[0].m.SetSnapshot(d.now, snapshotOf(next))
	d.resetServed()
	d.run(2 * time.Minute)
	if d.minServed[one.Name] != 1 {
		t.Fatal("the only engine that serves the model was reloaded")
	}
	other := &agent{view: EndpointView{Endpoint: "elsewhere", FailureDomain: "beja", Kind: wire.KindEngine, Connected: true, Have: assignmentOf(&one)}}
	d.agents = append(d.agents, other)
	d.run(2 * time.Minute)
	if d.agents[0].view.Have.Version != "1" {
		t.Fatal("reloaded before a failure domain with a lower name")
	}
	other.view.Have.Version = "2"
	d.run(2 * time.Minute)
	if d.agents[0].view.Have.Version != "2" {
		t.Fatal("not reloaded after the other failure domain")
	}
}

func TestMassRestartFillsModelsInUseFirst(t *testing.T) {
	unused := declaration.Model{Name: "a-unused", Version: "1", MinReplicasPerFailureDomain: 3, Weight: 1}
	d := newDomain(t, 8, 2, snapshotOf(unused, luthier, mostrador))
	d.demand = []ModelDemand{{Model: luthier.Name, TokensPerSecond: 4000}, {Model: mostrador.Name, TokensPerSecond: 1000}}
	d.run(2 * time.Minute)
	for _, a := range d.agents {
		a.restart()
	}
	d.maxLoads = 0
	for served := d.served(); served[luthier.Name] < luthier.MinReplicasPerFailureDomain || served[mostrador.Name] < mostrador.MinReplicasPerFailureDomain; served = d.served() {
		if served[unused.Name] > 0 {
			t.Fatalf("a model without demand was loaded before those in use: %v", served)
		}
		d.step()
		if d.now > 5*time.Minute {
			t.Fatalf("minimums not served 5 minutes after the start: %v", d.served())
		}
	}
	if d.maxLoads > 2 {
		t.Fatalf("%d loads at a time, 2 slots", d.maxLoads)
	}
}

// TestReloadsWaitForFills starts a rollout while a model lacks an engine.
func TestReloadsWaitForFills(t *testing.T) {
	d := newFilledDomain(t, 6)
	next, same := luthier, mostrador
	next.Version = "2"
	for _, a := range d.agents {
		if a.view.Have.Model == mostrador.Name {
			a.restart()
		}
	}
	d.run(200 * time.Millisecond) // the lease holder sees the restart
	for _, h := range d.candidates {
		h.m.SetSnapshot(d.now, snapshotOf(next, same))
	}
	for end := d.now + time.Minute; d.served()[mostrador.Name] == 0; d.step() {
		for _, a := range d.agents {
			if a.view.Loading && a.view.Have.Model == luthier.Name {
				t.Fatalf("%s reloads while no engine serves %s", a.view.Endpoint, mostrador.Name)
			}
		}
		if d.now > end {
			t.Fatalf("no engine serves %s after a minute", mostrador.Name)
		}
	}
}

func TestNewHolderLetsOldOrdersAge(t *testing.T) {
	d := newDomain(t, 2, 1, snapshotOf(mostrador))
	h := d.candidates[0]
	for !h.m.HoldsLease(d.now) {
		d.step()
	}
	held := d.now
	for h.orders == 0 {
		d.step()
	}
	if wait := d.now - held; wait < DefaultOrderMaxAge || wait > DefaultOrderMaxAge+DefaultPlanInterval {
		t.Fatalf("first order %s after the lease was acquired, want %s or up to %s more", wait, DefaultOrderMaxAge, DefaultPlanInterval)
	}
}

// TestPausedHolder pauses the lease holder until its lease has expired. It
// gives no order after the pause, and agents refuse an order that it made
// before.
func TestPausedHolder(t *testing.T) {
	d := newFilledDomain(t, 4)
	old := d.holder()
	late := wire.Order{ID: 99, Fence: old.m.lease.Fence(), TargetIncarnation: 1, Want: wire.Assignment{Model: "stray"}}
	old.pausedUntil = d.now + time.Minute
	d.run(30 * time.Second)
	successor := d.holder()
	if successor == old || successor.m.lease.Fence() <= late.Fence {
		t.Fatal("no successor with a higher fence")
	}
	for _, a := range d.agents {
		if r, _ := a.take(d.now, late); r.Status != wire.OrderStale {
			t.Fatalf("%s took a former holder's order", a.view.Endpoint)
		}
	}
	before := old.orders
	for _, a := range d.agents[:2] {
		a.restart() // so that a lease holder would have orders to give
	}
	d.run(2 * time.Minute)
	if old.orders != before {
		t.Fatalf("%d orders after the pause", old.orders-before)
	}
	if refused := d.refused(); refused != len(d.agents) {
		t.Fatalf("%d orders refused as stale, want the %d of this test alone", refused, len(d.agents))
	}
	if got := len(d.served()); got != 2 {
		t.Fatalf("not every model is served after the pause: %v", d.served())
	}
}

func TestUndeclaredAssignmentIsReplaced(t *testing.T) {
	d := newFilledDomain(t, 4)
	want := d.served()
	d.agents[1].view.Have = wire.Assignment{Model: "stray", Version: "9"}
	d.run(time.Minute)
	if diff := cmp.Diff(want, d.served()); diff != "" {
		t.Fatalf("engines per model (-want +got):\n%s", diff)
	}
}

func TestStoreDownNobodyHoldsAndAssignmentsStay(t *testing.T) {
	d := newFilledDomain(t, 4)
	want := d.served()
	d.storeDown = true
	d.run(20 * time.Second)
	orders := d.totalOrders()
	d.agents[0].restart()
	d.run(time.Hour)
	for _, h := range d.candidates {
		if h.m.HoldsLease(d.now) {
			t.Fatal("an entry holds the lease without a store")
		}
	}
	if d.totalOrders() != orders {
		t.Fatalf("%d orders without a holder", d.totalOrders()-orders)
	}
	want[luthier.Name] = 0
	want[mostrador.Name] = 0
	for _, a := range d.agents[1:] {
		want[a.view.Have.Model]++
	}
	if diff := cmp.Diff(want, d.served()); diff != "" {
		t.Fatalf("engines per model (-want +got):\n%s", diff)
	}
	d.storeDown = false
	d.run(time.Minute)
	if n := d.served()[luthier.Name] + d.served()[mostrador.Name]; n != 4 {
		t.Fatalf("%d engines serve after the outage", n)
	}
}

func TestModelsByNeedNamesTheNeediestFirst(t *testing.T) {
	d := newFilledDomain(t, 4)
	d.agents[0].view.Connected = false
	for _, a := range d.agents {
		if a.view.Have.Model == mostrador.Name {
			a.view.Connected = false
		}
	}
	d.run(time.Second)
	for _, h := range d.candidates {
		if got := h.m.ModelsByNeed(); len(got) != 2 || got[0] != mostrador.Name {
			t.Fatalf("models by need: %v, want 2 models, %s first; served: %v", got, mostrador.Name, d.served())
		}
	}
}

func TestFailedLoadIsRetriedElsewhereFirst(t *testing.T) {
	d := newDomain(t, 2, 1, snapshotOf(mostrador))
	d.run(3 * time.Second)
	h := d.candidates[0]
	for d.agents[0].loads == 0 {
		d.step()
	}
	a := d.agents[0]
	a.view.Loading = false
	h.m.OrderResult(d.now, a.view.Endpoint, wire.OrderResult{ID: a.order.ID, Fence: a.order.Fence, Status: wire.OrderFailed})
	d.run(2 * time.Second)
	if a.loads != 1 || d.agents[1].loads != 1 {
		t.Fatalf("loads: %d at the engine that failed, %d at the other", a.loads, d.agents[1].loads)
	}
	d.run(minRetryDelay)
	if a.loads != 2 {
		t.Fatal("the failed load was not retried")
	}
}

// TestPlacementUnderFaults pauses entries, disconnects and restarts agents, and
// takes the store down and up. At most one entry holds the lease at a time,
// loads stay within the slots, and every engine serves again once the faults
// end.
func TestPlacementUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		d := newFilledDomain(t, 5)
		d.maxLoads = 0
		for end := d.now + 3*time.Minute; d.now < end; d.step() {
			h, a := d.candidates[r.IntN(2)], d.agents[r.IntN(len(d.agents))]
			switch r.IntN(1500) { // every 20 ms: each fault every 30 s on average, a reconnection every 15 s
			case 0:
				h.pausedUntil = d.now + time.Duration(r.IntN(15))*time.Second
			case 1:
				a.restart()
			case 2:
				a.view.Connected = false
			case 3, 4:
				a.view.Connected = true
			case 5:
				d.storeDown = !d.storeDown
			}
		}
		// A holder that lost the lease may leave loads to its successor, which
		// counts them.
		if d.maxLoads > 2 {
			t.Fatalf("%d loads at a time, 2 slots", d.maxLoads)
		}
		d.storeDown = false
		for _, a := range d.agents {
			a.view.Connected = true
		}
		d.run(3 * time.Minute)
		if n := d.served()[luthier.Name] + d.served()[mostrador.Name]; n != len(d.agents) {
			t.Fatalf("%d of %d engines serve after the faults: %v", n, len(d.agents), d.served())
		}
	})
}
