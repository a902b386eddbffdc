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

// ErrOverflow reports that the control queue is full because the receiver is too slow.
var ErrOverflow = errors.New("control queue full")

// queue holds the messages of one direction until they are written. It is safe
// for concurrent use.
type queue[T any] struct {
	mu      sync.Mutex
	control []T           // allocated as needed, so that an idle stream uses little memory
	ready   chan struct{} // holds one token while control may hold messages
	bulk    chan T
	done    chan struct{} // closed by close
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

// takeControl moves up to maxBatchLen queued control messages to the end of buf.
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

// sendBulk queues a bulk message. It blocks while the bulk queue is full.
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

// next waits for at least one message, reusing buf. It returns up to maxBatchLen
// control messages followed by at most maxBulkPerBatch+1 bulk ones, or false if
// the queue is closed, in which case queued messages may be lost.
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

// drain appends the elements buffered in c until buf has limit elements.
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
