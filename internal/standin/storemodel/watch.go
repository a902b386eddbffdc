package storemodel

import (
	"cmp"
	"slices"
	"strings"

	"trefoilpath.org/trefoilpath/internal/store"
)

// watch returns a result if there is a change after version op.Expect or, with
// StatusTimeout, if op.TTL is not positive. Otherwise it returns a Watch that waits
// up to op.TTL.
func (m *Model) watch(op store.Op) (store.Result, *Watch) {
	if pairs := m.changes(op); len(pairs) > 0 {
		return m.finishResult(op, store.Result{Status: store.StatusOK, Pairs: pairs}), nil
	}
	if op.TTL <= 0 {
		return m.finishResult(op, store.Result{Status: store.StatusTimeout}), nil
	}
	w := &Watch{Op: op, until: m.now + op.TTL}
	m.watches = append(m.watches, w)
	return store.Result{}, w
}

// changes returns the keys with the prefix op.Key that changed after version op.Expect.
func (m *Model) changes(op store.Op) []store.Pair {
	pairs := slices.DeleteFunc(m.list(op.Key), func(p store.Pair) bool { return p.Version <= op.Expect })
	indexOf := make(map[string]int) // index in pairs of each deleted key
	for _, t := range m.tombstones {
		_, present := m.records[t.key]
		if t.version <= op.Expect || present || !strings.HasPrefix(t.key, op.Key) {
			continue
		}
		p := store.Pair{Key: t.key, Version: t.version, Deleted: true}
		if i, ok := indexOf[t.key]; ok {
			pairs[i] = p
			continue
		}
		indexOf[t.key] = len(pairs)
		pairs = append(pairs, p)
	}
	slices.SortFunc(pairs, func(a, b store.Pair) int { return cmp.Compare(a.Key, b.Key) })
	return pairs
}

// notify answers the watches that wait for a change of key.
func (m *Model) notify(key string) {
	m.watches = slices.DeleteFunc(m.watches, func(w *Watch) bool {
		if !strings.HasPrefix(key, w.Op.Key) || m.version <= w.Op.Expect {
			return false
		}
		m.answer(w, store.Result{Status: store.StatusOK, Pairs: m.changes(w.Op)})
		return true
	})
}

func (m *Model) expireWatches() {
	m.watches = slices.DeleteFunc(m.watches, func(w *Watch) bool {
		if w.until > m.now {
			return false
		}
		m.answer(w, store.Result{Status: store.StatusTimeout})
		return true
	})
}

func (m *Model) answer(w *Watch, r store.Result) {
	w.Result = m.finishResult(w.Op, r)
	m.answered = append(m.answered, w)
}

// TakeWatches returns the watches answered since the last call.
func (m *Model) TakeWatches() []*Watch {
	answered := m.answered
	m.answered = nil
	return answered
}

// Waiting returns the number of watches not yet answered.
func (m *Model) Waiting() int { return len(m.watches) }

// RemoveWatch removes a waiting watch whose caller has disconnected.
func (m *Model) RemoveWatch(w *Watch) {
	if at := slices.Index(m.watches, w); at >= 0 {
		m.watches = slices.Delete(m.watches, at, at+1)
	}
}
