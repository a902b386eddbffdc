package soak

import (
	"math"
	"time"

	"trefoilpath.org/trefoilpath/internal/invariant"
	"trefoilpath.org/trefoilpath/internal/simnet"
)

// core is the deterministic core of a role.
type core[I, O any] interface {
	Tick(now time.Duration, in []I) []O
	Next() time.Duration
}

// process is one life of a core: its inbox, its timer and its own monotonic
// clock. A stopped process ignores everything.
type process[I, O any] struct {
	clock     *simnet.Clock
	core      core[I, O]
	handle    func(O)
	startedAt time.Duration
	offset    time.Duration // reading of the process's own clock at its start
	inbox     []I
	spare     []I
	wake      *simnet.Event
	wakeAt    time.Duration
	stopped   bool
	paused    bool
	held      []O // outputs of the last tick before a pause, still to be carried out
	holding   bool
	idleTicks int
	lastTick  time.Duration
}

// maxTicksAtOnce bounds how often a core may ask to run again at the same time.
const maxTicksAtOnce = 10_000

func newProcess[I, O any](clock *simnet.Clock, offset time.Duration, c core[I, O], handle func(O)) *process[I, O] {
	p := &process[I, O]{
		clock:     clock,
		core:      c,
		handle:    handle,
		startedAt: clock.Now(),
		offset:    offset,
		wakeAt:    math.MaxInt64,
	}
	p.wakeUp(clock.Now())
	return p
}

// local returns the reading of the process's own clock.
func (p *process[I, O]) local() time.Duration {
	return p.clock.Now() - p.startedAt + p.offset
}

// input queues an input and runs the core at the present time.
func (p *process[I, O]) input(in I) {
	if p.stopped {
		return
	}
	p.inbox = append(p.inbox, in)
	p.wakeUp(p.clock.Now())
}

// wakeUp makes the core run at time at, if it is not going to run earlier.
func (p *process[I, O]) wakeUp(at time.Duration) {
	if p.paused || at >= p.wakeAt {
		return
	}
	p.clock.Stop(p.wake)
	p.wakeAt = at
	p.wake = p.clock.At(at, p.run)
}

func (p *process[I, O]) run() {
	p.wakeAt = math.MaxInt64
	if p.stopped || p.paused {
		return
	}
	p.countTick()
	in := p.inbox
	p.inbox = p.spare[:0]
	outs := p.core.Tick(p.local(), in)
	clear(in)
	p.spare = in[:0]
	for i, out := range outs {
		if p.stopped {
			return
		}
		if p.holding {
			p.held = append(p.held, outs[i:]...)
			break
		}
		p.handle(out)
	}
	p.arm()
}

// arm schedules the next run that the core asks for.
func (p *process[I, O]) arm() {
	if len(p.inbox) > 0 {
		p.wakeUp(p.clock.Now())
		return
	}
	next := p.core.Next()
	if next == math.MaxInt64 {
		return
	}
	p.wakeUp(max(next-p.offset+p.startedAt, p.clock.Now()))
}

// countTick fails if the core keeps asking to run without letting time pass.
func (p *process[I, O]) countTick() {
	if p.clock.Now() != p.lastTick {
		p.lastTick = p.clock.Now()
		p.idleTicks = 0
	}
	p.idleTicks++
	if p.idleTicks > maxTicksAtOnce {
		invariant.Fail("core-makes-progress", "ticks", p.idleTicks, "now", p.clock.Now())
	}
}

// pause stops the process from running. With late, what its last tick decided
// is carried out only after it resumes.
func (p *process[I, O]) pause() {
	p.paused = true
	p.clock.Stop(p.wake)
	p.wakeAt = math.MaxInt64
}

// hold keeps back what the core decides until resume.
func (p *process[I, O]) hold() { p.holding = true }

func (p *process[I, O]) resume() {
	if p.stopped {
		return
	}
	p.paused = false
	p.holding = false
	held := p.held
	p.held = nil
	for _, out := range held {
		if p.stopped {
			return
		}
		p.handle(out)
	}
	p.wakeUp(p.clock.Now())
}

func (p *process[I, O]) stop() {
	p.stopped = true
	p.clock.Stop(p.wake)
}
