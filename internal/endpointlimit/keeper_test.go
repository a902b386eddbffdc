package endpointlimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestPermitsStayWithinTheLimit draws demands of several gateways and checks each span of time.
func TestPermitsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.2, 50).Draw(t, "limit")
		k := NewKeeper(0, limit)
		var given []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond
			k.Demand(now, Demand{Gateway: rapid.Uint64Range(0, 8).Draw(t, "gateway"), Count: rapid.IntRange(0, 20).Draw(t, "count"), Due: now})
			for _, g := range k.Grant(now) {
				for range g.Count {
					given = append(given, now)
				}
			}
		}
		for i, from := range given {
			for j, until := range given[i:] {
				if allowed := limit*(until-from).Seconds() + max(1, limit/10); float64(j+1) > allowed+1e-6 {
					t.Fatalf("%d permits in %v, a limit of %g allows %.2f", j+1, until-from, limit, allowed)
				}
			}
		}
	})
}

func TestUrgentDemandIsServedFirst(t *testing.T) {
	k := NewKeeper(0, 2)
	k.Demand(450*time.Millisecond, Demand{Gateway: 1, Count: 2, Due: 3 * time.Second})
	k.Demand(450*time.Millisecond, Demand{Gateway: 2, Count: 1, Due: time.Second})
	if g := k.Grant(450 * time.Millisecond); len(g) != 0 {
		t.Fatalf("granted %v after 0.45 s at 2 a second, want none", g)
	}
	if next := k.Next(); next != 500*time.Millisecond {
		t.Errorf("next permit at %v, want 500ms", next)
	}
	for gateway, want := range map[uint64]time.Duration{1: 550 * time.Millisecond, 2: 50 * time.Millisecond, 3: 1550 * time.Millisecond} {
		if got := k.Wait(gateway); got != want {
			t.Errorf("gateway %d waits %v, want %v", gateway, got, want)
		}
	}
	if g := k.Grant(500 * time.Millisecond); len(g) != 1 || g[0] != (Grant{2, 1}) {
		t.Errorf("granted %v, want one permit for gateway 2", g)
	}
}

func TestDemandThatIsNotRepeatedLapses(t *testing.T) {
	k := NewKeeper(0, 1)
	k.Demand(0, Demand{Gateway: 1, Count: 3})
	if g := k.Grant(time.Second); len(g) != 0 {
		t.Errorf("granted %v a second after the demand, want none", g)
	}
	k.Demand(time.Second, Demand{Gateway: 2, Count: 1})
	if g := k.Grant(time.Second); len(g) != 1 || g[0] != (Grant{2, 1}) {
		t.Errorf("granted %v, want the unused permit for gateway 2", g)
	}
}
