package enginemodel

import (
	"container/heap"
	"time"
)

// Kill ends the engine. Its memory, its handles and what it was about to report
// are gone; events not yet taken are dropped.
func (m *Model) Kill() {
	m.recordLost()
	m.handles.Each(func(handle string, _ *int64) bool {
		m.cfg.Exchange.withdraw(handle)
		return true
	})
	m.reset()
	m.events = m.events[:0]
	m.dead = true
}

// Restart starts a killed engine with its initial assignment and empty memory.
func (m *Model) Restart(now time.Duration) {
	m.now = now
	m.dead = false
}

// Dead reports whether the engine was killed and not restarted.
func (m *Model) Dead() bool { return m.dead }

// Hang stops the engine between now and until. It keeps its memory, and carries
// out the commands that arrive meanwhile when it goes on.
func (m *Model) Hang(now, until time.Duration) {
	m.Tick(now)
	if m.dead || until <= now {
		return
	}
	if m.frozenUntil == 0 {
		m.frozenSince = now
	}
	m.frozenUntil = max(m.frozenUntil, until)
}

// thaw goes on after a hang: what was due meanwhile happens at its end.
func (m *Model) thaw() {
	if m.frozenUntil == 0 {
		return
	}
	until := m.frozenUntil
	m.frozenUntil = 0
	m.run.start += until - m.frozenSince
	for i := range m.timers {
		m.timers[i].at = max(m.timers[i].at, until)
	}
	heap.Init(&m.timers)
	inbox := m.inbox
	m.inbox = nil
	for _, c := range inbox {
		m.carryOut(until, c)
	}
}

// SlowBy makes each step take factor times as long from the next step on; 1
// ends the fault.
func (m *Model) SlowBy(now time.Duration, factor float64) {
	m.Tick(now)
	m.slow = factor
	if !m.dead && now >= m.frozenUntil {
		m.interrupt(now)
	}
}

// Misreport makes State report factor times the prompt tokens that wait; 1 ends
// the fault.
func (m *Model) Misreport(factor float64) { m.misreport = factor }

// FailLoads makes model loads fail at their end.
func (m *Model) FailLoads(fail bool) { m.failLoads = fail }

// LoseCacheEvents sets the fraction of prefix cache events that are lost.
func (m *Model) LoseCacheEvents(fraction float64) { m.cfg.CacheLoss = fraction }
