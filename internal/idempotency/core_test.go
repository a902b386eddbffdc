package idempotency

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"trefoilpath.org/trefoilpath/internal/standin/storemodel"
	"trefoilpath.org/trefoilpath/internal/store"
	"trefoilpath.org/trefoilpath/internal/store/storetest"
	"trefoilpath.org/trefoilpath/internal/wire"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// node is one entry with its link to the shared store.
type node struct {
	m        *Core
	link     *storetest.Link
	verdicts map[uint64][]Decision
}

func newNode(model *storemodel.Model, i int, choose func(store.Op) storetest.Outcome) *node {
	op := uint64(0)
	return &node{
		m: New(Config{
			Self:        wire.NodeID(fmt.Sprintf("entry-%d", i)),
			Incarnation: 1,
			NextOp:      func() uint64 { op++; return op },
			Rand:        rand.New(rand.NewPCG(uint64(i), 5)),
			TTL:         time.Hour,
		}),
		link:     &storetest.Link{Model: model, Delay: time.Millisecond, LateBy: 3 * time.Second, Choose: choose},
		verdicts: make(map[uint64][]Decision),
	}
}

// step handles what is due at now and returns the new decisions.
func (n *node) step(now time.Duration) []Decision {
	for _, r := range n.link.Receive(now) {
		n.m.StoreResult(now, r)
	}
	if n.m.Next() <= now {
		n.m.Tick(now)
	}
	n.link.Send(now, n.m.TakeStore())
	decisions := n.m.TakeDecisions()
	for _, d := range decisions {
		n.verdicts[d.Handle] = append(n.verdicts[d.Handle], d)
	}
	return decisions
}

// run advances the nodes to end in steps of a millisecond.
func run(from, end time.Duration, nodes ...*node) time.Duration {
	for now := from; now < end; now += time.Millisecond {
		for _, n := range nodes {
			n.step(now)
		}
	}
	return end
}

func (n *node) last(handle uint64) Verdict {
	ds := n.verdicts[handle]
	if len(ds) == 0 {
		return 0
	}
	return ds[len(ds)-1].Verdict
}

func (n *node) wantLast(t *testing.T, handle uint64, want Verdict) {
	t.Helper()
	if got := n.last(handle); got != want {
		t.Fatalf("verdict %d, want %d (all: %+v)", got, want, n.verdicts[handle])
	}
}

var testKey = Key{Account: "antigua", Service: "pedidos", Key: "reserve-17"}

const callTimeout = 10 * time.Second

func TestRepeatGetsStoredAnswerThenConflict(t *testing.T) {
	model := storemodel.New()
	a, b := newNode(model, 1, nil), newNode(model, 2, nil)
	a.m.Begin(0, 1, testKey, 7, 0, callTimeout)
	now := run(0, 100*time.Millisecond, a, b)
	a.wantLast(t, 1, Run)

	b.m.Begin(now, 1, testKey, 7, 0, callTimeout)
	now = run(now, now+300*time.Millisecond, a, b)
	b.wantLast(t, 1, Wait)

	answer := Stored{Status: 201, Headers: []wire.Header{{Name: "Location", Value: "/r/17"}}, Body: []byte("ok")}
	a.m.Finish(now, 1, wire.OutcomeCompleted, answer)
	now = run(now, now+5*time.Second, a, b)
	b.wantLast(t, 1, Replay)
	if diff := cmp.Diff(answer, b.verdicts[1][1].Stored); diff != "" {
		t.Fatal(diff)
	}

	b.m.Begin(now, 2, testKey, 8, 0, callTimeout)
	now = run(now, now+time.Second, a, b)
	b.wantLast(t, 2, Conflict)

	now = run(now+2*time.Hour, now+2*time.Hour+time.Millisecond, a, b)
	b.m.Begin(now, 3, testKey, 8, 0, callTimeout)
	run(now, now+time.Second, a, b)
	b.wantLast(t, 3, Run) // the record has expired
}

func TestLargeAnswerIsOmitted(t *testing.T) {
	model := storemodel.New()
	a := newNode(model, 1, nil)
	a.m.Begin(0, 1, testKey, 7, 0, callTimeout)
	now := run(0, 100*time.Millisecond, a)
	a.m.Finish(now, 1, wire.OutcomeCompleted, Stored{Status: 200, Body: make([]byte, MaxStoredBody+1)})
	a.m.Begin(now, 2, testKey, 7, 0, callTimeout)
	run(now, now+5*time.Second, a)
	a.wantLast(t, 2, Replay)
	if d := a.verdicts[2]; !d[len(d)-1].Stored.Omitted || a.m.Pending() != 0 {
		t.Fatalf("verdicts %+v with %d calls pending, want an omitted body and none pending", d, a.m.Pending())
	}
}

