package retrybudget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// process is the budget of the current process of a gateway, with the time of its start and
// those of the processes before.
type process struct {
	*Budget
	start   time.Duration
	earlier []time.Duration
}

func (p *process) restart(cfg Config, now time.Duration) {
	p.Budget, p.start, p.earlier = New(cfg), now, append(p.earlier, p.start)
}

// mayRestart reports whether fewer than four restarts fall into the window that ends now.
func (p *process) mayRestart(cfg Config, now time.Duration) bool {
	n := len(p.earlier)
	return n < 4 || p.earlier[n-3] <= now-cfg.Window
}

// TestFleetStaysWithinTheBudget simulates gateways that retry whenever they may and restart at
// times, and checks the retries of every sliding window against the budget of the fleet.
func TestFleetStaysWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Ratio: 0.2, FleetRetriesPerWindow: float64(rapid.IntRange(0, 150).Draw(t, "slack")), Window: 10 * time.Second}
		gateways := rapid.IntRange(1, 12).Draw(t, "gateways")
		budgets := make([]process, gateways)
		for i := range budgets {
			budgets[i].restart(cfg, 0)
		}
		var requests, retries []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond
			b := &budgets[rapid.IntRange(0, gateways-1).Draw(t, "at")]
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0:
				if b.mayRestart(cfg, now) {
					b.restart(cfg, now)
				}
			case 1, 2, 3, 4:
				b.CountRequest(now - b.start)
				requests = append(requests, now)
			default:
				for b.TakeRetry(now-b.start, gateways) {
					retries = append(retries, now)
				}
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

// TestRestartedGatewaysGetNoFurtherShare guards against retries beyond the budget of the fleet
// after its gateways have been killed again and again.
func TestRestartedGatewaysGetNoFurtherShare(t *testing.T) {
	const gateways, interval = 5, 100 * time.Millisecond
	cfg := Config{Ratio: 0.2, FleetRetriesPerWindow: 106, Window: 10 * time.Second}
	for _, life := range []time.Duration{time.Second, 3 * time.Second, 9 * time.Second, 11 * time.Second} {
		budgets := make([]process, gateways)
		for i := range budgets {
			budgets[i].restart(cfg, 0)
		}
		var requests, retries []time.Duration
		for now := time.Duration(0); now < 60*time.Second; now += interval {
			for i := range budgets {
				b := &budgets[i]
				if now-b.start >= life {
					b.restart(cfg, now)
				}
				b.CountRequest(now - b.start)
				requests = append(requests, now)
				for b.TakeRetry(now-b.start, gateways) {
					retries = append(retries, now)
				}
			}
		}
		most := 0
		for _, end := range retries {
			most = max(most, within(retries, end-cfg.Window, end))
		}
		perWindow := within(requests, 20*time.Second, 20*time.Second+cfg.Window)
		if allowed := cfg.FleetRetriesPerWindow + cfg.Ratio*float64(perWindow); float64(most) > allowed {
			t.Errorf("restarts every %v: %d retries in a window of %d requests, allowed %.1f", life, most, perWindow, allowed)
		}
	}
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
	for b.TakeRetry(20*time.Second, 1) {
	}
	if b.TakeRetry(25*time.Second, 1) {
		t.Error("a spent budget allows a retry within the window")
	}
	if !b.TakeRetry(32*time.Second, 1) {
		t.Error("a spent budget allows no retry after the window")
	}
}
