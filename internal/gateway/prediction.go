package gateway

import (
	"slices"
	"time"
)

const (
	// errorSamples and errorRetention bound the errors of predictions that a margin is
	// computed from: the latest ones, as the load changes within seconds.
	errorSamples   = 32
	errorRetention = 5 * time.Second
	// errorQuantile is the share of predictions that held with the margin.
	errorQuantile = 0.8
	// maxMarginRatio bounds the margin, relative to the route's objective.
	maxMarginRatio = 1.0 / 3
)

// predictionErrors holds the errors of this gateway's latest predictions of first events
// at engines with other work. Most come from prompts that other gateways send to the
// same engine at the same moment.
type predictionErrors struct {
	errors [errorSamples]time.Duration // measured minus predicted
	at     [errorSamples]time.Duration
	next   int
	margin time.Duration
}

// record adds an error and computes the margin anew.
func (p *predictionErrors) record(now, err time.Duration) {
	p.errors[p.next], p.at[p.next] = err, now
	p.next = (p.next + 1) % errorSamples
	var recent [errorSamples]time.Duration
	n := 0
	for i, at := range p.at {
		if at > 0 && now-at <= errorRetention {
			recent[n] = p.errors[i]
			n++
		}
	}
	slices.Sort(recent[:n])
	p.margin = max(recent[min(int(errorQuantile*float64(n)), n-1)], 0)
}

// firstEventMargin returns the time by which the first event of r may come later than
// predicted at an engine with other work.
func (c *Core) firstEventMargin(r *request) time.Duration {
	if c.without(mechanismMargin) {
		return 0
	}
	return min(c.predictions.margin, time.Duration(maxMarginRatio*float64(r.in.Route.Objective)))
}

// recordPredictionError compares the first event of r with its prediction.
func (c *Core) recordPredictionError(r *request, e *endpoint) {
	if e.engine == nil {
		return
	}
	err := c.now - r.predictedFirstAt
	c.emit(Output{Measured: &FirstEventError{Error: err}})
	if r.sharesPass {
		c.predictions.record(c.now, err)
	}
}