func TestRepeatOfCallWhoseOwnerIsGoneIsUnknown(t *testing.T) {
	model := storemodel.New()
	a, b := newNode(model, 1, nil), newNode(model, 2, nil)
	a.m.Begin(0, 1, testKey, 7, 0, 2*time.Second)
	now := run(0, 100*time.Millisecond, a)
	a.wantLast(t, 1, Run) // and the entry crashes
	b.m.Begin(now, 1, testKey, 7, 0, time.Minute)
	run(now, now+2*time.Second+DefaultGrace+200*time.Millisecond, b)
	b.wantLast(t, 1, Unknown)
}

func TestReleasedCallMayRunAgain(t *testing.T) {
	model := storemodel.New()
	a, b := newNode(model, 1, nil), newNode(model, 2, nil)
	a.m.Begin(0, 1, testKey, 7, 0, callTimeout)
	now := run(0, 100*time.Millisecond, a, b)
	a.m.Release(now, 1)
	b.m.Begin(now, 1, testKey, 99, 0, callTimeout) // a different body is no conflict: nothing ran
	run(now, now+time.Second, a, b)
	b.wantLast(t, 1, Run)
}

// TestLostAnswerOfEachWrite applies each fault to one operation or answer of each
// kind of write and expects the call to run once and its repeat to be replayed.
func TestLostAnswerOfEachWrite(t *testing.T) {
	for _, kind := range []store.OpKind{store.OpGrant, store.OpPut} {
		for nth := 1; nth <= 2; nth++ {
			for _, outcome := range []storetest.Outcome{storetest.Refuse, storetest.LoseRequest, storetest.LoseAnswer, storetest.ExecuteLate} {
				t.Run(fmt.Sprintf("kind=%d/nth=%d/fate=%d", kind, nth, outcome), func(t *testing.T) {
					seen := 0
					model := storemodel.New()
					a := newNode(model, 1, func(op store.Op) storetest.Outcome {
						if op.Kind == kind {
							seen++
							if seen == nth {
								return outcome
							}
						}
						return storetest.Deliver
					})
					b := newNode(model, 2, nil)
					a.m.Begin(0, 1, testKey, 7, 0, callTimeout)
					now := run(0, time.Second, a, b)
					a.wantLast(t, 1, Run)
					a.m.Finish(now, 1, wire.OutcomeCompleted, Stored{Status: 200})
					now = run(now, now+5*time.Second, a, b)
					b.m.Begin(now, 1, testKey, 7, 0, callTimeout)
					run(now, now+5*time.Second, a, b)
					b.wantLast(t, 1, Replay)
					if a.m.Pending() != 0 {
						t.Fatalf("%d calls pending, want 0 once the final record is written", a.m.Pending())
					}
				})
			}
		}
	}
}

// TestLateWriteAfterStoreDownNeverRuns lets the write of the record take effect
// after the caller was told that the call was not run.
func TestLateWriteAfterStoreDownNeverRuns(t *testing.T) {
	model := storemodel.New()
	down := false
	a := newNode(model, 1, func(op store.Op) storetest.Outcome {
		switch {
		case op.Kind == store.OpPut && !down:
			down = true
			return storetest.ExecuteLate
		case down:
			return storetest.Refuse
		}
		return storetest.Deliver
	})
	b := newNode(model, 2, nil)
	a.m.Begin(0, 1, testKey, 7, 0, time.Minute)
	now := run(0, 10*time.Second, a, b)
	a.wantLast(t, 1, NotRun)
	if r, _ := model.Do(now, store.Op{Kind: store.OpGet, Key: testKey.StoreKey()}); r.Status != store.StatusOK {
		t.Fatal("the late write did not take effect")
	}
	// The other entry's repeat does not run while the record is in doubt, and
	// runs after the first entry has withdrawn it.
	b.m.Begin(now, 1, testKey, 7, 0, time.Minute)
	now = run(now, now+5*time.Second, a, b)
	b.wantLast(t, 1, Wait)
	a.link.Choose = nil
	run(now, now+10*time.Second, a, b)
	b.wantLast(t, 1, Run)
	a.wantLast(t, 1, NotRun)
	if a.m.Pending() != 0 {
		t.Fatalf("%d calls pending, want 0 once the final record is written", a.m.Pending())
	}
}

func TestStoreDownFromTheStartIsNotRun(t *testing.T) {
	down := true
	a := newNode(storemodel.New(), 1, func(store.Op) storetest.Outcome {
		if down {
			return storetest.Refuse
		}
		return storetest.Deliver
	})
	a.m.Begin(0, 1, testKey, 7, 0, time.Minute)
	now := run(0, DefaultStoreWait+10*time.Millisecond, a)
	a.wantLast(t, 1, NotRun)
	if a.m.Pending() != 0 {
		t.Fatal("a call that never reached the store is still pending")
	}
	down = false
	a.m.Begin(now, 2, testKey, 7, 0, time.Minute)
	run(now, now+time.Second, a)
	a.wantLast(t, 2, Run)
}

