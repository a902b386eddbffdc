package limits

import (
	"testing"
	"time"
)

// TestLongRequestsOfTheHomeCount lets requests at the home outlast its grant to
// itself and checks that other entries are not granted the concurrency that
// they occupy.
func TestLongRequestsOfTheHomeCount(t *testing.T) {
	f := newFleet(t, 1, 3, oneAccount(largeLimits))
	f.run(maxListLag + time.Second)
	home := f.node(f.nodes[0].m.Home("antigua"))
	for range largeLimits.Concurrency {
		f.admit(home, "antigua", 100)
		f.run(50 * time.Millisecond)
	}
	f.run(5 * time.Second) // no new request at the home
	for _, n := range f.nodes {
		for range largeLimits.Concurrency {
			f.admit(n, "antigua", 100)
			f.run(50 * time.Millisecond)
		}
	}
	if f.maxExcess > 0 {
		t.Fatalf("%d requests more than the limit are in flight", f.maxExcess)
	}
}

// TestInFlightStaysWithinTheLimit offers more than the limits allow at all
// entries, by requests that last longer than grants. No entry fails.
func TestInFlightStaysWithinTheLimit(t *testing.T) {
	for seed := range uint64(30) {
		f := newFleet(t, seed, 2+int(seed%3), manyAccounts)
		ids := accountIDs(manyAccounts)
		var ends []requestEnd
		for f.now < 40*time.Second {
			ends = f.finish(ends)
			n, id := f.nodes[f.r.IntN(len(f.nodes))], ids[f.r.IntN(len(ids))]
			if f.now%(2*time.Second) < time.Second && f.admit(n, id, 100).OK {
				ends = append(ends, requestEnd{f.now + time.Duration(f.r.IntN(6000))*time.Millisecond, n, n.incarnation, id})
			}
			f.step()
		}
		if f.maxExcess > 0 {
			t.Fatalf("seed %d: %d requests more than the limit are in flight", seed, f.maxExcess)
		}
	}
}
