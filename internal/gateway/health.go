package gateway

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	// minEjection and maxEjection bound how long an endpoint gets no requests after
	// failures. The time doubles with each consecutive ejection.
	minEjection = 600 * time.Millisecond
	maxEjection = 5 * time.Second
	// maxEjectionDoublings keeps the doubling from overflowing; maxEjection applies earlier.
	maxEjectionDoublings = 4
	// misdirectedEjection is how long an address at which another instance answers
	// gets no requests: registrations lag by some seconds.
	misdirectedEjection = 3 * time.Second
	// failuresToEject is the number of consecutive broken answers that eject an endpoint.
	failuresToEject = 2
	// failureWeight is the weight of the newest answer in the moving failure ratio.
	failureWeight = 0.1
	// failureExcess is how far an endpoint's failure ratio may exceed the mean of its
	// service. Errors of the application itself occur at all endpoints alike.
	failureExcess = 0.3
	// minEndedAttempts is the number of ended attempts at an endpoint needed before its
	// failure ratio counts.
	minEndedAttempts = 8
	// fullEngineBackoff is how long an engine counts as full after it has refused a
	// request for lack of capacity: two passes, in which streams end.
	fullEngineBackoff = 120 * time.Millisecond
	// onTimeTolerance is how late a first event may be and still count as on time.
	onTimeTolerance = 50 * time.Millisecond
	// paceWeight is the weight of the newest measurement in the moving pace.
	paceWeight = 0.25
	// minPace and maxPace bound the pace that predictions use, in multiples of the
	// published times.
	minPace = 1.0
	maxPace = 8.0
)

// health is an endpoint's record of answers to this gateway.
type health struct {
	consecutiveFailures  int           // broken answers
	consecutiveEjections int           // without a successful answer between them
	helpFailures         int           // ejections as a helper without successful help between them
	mayRefuseUntil       time.Duration // until when a refusal to help counts
	ejectedUntil         time.Duration
	failureRatio         float64 // moving average
}

func (h *health) ejected(now time.Duration) bool { return now < h.ejectedUntil }

// recordOutcome updates, from the end of the attempt w, the endpoint's health and the
// request's counts of attempts that may have run and that are proven not to have run. sent
// tells whether a byte of the attempt was sent.
func (c *Core) recordOutcome(r *request, w *workItem, sent bool, end *AttemptEnded) {
	e := w.answering()
	e.endedAttempts++
	switch end.Result {
	case ResultDone:
		if end.Status < 500 {
			e.health.consecutiveFailures, e.health.consecutiveEjections = 0, 0
			e.health.failureRatio *= 1 - failureWeight
			return
		}
		c.recordFailure(e)
	case ResultFailed:
		r.mayHaveRun++
		c.recordFailure(e)
	case ResultBroken:
		r.mayHaveRun++
		c.recordFailure(e)
		e.health.consecutiveFailures++
		if e.health.consecutiveFailures >= failuresToEject {
			c.eject(e, "answers break off", 0)
		}
	case ResultSilent:
		r.mayHaveRun++
		c.endpointSilent(w)
	case ResultSuperseded:
		r.mayHaveRun++
	case ResultUnreachable:
		c.eject(e, "unreachable", 0)
	case ResultMisdirected:
		r.recordNotRun(sent)
		c.eject(e, "another instance answers", misdirectedEjection)
	case ResultFull:
		r.recordNotRun(sent)
		if sent || !r.helperFailed {
			e.fullUntil = c.now + fullEngineBackoff
		}
		r.refusedHelp = c.ejectNamedHelper(e, end) || r.refusedHelp
	}
}

// recordNotRun counts an attempt as proven not to have run. An attempt of which no byte was
// sent is in neither provenNotRun nor sends.
func (r *request) recordNotRun(sent bool) {
	if sent {
		r.provenNotRun++
	}
}

// recordFailure adds a failure to the moving ratios of e and its service. Failures may
// be the application's own, so e is only ejected if it fails far more often than
// the service.
func (c *Core) recordFailure(e *endpoint) {
	h := &e.health
	h.failureRatio = h.failureRatio*(1-failureWeight) + failureWeight
	s := c.service(e.registration.Service)
	s.failureRatio = s.failureRatio*(1-failureWeight) + failureWeight*h.failureRatio
	if e.endedAttempts >= minEndedAttempts && h.failureRatio > s.failureRatio+failureExcess && c.canEject(s) {
		c.eject(e, "failure ratio", 0)
		h.failureRatio = s.failureRatio
	}
}