func TestVerdictAfterPausePastTheDeadlineIsNotRun(t *testing.T) {
	model := storemodel.New()
	a := newNode(model, 1, nil)
	a.m.Begin(0, 1, testKey, 7, 0, callTimeout)
	run(0, 4*time.Millisecond, a) // the write is on its way
	late := callTimeout + time.Second
	run(late, late+time.Second, a)
	a.wantLast(t, 1, NotRun)
	if a.m.Pending() != 0 {
		t.Fatal("the record was not withdrawn")
	}
}

// TestAtMostOnce runs three entries that repeat calls under random store faults,
// entry crashes and releases, and requires that no key runs more than once.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkAtMostOnce(t, rapid.Uint64().Draw(t, "seed")) })
}

// dispatched is a call that runs at an agent until endsAt.
type dispatched struct {
	node   *node
	handle uint64
	key    int
	endsAt time.Duration
}

func checkAtMostOnce(t *rapid.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 9))
	faults := r.IntN(50)
	choose := func(store.Op) storetest.Outcome {
		if r.IntN(100) >= faults {
			return storetest.Deliver
		}
		return storetest.Outcome(1 + r.IntN(4)) // any but Deliver
	}
	model := storemodel.New()
	const keys = 3
	var nodes []*node
	created := 0
	addNode := func() *node { created++; return newNode(model, created, choose) }
	for range 3 {
		nodes = append(nodes, addNode())
	}
	handles := make(map[*node]map[uint64]int)
	var running []dispatched
	var ran, completed [keys]int
	next := uint64(0)
	for now := time.Duration(0); now < 40*time.Second; now += 5 * time.Millisecond {
		if r.IntN(100) == 0 {
			n := nodes[r.IntN(len(nodes))]
			next++
			if handles[n] == nil {
				handles[n] = make(map[uint64]int)
			}
			handles[n][next] = r.IntN(keys)
			n.m.Begin(now, next, Key{Key: fmt.Sprint(handles[n][next])}, 1, 0, time.Duration(1+r.IntN(8))*time.Second)
		}
		if r.IntN(1500) == 0 {
			i := r.IntN(len(nodes)) // the entry crashes; calls that it dispatched may have run
			nodes[i] = addNode()
		}
		for _, n := range nodes {
			for _, d := range n.step(now) {
				key := handles[n][d.Handle]
				switch d.Verdict {
				case Run:
					if verdicts := n.verdicts[d.Handle]; len(verdicts) > 1 && verdicts[len(verdicts)-2].Verdict != Wait {
						t.Fatalf("key %d, handle %d: verdicts %+v, want Run only first or right after Wait", key, d.Handle, verdicts)
					}
					ran[key]++
					if ran[key] > 1 {
						t.Fatalf("key %d ran twice by %s", key, now)
					}
					running = append(running, dispatched{n, d.Handle, key, now + time.Duration(r.IntN(500))*time.Millisecond})
				case Replay:
					if completed[key] == 0 {
						t.Fatalf("key %d replayed before it completed", key)
					}
				}
			}
		}
		kept := running[:0]
		for _, c := range running {
			if now < c.endsAt {
				kept = append(kept, c)
				continue
			}
			if r.IntN(3) == 0 { // the agent refused it: it has not run
				ran[c.key]--
				c.node.m.Release(now, c.handle)
				continue
			}
			completed[c.key]++
			c.node.m.Finish(now, c.handle, wire.OutcomeCompleted, Stored{Status: 200})
		}
		running = kept
	}
}

func BenchmarkCall(b *testing.B) {
	model := storemodel.New()
	n := newNode(model, 1, nil)
	n.link.Delay = 0
	now := time.Duration(0)
	handle := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		handle++
		now += time.Microsecond
		n.m.Begin(now, handle, Key{Account: "a", Service: "s", Key: fmt.Sprint(handle)}, 1, time.Hour, callTimeout)
		for n.last(handle) != Run {
			n.step(now)
		}
		n.m.Finish(now, handle, wire.OutcomeCompleted, Stored{Status: 200})
		for n.m.Pending() > 0 {
			n.step(now)
		}
		delete(n.verdicts, handle)
	}
	b.ReportMetric(float64(model.Counts().Writes)/float64(b.N), "writes/op")
	b.ReportMetric(float64(model.Counts().Reads)/float64(b.N), "reads/op")
}
