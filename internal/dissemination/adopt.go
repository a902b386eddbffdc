package dissemination

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/invariant"
)

// adopt makes s the active revision if it is newer, and announces it. After SetLocal
// it does nothing.
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
	m.state, m.current, m.snapshotUntaken = s, nil, true
	invariant.Check(m.Revision() > before, "revision-increases", "before", before, "now", m.Revision())
	m.finishFetch(now)
	m.watch.discardAdopted(m.Revision())
	m.announceSoon(now)
}

// digest returns the digest of the active root, or 0.
func (m *Core) digest() uint64 {
	if m.state == nil {
		return 0
	}
	return m.state.Digest()
}

// pastState returns the earlier state with the given root digest, or nil if it is
// not in the history.
func (m *Core) pastState(digest uint64) *declaration.State {
	for i := len(m.history) - 1; i >= 0; i-- {
		if m.history[i].Digest() == digest {
			return m.history[i]
		}
	}
	return nil
}

// applyDifference applies a difference from a peer or a root record and reports
// whether it leads from the active revision to a newer one.
func (m *Core) applyDifference(now time.Duration, d *declaration.Difference) bool {
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
