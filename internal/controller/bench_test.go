package controller

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/declaration"
)

// benchEngines are numbers of engines in a failure domain. The largest is that of
// the target deployment: 12,000 replicas in 11 domains (package capacity).
var benchEngines = []int{36, 363, 1090}

// elevenModels declares 11 models, the number in steady use in the deployment
// that the benchmarks model.
func elevenModels(engines int) *declaration.Snapshot {
	var models []declaration.Model
	for i := range 11 {
		models = append(models, declaration.Model{
			Name: fmt.Sprintf("model-%02d", i), Version: "1", MinReplicasPerFailureDomain: max(engines/30, 1), Weight: 1,
		})
	}
	return snapshotOf(models...)
}

// newSteadyDomain returns a domain whose engines all run what the plan asks
// for.
func newSteadyDomain(b *testing.B, engines int) (*domain, *Core) {
	d := newDomain(b, engines, 1, elevenModels(engines))
	h := d.candidates[0]
	h.m.cfg.LoadSlots = engines
	for i := range 11 {
		d.demand = append(d.demand, ModelDemand{Model: fmt.Sprintf("model-%02d", i), TokensPerSecond: 1000})
	}
	d.run(3 * loadTime)
	return d, h.m
}

func BenchmarkPlan(b *testing.B) {
	for _, engines := range benchEngines {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			d, m := newSteadyDomain(b, engines)
			b.ReportAllocs()
			for b.Loop() {
				m.place(d.now)
			}
		})
	}
}

// BenchmarkFailover reports the time from the death of the lease holder until
// another entry holds the lease, and until its first order, in virtual seconds.
func BenchmarkFailover(b *testing.B) {
	const runs = 200
	for b.Loop() {
		var held, ordered []float64
		for i := range runs {
			d := newDomain(b, 4, 2, snapshotOf(luthier, mostrador))
			// One step later in each run, so that the death of the holder falls
			// on different phases of the lease renewal.
			d.run(time.Minute + time.Duration(i)*20*time.Millisecond)
			died := d.now
			d.holder().dead = true
			next := d.candidates[0]
			if next.dead {
				next = d.candidates[1]
			}
			for !next.m.HoldsLease(d.now) {
				d.step()
			}
			held = append(held, (d.now - died).Seconds())
			for before := next.orders; next.orders == before; {
				d.step()
			}
			ordered = append(ordered, (d.now - died).Seconds())
		}
		slices.Sort(held)
		slices.Sort(ordered)
		b.ReportMetric(held[runs/2], "held-p50-s")
		b.ReportMetric(held[runs-1], "held-max-s")
		b.ReportMetric(ordered[runs/2], "order-p50-s")
		b.ReportMetric(ordered[runs-1], "order-max-s")
	}
}

func BenchmarkEndpointState(b *testing.B) {
	for _, engines := range benchEngines {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			for b.Loop() {
				d := newDomain(b, engines, 1, elevenModels(engines))
				views := d.views()
				before := heap()
				d.candidates[0].m.SetEndpoints(0, views)
				b.ReportMetric(float64(heap()-before)/float64(engines), "B/endpoint")
				runtime.KeepAlive(d)
				runtime.KeepAlive(views)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	runtime.GC() // the first run may leave memory of the last cycle unswept
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
