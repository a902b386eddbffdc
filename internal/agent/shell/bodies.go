package shell

import (
	"sync"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// bodies holds the request bodies that have not been sent to the endpoint.
type bodies struct {
	maxBytes int64 // of one body
	maxCount int64 // bodies held at once

	mu        sync.Mutex
	byAttempt map[wire.AttemptID]*body
}

type body struct {
	want int64 // bytes
	data []byte
}

func newBodies(maxBytes, maxCount int64) *bodies {
	return &bodies{maxBytes: maxBytes, maxCount: maxCount, byAttempt: make(map[wire.AttemptID]*body)}
}

// expect registers a body of size bytes. It ignores a body above maxBytes or
// beyond maxCount: the attempt never becomes ready and is refused at its start-by
// time.
func (b *bodies) expect(id wire.AttemptID, size int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if size > b.maxBytes || int64(len(b.byAttempt)) >= b.maxCount || b.byAttempt[id] != nil {
		return
	}
	b.byAttempt[id] = &body{want: size}
}

// add appends a chunk and reports whether it completes the body. It discards the
// body if the chunk leaves a gap or exceeds the announced size.
func (b *bodies) add(chunk *wire.BodyChunk) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	pending := b.byAttempt[chunk.Attempt]
	if pending == nil {
		return false
	}
	have := int64(len(pending.data))
	if chunk.Offset < have {
		return false // duplicate
	}
	if chunk.Offset > have || have+int64(len(chunk.Data)) > pending.want {
		delete(b.byAttempt, chunk.Attempt)
		return false
	}
	pending.data = append(pending.data, chunk.Data...)
	return int64(len(pending.data)) == pending.want
}

// take removes and returns a body; it returns nil if there is none.
func (b *bodies) take(id wire.AttemptID) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	pending := b.byAttempt[id]
	if pending == nil {
		return nil
	}
	delete(b.byAttempt, id)
	return pending.data
}

func (b *bodies) drop(id wire.AttemptID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.byAttempt, id)
}
