package gateway

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/route"
)

const (
	// minSilenceTimeout and maxSilenceTimeout bound how long a stream is silent between two
	// events until another engine is tried. Before the first event, minSilenceTimeout is added
	// to twice the predicted time. A sound engine may be silent for a second or so.
	minSilenceTimeout = 1200 * time.Millisecond
	maxSilenceTimeout = 2500 * time.Millisecond
	// maxReservedSilence is the longest silence while other engines hold memory for the
	// attempt: memory has to be free four seconds after its request has ended, which may be
	// the moment at which the silent engine was lost.
	maxReservedSilence = 3600 * time.Millisecond
	// maxReservedFirst is the latest predicted first event, from the dispatch, of a prompt for which
	// other engines hold memory, unless it has all engines that may share it: after it, the
	// attempt may be late for minSilenceTimeout without being cancelled. minReservedMargin is the
	// least time for that.
	maxReservedFirst  = maxReservedSilence - minSilenceTimeout
	minReservedMargin = 300 * time.Millisecond
	// silenceRecheck is the time between two decisions on an attempt that stays silent.
	silenceRecheck = 200 * time.Millisecond
	// replacePause is how long a silent attempt is not replaced again after another endpoint
	// could not take its place.
	replacePause = time.Second
	// lateCheck is how late a check may run. One that is later shows that this process stood
	// still; answers may then have arrived that have not been read yet.
	lateCheck = 100 * time.Millisecond
)

// An endpoint that is silent may be lost or may go on in the next moment. Silence alone
// therefore ends no attempt: it is kept on standby while another one is made, and whichever
// answers first goes on. If no other attempt is allowed, possible or successful, the request
// stays with the silent one until its deadline or until its caller leaves.

// standby is a silent attempt that is kept until another one has begun to answer.
type standby struct {
	work    *workItem
	attempt int
}

// Stalled reports that no whole event of a stream has come for a time, at least the
// GapTimeout of the dispatch. It is repeated as long as none comes.
type Stalled struct {
	ID      RequestID
	Attempt int
	Silence time.Duration // since the last event
}

// Resumed reports that events of an attempt come again after a Stalled.
type Resumed struct {
	ID      RequestID
	Attempt int
}

// silenceTimeout returns how long the endpoint may take to begin its answer until another one
// is tried, or until the memory reserved for it is let go; 0 if neither is to be done.
func (c *Core) silenceTimeout(r *request, p placement) time.Duration {
	replaceable := r.in.Route.Idempotent() && r.sends+1 < r.in.Route.MaxAttempts
	switch {
	case !replaceable && p.reserved != nil:
		return reservedSilence(p.untilFirst)
	case !replaceable:
		return 0
	case r.in.Route.Kind == route.KindStream:
		timeout := minSilenceTimeout + 2*p.untilFirst
		if p.reserved != nil {
			timeout = min(timeout, reservedSilence(p.untilFirst))
		}
		return timeout
	}
	return min(2*r.in.Route.Objective, (r.in.Deadline-c.now)/2)
}

// reservedSilence returns the longest silence before a predicted first event while other engines
// hold memory for the attempt. It exceeds maxReservedSilence only for prompts that all engines
// together prefill too slowly.
func reservedSilence(untilFirst time.Duration) time.Duration {
	if untilFirst+minReservedMargin <= maxReservedSilence {
		return maxReservedSilence
	}
	return untilFirst + minSilenceTimeout
}

// gapTimeout returns how long a stream may pause between two events until the shell reports
// that it has stalled, or 0 if it can't be resumed: half of the time for which its caller
// waits for the next event, bounded, but not within the gap objective.
func (r *request) gapTimeout() time.Duration {
	if !r.in.Route.Resumable {
		return 0
	}
	return max(min(max(callerPatience(r.in.Route)/2, minSilenceTimeout), maxSilenceTimeout), r.in.Route.GapObjective)
}

