package store_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"trefoilpath.org/trefoilpath/internal/store"
)

// newThrottle returns a Throttle with a fixed jitter sequence in place of cfg.Rand.
func newThrottle(cfg store.ThrottleConfig) *store.Throttle {
	cfg.Rand = rand.New(rand.NewPCG(3, 4))
	return store.NewThrottle(cfg)
}

func get(id uint64, key string) store.Op { return store.Op{ID: id, Kind: store.OpGet, Key: key} }

func put(id uint64) store.Op { return store.Op{ID: id, Kind: store.OpPut, Key: "k"} }

// runThrottle ticks the throttle until end, answers each operation with status, and
// returns the number sent.
func runThrottle(g *store.Throttle, from, end time.Duration, status store.Status) (sent int) {
	for now := from; now < end; now += 10 * time.Millisecond {
		g.Tick(now)
		for _, op := range g.TakeReady() {
			sent++
			g.Result(now, store.Result{ID: op.ID, Status: status})
		}
	}
	return sent
}

func TestGateHoldsBudget(t *testing.T) {
	g := newThrottle(store.ThrottleConfig{WritesPerSecond: 10, Burst: 5, MaxWait: time.Hour})
	for i := range 200 {
		g.Submit(0, put(uint64(i+1)))
	}
	if sent := runThrottle(g, 0, 10*time.Second, store.StatusOK); sent < 100 || sent > 105 {
		t.Fatalf("%d writes in 10 s at 10 per second and a burst of 5, want 100 to 105", sent)
	}
}

// TestFleetStaysWithinStoreBudget checks the total write rate of fleets of several
// sizes against 200 per second.
func TestFleetStaysWithinStoreBudget(t *testing.T) {
	for _, processes := range []int{1, 4, 40, 400} {
		total := 0
		for i := range processes {
			g := newThrottle(store.ThrottleConfig{MaxWait: time.Hour, Rand: rand.New(rand.NewPCG(uint64(i), 1))})
			g.SetProcesses(processes)
			for i := range 1000 {
				g.Submit(0, put(uint64(i+1)))
			}
			runThrottle(g, 0, 10*time.Second, store.StatusOK)
			total += runThrottle(g, 10*time.Second, 20*time.Second, store.StatusOK)
		}
		if total > 2000+processes {
			t.Fatalf("%d processes: %d writes in 10 s, want at most %d", processes, total, 2000+processes)
		}
	}
}

func TestGateCountsWatchesInFlight(t *testing.T) {
	g := newThrottle(store.ThrottleConfig{ReadsPerSecond: 10, Burst: 1, MaxWatches: 4, MaxWait: time.Hour})
	now := time.Duration(0)
	for i := range 5 {
		g.Submit(now, store.Op{ID: uint64(i + 1), Kind: store.OpWatch, Key: string(rune('a' + i)), TTL: time.Minute})
		now += time.Second
		g.Tick(now)
	}
	if n := len(g.TakeReady()); n != 4 {
		t.Fatalf("%d watches sent, want 4", n)
	}
	if diff := cmp.Diff([]store.Result{{ID: 5, Status: store.StatusUnavailable}}, g.TakeRefused()); diff != "" {
		t.Fatal(diff)
	}
	for i := range 200 {
		g.Submit(now, get(uint64(i+100), string(rune(i+1000))))
	}
	if sent := runThrottle(g, now, now+10*time.Second, store.StatusOK); sent < 59 || sent > 62 {
		t.Fatalf("%d reads in 10 s at 10 per second with 4 watches in flight, want 59 to 62", sent)
	}
}

func TestGateCoalescesQueuedReadsOnly(t *testing.T) {
	g := newThrottle(store.ThrottleConfig{ReadsPerSecond: 1, Burst: 1})
	g.Submit(0, get(1, "k")) // sent at once
	g.Submit(0, get(2, "k")) // must not take the answer of 1, which may be older
	g.Submit(0, get(3, "k"))
	if diff := cmp.Diff([]store.Op{get(1, "k")}, g.TakeReady()); diff != "" {
		t.Fatal(diff)
	}
	ok := store.Result{ID: 1, Status: store.StatusOK, Version: 7}
	if diff := cmp.Diff([]store.Result{ok}, g.Result(0, ok)); diff != "" {
		t.Fatal(diff)
	}
	g.Tick(time.Second)
	if diff := cmp.Diff([]store.Op{get(2, "k")}, g.TakeReady()); diff != "" {
		t.Fatal(diff)
	}
	want := []store.Result{{ID: 2, Status: store.StatusOK, Version: 8}, {ID: 3, Status: store.StatusOK, Version: 8}}
	if diff := cmp.Diff(want, g.Result(time.Second, want[0])); diff != "" {
		t.Fatal(diff)
	}
}

