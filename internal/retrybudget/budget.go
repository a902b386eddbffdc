// Package retrybudget bounds the retries of one gateway, so that the retries of
// the whole fleet stay within a ratio of its requests plus a constant. Gateways
// exchange no messages for this: each may use the ratio of its own requests and
// an equal share of the constant.
package retrybudget

import "time"

// buckets is the number of parts of the window. The counts cover one bucket more,
// so that they include at least the true sliding window.
const buckets = 10

// Config is the retry budget of the whole fleet.
type Config struct {
	Ratio                 float64       // retries per request
	FleetRetriesPerWindow float64       // additional retries of the whole fleet per window
	Window                time.Duration // length of the sliding window
}

// usableRatio is the share of the budget that gateways use. The rest covers
// retries of a gateway that lost its counts in a restart within the window.
const usableRatio = 0.6

// Budget counts requests and retries of one service at one gateway. Create it
// with New. It is not safe for concurrent use.
type Budget struct {
	cfg      Config
	requests [buckets + 1]int
	retries  [buckets + 1]int
	bucket   int64 // number of the newest bucket since time 0
}

// New returns a budget without any counts.
func New(cfg Config) *Budget { return &Budget{cfg: cfg} }

// advance clears the buckets that begin between the last call and now.
func (b *Budget) advance(now time.Duration) {
	n := int64(now / (b.cfg.Window / buckets))
	for steps := 0; b.bucket < n && steps <= buckets; steps++ {
		b.bucket++
		b.requests[b.bucket%(buckets+1)] = 0
		b.retries[b.bucket%(buckets+1)] = 0
	}
	b.bucket = max(b.bucket, n)
}

// CountRequest counts a request received from a caller.
func (b *Budget) CountRequest(now time.Duration) {
	b.advance(now)
	b.requests[b.bucket%(buckets+1)]++
}

// TakeRetry reports whether the budget allows a retry now, and counts it if so.
// The parameter gateways is the number of gateways that share the constant part;
// values below one are taken as one.
func (b *Budget) TakeRetry(now time.Duration, gateways int) bool {
	retries, allowed := b.Use(now, gateways)
	if float64(retries+1) > allowed {
		return false
	}
	b.retries[b.bucket%(buckets+1)]++
	return true
}

// Use returns the retries of the current window and the number that is allowed in it. The
// parameter gateways is that of TakeRetry.
func (b *Budget) Use(now time.Duration, gateways int) (retries int, allowed float64) {
	b.advance(now)
	requests := 0
	for i := range b.requests {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	return retries, usableRatio * (b.cfg.Ratio*float64(requests) + b.cfg.FleetRetriesPerWindow/float64(max(gateways, 1)))
}
