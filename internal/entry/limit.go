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

// chargeLimits takes a request into its account's limits. It reports wait if the
// account's home has yet to answer.
func (f *fleet) chargeLimits(r *request) (wait bool, refused failure) {
	if f.c.cfg.disabled(mechanismLimits) {
		return false, failure{}
	}
	d := f.limits.Admit(f.c.now, r.in.Account, r.reservedTokens())
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

// mayWait reports whether a refused request is worth keeping for a moment: until
// the first grant, or until a burst has drained.
func (f *fleet) mayWait(r *request, d limits.Decision) bool {
	waited := f.c.now - r.admitted
	if d.Pending {
		return waited < grantWait
	}
	return d.Code != limits.Concurrency && waited+d.RetryAfter <= grantWait
}

var limitDetails = map[limits.Code]string{
	limits.Rate:        "requests a second",
	limits.Tokens:      "tokens a second",
	limits.Concurrency: "requests at once",
}

// reservedTokens returns the tokens that a request counts until it ends.
func (r *request) reservedTokens() int64 { return r.promptTokens + r.maxOutput }

// awaitGrant has a request looked at again when a grant may have come.
func (f *fleet) awaitGrant(r *request) {
	r.phase = phaseLimit
	f.awaitingGrant = append(f.awaitingGrant, r.id)
	f.c.timers.Set(timerKey{kind: timerGrant}, f.c.now+grantPoll)
}

// retryAwaitingGrant looks at the requests that wait for a first grant.
func (f *fleet) retryAwaitingGrant() {
	if len(f.awaitingGrant) == 0 {
		return
	}
	ids := f.awaitingGrant
	f.awaitingGrant = nil
	for _, id := range ids {
		r := f.c.requests.Get(id)
		if r == nil || r.phase != phaseLimit {
			continue
		}
		f.c.admitWithinLimits(r)
	}
}

// settleLimits gives back what takeLimit took, corrected by what was used.
func (f *fleet) settleLimits(r *request) {
	if !r.limitsCharged {
		return
	}
	f.limits.Settle(f.c.now, r.in.Account, r.reservedTokens(), r.usedTokens())
}

// usedTokens returns the tokens of service that a request has had.
func (r *request) usedTokens() int64 {
	switch {
	case r.usage != nil && r.in.Kind == wire.KindEngine:
		return r.usage.PromptTokens + r.usage.OutputTokens
	case r.mayHaveRun:
		return r.reservedTokens()
	}
	return 0
}
