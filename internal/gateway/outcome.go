package gateway

import (
	"strconv"
	"strings"
	"time"

	"trefoilpath.org/trefoilpath/internal/poison"
)

func itoa(n int) string { return strconv.Itoa(n) }

func formatPace(pace float64) string { return strconv.FormatFloat(pace, 'f', 2, 64) }

// maxRefusals is the number of sends beyond the route's limit (beyond one, if the request
// is not idempotent) that are allowed after an attempt that is proven not to have run,
// since that attempt had no effect.
const maxRefusals = 2

// maxUnreachable is the number of further endpoints that are tried when nothing was sent:
// no connection to an endpoint can be made, or no memory reserved.
const maxUnreachable = 12

// ended handles the end of an attempt: the request is done, is retried, or fails.
func (c *Core) ended(end *AttemptEnded) {
	if r := c.requests.Get(end.ID); r != nil && r.standby != nil && r.standby.attempt == end.Attempt {
		c.standbyEnded(r, end)
		return
	}
	r := c.running(end.ID, end.Attempt)
	if r == nil {
		return
	}
	c.timers.Stop(timerKey{kind: timerSilence, request: r.in.ID})
	e := r.work.answering()
	c.recordOutcome(r, r.work, r.sent, end)
	detail := "result=" + end.Result.String() + attemptDetail(end)
	if end.runBroke(e) {
		c.attemptBroke(r, r.work)
		detail += brokenDetail(r)
	}
	c.logRequest("attempt-ended", r, Event{
		Endpoint: string(e.registration.ID), Took: c.now - r.work.dispatchedAt, Count: end.Status, Detail: detail,
	})
	c.endWork(r)
	if end.Result == ResultDone {
		e.observePassEnd(c.now - transitTime)
		c.recordAnswer(r, end)
		c.finish(r, VerdictDone, ReasonNone)
		return
	}
	r.partlyDelivered = end.PartlyDelivered
	r.failureHeld = r.failureHeld || end.Result == ResultFailed
	if end.Result == ResultSuperseded && r.standby != nil {
		c.returnToStandby(r)
		return
	}
	if again, reason := c.retryAllowed(r, end); !again {
		c.endUnserved(r, reason)
		return
	}
	if !r.helperFailed {
		r.avoidEndpoint(e.registration.ID)
	}
	if r.standby == nil && len(c.usable(c.service(r.in.Service), r)) == 0 {
		r.avoid = nil // without another endpoint, those that failed may be tried again
	}
	c.enqueue(r)
}

// brokeOff reports whether a successful answer had begun and was lost with its connection.
func (end *AttemptEnded) brokeOff() bool {
	return end.Result == ResultBroken && end.Status >= 200 && end.Status < 300
}

// brokenDetail identifies a request whose attempt broke off, for the log.
func brokenDetail(r *request) string {
	return partDetail(r.in.SharedParts) + " fingerprint=" + formatFingerprint(uint64(poison.WholeRequest(r.in.Fingerprint)))
}

// maxLoggedParts bounds the parts of prompts in a log line.
const maxLoggedParts = 16

// partDetail returns IDs of parts of prompts for the log.
func partDetail(ids []string) string {
	if len(ids) == 0 {
		return ""
	}
	return " parts=" + strings.Join(ids[:min(len(ids), maxLoggedParts)], "/")
}

func attemptDetail(end *AttemptEnded) string {
	detail := ""
	if end.LongestGap > 0 {
		detail = " longest-pause=" + end.LongestGap.Round(time.Millisecond).String()
	}
	if end.Silence > 0 {
		detail += " silence=" + end.Silence.Round(time.Millisecond).String()
	}
	if end.Carried > 0 {
		detail += " carried=" + itoa(end.Carried)
	}
	if end.EndsWithConnection {
		detail += " framing=connection"
	}
	if end.TruncatedBytes > 0 {
		detail += " truncated=" + itoa(end.TruncatedBytes)
	}
	if end.Detail != "" {
		detail += " cause=" + strconv.Quote(end.Detail)
	}
	return detail
}

