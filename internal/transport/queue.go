package transport

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// Bounds of one direction of a stream.
const (
	controlQueueLen = 8192 // messages
	bulkQueueLen    = 64   // messages
	maxBatchLen     = 512  // messages
	maxBulkPerBatch = 4    // messages
)

// ErrClosed reports that a stream has ended.
var ErrClosed = errors.New("stream closed")

// ErrOverflow reports that the receiver of a stream does not keep up.
var ErrOverflow = errors.New("control queue full")

// queue holds the messages of one direction until they are written. It is safe
// for concurrent use.
type queue[T any] struct {
	mu      sync.Mutex
	control []T           // grows with what waits, so that an idle stream holds little
	ready   chan struct{} // holds one token while control may hold messages
	bulk    chan T
	done    chan struct{}
	once    sync.Once
}

func newQueue[T any]() *queue[T] {
	return &queue[T]{
		ready: make(chan struct{}, 1),
		bulk:  make(chan T, bulkQueueLen),
		done:  make(chan struct{}),
	}
}

// send queues a control message. It never blocks: a full queue is an error.
func (q *queue[T]) send(m T) error {
	select {
	case <-q.done:
		return ErrClosed
	default:
	}
	q.mu.Lock()
	full := len(q.control) >= controlQueueLen
	if !full {
		q.control = append(q.control, m)
	}
	q.mu.Unlock()
	if full {
		return ErrOverflow
	}
	q.signal()
	return nil
}

func (q *queue[T]) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// takeControl appends the control messages that wait to buf, up to maxBatchLen.
func (q *queue[T]) takeControl(buf []T) []T {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := min(len(q.control), maxBatchLen)
	buf = append(buf, q.control[:n]...)
	rest := len(q.control) - n
	if rest == 0 {
		q.control = nil
		return buf
	}
	q.control = q.control[n:]
	q.signal()
	return buf
}

// sendBulk queues a bulk message, waiting for room.
func (q *queue[T]) sendBulk(ctx context.Context, m T) error {
	select {
	case q.bulk <- m:
		return nil
	case <-q.done:
		return ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (q *queue[T]) close() { q.once.Do(func() { close(q.done) }) }

// next waits for at least one message and returns all control messages at hand
// followed by a few bulk ones.
func (q *queue[T]) next(buf []T) ([]T, bool) {
	buf = buf[:0]
	for len(buf) == 0 {
		select {
		case <-q.ready:
			buf = q.takeControl(buf)
		case m := <-q.bulk:
			buf = append(q.takeControl(buf), m)
		case <-q.done:
			return buf, false
		}
	}
	return drain(q.bulk, buf, len(buf)+maxBulkPerBatch), true
}

// drain appends what c holds until buf has limit elements.
func drain[T any](c chan T, buf []T, limit int) []T {
	for len(buf) < limit {
		select {
		case m := <-c:
			buf = append(buf, m)
		default:
			return buf
		}
	}
	return buf
}
