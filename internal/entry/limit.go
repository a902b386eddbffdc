package entry

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/limits"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	// grantWait bounds how long a request waits for its account's first grant, or
	// for a burst of the account to drain.
	grantWait = 500 * time.Millisecond
	// grantPoll is the pause between two looks.
	grantPoll = 20 * time.Millisecond
)

// takeLimit takes a request into its account's limits. It reports wait if the
// account's home has yet to answer.
func (f *fleet) takeLimit(r *request) (wait bool, refused failure) {
	if f.c.cfg.lacks(withoutLimits) {
		return false, failure{}
	}
	d := f.limits.Admit(f.c.now, r.in.Account, r.cost())
	if d.OK {
		r.limited = true
		return false, failure{}
	}
	if f.mayWait(r, d) {
		return true, failure{}
	}
	code := CodeRateLimited
	if d.Code == limits.Concurrency {
		code = CodeConcurrency
	}
	return false, failure{code: code, detail: limitNames[d.Code], retryAfter: d.RetryAfter}
}

// mayWait reports whether a refused request is worth keeping for a moment: until
// the first grant, or until a burst has drained.
func (f *fleet) mayWait(r *request, d limits.Decision) bool {
	waited := f.c.now - r.admitted
	if d.Pending {
		return waited < grantWait
	}
	return d.Code != limits.Concurrency && waited+d.RetryAfter <= grantWait
}

var limitNames = map[limits.Code]string{
	limits.Rate:        "requests a second",
	limits.Tokens:      "tokens a second",
	limits.Concurrency: "requests at once",
}

// cost returns the tokens that a request counts until it ends.
func (r *request) cost() int64 { return r.prompt + r.output }

// awaitGrant has a request looked at again when a grant may have come.
func (f *fleet) awaitGrant(r *request) {
	r.phase = phaseLimit
	f.pending = append(f.pending, r.id)
	f.c.timers.Set(timerKey{kind: timerGrant}, f.c.now+grantPoll)
}

// retryPending looks at the requests that wait for a first grant.
func (f *fleet) retryPending() {
	if len(f.pending) == 0 {
		return
	}
	ids := f.pending
	f.pending = nil
	for _, id := range ids {
		r := f.c.requests.Get(id)
		if r == nil || r.phase != phaseLimit {
			continue
		}
		f.c.admitLimited(r)
	}
}

// settleLimit gives back what takeLimit took, corrected by what was used.
func (f *fleet) settleLimit(r *request) {
	if !r.limited {
		return
	}
	f.limits.Settle(f.c.now, r.in.Account, r.cost(), r.used())
}

// used returns the tokens of service that a request has had.
func (r *request) used() int64 {
	switch {
	case r.finished != nil && r.in.Kind == wire.KindEngine:
		return r.finished.PromptTokens + r.finished.OutputTokens
	case r.ran:
		return r.cost()
	}
	return 0
}
