package enginemodel

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/engine"
)

// State returns a snapshot of the engine at now, without lag. A Query command emits
// the same snapshot Config.StateLag later.
func (m *Model) State(now time.Duration) engine.State {
	m.Tick(now)
	return engine.State{
		Capacity:      m.cfg.CapacityTokens,
		HeldTokens:    m.used,
		Held:          m.held(),
		Have:          m.have,
		Loading:       m.loading != nil,
		PrefillTokens: int64(float64(m.prefillBacklog()) * m.misreportFactor),
		PrefillRate:   m.prefillRate,
		DecodeRate:    m.decodeRate,
	}
}

func (m *Model) query(now time.Duration) {
	st := m.State(now)
	st.Age = m.cfg.StateLag
	m.schedule(timer{at: now + m.cfg.StateLag, event: &engine.Event{State: &st}})
}

// held lists the exported handles in order of export, then the sequences, waiting ones
// included, by ID.
func (m *Model) held() []engine.Held {
	list := make([]engine.Held, 0, m.handles.Len()+len(m.seqs))
	m.handles.Each(func(handle string, tokens *int64) bool {
		list = append(list, engine.Held{Handle: handle, Tokens: *tokens})
		return true
	})
	for _, s := range m.sortedSequences() {
		list = append(list, engine.Held{ID: s.submit.ID, Tokens: s.held(m.step), Output: s.output(m.step)})
	}
	return list
}

// prefillBacklog returns the prompt tokens still to prefill.
func (m *Model) prefillBacklog() int64 {
	total := int64(0)
	for _, s := range m.waiting {
		total += s.prompt + s.out
	}
	for _, s := range m.importers {
		if s.phase == phaseImporting {
			total += s.prompt + s.out
		}
	}
	for _, s := range m.prefilling {
		total += s.remaining
	}
	return total
}
