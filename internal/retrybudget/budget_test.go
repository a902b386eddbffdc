package retrybudget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestFleetStaysWithinTheBudget simulates gateways that retry whenever they may
// and checks the retries of every sliding window against the budget of the fleet.
func TestFleetStaysWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Ratio: 0.2, FleetRetriesPerWindow: float64(rapid.IntRange(0, 150).Draw(t, "slack")), Window: 10 * time.Second}
		gateways := rapid.IntRange(1, 12).Draw(t, "gateways")
		var budgets []*Budget
		for range gateways {
			budgets = append(budgets, New(cfg))
		}
		var requests, retries []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond
			b := budgets[rapid.IntRange(0, gateways-1).Draw(t, "at")]
			if rapid.Bool().Draw(t, "request") {
				b.CountRequest(now)
				requests = append(requests, now)
				continue
			}
			for b.TakeRetry(now, gateways) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			// Retries early in the window were allowed by requests of the window before it.
			allowed := cfg.FleetRetriesPerWindow + cfg.Ratio*float64(within(requests, end-2*cfg.Window, end))
			if got := within(retries, end-cfg.Window, end); float64(got) > allowed {
				t.Fatalf("%d retries in the window that ends at %v, allowed %.1f", got, end, allowed)
			}
		}
	})
}

func within(times []time.Duration, from, to time.Duration) int {
	n := 0
	for _, at := range times {
		if at > from && at <= to {
			n++
		}
	}
	return n
}

func TestBudgetComesBack(t *testing.T) {
	b := New(Config{FleetRetriesPerWindow: 10, Window: 10 * time.Second})
	for b.TakeRetry(0, 1) {
	}
	if b.TakeRetry(5*time.Second, 1) {
		t.Error("a spent budget allows a retry within the window")
	}
	if !b.TakeRetry(12*time.Second, 1) {
		t.Error("a spent budget allows no retry after the window")
	}
}
