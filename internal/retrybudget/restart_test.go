package retrybudget

import (
	"testing"
	"time"
)

// allowedIn returns the retries that are allowed in the window that ends at a time: the requests
// count of that window, the one before it or the one half a window before it, whichever has most.
func allowedIn(cfg Config, requests []time.Duration, end time.Duration) float64 {
	most := 0
	for _, back := range []time.Duration{0, cfg.Window / 2, cfg.Window} {
		most = max(most, within(requests, end-back-cfg.Window, end-back))
	}
	return cfg.FleetRetriesPerWindow + cfg.Ratio*float64(most)
}

// spend lets gateways with steady requests retry whenever they may from a time on, all restart at
// once right after that, and again at equal intervals of the next window. It returns the requests and
// the retries of all.
func spend(cfg Config, gateways, restarts int, from time.Duration) (requests, retries []time.Duration) {
	const interval = 20 * time.Millisecond
	budgets := make([]process, gateways)
	for i := range budgets {
		budgets[i].restart(cfg, 0)
	}
	restartAt := from + interval
	for now := time.Duration(0); now < from+cfg.Window; now += interval {
		restart := restarts > 0 && now >= restartAt
		if restart {
			restartAt += cfg.Window / time.Duration(restarts)
		}
		for i := range budgets {
			b := &budgets[i]
			if restart {
				b.restart(cfg, now)
			}
			b.CountRequest(now - b.start)
			requests = append(requests, now)
			for now >= from && b.TakeRetry(now-b.start, gateways) {
				retries = append(retries, now)
			}
		}
	}
	return requests, retries
}

// TestSpentBudgetBeforeARestartIsNotExceeded guards against retries beyond the budget of the fleet if
// all gateways have spent theirs when they lose their counts.
func TestSpentBudgetBeforeARestartIsNotExceeded(t *testing.T) {
	for _, constant := range []float64{0, 106} {
		cfg := Config{Ratio: 0.2, FleetRetriesPerWindow: constant, Window: 10 * time.Second}
		for _, gateways := range []int{1, 5} {
			for restarts := range 5 {
				for part := range 10 { // of a bucket
					from := 25*time.Second + time.Duration(part)*cfg.Window/buckets/10
					requests, retries := spend(cfg, gateways, restarts, from)
					for _, end := range retries {
						if got, allowed := within(retries, end-cfg.Window, end), allowedIn(cfg, requests, end); float64(got) > allowed {
							t.Errorf("%d gateways that spend from %v and restart %d times: %d retries in the window that ends at %v, allowed %.1f",
								gateways, from, restarts, got, end, allowed)
							break
						}
					}
				}
			}
		}
	}
}
