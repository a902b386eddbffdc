package gateway

import (
	"testing"
	"time"
)

// TestGatewayCutOffFromItsStartDoesNotUseTheWholeRetryBudget guards against gateways that each
// take the constant part of the fleet's retry budget for themselves.
func TestGatewayCutOffFromItsStartDoesNotUseTheWholeRetryBudget(t *testing.T) {
	const gateways, slack = 4, 100 // of newTestCore
	for name, heard := range map[string]int{"none heard": 0, "two heard": 2, "all heard": gateways - 1} {
		c := newTestCore(t, 0, gateways)
		for i := range heard {
			c.Tick(time.Second, Input{Peer: &PeerMessage{From: gatewayAddr(i + 1), Incarnation: 1}})
		}
		c.Tick(20 * time.Second)
		retries := 0
		for c.service(plainService).budget.TakeRetry(c.now, c.budgetGateways()) {
			retries++
		}
		if retries > slack/gateways || retries == 0 {
			t.Errorf("%s: %d retries at one of %d gateways, want at most %d and some", name, retries, gateways, slack/gateways)
		}
	}
}
