package agent

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/standin/enginemodel"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	classRunTime     = 10 * time.Minute
	classRunSeeds    = 8   // runs, with seeds from 1
	shortRate        = 3.0 // requests per second
	longInterval     = 15 * time.Second
	longPromptTokens = 150_000
)

// classWorkload sends short prompts at random times and long ones at a fixed
// interval to a core with one simulated engine, and records the times to
// first token.
type classWorkload struct {
	core    *Core
	model   *enginemodel.Model
	rng     *rand.Rand
	now     time.Duration
	seq     uint64
	offered map[engine.SequenceID]time.Duration // time of Dispatch
	long    map[engine.SequenceID]bool
	ttft    [2][]float64 // seconds, of short and of long prompts
	refused int
}

func runClasses(b *testing.B, cfg Config, longs bool, seed uint64) *classWorkload {
	cfg.Endpoint, cfg.Kind, cfg.Incarnation = "luthier-01", wire.KindEngine, 1
	core, err := New(cfg)
	if err != nil {
		b.Fatal(err)
	}
	have := wire.Assignment{Model: fakeModelName, Role: wire.RoleServe}
	w := &classWorkload{
		core:    core,
		model:   enginemodel.New(enginemodel.Config{Name: "e", Have: have, Seed: 1}),
		rng:     rand.New(rand.NewPCG(seed, 1)),
		offered: map[engine.SequenceID]time.Duration{},
		long:    map[engine.SequenceID]bool{},
	}
	w.tick([]Input{{EntryUp: &EntryUp{Entry: "entry-1"}}, {EngineUp: &EngineUp{State: w.model.State(0)}}})
	nextShort, nextLong := time.Duration(0), longInterval
	for w.now < classRunTime {
		w.now = min(nextShort, nextLong, w.model.Next(), max(w.core.Next(), w.now))
		if w.now >= nextShort {
			w.offer(1000+w.rng.Int64N(7000), 50+w.rng.Int64N(200))
			nextShort += time.Duration(w.rng.ExpFloat64() / shortRate * float64(time.Second))
		}
		if w.now >= nextLong {
			nextLong += longInterval
			if longs {
				w.offer(longPromptTokens, 200)
			}
		}
		w.advance()
	}
	return w
}

func (w *classWorkload) offer(prompt, output int64) {
	w.seq++
	d := dispatch("entry-1", w.seq, testAccount(int(w.seq%10)), prompt, output)
	d.StartBy, d.TimeLeft = time.Minute, 5*time.Minute
	id := engine.SequenceID(d.Attempt.String())
	w.offered[id] = w.now
	w.long[id] = prompt == longPromptTokens
	w.tick([]Input{{FromEntry: &FromEntry{Entry: "entry-1", Msg: wire.ToAgent{Dispatch: &d}}}})
}

func (w *classWorkload) advance() {
	w.model.Tick(w.now)
	var in []Input
	for _, ev := range slices.Clone(w.model.TakeEvents()) {
		if ev.First != nil {
			kind := 0
			if w.long[ev.First.ID] {
				kind = 1
			}
			w.ttft[kind] = append(w.ttft[kind], (w.now - w.offered[ev.First.ID]).Seconds())
		}
		in = append(in, Input{Engine: &ev})
	}
	if len(in) > 0 || w.core.Next() <= w.now {
		w.tick(in)
	}
}

func (w *classWorkload) tick(in []Input) {
	for _, o := range w.core.Tick(w.now, in) {
		if o.Engine != nil {
			w.model.Do(w.now, o.Engine.Command)
		}
		if o.ToEntry != nil && o.ToEntry.Msg.Refused != nil {
			w.refused++
		}
	}
}

// runSeeds runs the workload with each seed and merges the samples.
func runSeeds(b *testing.B, cfg Config, longs bool) *classWorkload {
	sum := runClasses(b, cfg, longs, 1)
	for seed := uint64(2); seed <= classRunSeeds; seed++ {
		w := runClasses(b, cfg, longs, seed)
		sum.refused += w.refused
		for kind := range w.ttft {
			sum.ttft[kind] = append(sum.ttft[kind], w.ttft[kind]...)
		}
	}
	return sum
}

func percentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(p*float64(len(values)-1))]
}

// BenchmarkShortBesideLong compares the time to first token of short prompts
// with and without long prompts on the same engine, under each queue policy.
func BenchmarkShortBesideLong(b *testing.B) {
	cases := []struct {
		name string
		cfg  Config
	}{
		{"fair", Config{}},
		{"fair-first-token", Config{Weights: Weights{FirstToken: 3, ShortSlowdown: 1}}},
		{"fair-short-slowdown", Config{Weights: Weights{FirstToken: 1, ShortSlowdown: 3}}},
		{"fair-without-long-bound", Config{disabledMechanisms: mechanismLongBound}},
		{"fair-window-250ms", Config{PrefillWindow: 250 * time.Millisecond}},
		{"fair-window-1s", Config{PrefillWindow: time.Second}},
		{"fifo", Config{Queue: QueueFIFO}},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			var alone, mixed *classWorkload
			for b.Loop() {
				alone, mixed = runSeeds(b, c.cfg, false), runSeeds(b, c.cfg, true)
			}
			b.ReportMetric(percentile(mixed.ttft[0], 0.5), "short-p50-s")
			b.ReportMetric(percentile(mixed.ttft[0], 0.95), "short-p95-s")
			b.ReportMetric(percentile(mixed.ttft[0], 0.95)/percentile(alone.ttft[0], 0.95), "short-p95/alone")
			b.ReportMetric(percentile(mixed.ttft[1], 0.95), "long-p95-s")
			b.ReportMetric(float64(mixed.refused), "refused")
		})
	}
}
