package enginemodel

import (
	"container/heap"
	"time"

	"trefoilpath.org/trefoilpath/internal/engine"
)

// timer is an action due at a set time. Exactly one of the fields after order is set.
type timer struct {
	at       time.Duration
	order    uint64        // breaks ties between equal times
	event    *engine.Event // event to emit
	imported *sequence     // sequence whose KV cache transfer is complete
	load     *load         // load that is complete
	flush    bool          // emit the pending prefix cache changes
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return t
}

func (m *Model) schedule(t timer) {
	m.timerSeq++
	t.order = m.timerSeq
	heap.Push(&m.timers, t)
}

func (m *Model) fire(t timer) {
	switch {
	case t.event != nil:
		m.emit(*t.event)
	case t.imported != nil:
		m.finishImport(t.imported)
	case t.load != nil:
		m.finishLoad(t.load)
	case t.flush:
		m.flushCache()
	}
}
