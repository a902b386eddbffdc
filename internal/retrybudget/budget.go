// Package retrybudget bounds the retries of one gateway, so that the retries of
// the whole fleet stay within a ratio of its requests plus a constant. Gateways
// exchange no messages for this: each may use the ratio of its own requests and
// an equal share of the constant.
package retrybudget

import "time"

// buckets is the number of parts of the window. Retries are counted over one bucket more, which
// includes at least the true sliding window, and requests over one bucket less than retries,
// which is at most that window.
const buckets = 10

// Config is the retry budget of the whole fleet.
type Config struct {
	Ratio                 float64       // retries per request
	FleetRetriesPerWindow float64       // additional retries of the whole fleet per window
	Window                time.Duration // length of the sliding window
}

// A restart loses the counts of a process. The shares leave room for the retries that earlier
// processes of a gateway have made within the same window, of which at most one had run for a
// whole window, and for four restarts within it.
const (
	// usableShare is the share of the budget that a process uses once it has run for a window.
	usableShare = 0.6
	// youngShare is the share that a process uses in its first window. It may use firstShare of
	// the constant part from its start, and gets growingShare by and by.
	youngShare   = 1 - usableShare
	firstShare   = 0.04
	growingShare = youngShare - 4*firstShare
)

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

// CountRequest counts a request received from a caller at a time since the start of the process.
func (b *Budget) CountRequest(now time.Duration) {
	b.advance(now)
	b.requests[b.bucket%(buckets+1)]++
}

// TakeRetry reports whether the budget allows a retry now, and counts it if so. The time now is
// that since the start of the process. The parameter gateways is the number of gateways that
// share the constant part; values below one are taken as one.
func (b *Budget) TakeRetry(now time.Duration, gateways int) bool {
	retries, allowed := b.Use(now, gateways)
	if float64(retries+1) > allowed {
		return false
	}
	b.retries[b.bucket%(buckets+1)]++
	return true
}

// Use returns the retries of the current window and the number that is allowed in it. The
// parameters are those of TakeRetry.
func (b *Budget) Use(now time.Duration, gateways int) (retries int, allowed float64) {
	b.advance(now)
	requests := 0
	oldest := int((b.bucket + 1) % (buckets + 1))
	for i := range b.requests {
		retries += b.retries[i]
		if i != oldest {
			requests += b.requests[i]
		}
	}
	ofRequests, ofConstant := b.shares(now)
	constant := b.cfg.FleetRetriesPerWindow / float64(max(gateways, 1))
	return retries, ofRequests*b.cfg.Ratio*float64(requests) + ofConstant*constant
}

// shares returns the shares of the two parts of the budget that may be used in the current
// window.
func (b *Budget) shares(now time.Duration) (ofRequests, ofConstant float64) {
	if now >= b.cfg.Window {
		return usableShare, usableShare
	}
	return youngShare, firstShare + growingShare*float64(now)/float64(b.cfg.Window)
}
