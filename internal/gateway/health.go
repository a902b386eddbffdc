package gateway

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	// ejectLeast and ejectMost bound how long an endpoint gets no requests after
	// failures; the time doubles with each ejection in a row.
	ejectLeast = 600 * time.Millisecond
	ejectMost  = 5 * time.Second
	// ejectMisdirected is how long an address that another instance has taken is
	// left alone: registrations lag by some seconds.
	ejectMisdirected = 3 * time.Second
	// failuresToEject is the number of broken answers in a row that eject.
	failuresToEject = 2
	// failureWeight is the weight of the newest answer in the moving failure ratio.
	failureWeight = 0.1
	// failureExcess is how far an endpoint's failure ratio may be above the mean
	// of its service: application errors are common to all of its endpoints.
	failureExcess = 0.3
	// minAnswers is how many answers are needed to judge a ratio.
	minAnswers = 8
	// fullTime is how long an engine counts as full after it has refused a request
	// for want of room: two passes, in which streams end.
	fullTime = 120 * time.Millisecond
	// paceWeight is the weight of the newest measurement in the moving pace.
	paceWeight = 0.25
	// paceLeast and paceMost bound the pace that is believed.
	paceLeast = 1.0
	paceMost  = 8.0
)

// health is how an endpoint has answered this gateway.
type health struct {
	failures  int // in a row
	ejections int // in a row
	until     time.Duration
	ratio     float64 // moving ratio of failures
}

func (h *health) ejected(now time.Duration) bool { return now < h.until }

// judge learns from the end of an attempt.
func (c *Core) judge(r *request, e *endpoint, in *Ended) {
	e.answers++
	switch in.Result {
	case ResultDone:
		if in.Status < 500 {
			e.health.failures, e.health.ejections = 0, 0
			e.health.ratio *= 1 - failureWeight
			return
		}
		c.failed(e)
	case ResultFailed:
		r.unproven++
		c.failed(e)
	case ResultBroken:
		r.unproven++
		c.failed(e)
		e.health.failures++
		if e.health.failures >= failuresToEject {
			c.eject(e, "answers break off", 0)
		}
	case ResultSilent:
		r.unproven++
		c.eject(e, "silent", 0)
	case ResultUnreachable:
		c.eject(e, "unreachable", 0)
	case ResultMisdirected:
		r.proved()
		c.eject(e, "another instance answers", ejectMisdirected)
	case ResultFull:
		r.proved()
		e.full = c.now + fullTime
		c.blame(e, in)
	}
}

// proved counts an endpoint's proof that it did not run the request.
func (r *request) proved() {
	if r.sent {
		r.proofs++
	}
}

// failed counts a failure answer, which may be the application's own.
func (c *Core) failed(e *endpoint) {
	h := &e.health
	h.ratio = h.ratio*(1-failureWeight) + failureWeight
	s := c.service(e.reg.Service)
	s.ratio = s.ratio*(1-failureWeight) + failureWeight*h.ratio
	if e.answers >= minAnswers && h.ratio > s.ratio+failureExcess && c.mayEject(s) {
		c.eject(e, "failure ratio", 0)
		h.ratio = s.ratio
	}
}

// blame ejects the endpoint that a refusal names, if it is another one: an
// engine that was to help and is gone.
func (c *Core) blame(e *endpoint, in *Ended) {
	if in.Fault == "" || in.Fault == e.reg.Addr || in.Fault == string(e.reg.ID) {
		return
	}
	for _, other := range c.service(e.reg.Service).endpoints {
		if other.reg.Addr == in.Fault || string(other.reg.ID) == in.Fault {
			c.eject(other, "could not help", 0)
		}
	}
}

// mayEject keeps half of a service in use, whatever their failures.
func (c *Core) mayEject(s *service) bool {
	out := 0
	for _, e := range s.endpoints {
		if e.health.ejected(c.now) {
			out++
		}
	}
	return 2*(out+1) <= len(s.endpoints)
}

// eject gives an endpoint no requests for a while; fixed 0 stands for a time
// that doubles.
func (c *Core) eject(e *endpoint, why string, fixed time.Duration) {
	h := &e.health
	d := fixed
	if d == 0 {
		d = min(ejectLeast<<min(h.ejections, 4), ejectMost)
		h.ejections++
	}
	h.failures = 0
	if c.now+d <= h.until {
		return
	}
	h.until = c.now + d
	c.counts.Ejected++
	c.timers.Set(timerKey{kind: timerReturn, endpoint: e.reg.ID}, h.until)
	c.log(Event{Name: "endpoint-ejected", Endpoint: string(e.reg.ID), Detail: why, Took: d, Count: h.ejections})
}

// returnEndpoint lets an endpoint take requests again.
func (c *Core) returnEndpoint(id wire.EndpointID) {
	if e := c.endpoints.Get(id); e != nil {
		c.place = true
		c.log(Event{Name: "endpoint-returned", Endpoint: string(id)})
	}
}

// learnPace compares a first event with its prediction. Only prompts that one
// engine reads alone tell about that engine.
func (c *Core) learnPace(r *request, e *endpoint) {
	if e.engine == nil || len(r.work.at) > 1 {
		return
	}
	predicted := r.predicted - r.work.sent
	measured := c.now - r.work.sent
	if predicted <= 0 {
		return
	}
	ratio := float64(measured) / float64(predicted) * e.slow
	if measured < predicted+50*time.Millisecond {
		ratio = 1
	}
	e.summed = false
	e.slow = min(max(e.slow*(1-paceWeight)+paceWeight*ratio, paceLeast), paceMost)
}
