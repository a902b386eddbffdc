package limits

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// TestLimitsHoldUnderFaults kills, restarts, pauses and partitions entries and
// loses, doubles and delays messages while the load moves about.
func TestLimitsHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		stress(newFleet(t, seed, 2+int(seed%4), manyAccounts), 40*time.Second)
	})
}

var manyAccounts = map[wire.AccountID]declaration.Limits{
	"antigua": large,
	"xela":    {RequestsPerSecond: 5, TokensPerSecond: 500, BurstSeconds: 1, Concurrency: 2},
	"capital": {RequestsPerSecond: 50, TokensPerSecond: 5000, BurstSeconds: 3, Concurrency: 7},
}

type ending struct {
	at   time.Duration
	n    *node
	life wire.Incarnation
	id   wire.AccountID
}

func stress(f *fleet, d time.Duration) {
	r := f.r
	f.loss = r.IntN(20)
	f.jitter = 1 + r.IntN(40)
	ids := accountIDs(manyAccounts)
	var ends []ending
	for end := f.now + d; f.now < end; f.step() {
		f.fault(r)
		ends = f.finish(ends)
		for range 3 {
			n, id := f.nodes[r.IntN(len(f.nodes))], ids[r.IntN(len(ids))]
			if n.up && f.now >= n.paused && f.admit(n, id, 100).OK {
				ends = append(ends, ending{f.now + time.Duration(r.IntN(400))*time.Millisecond, n, n.incarnation, id})
			}
		}
	}
}

func (f *fleet) finish(ends []ending) []ending {
	kept := ends[:0]
	for _, e := range ends {
		switch {
		case e.life != e.n.incarnation || !e.n.up:
		case f.now < e.at || f.now < e.n.paused:
			kept = append(kept, e)
		default:
			f.settle(e.n, e.id)
		}
	}
	return kept
}

func (f *fleet) fault(r *rand.Rand) {
	n := f.nodes[r.IntN(len(f.nodes))]
	switch r.IntN(1600) {
	case 0:
		n.up = false
		f.list()
	case 1, 2:
		if !n.up {
			f.start(n)
			f.list()
		}
	case 3:
		if n.up { // restarted before the list shows it
			f.start(n)
		}
	case 4:
		n.paused = f.now + time.Duration(r.IntN(6000))*time.Millisecond
	case 5:
		f.partition(n, f.nodes[r.IntN(len(f.nodes))], true)
	case 6:
		f.cut[[2]wire.NodeID{n.id, f.nodes[r.IntN(len(f.nodes))].id}] = true
	case 7, 8:
		clear(f.cut)
	}
}
