package agent

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// serviceRun starts the waiting prompts of several backlogged client
// accounts, a few at a time, and tracks the service that each account has
// received.
type serviceRun struct {
	core           *Core
	now            time.Duration
	weights        []float64
	service        []float64 // tokens of service over weight, by account
	largestRequest []float64 // tokens over weight, by account
	waiting        []int     // requests not started, by account
	maxGap         float64   // largest difference in service between two backlogged accounts
	bound          float64   // largest sum of two accounts' largest requests
}

const (
	requestsPerAccount = 200
	serviceRunSeed     = 7
)

func testAccount(i int) wire.AccountID { return wire.AccountID(fmt.Sprintf("account-%d", i)) }

func newServiceRun(tb testing.TB, cfg Config, weights []float64) *serviceRun {
	cfg.Endpoint, cfg.Kind, cfg.Incarnation = "luthier-01", wire.KindEngine, 1
	cfg.PrefillWindow = time.Nanosecond // rounds to 0 tokens, so that fallbackWindowTokens applies
	core, err := New(cfg)
	if err != nil {
		tb.Fatal(err)
	}
	r := &serviceRun{
		core:           core,
		weights:        weights,
		service:        make([]float64, len(weights)),
		largestRequest: make([]float64, len(weights)),
		waiting:        make([]int, len(weights)),
	}
	state := engine.State{Capacity: 1 << 40, Have: wire.Assignment{Model: fakeModelName}}
	in := []Input{{EntryUp: &EntryUp{Entry: "entry-1"}}, {EngineUp: &EngineUp{State: state}}}
	rng := rand.New(rand.NewPCG(serviceRunSeed, uint64(len(weights))))
	var seq uint64
	for i, w := range weights {
		for range requestsPerAccount {
			seq++
			d := dispatch("entry-1", seq, testAccount(i), 500+rng.Int64N(10_000), 100)
			d.Weight = w
			d.StartBy, d.TimeLeft = time.Hour, time.Hour
			in = append(in, Input{FromEntry: &FromEntry{Entry: "entry-1", Msg: wire.ToAgent{Dispatch: &d}}})
			r.largestRequest[i] = max(r.largestRequest[i], float64(d.PromptTokens+d.MaxOutput)/w)
			r.waiting[i]++
		}
	}
	r.setBound()
	r.runToEnd(core.Tick(0, in))
	return r
}

func (r *serviceRun) setBound() {
	for i := range r.largestRequest {
		for j := range r.largestRequest[:i] {
			r.bound = max(r.bound, r.largestRequest[i]+r.largestRequest[j])
		}
	}
}

// runToEnd finishes each sequence that the outputs start, until nothing is
// left.
func (r *serviceRun) runToEnd(out []Output) {
	for {
		var in []Input
		for _, o := range out {
			if o.Engine == nil || o.Engine.Command.Submit == nil {
				continue
			}
			s := o.Engine.Command.Submit
			r.recordStart(r.core.attempts.Get(o.Engine.Attempt))
			in = append(in, Input{Engine: &engine.Event{Finished: &engine.Finished{ID: s.ID, PromptTokens: s.PromptTokens, Output: s.MaxOutput}}})
		}
		if len(in) == 0 {
			return
		}
		r.now += time.Millisecond
		out = r.core.Tick(r.now, in)
	}
}

// recordStart adds a started attempt to its account's service and updates
// the largest gap between accounts that are still backlogged.
func (r *serviceRun) recordStart(a *attempt) {
	var i int
	for testAccount(i) != a.dispatch.Account {
		i++
	}
	r.service[i] += float64(a.dispatch.PromptTokens+a.dispatch.MaxOutput) / r.weights[i]
	r.waiting[i]--
	for j := range r.service {
		if r.waiting[i] > 0 && r.waiting[j] > 0 {
			r.maxGap = max(r.maxGap, r.service[i]-r.service[j], r.service[j]-r.service[i])
		}
	}
}

var serviceCases = map[string][]float64{
	"equal":     {1, 1, 1, 1, 1, 1, 1, 1, 1, 1},
	"weighted":  {1, 1, 2, 4, 8},
	"one-heavy": {1, 1, 1, 1, 16},
}

