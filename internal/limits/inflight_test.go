package limits

import (
	"testing"
	"time"
)

// TestLongRequestsOfTheHomeCount lets requests at the home outlive its grant to
// itself and checks that no other entry is granted what they occupy.
func TestLongRequestsOfTheHomeCount(t *testing.T) {
	f := newFleet(t, 1, 3, oneAccount(large))
	f.run(maxListLag + time.Second)
	home := f.node(f.nodes[0].m.Home("antigua"))
	for range large.Concurrency {
		f.admit(home, "antigua", 100)
		f.run(50 * time.Millisecond)
	}
	f.run(5 * time.Second) // no new request at the home
	for _, n := range f.nodes {
		for range large.Concurrency {
			f.admit(n, "antigua", 100)
			f.run(50 * time.Millisecond)
		}
	}
	if f.excess > 0 {
		t.Fatalf("%d requests more than the limit are in flight", f.excess)
	}
}