// checkSilenceAfter schedules checkSilence.
func (c *Core) checkSilenceAfter(r *request, d time.Duration) {
	r.silenceDue = c.now + d
	c.timers.Set(timerKey{kind: timerSilence, request: r.in.ID}, r.silenceDue)
}

// checkSilence handles an attempt whose endpoint has not begun to answer in time.
func (c *Core) checkSilence(id RequestID) {
	r := c.requests.Get(id)
	if r == nil || r.phase != phaseRunning || r.work.phase == workDecoding {
		return
	}
	if c.now-r.silenceDue > lateCheck {
		c.checkSilenceAfter(r, lateCheck)
		return
	}
	c.replaceSilent(r, c.now-r.work.dispatchedAt)
	if r.phase == phaseRunning && !r.cancelled {
		c.checkSilenceAfter(r, silenceRecheck)
	}
}

// stalled handles a stream that has paused for long.
func (c *Core) stalled(in *Stalled) {
	if r := c.running(in.ID, in.Attempt); r != nil {
		c.replaceSilent(r, in.Silence)
	}
}

// releaseStandby cancels the silent attempt of a request, whose reserved memory must be freed.
func (c *Core) releaseStandby(id RequestID) {
	if r := c.requests.Get(id); r != nil && r.standby != nil {
		c.emit(Output{Cancel: &Cancel{ID: id, Attempt: r.standby.attempt}})
	}
}

// blocksMemory reports whether a silent attempt must release the memory that other engines
// hold for it.
func (w *workItem) blocksMemory(silence time.Duration) bool {
	return w.reserved != nil && silence >= maxReservedSilence
}

// replaceSilent lets another endpoint try a request whose attempt is silent, if one may. An
// attempt of which nothing was sent is cancelled for it, as is one that blocks memory.
func (c *Core) replaceSilent(r *request, silence time.Duration) {
	if r.cancelled || c.without(mechanismSilence) {
		return
	}
	replaceable := r.standby == nil && c.now >= r.replaceAfter && c.takeReplacement(r)
	switch {
	case replaceable && r.sent && !r.work.blocksMemory(silence):
		c.putOnStandby(r, silence)
	case replaceable || r.work.blocksMemory(silence):
		r.cancelled = true
		c.emit(Output{Cancel: &Cancel{ID: r.in.ID, Attempt: r.attempt}})
	}
}

// takeReplacement reports whether r may be sent to another endpoint than the current one and
// there is one that accepts requests. It takes the retry from the budget, so that r is certain
// to get it.
func (c *Core) takeReplacement(r *request) bool {
	if !r.in.Route.Idempotent() || r.trial || !c.hasAlternative(r) {
		return false
	}
	if !r.sent {
		return r.unsentAttempts < maxUnreachable
	}
	if r.sends-r.provenNotRun >= r.in.Route.MaxAttempts || r.sends >= r.in.Route.MaxAttempts+maxRefusals {
		return false
	}
	r.retryTaken = r.retryTaken || c.takeRetry(r)
	return r.retryTaken
}

// hasAlternative reports whether an endpoint other than the current one accepts requests, is
// not ejected, and may get r.
func (c *Core) hasAlternative(r *request) bool {
	for _, e := range c.service(r.in.Service).endpoints {
		if e != r.work.answering() && e.accepts(c.now) && !e.health.ejected(c.now) && c.permitted(e) && r.mayGoTo(e) {
			return true
		}
	}
	return false
}

// putOnStandby keeps r's silent attempt and lets r wait for another endpoint.
func (c *Core) putOnStandby(r *request, silence time.Duration) {
	id := r.work.answering().registration.ID
	c.logRequest("attempt-silent", r, Event{Endpoint: string(id), Took: silence})
	c.endpointSilent(r.work)
	c.timers.Stop(timerKey{kind: timerSilence, request: r.in.ID})
	r.standby = &standby{work: r.work, attempt: r.attempt}
	r.partlyDelivered = r.partlyDelivered || r.work.phase == workDecoding
	if r.work.reserved != nil {
		c.timers.Set(timerKey{kind: timerStandby, request: r.in.ID}, c.now+maxReservedSilence-silence)
	}
	r.work = nil
	r.avoidEndpoint(id)
	c.enqueue(r)
}

