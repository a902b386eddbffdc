package transport

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// Bounds of one direction of a stream.
const (
	controlQueueLen = 8192 // messages
	bulkQueueLen    = 256  // messages
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
	control chan T
	bulk    chan T
	done    chan struct{}
	once    sync.Once
}

func newQueue[T any]() *queue[T] {
	return &queue[T]{
		control: make(chan T, controlQueueLen),
		bulk:    make(chan T, bulkQueueLen),
		done:    make(chan struct{}),
	}
}

// send queues a control message. It never blocks: a full queue is an error.
func (q *queue[T]) send(m T) error {
	select {
	case <-q.done:
		return ErrClosed
	default:
	}
	select {
	case q.control <- m:
		return nil
	default:
		return ErrOverflow
	}
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
	select {
	case m := <-q.control:
		buf = append(buf, m)
	case m := <-q.bulk:
		buf = append(drain(q.control, buf, maxBatchLen), m)
	case <-q.done:
		return buf, false
	}
	buf = drain(q.control, buf, maxBatchLen)
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
