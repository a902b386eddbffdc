package gateway

import (
	"slices"
	"time"

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
	// maxBrokenInstances bounds the instances that are kept, maxBrokenParts the parts of each.
	maxBrokenInstances = 64
	maxBrokenParts     = 256
)

// An answer that breaks off after it has begun may have been lost with its engine or on the
// way. The engine is then checked: if nothing listens at its address, or another instance
// does, it has ended.

// InstanceCheck asks whether an instance still runs.
type InstanceCheck struct {
	Endpoint wire.EndpointID
	Addr     string
}

// InstanceState is the result of an InstanceCheck. Neither field is set if the check failed
// in another way.
type InstanceState struct {
	Endpoint wire.EndpointID
	Addr     string
	Runs     bool // the instance has answered
	Ended    bool // it is gone: the connection was refused, or another instance answered
}

// brokenInstance is an instance at which answers broke off.
type brokenInstance struct {
	instance instance
	brokenAt time.Duration // when the first of them did
	attempts int           // whose answers broke off
	parts    []string      // IDs of the shared parts of their prompts
	checks   int           // made so far
	ended    bool          // the instance has ended
}

// answerBroken records that the answer of r's attempt at e has broken off after it had begun.
// An instance that leaves is expected to end.
func (c *Core) answerBroken(r *request, e *endpoint) {
	r.life = lifeOf(instanceOf(&e.registration))
	if e.engine == nil || e.registration.Leaving || e.announced.leaving {
		return
	}
	id := e.registration.ID
	b := c.broken.Get(id)
	if b == nil || b.instance != instanceOf(&e.registration) {
		if b == nil && c.broken.Len() >= maxBrokenInstances {
			return
		}
		b = c.broken.Put(id, brokenInstance{instance: instanceOf(&e.registration), brokenAt: c.now})
		c.timers.Set(timerKey{kind: timerCheck, endpoint: id}, c.now)
	}
	b.attempts++
	for _, part := range r.in.SharedParts {
		if !slices.Contains(b.parts, part) && len(b.parts) < maxBrokenParts {
			b.parts = append(b.parts, part)
		}
	}
	if b.ended {
		c.instanceEnded(b)
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
	if e := c.endpoints.Get(id); e == nil || c.now >= e.announced.backoffUntil {
		c.emit(Output{Check: &InstanceCheck{Endpoint: id, Addr: b.instance.addr}})
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
		Detail: "addr=" + b.instance.addr + partDetail(b.parts)})
}
