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

// process is an incarnation of a core: its inbox, its timer and its own monotonic
// clock. A stopped process ignores all inputs.
type process[I, O any] struct {
	clock       *simnet.Clock
	core        core[I, O]
	handle      func(O) // executes an output
	startedAt   time.Duration
	offset      time.Duration // reading of the process's own clock at startedAt
	inbox       []I
	spare       []I // the previous inbox's array, for reuse
	timer       *simnet.Event
	timerAt     time.Duration
	stopped     bool
	paused      bool
	heldOutputs []O // outputs to execute on resume
	holdOutputs bool
	ticksAtNow  int           // ticks at lastTick
	lastTick    time.Duration // time of the last tick
}

// maxTicksAtOnce bounds the ticks of a core at the same virtual time.
const maxTicksAtOnce = 10_000

func newProcess[I, O any](clock *simnet.Clock, offset time.Duration, c core[I, O], handle func(O)) *process[I, O] {
	p := &process[I, O]{
		clock:     clock,
		core:      c,
		handle:    handle,
		startedAt: clock.Now(),
		offset:    offset,
		timerAt:   math.MaxInt64,
	}
	p.wakeUp(clock.Now())
	return p
}

// local returns the reading of the process's own clock.
func (p *process[I, O]) local() time.Duration {
	return p.clock.Now() - p.startedAt + p.offset
}

// input queues an input and schedules the core to run now.
func (p *process[I, O]) input(in I) {
	if p.stopped {
		return
	}
	p.inbox = append(p.inbox, in)
	p.wakeUp(p.clock.Now())
}

// wakeUp schedules the core to run at time at, unless it runs earlier or is
// suspended.
func (p *process[I, O]) wakeUp(at time.Duration) {
	if p.paused || at >= p.timerAt {
		return
	}
	p.clock.Stop(p.timer)
	p.timerAt = at
	p.timer = p.clock.At(at, p.run)
}

func (p *process[I, O]) run() {
	p.timerAt = math.MaxInt64
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
		if p.holdOutputs {
			p.heldOutputs = append(p.heldOutputs, outs[i:]...)
			break
		}
		p.handle(out)
	}
	p.arm()
}

// arm schedules the next run that the core requests.
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

// countTick fails an invariant if the core keeps running without advancing time.
func (p *process[I, O]) countTick() {
	if p.clock.Now() != p.lastTick {
		p.lastTick = p.clock.Now()
		p.ticksAtNow = 0
	}
	p.ticksAtNow++
	if p.ticksAtNow > maxTicksAtOnce {
		invariant.Fail("core-makes-progress", "ticks", p.ticksAtNow, "now", p.clock.Now())
	}
}

// pause suspends the process until resume.
func (p *process[I, O]) pause() {
	p.paused = true
	p.clock.Stop(p.timer)
	p.timerAt = math.MaxInt64
}

// startHolding holds the outputs of the core's next ticks until resume. Before
// pause it has no effect, as the core does not tick while the process is
// suspended.
func (p *process[I, O]) startHolding() { p.holdOutputs = true }

func (p *process[I, O]) resume() {
	if p.stopped {
		return
	}
	p.paused = false
	p.holdOutputs = false
	held := p.heldOutputs
	p.heldOutputs = nil
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
	p.clock.Stop(p.timer)
}