// TestServiceGap checks that the service of any two backlogged accounts
// differs by at most the largest sum of two accounts' largest requests. FIFO
// must exceed the bound on the same load, which shows that the load can exceed
// it.
func TestServiceGap(t *testing.T) {
	for name, weights := range serviceCases {
		t.Run(name, func(t *testing.T) {
			r := newServiceRun(t, Config{}, weights)
			if r.maxGap > r.bound {
				t.Errorf("service gap %.0f tokens, want at most %.0f", r.maxGap, r.bound)
			}
			if baseline := newServiceRun(t, Config{Queue: QueueFIFO}, weights); baseline.maxGap <= r.bound {
				t.Errorf("service gap under FIFO is %.0f tokens, want more than %.0f", baseline.maxGap, r.bound)
			}
		})
	}
}

// BenchmarkServiceGap reports the largest service gap as a fraction of its
// bound.
func BenchmarkServiceGap(b *testing.B) {
	for name, weights := range serviceCases {
		for _, policy := range []QueuePolicy{QueueFair, QueueFIFO} {
			b.Run(fmt.Sprintf("%s/policy-%d", name, policy), func(b *testing.B) {
				var r *serviceRun
				for b.Loop() {
					r = newServiceRun(b, Config{Queue: policy}, weights)
				}
				b.ReportMetric(r.maxGap/r.bound, "gap/bound")
			})
		}
	}
}

// backloggedCore returns a core in which n long prompts of 100 accounts wait
// for one that is in prefill.
func backloggedCore(b *testing.B, n int) *Core {
	b.Helper()
	core, err := New(Config{Endpoint: "luthier-01", Kind: wire.KindEngine, Incarnation: 1, MaxQueued: n + 100})
	if err != nil {
		b.Fatal(err)
	}
	state := engine.State{Capacity: fakeCapacity, Have: wire.Assignment{Model: fakeModelName}}
	in := []Input{{EntryUp: &EntryUp{Entry: "entry-1"}}, {EngineUp: &EngineUp{State: state}}}
	for i := range n + 1 {
		d := dispatch("entry-1", uint64(i+1), testAccount(i%100), 200_000, 100)
		d.StartBy, d.TimeLeft = time.Hour, time.Hour
		in = append(in, Input{FromEntry: &FromEntry{Entry: "entry-1", Msg: wire.ToAgent{Dispatch: &d}}})
	}
	core.Tick(0, in)
	return core
}

// BenchmarkTickWithBacklog measures a tick in which one sequence makes progress while
// many attempts wait.
func BenchmarkTickWithBacklog(b *testing.B) {
	for _, n := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprintf("waiting-%d", n), func(b *testing.B) {
			core := backloggedCore(b, n)
			id := engine.SequenceID(wire.AttemptID{Entry: "entry-1", Incarnation: 1, Sequence: 1}.String())
			in := []Input{{Engine: &engine.Event{Progress: &engine.Progress{ID: id, Output: 1}}}}
			b.ReportAllocs()
			var now time.Duration
			for b.Loop() {
				now += time.Nanosecond
				core.Tick(now, in)
			}
		})
	}
}

// BenchmarkAttempt measures an attempt from Dispatch through first token to
// end while many others wait.
func BenchmarkAttempt(b *testing.B) {
	for _, n := range []int{0, 1_000, 10_000} {
		b.Run(fmt.Sprintf("waiting-%d", n), func(b *testing.B) {
			core := backloggedCore(b, n)
			b.ReportAllocs()
			seq := uint64(n + 10)
			var now time.Duration
			for b.Loop() {
				seq++
				now += time.Nanosecond
				d := dispatch("entry-1", seq, "another", 100, 10)
				d.StartBy, d.TimeLeft = time.Hour, time.Hour
				out := core.Tick(now, []Input{{FromEntry: &FromEntry{Entry: "entry-1", Msg: wire.ToAgent{Dispatch: &d}}}})
				finishStarted(b, core, now, out)
			}
		})
	}
}

// finishStarted reports the first token and the end of every sequence that
// the outputs start.
func finishStarted(b *testing.B, core *Core, now time.Duration, out []Output) {
	var in []Input
	for _, o := range out {
		if o.Engine == nil || o.Engine.Command.Submit == nil {
			continue
		}
		s := o.Engine.Command.Submit
		in = append(in,
			Input{Engine: &engine.Event{First: &engine.First{ID: s.ID, PromptTokens: s.PromptTokens}}},
			Input{Engine: &engine.Event{Finished: &engine.Finished{ID: s.ID, PromptTokens: s.PromptTokens, Output: s.MaxOutput}}})
	}
	if len(in) > 0 {
		core.Tick(now, in)
	}
}
