package standin

import (
	"sync"

	"trefoilpath.org/trefoilpath/internal/engine"
)

// broadcast keeps the latest cache events for any number of readers. A reader that
// falls behind loses events and sees a gap in their sequence numbers.
type broadcast struct {
	mu      sync.Mutex
	limit   int // the latest events are kept: at least limit, at most 2*limit
	base    int // position of events[0]
	events  []engine.Cache
	changed chan struct{} // closed and replaced on each event
}

func newBroadcast(limit int) *broadcast {
	return &broadcast{limit: limit, changed: make(chan struct{})}
}

func (b *broadcast) publish(ev engine.Cache) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.events = append(b.events, ev)
	if len(b.events) > 2*b.limit {
		b.events = append([]engine.Cache(nil), b.events[b.limit:]...)
		b.base += b.limit
	}
	close(b.changed)
	b.changed = make(chan struct{})
}

// end returns the position after the last event.
func (b *broadcast) end() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.base + len(b.events)
}

// since returns the kept events from position at on, the position after them, and a
// channel that is closed when there are more.
func (b *broadcast) since(at int) ([]engine.Cache, int, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at = max(at, b.base)
	events := append([]engine.Cache(nil), b.events[at-b.base:]...)
	return events, b.base + len(b.events), b.changed
}
