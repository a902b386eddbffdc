package spread

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/simnet"
)

// changeEvery is the mean time between changes at 16,000 changes a day.
const changeEvery = 24 * time.Hour / 16_000

// benchChanges is the number of measured changes.
const benchChanges = 60

// BenchmarkConvergence reports, in virtual time, how long a change of one client
// account takes from acceptance to being in force at each entry, and what the
// entries send and the store is asked meanwhile, at 16,000 changes a day.
func BenchmarkConvergence(b *testing.B) {
	for _, size := range []struct{ nodes, domains, accounts int }{{3, 3, 10}, {30, 3, 1_000}, {300, 11, 1_000}, {430, 11, 8_100}} {
		for _, link := range []struct {
			name string
			link simnet.Link
		}{
			{"near", simnet.Link{Delay: linkDelay, Jitter: linkDelay}},
			{"far-lossy", simnet.Link{Delay: 60 * time.Millisecond, Jitter: 40 * time.Millisecond, Lose: 0.02}},
		} {
			for _, dies := range []bool{false, true} {
				b.Run(fmt.Sprintf("nodes=%d/%s/store-dies=%v", size.nodes, link.name, dies), func(b *testing.B) {
					for b.Loop() {
						w := newWorld(b, 1, size.nodes, size.domains, size.accounts)
						w.eachLink(everyone, everyone, func(l *simnet.Link) { *l = link.link })
						measureConvergence(b, w, dies)
					}
				})
			}
		}
	}
}

func measureConvergence(b *testing.B, w *world, storeDies bool) {
	w.accept()
	w.run(2 * time.Minute)
	w.requireConverged()
	start, bytes, reads, applyReads := w.clock.Now(), w.bytes, w.store.Counts().Reads, w.operatorReads
	for _, n := range w.nodes {
		n.sent = 0
	}
	var waits []time.Duration
	for range benchChanges {
		accepted := w.clock.Now()
		revision := w.accept()
		w.storeDown = storeDies
		w.run(changeEvery * 3 / 4)
		w.storeDown = false
		w.run(time.Duration(float64(changeEvery) * w.rnd.Float64() / 2))
		if storeDies {
			w.run(2 * maxBackoff) // the watchers return to the store
		}
		for end := accepted + convergeBound; len(w.lagging()) > 0 && w.clock.Now() < end; {
			w.run(100 * time.Millisecond)
		}
		w.requireConverged()
		for _, n := range w.nodes {
			waits = append(waits, n.reachedAt[revision]-accepted)
		}
	}
	slices.Sort(waits)
	at := func(q float64) float64 {
		return float64(waits[int(q*float64(len(waits)-1))].Microseconds()) / 1_000
	}
	seconds := (w.clock.Now() - start).Seconds()
	b.ReportMetric(at(0.5), "p50-ms")
	b.ReportMetric(at(0.99), "p99-ms")
	b.ReportMetric(at(1), "worst-ms")
	b.ReportMetric(float64(w.bytes-bytes)/seconds/float64(len(w.nodes)), "sent-bytes/s/node")
	b.ReportMetric(float64(w.mostSent())/seconds, "most-sent-bytes/s")
	applyReads = w.operatorReads - applyReads
	b.ReportMetric(float64(w.store.Counts().Reads-reads-applyReads)/seconds, "entries-store-reads/s")
	b.ReportMetric(float64(applyReads)/benchChanges, "apply-store-reads/change")
}

// mostSent returns the bytes that the busiest entry has sent.
func (w *world) mostSent() int {
	most := 0
	for _, n := range w.nodes {
		most = max(most, n.sent)
	}
	return most
}
