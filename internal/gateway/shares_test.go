package gateway

import (
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/endpointlimit"
)

// TestGatewaysGiveThemselvesNoMoreSharesThanThereAre checks that all gateways together send no more
// without permits than the shares of an endpoint allow, also while half of them hear nothing of the
// others.
func TestGatewaysGiveThemselvesNoMoreSharesThanThereAre(t *testing.T) {
	total := endpointlimit.ColdLimit(testColdRate, testColdBounds.Ratio, testColdBounds.Slack).Shares
	for _, gateways := range []int{1, 3, 33, 68} {
		s := newColdSim(t, gateways, 2, 3, testColdRate, 1)
		s.run(coldFrom)
		s.becomeCold(coldIDs("p", 1), 8*time.Second)
		s.run(coldFrom + time.Second)
		for _, cut := range []bool{false, true} {
			if cut {
				s.dropMessage = func(from, to int) bool { return (from-to)%2 != 0 }
				s.run(coldFrom + 7*time.Second) // the others count as silent by then
			}
			sum := 0
			for _, c := range s.cores {
				sum += c.sharesLeft(c.endpoints.Get("p-00"))
			}
			if sum > total || sum < total-min(gateways, total)+1 {
				t.Errorf("%d gateways, cut %v: %d shares of %d", gateways, cut, sum, total)
			}
		}
	}
}

func TestShareIsUsedOnceInItsInterval(t *testing.T) {
	c := newColdCore(t, 1)
	c.Tick(3 * time.Second)
	e := c.endpoints.Get("p-00")
	c.presumeCold(e)
	n := c.sharesLeft(e)
	for range n {
		if !c.takePermit(e) {
			t.Fatal("a share can't be used")
		}
	}
	if n == 0 || c.takePermit(e) {
		t.Fatalf("%d shares, or one more than that was used", n)
	}
	c.now += endpointlimit.ShareInterval - 1
	if c.sharesLeft(e) != 0 {
		t.Error("a share can be used again within its interval")
	}
	c.now++
	if c.sharesLeft(e) != n {
		t.Errorf("%d shares after the interval, want %d", c.sharesLeft(e), n)
	}
}

func TestGatewayThatKnowsNoOtherYetHasNoShares(t *testing.T) {
	c := newColdCore(t, 3)
	c.Tick(minSharesAge - 1)
	e := c.endpoints.Get("p-00")
	c.presumeCold(e)
	if n := c.sharesLeft(e); n != 0 {
		t.Errorf("%d shares just after the start, want none", n)
	}
}

// TestNoSharesIfAllEndpointsAreCold checks that the order of urgency decides who gets the room.
func TestNoSharesIfAllEndpointsAreCold(t *testing.T) {
	c := newColdCore(t, 1)
	c.Tick(3 * time.Second)
	for e := range c.endpoints.Values() {
		c.presumeCold(e)
	}
	if n := c.sharesLeft(c.endpoints.Get("p-00")); n != 0 {
		t.Errorf("%d shares, want none", n)
	}
}
