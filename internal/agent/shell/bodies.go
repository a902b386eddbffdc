package shell

import (
	"sync"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// bodies holds the request bodies that have not been handed to the endpoint.
type bodies struct {
	maxBytes int64 // of one body
	maxCount int64

	mu   sync.Mutex
	rows map[wire.AttemptID]*body
}

type body struct {
	want int64
	data []byte
}

func newBodies(maxBytes, maxCount int64) *bodies {
	return &bodies{maxBytes: maxBytes, maxCount: maxCount, rows: make(map[wire.AttemptID]*body)}
}

// expect opens a body. One that is too large, or one too many, is not taken in:
// its attempt never becomes ready and is refused at its start-by time.
func (b *bodies) expect(id wire.AttemptID, size int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if size > b.maxBytes || int64(len(b.rows)) >= b.maxCount || b.rows[id] != nil {
		return
	}
	b.rows[id] = &body{want: size}
}

// add takes a chunk and reports whether it completes the body. A chunk that is
// out of place ends the body.
func (b *bodies) add(chunk *wire.BodyChunk) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	row := b.rows[chunk.Attempt]
	if row == nil {
		return false
	}
	have := int64(len(row.data))
	if chunk.Offset < have {
		return false // a repetition
	}
	if chunk.Offset > have || have+int64(len(chunk.Data)) > row.want {
		delete(b.rows, chunk.Attempt)
		return false
	}
	row.data = append(row.data, chunk.Data...)
	return int64(len(row.data)) == row.want
}

// take returns a body and frees it.
func (b *bodies) take(id wire.AttemptID) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	row := b.rows[id]
	if row == nil {
		return nil
	}
	delete(b.rows, id)
	return row.data
}

func (b *bodies) drop(id wire.AttemptID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.rows, id)
}
