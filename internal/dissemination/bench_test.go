package dissemination

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
// account takes from acceptance until it is active at each entry, and the bytes
// that entries send and reads at the store meanwhile, at 16,000 changes a day.
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
						c := newCluster(b, 1, size.nodes, size.domains, size.accounts)
						c.eachLink(allNodes, allNodes, func(l *simnet.Link) { *l = link.link })
						measureConvergence(b, c, dies)
					}
				})
			}
		}
	}
}

func measureConvergence(b *testing.B, c *cluster, storeDies bool) {
	c.accept()
	c.run(2 * time.Minute)
	c.requireConverged()
	start, bytes, reads, operatorReads := c.clock.Now(), c.bytes, c.store.Counts().Reads, c.operatorReads
	for _, n := range c.nodes {
		n.sent = 0
	}
	var waits []time.Duration
	for range benchChanges {
		accepted := c.clock.Now()
		revision := c.accept()
		c.storeDown = storeDies
		c.run(changeEvery * 3 / 4)
		c.storeDown = false
		c.run(time.Duration(float64(changeEvery) * c.rnd.Float64() / 2))
		if storeDies {
			c.run(2 * maxBackoff) // the watchers return to the store
		}
		for end := accepted + convergeBound; len(c.lagging()) > 0 && c.clock.Now() < end; {
			c.run(100 * time.Millisecond)
		}
		c.requireConverged()
		for _, n := range c.nodes {
			waits = append(waits, n.reachedAt[revision]-accepted)
		}
	}
	slices.Sort(waits)
	at := func(q float64) float64 {
		return float64(waits[int(q*float64(len(waits)-1))].Microseconds()) / 1_000
	}
	seconds := (c.clock.Now() - start).Seconds()
	b.ReportMetric(at(0.5), "p50-ms")
	b.ReportMetric(at(0.99), "p99-ms")
	b.ReportMetric(at(1), "worst-ms")
	b.ReportMetric(float64(c.bytes-bytes)/seconds/float64(len(c.nodes)), "sent-bytes/s/node")
	b.ReportMetric(float64(c.mostSent())/seconds, "most-sent-bytes/s")
	operatorReads = c.operatorReads - operatorReads
	b.ReportMetric(float64(c.store.Counts().Reads-reads-operatorReads)/seconds, "entries-store-reads/s")
	b.ReportMetric(float64(operatorReads)/benchChanges, "apply-store-reads/change")
}

// mostSent returns the bytes that the busiest entry has sent.
func (c *cluster) mostSent() int {
	most := 0
	for _, n := range c.nodes {
		most = max(most, n.sent)
	}
	return most
}