// endpointSilent ejects the endpoint of a silent attempt for a while, unless that would take
// half of the service out of use, and queries its engines more often.
func (c *Core) endpointSilent(w *workItem) {
	c.suspect(w)
	e := w.answering()
	if c.canEject(c.service(e.registration.Service)) {
		c.eject(e, "silent", 0)
	}
}

// resumed handles events of an attempt that was silent.
func (c *Core) resumed(in *Resumed) { c.standbyAnswers(in.ID, in.Attempt) }

// standbyAnswers returns a request to its silent attempt if that is the one that answers now.
func (c *Core) standbyAnswers(id RequestID, attempt int) {
	r := c.requests.Get(id)
	if r == nil || r.standby == nil || r.standby.attempt != attempt {
		return
	}
	e := r.standby.work.answering()
	if e.health.ejected(c.now) {
		e.health.ejectedUntil = c.now
		c.placementDue = true
	}
	e.health.consecutiveEjections = max(e.health.consecutiveEjections-1, 0)
	c.logRequest("silence-over", r, Event{Endpoint: string(e.registration.ID)})
	c.returnToStandby(r)
}

// returnToStandby makes the silent attempt of r the current one again. The other attempt, if
// it has been dispatched, is cancelled.
func (c *Core) returnToStandby(r *request) {
	switch {
	case r.work != nil:
		c.emit(Output{Cancel: &Cancel{ID: r.in.ID, Attempt: r.attempt}})
		if r.sent {
			r.mayHaveRun++
		} else {
			r.unsentAttempts++
		}
		c.endWork(r)
	case r.divisible:
		c.outbox.waitEnded(c, r)
	}
	c.timers.Stop(timerKey{kind: timerStandby, request: r.in.ID})
	r.phase, r.work, r.attempt = phaseRunning, r.standby.work, r.standby.attempt
	r.standby, r.sent, r.cancelled = nil, true, false
	if r.work.phase == workPrefilling {
		c.checkSilenceAfter(r, silenceRecheck)
	}
}

// dropStandby gives up the silent attempt of r, since another one has begun to answer.
func (c *Core) dropStandby(r *request) {
	c.emit(Output{Cancel: &Cancel{ID: r.in.ID, Attempt: r.standby.attempt}})
	r.mayHaveRun++
	c.removeStandby(r)
}

// removeStandby forgets the silent attempt of r, if there is one.
func (c *Core) removeStandby(r *request) {
	if r.standby != nil {
		w := r.standby.work
		r.standby = nil
		c.timers.Stop(timerKey{kind: timerStandby, request: r.in.ID})
		c.endWorkItem(w)
	}
}

// standbyEnded handles the end of a silent attempt that was kept. If it failed, the request
// goes on with the other one.
func (c *Core) standbyEnded(r *request, end *AttemptEnded) {
	w := r.standby.work
	c.recordOutcome(r, w, true, end)
	detail := "standby result=" + end.Result.String() + attemptDetail(end)
	if end.runBroke(w.answering()) {
		c.attemptBroke(r, w)
		detail += brokenDetail(r)
	}
	c.logRequest("attempt-ended", r, Event{
		Endpoint: string(w.answering().registration.ID), Took: c.now - w.dispatchedAt, Count: end.Status, Detail: detail,
	})
	c.removeStandby(r)
	if end.Result == ResultDone {
		c.recordAnswer(r, end)
		c.finish(r, VerdictDone, ReasonNone)
		return
	}
	r.partlyDelivered = r.partlyDelivered || end.PartlyDelivered
	r.failureHeld = r.failureHeld || end.Result == ResultFailed
}
