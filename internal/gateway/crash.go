package gateway

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"trefoilpath.org/trefoilpath/internal/poison"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	// maxInstanceChecks is the number of checks of an instance whose answers broke off, and
	// instanceCheckInterval the time before the second, doubled before each further one.
	maxInstanceChecks     = 4
	instanceCheckInterval = 150 * time.Millisecond
	// brokenInstanceTTL is how long an instance whose answers broke off is kept after its last
	// check: its registration may lapse some seconds after it has ended.
	brokenInstanceTTL = 5 * time.Second
	// maxBrokenInstances bounds the instances that are kept, maxBrokenParts the parts and the
	// requests of each.
	maxBrokenInstances = 64
	maxBrokenParts     = 256
)

// An attempt that breaks off may have been lost with its endpoint or on the way. The endpoint is
// then checked: if nothing listens at its address, or another instance does, it has ended. At an
// engine only answers that have begun count, since it runs a request with its first token.

// InstanceCheck asks whether an instance still runs.
type InstanceCheck struct {
	Endpoint    wire.EndpointID
	Addr        string
	ConnectOnly bool // the endpoint of a plain service, which has no report
}

// InstanceState is the result of an InstanceCheck. Neither field is set if the check failed
// in another way.
type InstanceState struct {
	Endpoint wire.EndpointID
	Addr     string
	Runs     bool // the instance has answered
	Ended    bool // it is gone: the connection was refused, or another instance answered
}

// brokenInstance is an instance at which attempts broke off.
type brokenInstance struct {
	instance instance
	service  string
	plain    bool          // of a plain service
	brokenAt time.Duration // when the first of them did
	attempts int           // that broke off
	parts    []string      // IDs of the shared parts of their prompts
	requests []poison.Run  // the requests that ran
	checks   int           // made so far
	ended    bool          // the instance has ended
}

// runBroke reports whether an attempt at e broke off that the endpoint may have begun to run.
func (end *AttemptEnded) runBroke(e *endpoint) bool {
	return end.brokeOff() || e.engine == nil && end.Result == ResultBroken
}

// attemptBroke records that the attempt w of r has broken off. An instance that leaves is
// expected to end.
func (c *Core) attemptBroke(r *request, w *workItem) {
	e := w.answering()
	r.life = lifeOf(instanceOf(&e.registration))
	if e.registration.Leaving || e.announced.leaving {
		return
	}
	id := e.registration.ID
	b := c.broken.Get(id)
	if b == nil || b.instance != instanceOf(&e.registration) {
		if b == nil && c.broken.Len() >= maxBrokenInstances {
			return
		}
		b = c.broken.Put(id, brokenInstance{
			instance: instanceOf(&e.registration), service: e.registration.Service, plain: e.engine == nil, brokenAt: c.now,
		})
		c.timers.Set(timerKey{kind: timerCheck, endpoint: id}, c.now)
	}
	b.attempts++
	for _, part := range r.in.SharedParts {
		if !slices.Contains(b.parts, part) && len(b.parts) < maxBrokenParts {
			b.parts = append(b.parts, part)
		}
	}
	if r.in.Fingerprint != 0 {
		b.addRun(poison.WholeRequest(r.in.Fingerprint), w.dispatchedAt)
	}
	if b.ended {
		c.instanceEnded(b)
	}
}

// addRun adds a request that ran at the instance.
func (b *brokenInstance) addRun(request poison.Part, began time.Duration) {
	i := slices.IndexFunc(b.requests, func(run poison.Run) bool { return run.Request == request })
	switch {
	case i >= 0:
		b.requests[i].Began = min(b.requests[i].Began, began)
	case len(b.requests) < maxBrokenParts:
		b.requests = append(b.requests, poison.Run{Request: request, Began: began})
	}
}

// checkInstance checks an instance at which answers broke off, or drops it after the last check.
func (c *Core) checkInstance(id wire.EndpointID) {
	b := c.broken.Get(id)
	if b == nil {
		return
	}
	key := timerKey{kind: timerCheck, endpoint: id}
	if b.ended || b.checks >= maxInstanceChecks {
		if c.now >= b.brokenAt+brokenInstanceTTL {
			c.broken.Delete(id)
			c.broken.Compact()
		} else {
			c.timers.Set(key, b.brokenAt+brokenInstanceTTL)
		}
		return
	}
	if e := c.endpoints.Get(id); e == nil || !e.outOfUse && c.now >= e.announced.backoffUntil {
		c.emit(Output{Check: &InstanceCheck{Endpoint: id, Addr: b.instance.addr, ConnectOnly: b.plain}})
	}
	c.timers.Set(key, c.now+instanceCheckInterval<<b.checks)
	b.checks++
}

// instanceChecked applies the result of a check.
func (c *Core) instanceChecked(in *InstanceState) {
	b := c.broken.Get(in.Endpoint)
	if b == nil || b.instance.addr != in.Addr || b.ended {
		return
	}
	switch {
	case in.Ended:
		c.instanceEnded(b)
	case in.Runs:
		c.broken.Delete(in.Endpoint)
		c.broken.Compact()
	}
}

// registrationEnded records that an instance is no longer registered, or another one under its
// ID. If its answers have just broken off, it has ended with them.
func (c *Core) registrationEnded(r *Registration) {
	if b := c.broken.Get(r.ID); b != nil && b.instance == instanceOf(r) && !b.ended {
		c.instanceEnded(b)
	}
}

// instanceEnded records that an instance has ended while it answered requests.
func (c *Core) instanceEnded(b *brokenInstance) {
	if !b.ended {
		b.ended = true
		if e := c.endpoints.Get(b.instance.id); e != nil && instanceOf(&e.registration) == b.instance {
			c.eject(e, "ended", 0)
		}
	}
	c.recordCrash(b)
	c.log(Event{Name: "endpoint-ended", Endpoint: string(b.instance.id), Count: b.attempts,
		Detail: "addr=" + b.instance.addr + partDetail(b.parts) + b.requestDetail()})
}

// requestDetail returns the fingerprints of the requests that ran, for the log.
func (b *brokenInstance) requestDetail() string {
	var names []string
	for _, run := range b.requests[:min(len(b.requests), maxLoggedParts)] {
		names = append(names, formatFingerprint(uint64(run.Request)))
	}
	return " requests=" + strings.Join(names, "/")
}

// formatFingerprint formats the fingerprint of a request for logs and dumps.
func formatFingerprint(f uint64) string { return strconv.FormatUint(f, 16) }