// retryAllowed decides whether r may be sent to another endpoint, and if not, why. It
// counts an attempt of which nothing was sent, and takes any other allowed retry from the
// budget, so it is called once per attempt.
func (c *Core) retryAllowed(r *request, end *AttemptEnded) (bool, Reason) {
	reason := failureReason(end.Result)
	if c.without(mechanismRetry) {
		return false, reason
	}
	if end.Result == ResultUnreachable || end.Result == ResultFull && !r.sent {
		r.unsentAttempts++
		return r.unsentAttempts <= maxUnreachable, reason
	}
	switch end.Result {
	case ResultFull, ResultMisdirected:
		if r.sends >= r.in.Route.MaxAttempts+maxRefusals || !r.in.Route.Idempotent() && r.sends >= maxRefusals+1 {
			return false, reason
		}
	default:
		if !r.in.Route.Idempotent() || r.sends >= r.in.Route.MaxAttempts {
			return false, reason
		}
		if end.PartlyDelivered && !end.Resumable {
			return false, reason
		}
		if !c.mayRepeat(r, end) {
			return false, c.crashReason(r)
		}
	}
	r.retryTaken = r.retryTaken || c.takeRetry(r)
	if !r.retryTaken {
		return false, ReasonBudget
	}
	return true, ReasonNone
}

// takeRetry takes a retry of r from the budget of its service, if there is one.
func (c *Core) takeRetry(r *request) bool {
	return c.service(r.in.Service).budget.TakeRetry(c.now, c.budgetGateways()) || c.without(mechanismRetryBudget)
}

// budgetGateways returns the number of gateways that share the fleet's retry budget. The seeds
// count even if none of them has been heard from: this gateway may be cut off from the others.
func (c *Core) budgetGateways() int {
	seeds := 0
	for p := range c.peers.Values() {
		seeds += bit(p.seed)
	}
	return max(c.Gateways(), 1+seeds)
}

// budgetDetail returns the use of the retry budget of r's service for the log.
func (c *Core) budgetDetail(r *request) string {
	gateways := c.budgetGateways()
	retries, allowed := c.service(r.in.Service).budget.Use(c.now, gateways)
	return "retries=" + itoa(retries) + "/" + strconv.FormatFloat(allowed, 'f', 1, 64) + " gateways=" + itoa(gateways)
}

func failureReason(result Result) Reason {
	switch result {
	case ResultFull, ResultMisdirected:
		return ReasonFull
	case ResultUnreachable:
		return ReasonUnreachable
	case ResultSilent:
		return ReasonSilent
	}
	return ReasonBroken
}

// finish ends a request with a verdict other than VerdictRefused; see refuse.
func (c *Core) finish(r *request, v Verdict, reason Reason) {
	switch v {
	case VerdictDone:
		c.counts.Done++
	case VerdictUnknown:
		c.counts.Unknown++
	case VerdictTimeout:
		c.counts.TimedOut++
	}
	c.emit(Output{Finish: &Finish{ID: r.in.ID, Verdict: v, Reason: reason}})
	if v != VerdictDone {
		detail := string(reason)
		if reason == ReasonBudget {
			detail += " " + c.budgetDetail(r)
		}
		c.logRequest("failed", r, Event{Detail: detail, Count: r.sends})
	}
	c.removeRequest(r)
}

// deadline ends a request whose deadline has passed.
func (c *Core) deadline(id RequestID) {
	r := c.requests.Get(id)
	if r == nil {
		return
	}
	if r.phase == phaseWaiting && r.standby == nil {
		c.endUnserved(r, ReasonDeadline)
		return
	}
	c.finish(r, VerdictTimeout, ReasonDeadline)
}

// refuseBeyond refuses the waiting requests that were never sent and whose deadline comes after a time.
func (c *Core) refuseBeyond(exitAt time.Duration) {
	for r := range c.requests.Values() {
		if r.phase == phaseWaiting && r.sends == 0 && r.in.Deadline > exitAt {
			c.endUnserved(r, ReasonExit)
		}
	}
}

// exit ends all requests. One with a running attempt is not refused, even if nothing of it was sent: the
// shell may just begin its attempt.
func (c *Core) exit() {
	for r := range c.requests.Values() {
		if (r.phase == phaseRunning || r.standby != nil) && !r.failureHeld {
			c.finish(r, VerdictUnknown, ReasonExit)
		} else {
			c.removeStandby(r)
			c.endUnserved(r, ReasonExit)
		}
	}
}

// callerGone removes a request whose caller has disconnected.
func (c *Core) callerGone(id RequestID) {
	r := c.requests.Get(id)
	if r == nil {
		return
	}
	c.counts.Gone++
	c.logRequest("caller-gone", r, Event{Count: r.sends})
	c.removeRequest(r)
}
