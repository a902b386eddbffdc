package admission

import "time"

const (
	// drainWindow bounds the time over which the rate of a queue is measured, and minDrainTime
	// is the least over which it says something.
	drainWindow  = time.Second
	minDrainTime = 250 * time.Millisecond
	// Unknown is the wait behind a queue whose rate is not known.
	Unknown time.Duration = -1
)

// Verdict is what becomes of a request that can't be dispatched now.
type Verdict struct {
	Refused    bool
	Begins     time.Duration // predicted time until its work begins; Unknown: not known
	RetryAfter time.Duration // if it is refused: until there will be room
}

// Decide refuses d if it can't be served before its caller stops waiting, given the predicted
// time until its work begins, or if its caller must be told now to have time to come back.
func Decide(d *Demand, now, begins time.Duration) Verdict {
	v := Verdict{Begins: begins}
	if now+max(begins, 0)+d.Fastest > d.GiveUp || d.Return > 0 && now > d.Return {
		v.Refused, v.RetryAfter = true, max(begins, 0)
	}
	return v
}

// Capacity is the work that engines of a cell have taken on and how fast they do more.
type Capacity struct {
	Engines float64       // engines that prefill, each counted with the part of its time that it has for it
	Queued  time.Duration // engine time of the prefills that are queued there
}

// Begins returns the time until the work of a demand begins that comes after others of a total
// engine time ahead.
func (c Capacity) Begins(ahead time.Duration) time.Duration {
	if c.Engines <= 0 {
		return Unknown
	}
	return time.Duration(float64(c.Queued+ahead) / c.Engines)
}

// Ahead sums the engine time of requests in their order.
type Ahead struct {
	all  time.Duration
	kept time.Duration // of those that stay before an assured request until they are served
}

// Before returns the engine time of the requests so far that are served before d, which comes next.
func (a *Ahead) Before(d *Demand) time.Duration {
	if d.Assured {
		return a.kept
	}
	return a.all
}

// Add adds d, whose work is predicted to begin after a time. If it is late by then, it yields to
// an assured request that comes after it.
func (a *Ahead) Add(d *Demand, now, begins time.Duration) {
	a.all += d.Work
	if d.Assured || d.Late(now) || !d.Late(now+max(begins, 0)) {
		a.kept += d.Work
	}
}

// Drain measures how fast a queue of a gateway is served while requests wait in it. Unlike
// Capacity it needs no model of what binds: slots, memory, pauses of streams or permits.
type Drain struct {
	busy  bool          // requests wait
	since time.Duration // begin of the measurement
	work  time.Duration // begun since then
}

// Observe records whether requests wait at a time.
func (d *Drain) Observe(now time.Duration, waiting bool) {
	if waiting != d.busy {
		*d = Drain{busy: waiting, since: now}
	}
	if elapsed := now - d.since; elapsed > drainWindow {
		d.since += elapsed / 2
		d.work /= 2
	}
}

// Began records that work of the queue has been dispatched.
func (d *Drain) Began(work time.Duration) {
	if d.busy {
		d.work += work
	}
}

// Begins returns the time until work begins that comes after others of a total engine time
// ahead, or Unknown.
func (d *Drain) Begins(now, ahead time.Duration) time.Duration {
	elapsed := now - d.since
	if !d.busy || elapsed < minDrainTime || d.work <= 0 {
		return Unknown
	}
	return time.Duration(float64(ahead) / float64(d.work) * float64(elapsed))
}
