package enginemodel

import (
	"container/heap"
	"time"
)

// Kill stops the engine and discards its memory, handles, pending reports and the
// events not yet taken.
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

// Hang suspends the engine from now until the given time. The engine keeps its memory,
// and executes the commands that arrive in between when it resumes.
func (m *Model) Hang(now, until time.Duration) {
	m.Tick(now)
	if m.dead || until <= now {
		return
	}
	if m.hungUntil == 0 {
		m.hungSince = now
	}
	m.hungUntil = max(m.hungUntil, until)
}

// resumeAfterHang ends a hang: it shifts the current run of steps by the duration of
// the hang, moves timers that were due during it to its end, and executes the inbox.
func (m *Model) resumeAfterHang() {
	if m.hungUntil == 0 {
		return
	}
	until := m.hungUntil
	m.hungUntil = 0
	m.run.start += until - m.hungSince
	for i := range m.timers {
		m.timers[i].at = max(m.timers[i].at, until)
	}
	heap.Init(&m.timers)
	inbox := m.inbox
	m.inbox = nil
	for _, c := range inbox {
		m.execute(until, c)
	}
}

// SlowBy makes each step take factor times as long from the next step on; 1
// ends the fault.
func (m *Model) SlowBy(now time.Duration, factor float64) {
	m.Tick(now)
	m.slowFactor = factor
	if !m.dead && now >= m.hungUntil {
		m.interrupt(now)
	}
}

// Misreport makes State report factor times the actual prefill backlog; 1 ends the
// fault.
func (m *Model) Misreport(factor float64) { m.misreportFactor = factor }

// FailLoads makes model loads fail at their end.
func (m *Model) FailLoads(fail bool) { m.failLoads = fail }

// LoseCacheEvents sets the fraction of prefix cache events that are lost.
func (m *Model) LoseCacheEvents(fraction float64) { m.cfg.CacheLoss = fraction }
