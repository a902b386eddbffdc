package enginemodel

import "trefoilpath.org/trefoilpath/internal/engine"

// free returns the KV cache tokens that nothing holds.
func (m *Model) free() int64 { return m.cfg.CapacityTokens - m.used }

// running returns the number of sequences that hold memory.
func (m *Model) running() int {
	return m.importing + len(m.prefilling) + len(m.decoding)
}

// growth returns the KV cache tokens that one step may add.
func (m *Model) growth() int64 {
	return int64(len(m.decoding) + len(m.prefilling))
}

// ensureMemory preempts sequences until the next step has enough memory: the lowest
// priority first, among equals the latest to arrive. A preempted sequence waits, keeps
// its output and is prefilled again. If only one sequence runs, it fails instead.
func (m *Model) ensureMemory() {
	for m.free() < m.growth() {
		s := m.victim()
		if s == nil {
			return
		}
		if m.running() == 1 {
			m.fail(s, engine.FailMemory)
			return
		}
		m.preempt(s)
	}
}

func (m *Model) preempt(s *sequence) {
	m.ledger.Preemptions++
	m.ledger.DiscardedTokens += s.held(m.step) - s.remaining
	m.detach(s)
	s.imported = 0
	m.waiting = insertOrdered(m.waiting, s)
}

// victim returns the sequence to preempt next, or nil if none is in prefill or decode.
func (m *Model) victim() *sequence {
	var worst *sequence
	if n := len(m.prefilling); n > 0 {
		worst = m.prefilling[n-1]
	}
	for _, s := range m.decoding {
		if worst == nil || compareSequences(worst, s) < 0 {
			worst = s
		}
	}
	return worst
}
