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
// loses, duplicates and delays messages under a changing load.
func TestLimitsHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		stress(newFleet(t, seed, 2+int(seed%4), manyAccounts), 40*time.Second)
	})
}

var manyAccounts = map[wire.AccountID]declaration.Limits{
	"antigua": largeLimits,
	"xela":    {RequestsPerSecond: 5, TokensPerSecond: 500, BurstSeconds: 1, Concurrency: 2},
	"capital": {RequestsPerSecond: 50, TokensPerSecond: 5000, BurstSeconds: 3, Concurrency: 7},
}

type requestEnd struct {
	at          time.Duration
	node        *node
	incarnation wire.Incarnation
	id          wire.AccountID
}

func stress(f *fleet, d time.Duration) {
	r := f.r
	f.loss = r.IntN(20)
	f.jitter = 1 + r.IntN(40)
	ids := accountIDs(manyAccounts)
	var ends []requestEnd
	for end := f.now + d; f.now < end; f.step() {
		f.fault(r)
		ends = f.finish(ends)
		for range 3 {
			n, id := f.nodes[r.IntN(len(f.nodes))], ids[r.IntN(len(ids))]
			if n.up && f.now >= n.pausedUntil && f.admit(n, id, 100).OK {
				ends = append(ends, requestEnd{f.now + time.Duration(r.IntN(400))*time.Millisecond, n, n.incarnation, id})
			}
		}
	}
}

func (f *fleet) finish(ends []requestEnd) []requestEnd {
	kept := ends[:0]
	for _, e := range ends {
		switch {
		case e.incarnation != e.node.incarnation || !e.node.up:
		case f.now < e.at || f.now < e.node.pausedUntil:
			kept = append(kept, e)
		default:
			f.release(e.node, e.id)
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
		if n.up { // a restart during which the entry stays on the list
			f.start(n)
		}
	case 4:
		n.pausedUntil = f.now + time.Duration(r.IntN(6000))*time.Millisecond
	case 5:
		f.partition(n, f.nodes[r.IntN(len(f.nodes))], true)
	case 6:
		f.cut[[2]wire.NodeID{n.id, f.nodes[r.IntN(len(f.nodes))].id}] = true
	case 7, 8:
		clear(f.cut)
	}
}
