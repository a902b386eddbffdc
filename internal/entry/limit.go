package entry

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/limits"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	// maxLimitWait bounds how long a request waits for its account's first
	// grant, or after a burst of the account until its rate limits admit more.
	maxLimitWait = 500 * time.Millisecond
	// limitPollInterval is the interval at which waiting requests are tried again.
	limitPollInterval = 20 * time.Millisecond
)

// chargeLimits charges a request to its account's limits. It reports wait if
// the request should be tried again later, see mayWait.
func (f *fleet) chargeLimits(r *request) (wait bool, refused failure) {
	if f.c.cfg.disabled(mechanismLimits) {
		return false, failure{}
	}
	d := f.limits.Admit(f.c.now, r.in.Account, r.chargedTokens())
	if d.OK {
		r.limitsCharged = true
		return false, failure{}
	}
	if f.mayWait(r, d) {
		return true, failure{}
	}
	code := CodeRateLimited
	if d.Code == limits.Concurrency {
		code = CodeConcurrency
	}
	return false, failure{code: code, detail: limitDetails[d.Code], retryAfter: d.RetryAfter}
}

// mayWait reports whether a request that its limits don't admit now may wait:
// up to maxLimitWait for the first grant, or if a rate limit admits it by then.
func (f *fleet) mayWait(r *request, d limits.Decision) bool {
	waited := f.c.now - r.arrivedAt
	if d.Pending {
		return waited < maxLimitWait
	}
	return d.Code != limits.Concurrency && waited+d.RetryAfter <= maxLimitWait
}

var limitDetails = map[limits.Code]string{
	limits.RequestRate: "requests a second",
	limits.TokenRate:   "tokens a second",
	limits.Concurrency: "requests at once",
}

// chargedTokens returns the tokens that a request is charged until it ends.
func (r *request) chargedTokens() int64 { return r.promptTokens + r.maxOutput }

// awaitLimits queues a request to be tried against its limits again.
func (f *fleet) awaitLimits(r *request) {
	r.phase = phaseLimit
	f.awaitingLimits = append(f.awaitingLimits, r.id)
	f.c.timers.Set(timerKey{kind: timerLimits}, f.c.now+limitPollInterval)
}

// retryAwaitingLimits tries the waiting requests against their limits again.
func (f *fleet) retryAwaitingLimits() {
	if len(f.awaitingLimits) == 0 {
		return
	}
	ids := f.awaitingLimits
	f.awaitingLimits = nil
	for _, id := range ids {
		r := f.c.requests.Get(id)
		if r == nil || r.phase != phaseLimit {
			continue
		}
		f.c.admitWithinLimits(r)
	}
}

// settleLimits ends a request's charge and corrects it to the tokens that were
// used.
func (f *fleet) settleLimits(r *request) {
	if !r.limitsCharged {
		return
	}
	f.limits.Release(f.c.now, r.in.Account, r.chargedTokens(), r.usedTokens())
}

// usedTokens returns the tokens that a request has used: the engine's count, or
// the whole charge if mayHaveRun is set. An unresolved attempt that is not known
// to have started counts as 0.
func (r *request) usedTokens() int64 {
	switch {
	case r.usage != nil && r.in.Kind == wire.KindEngine:
		return r.usage.PromptTokens + r.usage.OutputTokens
	case r.mayHaveRun:
		return r.chargedTokens()
	}
	return 0
}
