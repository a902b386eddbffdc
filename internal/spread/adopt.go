package spread

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/invariant"
)

// adopt puts a newer revision in force and announces it.
func (m *Core) adopt(now time.Duration, s *declaration.State) {
	before := m.Revision()
	if s.Revision() <= before || m.local {
		return
	}
	if m.state != nil {
		m.history = append(m.history, m.state)
		if len(m.history) > historyLen {
			m.history = m.history[1:]
		}
	}
	m.state, m.current, m.fresh = s, nil, true
	invariant.Check(m.Revision() > before, "revision-increases", "before", before, "now", m.Revision())
	m.finishFetch(now)
	m.watch.finished(m.Revision())
	m.announceSoon(now)
}

// digest returns the digest of the root in force, or 0.
func (m *Core) digest() uint64 {
	if m.state == nil {
		return 0
	}
	return m.state.Digest()
}

// held returns the state with the given root digest, if it is remembered.
func (m *Core) held(digest uint64) *declaration.State {
	for i := len(m.history) - 1; i >= 0; i-- {
		if m.history[i].Digest() == digest {
			return m.history[i]
		}
	}
	return nil
}

// take applies an encoded or inline difference and reports whether it led on
// from the revision in force.
func (m *Core) take(now time.Duration, d *declaration.Difference) bool {
	if m.state == nil || d.Revision <= m.state.Revision() {
		return false
	}
	next, err := m.state.Apply(d)
	if err != nil {
		return false
	}
	m.adopt(now, next)
	return true
}
