// Package retrybudget bounds how often one gateway sends requests again, so that
// the sum over the fleet stays within a ratio of all requests plus a constant,
// without messages between the gateways: each uses the ratio of its own requests
// and an equal part of the constant.
package retrybudget

import "time"

// buckets divides the window; a window that slides by a bucket covers at least
// the true sliding window.
const buckets = 10

// Config is the fleet's budget.
type Config struct {
	Ratio  float64       // repeats for each request
	Slack  float64       // repeats for the whole fleet in a window, besides
	Window time.Duration // over which both are counted
}

// margin is the part of the fleet's budget that is used. The rest covers a
// gateway that lost its counts in a restart within the window.
const usableRatio = 0.6

// Budget counts requests and repeats of one service at one gateway. The zero
// value is not usable; it is not safe for concurrent use.
type Budget struct {
	cfg      Config
	requests [buckets + 1]int
	retries  [buckets + 1]int
	bucket   int64 // number of the newest bucket
}

// New returns a budget with nothing counted.
func New(cfg Config) *Budget { return &Budget{cfg: cfg} }

func (b *Budget) advance(now time.Duration) {
	n := int64(now / (b.cfg.Window / buckets))
	for steps := 0; b.bucket < n && steps <= buckets; steps++ {
		b.bucket++
		b.requests[b.bucket%(buckets+1)] = 0
		b.retries[b.bucket%(buckets+1)] = 0
	}
	b.bucket = max(b.bucket, n)
}

// CountRequest counts a caller's request.
func (b *Budget) CountRequest(now time.Duration) {
	b.advance(now)
	b.requests[b.bucket%(buckets+1)]++
}

// TakeRetry counts a repeat and reports true if the budget allows it. Gateways is the
// number of gateways that share the constant part; at least one is assumed.
func (b *Budget) TakeRetry(now time.Duration, gateways int) bool {
	b.advance(now)
	requests, repeats := 0, 0
	for i := range b.requests {
		requests += b.requests[i]
		repeats += b.retries[i]
	}
	allowed := usableRatio * (b.cfg.Ratio*float64(requests) + b.cfg.Slack/float64(max(gateways, 1)))
	if float64(repeats+1) > allowed {
		return false
	}
	b.retries[b.bucket%(buckets+1)]++
	return true
}