// ejectNamedHelper ejects the endpoint that a refusal attributes the failure to, if that is not
// e itself, and reports whether there is one: an engine that was to help with the prompt and is
// gone or draining. A draining engine goes on answering requests of its own, so that only help
// given ends the doubling of the time: while the store is down, nothing else tells that it is
// leaving, and each failure costs a retry.
func (c *Core) ejectNamedHelper(e *endpoint, end *AttemptEnded) bool {
	if end.FailedEndpoint == "" || end.FailedEndpoint == e.registration.Addr || end.FailedEndpoint == string(e.registration.ID) {
		return false
	}
	named := false
	for _, other := range c.service(e.registration.Service).endpoints {
		if other.registration.Addr == end.FailedEndpoint || string(other.registration.ID) == end.FailedEndpoint {
			c.helpRefused(other)
			named = true
		}
	}
	return named
}

// helperFailed ejects a helper that did not carry out an order to reserve memory. Several
// helpers of one attempt may fail.
func (c *Core) helperFailed(in *HelperFailed) {
	r := c.running(in.ID, in.Attempt)
	if r == nil || r.sent {
		return
	}
	r.helperFailed = true
	if e := c.endpoints.Get(in.Helper); e != nil {
		c.ejectHelper(e)
	}
}

// canEject reports whether another endpoint of s may be ejected because of its failure
// ratio or its silence: such ejections leave half of a service in use.
func (c *Core) canEject(s *service) bool {
	ejected := 0
	for _, e := range s.endpoints {
		if !e.outOfUse && e.health.ejected(c.now) {
			ejected++
		}
	}
	return 2*(ejected+1) <= s.inUse(nil)
}

// eject gives an endpoint no requests for fixedDuration or, if that is 0, for a time
// that doubles with each consecutive ejection.
func (c *Core) eject(e *endpoint, reason string, fixedDuration time.Duration) {
	h := &e.health
	duration := fixedDuration
	if duration == 0 {
		duration = ejectionTime(h.consecutiveEjections)
		h.consecutiveEjections++
	}
	h.consecutiveFailures = 0
	if c.now+duration <= h.ejectedUntil || c.without(mechanismEjection) {
		return
	}
	h.ejectedUntil = c.now + duration
	c.counts.Ejected++
	c.timers.Set(timerKey{kind: timerReturn, endpoint: e.registration.ID}, h.ejectedUntil)
	c.log(Event{Name: "endpoint-ejected", Endpoint: string(e.registration.ID), Detail: reason, Took: duration, Count: h.consecutiveEjections})
}

// ejectionTime returns how long an endpoint is ejected after a number of earlier
// consecutive ejections.
func ejectionTime(earlier int) time.Duration {
	return min(minEjection<<min(earlier, maxEjectionDoublings), maxEjection)
}

// returnEndpoint ends the ejection of an endpoint.
func (c *Core) returnEndpoint(id wire.EndpointID) {
	if e := c.endpoints.Get(id); e != nil {
		c.placementDue = true
		c.log(Event{Name: "endpoint-returned", Endpoint: string(id)})
	}
}

// updateObservedPace compares the time to a first event with its prediction. Prompts
// that several engines prefill are ignored, since they tell nothing about one engine.
func (c *Core) updateObservedPace(r *request, e *endpoint) {
	if e.engine == nil || len(r.work.endpoints) > 1 {
		return
	}
	predicted := r.predictedFirstAt - r.work.dispatchedAt
	measured := c.now - r.work.dispatchedAt
	if predicted <= 0 {
		return
	}
	// The prediction includes the observed pace, so the quotient is relative to it.
	ratio := float64(measured) / float64(predicted) * e.observedPace
	if measured < predicted+onTimeTolerance {
		ratio = 1
	}
	e.occupancyValid = false
	e.observedPace = min(max(e.observedPace*(1-paceWeight)+paceWeight*ratio, minPace), maxPace)
}
