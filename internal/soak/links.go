package soak

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/simnet"
)

// changeLink applies a fault to both directions of a link and heals the link after
// d, which ends faults applied meanwhile too.
func (w *World) changeLink(p nodePair, kind string, d time.Duration, change func(*simnet.Link)) {
	w.record(p.a, kind, string(p.b), "", int64(d))
	w.disturb(p.a, p.b)
	w.net.Change(p.a, p.b, change)
	w.net.Change(bulk(p.a), bulk(p.b), change)
	if s := w.streamOf(p); s != nil {
		s.breakAfter(pingTimeout, func() bool { return !w.net.Connected(p.a, p.b) })
	}
	w.clock.After(d, func() { w.healLink(p) })
}

func (w *World) healLink(p nodePair) {
	w.record(p.a, "link-heal", string(p.b), "", 0)
	w.disturb(p.a, p.b)
	w.net.Heal(p.a, p.b)
	w.net.Heal(bulk(p.a), bulk(p.b))
	if s := w.streamOf(p); s != nil {
		s.flush()
	}
}

// healAllLinks restores every link that a fault has changed.
func (w *World) healAllLinks() {
	for i, e := range w.entries {
		for _, s := range e.streams {
			w.healIfChanged(nodePair{s.agent.name, e.name})
		}
		for _, other := range w.entries[i+1:] {
			w.healIfChanged(nodePair{e.name, other.name})
			w.healIfChanged(nodePair{other.name, e.name})
		}
		w.healIfChanged(nodePair{e.name, storeName})
	}
}

func (w *World) healIfChanged(p nodePair) {
	if !w.net.Healthy(p.a, p.b) {
		w.healLink(p)
	}
}

// streamOf returns the stream between an agent and an entry, or nil.
func (w *World) streamOf(p nodePair) *stream {
	for _, e := range w.entries {
		for _, s := range e.streams {
			if s.agent.name == p.a && e.name == p.b {
				return s
			}
		}
	}
	return nil
}

// disturbFor records a disturbance of a node now and again after d.
func (w *World) disturbFor(d time.Duration, n simnet.Node) {
	w.disturb(n)
	w.clock.After(d, func() { w.disturb(n) })
}
