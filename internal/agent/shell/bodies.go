package shell

import (
	"sync"

	"trefoilpath.org/trefoilpath/internal/bytebudget"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// bodies holds the request bodies that have not been sent to the endpoint, and charges for them
// until their attempts end.
type bodies struct {
	maxBytes int64 // of one body
	maxCount int64 // bodies held at once
	memory   *bytebudget.Account

	mu        sync.Mutex
	byAttempt map[wire.AttemptID]*body
	taken     map[wire.AttemptID]*bytebudget.Holder
}

type body struct {
	want   int64 // bytes
	data   []byte
	memory *bytebudget.Holder
}

func newBodies(maxBytes, maxCount int64, memory *bytebudget.Account) *bodies {
	return &bodies{
		maxBytes: maxBytes, maxCount: maxCount, memory: memory,
		byAttempt: make(map[wire.AttemptID]*body), taken: make(map[wire.AttemptID]*bytebudget.Holder),
	}
}

// expect registers a body of size bytes, and reports whether the agent can hold it: it ignores a
// body above maxBytes, beyond maxCount or without room.
func (b *bodies) expect(id wire.AttemptID, size int64) bool {
	if size > b.maxBytes {
		return false
	}
	memory := b.memory.Open()
	if memory.Grow(size) != nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if int64(len(b.byAttempt)) >= b.maxCount || b.byAttempt[id] != nil {
		memory.Close()
		return b.byAttempt[id] != nil
	}
	b.byAttempt[id] = &body{want: size, memory: memory}
	return true
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
		pending.memory.Close()
		return false
	}
	if pending.data == nil {
		pending.data = make([]byte, 0, pending.want)
	}
	pending.data = append(pending.data, chunk.Data...)
	return int64(len(pending.data)) == pending.want
}

// take removes and returns a body; it returns nil if there is none. The body stays charged until
// drop.
func (b *bodies) take(id wire.AttemptID) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	pending := b.byAttempt[id]
	if pending == nil {
		return nil
	}
	delete(b.byAttempt, id)
	b.taken[id] = pending.memory
	return pending.data
}

// drop forgets the body of an attempt that has ended.
func (b *bodies) drop(id wire.AttemptID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if pending := b.byAttempt[id]; pending != nil {
		pending.memory.Close()
		delete(b.byAttempt, id)
	}
	if memory := b.taken[id]; memory != nil {
		memory.Close()
		delete(b.taken, id)
	}
}
