package gateway

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/route"
)

const (
	// minSilenceTimeout and maxSilenceTimeout bound how long an engine is silent until its
	// request may be moved to another one. A sound engine may be silent for a second or so.
	minSilenceTimeout = 1200 * time.Millisecond
	maxSilenceTimeout = 2500 * time.Millisecond
	// maxReservedSilence is the longest silence while other engines hold memory for the
	// attempt: memory has to be free four seconds after its request has ended, which may be
	// the moment at which the silent engine was lost.
	maxReservedSilence = 3600 * time.Millisecond
	// silenceRecheck is the time between two decisions on an attempt that stays silent.
	silenceRecheck = 200 * time.Millisecond
)

// An endpoint that is silent may be lost or may go on in the next moment. Silence alone
// therefore ends no answer: an attempt is given up only for another one that is certain to be
// allowed, and otherwise goes on until the deadline or until its caller leaves.

// Stalled reports that no whole event of a stream has come for a time, at least the
// GapTimeout of the dispatch. It is repeated as long as none comes.
type Stalled struct {
	ID      RequestID
	Attempt int
	Silence time.Duration // since the last event
}

// silenceTimeout returns how long the endpoint may take to begin its answer, or 0 for no
// limit. Only a request that may be retried is cancelled before its deadline.
func (c *Core) silenceTimeout(r *request, p placement) time.Duration {
	if !r.in.Route.Idempotent() || r.sends+1 >= r.in.Route.MaxAttempts {
		return 0
	}
	if r.in.Route.Kind == route.KindStream {
		timeout := minSilenceTimeout + 2*p.untilFirst
		if p.reserved != nil {
			timeout = min(timeout, max(maxReservedSilence, minSilenceTimeout+p.untilFirst))
		}
		return timeout
	}
	return min(2*r.in.Route.Objective, (r.in.Deadline-c.now)/2)
}

// gapTimeout returns how long a stream may pause between two events until the shell reports
// that it has stalled, or 0 if it can't be resumed: half of the time for which its caller
// waits for the next event.
func (r *request) gapTimeout() time.Duration {
	if !r.in.Route.Resumable {
		return 0
	}
	callerWaits := max(2*time.Second, 4*r.in.Route.Objective, 8*r.in.Route.GapObjective)
	return min(max(callerWaits/2, minSilenceTimeout), maxSilenceTimeout)
}

// checkSilence handles an attempt whose endpoint has not begun to answer in time.
func (c *Core) checkSilence(id RequestID) {
	r := c.requests.Get(id)
	if r == nil || r.phase != phaseRunning || r.work.phase == workDecoding {
		return
	}
	if !c.giveUpSilent(r, c.now-r.work.dispatchedAt) {
		c.timers.Set(timerKey{kind: timerSilence, request: id}, c.now+silenceRecheck)
	}
}

// stalled handles a stream that has paused for long.
func (c *Core) stalled(in *Stalled) {
	if r := c.running(in.ID, in.Attempt); r != nil {
		c.giveUpSilent(r, in.Silence)
	}
}

// giveUpSilent cancels a silent attempt if another endpoint can take r over, and reports
// whether the attempt is cancelled.
func (c *Core) giveUpSilent(r *request, silence time.Duration) bool {
	if r.cancelled {
		return true
	}
	blocksMemory := r.work.reserved != nil && silence >= maxReservedSilence
	if !blocksMemory && !c.takeReplacement(r) {
		return false
	}
	r.cancelled = true
	c.emit(Output{Cancel: &Cancel{ID: r.in.ID, Attempt: r.attempt}})
	return true
}

// takeReplacement reports whether r may be sent to another endpoint than the current one and
// there is one that accepts requests. It takes the retry from the budget, so that r is certain
// to get it when the current attempt has ended.
func (c *Core) takeReplacement(r *request) bool {
	if !r.in.Route.Idempotent() || r.trial || !c.hasAlternative(r) {
		return false
	}
	if !r.sent {
		return r.unsentAttempts < maxUnreachable
	}
	if r.sends >= r.in.Route.MaxAttempts {
		return false
	}
	r.retryTaken = r.retryTaken || c.takeRetry(r)
	return r.retryTaken
}

// hasAlternative reports whether an endpoint other than the current one accepts requests, is
// not ejected, and may get r.
func (c *Core) hasAlternative(r *request) bool {
	for _, e := range c.service(r.in.Service).endpoints {
		if e != r.work.answering() && e.accepts(c.now) && !e.health.ejected(c.now) && !r.avoids(e.registration.ID) {
			return true
		}
	}
	return false
}