func TestGateRefusesOpsThatWaitTooLong(t *testing.T) {
	g := newThrottle(store.ThrottleConfig{WritesPerSecond: 0.01, Burst: 1, MaxWait: time.Second, MaxWaiting: 2})
	for i := range 4 {
		g.Submit(0, put(uint64(i+1)))
	}
	if n := len(g.TakeRefused()); n != 1 {
		t.Fatalf("%d refused by the full queue, want 1", n)
	}
	if next := g.Next(); next != time.Second {
		t.Fatalf("Next is %s, want 1s", next)
	}
	g.Tick(time.Second)
	if n := len(g.TakeRefused()); n != 2 {
		t.Fatalf("%d refused for waiting, want 2", n)
	}
}

func TestGateSendsRenewalsFirst(t *testing.T) {
	g := newThrottle(store.ThrottleConfig{WritesPerSecond: 1, Burst: 1})
	g.Submit(0, put(1))
	g.Submit(0, put(2))
	g.Submit(0, store.Op{ID: 3, Kind: store.OpRenew, Lease: 9})
	g.TakeReady()
	g.Tick(time.Second)
	if ready := g.TakeReady(); len(ready) != 1 || ready[0].ID != 3 {
		t.Fatalf("sent %v, want only the renewal", ready)
	}
}

func TestGateOpensBreakerAndRampsUp(t *testing.T) {
	cfg := store.ThrottleConfig{ReadsPerSecond: 100, Burst: 10, FailureThreshold: 3, MaxBackoff: 4 * time.Second, Ramp: 10 * time.Second}
	g := newThrottle(cfg)
	id := uint64(0)
	offer := func(from, end time.Duration, status store.Status) (sent int) {
		for now := from; now < end; now += 5 * time.Millisecond {
			id++
			g.Submit(now, get(id, string(rune(id))))
			g.Tick(now)
			for _, op := range g.TakeReady() {
				sent++
				g.Result(now, store.Result{ID: op.ID, Status: status})
			}
		}
		return sent
	}
	outage := time.Minute
	sent := offer(0, outage, store.StatusUnavailable)
	// Three failures, then probes after waits of at least 0.1, 0.2, ... 2, 2, ... s.
	if sent < 12 || sent > 3+35 {
		t.Fatalf("%d calls sent during an outage of a minute, want 12 to 38", sent)
	}
	if !g.Open(outage) {
		t.Fatal("breaker closed during the outage")
	}
	back := outage + 6*time.Second
	offer(outage, back, store.StatusOK)
	if g.Open(back) {
		t.Fatal("breaker still open after the longest backoff")
	}
	early := offer(back, back+time.Second, store.StatusOK)
	late := offer(back+20*time.Second, back+21*time.Second, store.StatusOK)
	if early >= late {
		t.Fatalf("%d calls in the first second after the outage, want fewer than the %d in a second 20 s later", early, late)
	}
}

func TestGateRefusesQueuedOpsWhenBreakerOpens(t *testing.T) {
	g := newThrottle(store.ThrottleConfig{ReadsPerSecond: 1, Burst: 1, FailureThreshold: 1})
	g.Submit(0, get(1, "a"))
	g.Submit(0, get(2, "b"))
	g.Result(0, store.Result{ID: 1, Status: store.StatusUnavailable})
	g.Submit(0, get(3, "c"))
	want := []store.Result{{ID: 2, Status: store.StatusUnavailable}, {ID: 3, Status: store.StatusUnavailable}}
	if diff := cmp.Diff(want, g.TakeRefused()); diff != "" {
		t.Fatal(diff)
	}
}

// TestGatesProbeAtDifferentTimes checks that processes whose breakers opened at
// the same time don't probe the store at the same time.
func TestGatesProbeAtDifferentTimes(t *testing.T) {
	const gates = 50
	probes := make(map[time.Duration]int)
	for i := range gates {
		g := store.NewThrottle(store.ThrottleConfig{FailureThreshold: 1, Rand: rand.New(rand.NewPCG(uint64(i), 1))})
		g.Submit(0, get(1, "k"))
		g.Result(0, store.Result{ID: g.TakeReady()[0].ID, Status: store.StatusUnavailable})
		now := time.Duration(0)
		for g.Open(now) {
			now += 10 * time.Millisecond
		}
		probes[now]++
	}
	for at, n := range probes {
		if n > gates/4 {
			t.Fatalf("%d of %d gates probe at %s, want at most %d", n, gates, at, gates/4)
		}
	}
}

func BenchmarkThrottle(b *testing.B) {
	g := newThrottle(store.ThrottleConfig{ReadsPerSecond: 1e9, Burst: 1e9})
	id := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		g.Submit(time.Duration(id), get(id, "k"))
		for _, op := range g.TakeReady() {
			g.Result(time.Duration(id), store.Result{ID: op.ID, Status: store.StatusOK})
		}
	}
}
