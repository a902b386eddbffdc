package soak

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/simnet"
)

// changeLink changes a link in both directions for d.
func (w *World) changeLink(p pair, kind string, d time.Duration, change func(*simnet.Link)) {
	w.record(p.a, kind, string(p.b), "", int64(d))
	w.disturb(p.a, p.b)
	w.net.Change(p.a, p.b, change)
	w.net.Change(bulk(p.a), bulk(p.b), change)
	if s := w.streamOf(p); s != nil {
		s.breakAfter(pingTimeout, func() bool { return !w.net.Connected(p.a, p.b) })
	}
	w.clock.After(d, func() { w.healLink(p) })
}

func (w *World) healLink(p pair) {
	w.record(p.a, "link-heal", string(p.b), "", 0)
	w.disturb(p.a, p.b)
	w.net.Heal(p.a, p.b)
	w.net.Heal(bulk(p.a), bulk(p.b))
	if s := w.streamOf(p); s != nil {
		s.flush()
	}
}

// healAllLinks restores every link that is not as it began.
func (w *World) healAllLinks() {
	for i, e := range w.entries {
		for _, s := range e.streams {
			w.healIfChanged(pair{s.agent.name, e.name})
		}
		for _, other := range w.entries[i+1:] {
			w.healIfChanged(pair{e.name, other.name})
			w.healIfChanged(pair{other.name, e.name})
		}
		w.healIfChanged(pair{e.name, storeName})
	}
}

func (w *World) healIfChanged(p pair) {
	if !w.net.Healthy(p.a, p.b) {
		w.healLink(p)
	}
}

// streamOf returns the stream that runs over a link, or nil.
func (w *World) streamOf(p pair) *stream {
	for _, e := range w.entries {
		for _, s := range e.streams {
			if s.agent.name == p.a && e.name == p.b {
				return s
			}
		}
	}
	return nil
}

// disturbFor notes a disturbance now and at its end.
func (w *World) disturbFor(d time.Duration, n simnet.Node) {
	w.disturb(n)
	w.clock.After(d, func() { w.disturb(n) })
}
