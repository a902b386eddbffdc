package endpointlimit

import (
	"math"
	"testing"
	"time"
)

// TestTwoKeepersStayWithinTheBoundOfAColdEndpoint lets two keepers give out all permits that they
// may, beside the shares of both sides, and counts what arrives in a second at the most.
func TestTwoKeepersStayWithinTheBoundOfAColdEndpoint(t *testing.T) {
	for _, c := range []struct {
		rate, ratio, slack float64
		want               float64 // requests a second
	}{
		{rate: 28, ratio: 1.5, slack: 5, want: 14.23},
		{rate: 100, ratio: 1.5, slack: 5, want: 45},
		{rate: 10, ratio: 1, slack: 0, want: 2.5},
		{rate: 6, ratio: 1.5, slack: 5, want: 4.17},
		{rate: 2, ratio: 1.5, slack: 5, want: 1.67},
		{rate: 4, ratio: 1, slack: 0, want: 0.83},
		{rate: 1, ratio: 1, slack: 0, want: minColdRate},
		{rate: 0.1, ratio: 1, slack: 0, want: 0.1},
	} {
		limit := ColdLimit(c.rate, c.ratio, c.slack)
		if math.Abs(limit.Rate-c.want) > 0.01 {
			t.Errorf("%+v: %.2f requests a second", c, limit.Rate)
		}
		bound := c.rate*c.ratio + c.slack
		if n := mostArrivals(limit); bound >= 4 && float64(n) > bound {
			t.Errorf("%+v: %d requests arrived in a second, at most %.1f are allowed", c, n, bound)
		}
	}
}

// mostArrivals returns the most requests in a second of two sides of a fleet, each of which uses its
// shares and the permits of its keeper, which are hoarded as long as they last and then used at once.
func mostArrivals(limit Limit) int {
	hoard := limit.Lifetime + coldTransit
	n := coldKeepers * limit.Shares
	for range coldKeepers {
		k := NewKeeper(0, limit.Rate)
		from := 10 * time.Second // with the permits of a burst
		for now := from; now < from+coldWindow+hoard; now += time.Millisecond {
			k.Demand(now, Demand{Gateway: 1, Count: 100})
			for _, g := range k.Grant(now) {
				n += g.Count
			}
		}
	}
	return n
}

func TestLowerKeepsBothLimits(t *testing.T) {
	named, cold := NamedLimit(2), ColdLimit(28, 1.5, 5)
	if l := cold.Lower(named); l != (Limit{Rate: 2, Lifetime: coldPermitLifetime}) {
		t.Errorf("%+v, want the rate of the one and the lifetime of the other", l)
	}
	if l := (Limit{}).Lower(cold); l != cold {
		t.Errorf("%+v, want %+v", l, cold)
	}
	if l := named.Lower(Limit{}); l != named {
		t.Errorf("%+v, want %+v", l, named)
	}
}
