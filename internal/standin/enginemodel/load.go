package enginemodel

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// load is a model load in progress.
type load struct{ req engine.Load }

// startLoad starts switching the engine to an assignment. For a new model or version
// it first fails all sequences and frees all memory.
func (m *Model) startLoad(now time.Duration, req engine.Load) {
	if m.staleOrder(req) {
		m.emit(engine.Event{Loaded: &engine.Loaded{OrderID: req.OrderID, Stale: true, Have: m.have}})
		return
	}
	m.maxFence = max(m.maxFence, req.Fence)
	m.maxIncarnation = max(m.maxIncarnation, req.Incarnation)
	if m.loading != nil && sameAssignment(m.loading.req.Want, req.Want) {
		m.loading.req = req
		return
	}
	m.abandonLoad()
	if sameAssignment(m.have, req.Want) {
		m.emit(engine.Event{Loaded: &engine.Loaded{OrderID: req.OrderID, OK: true, Have: m.have}})
		return
	}
	took := m.cfg.AdapterLoadTime
	if m.have.Model != req.Want.Model || m.have.Version != req.Want.Version {
		took = m.cfg.LoadTime
		m.unload()
	}
	m.loading = &load{req: req}
	m.schedule(timer{at: now + took, load: m.loading})
}

func (m *Model) abandonLoad() {
	if m.loading == nil {
		return
	}
	m.emit(engine.Event{Loaded: &engine.Loaded{OrderID: m.loading.req.OrderID, Have: m.have}})
	m.loading = nil
}

func (m *Model) finishLoad(l *load) {
	if m.loading != l {
		return
	}
	m.loading = nil
	if !m.failLoads {
		m.have = l.req.Want
	}
	m.emit(engine.Event{Loaded: &engine.Loaded{OrderID: l.req.OrderID, OK: !m.failLoads, Have: m.have}})
}

// unload removes the model with its sequences, exported handles and prefix cache.
func (m *Model) unload() {
	for _, s := range m.sortedSequences() {
		m.fail(s, engine.FailModel)
	}
	for _, handle := range m.handles.Keys() {
		m.dropHandle(handle)
	}
	m.cache.clear()
	m.scheduleFlush()
	m.have = wire.Assignment{}
}

func (m *Model) sortedSequences() []*sequence {
	return slices.SortedFunc(maps.Values(m.seqs), func(a, b *sequence) int {
		return cmp.Compare(a.submit.ID, b.submit.ID)
	})
}

func (m *Model) staleOrder(req engine.Load) bool {
	return m.cfg.CheckFence && (req.Fence < m.maxFence || req.Incarnation < m.maxIncarnation)
}

// staleSubmit reports whether a sequence comes from an agent that has been replaced. It
// records the incarnation of a Submit that is not stale. A Submit without a fence is
// checked by its incarnation alone.
func (m *Model) staleSubmit(sub *engine.Submit) bool {
	if !m.cfg.CheckFence {
		return false
	}
	stale := sub.Fence != 0 && sub.Fence < m.maxFence || sub.Incarnation < m.maxIncarnation
	if !stale {
		m.maxIncarnation = max(m.maxIncarnation, sub.Incarnation)
	}
	return stale
}

func sameAssignment(a, b wire.Assignment) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Role == b.Role &&
		slices.Equal(a.Adapters, b.Adapters)
}
