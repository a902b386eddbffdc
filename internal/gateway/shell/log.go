package shell

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"trefoilpath.org/trefoilpath/internal/gateway"
	"trefoilpath.org/trefoilpath/internal/logging"
)

const (
	// logBuffer is the number of lines that may wait to be written.
	logBuffer = 1024
	// logRate is the number of lines allowed per second, about five for each request
	// at the request rate of a small VM. logBurst bounds the unused allowance that
	// accumulates.
	logRate  = 300
	logBurst = 1200
	// logPeriod is how often the allowance is refilled and the number of dropped
	// lines is logged.
	logPeriod = time.Second
)

// boundedWriter passes lines to a goroutine that writes them, so that logging never
// blocks. Lines beyond the rate or beyond a full buffer are dropped and counted.
type boundedWriter struct {
	lines     chan []byte
	allowance atomic.Int64
	dropped   atomic.Uint64
	done      chan struct{}

	mu     sync.RWMutex // guards closed, and lines against being closed during a Write
	closed bool
}

// newBoundedWriter returns a boundedWriter over w and starts its goroutine.
func newBoundedWriter(w io.Writer) *boundedWriter {
	b := &boundedWriter{lines: make(chan []byte, logBuffer), done: make(chan struct{})}
	b.allowance.Store(logBurst)
	go b.run(w)
	return b
}

// Write implements io.Writer.
func (b *boundedWriter) Write(p []byte) (int, error) {
	if b.allowance.Add(-1) < 0 {
		b.dropped.Add(1)
		return len(p), nil
	}
	line := append([]byte(nil), p...)
	b.mu.RLock()
	defer b.mu.RUnlock()
	if b.closed {
		return len(p), nil
	}
	select {
	case b.lines <- line:
	default:
		b.dropped.Add(1)
	}
	return len(p), nil
}

func (b *boundedWriter) run(w io.Writer) {
	defer close(b.done)
	for line := range b.lines {
		if _, err := w.Write(line); err != nil {
			b.dropped.Add(1) // logged with the dropped lines once the output works
		}
	}
}

// refill adds the allowance of one logPeriod and returns the number of lines
// dropped since the last call.
func (b *boundedWriter) refill() uint64 {
	b.allowance.Store(min(max(b.allowance.Load(), 0)+logRate, logBurst))
	return b.dropped.Swap(0)
}

// close writes the waiting lines. Lines that are written afterwards, by calls that outlive the
// gateway, are dropped.
func (b *boundedWriter) close() {
	b.mu.Lock()
	b.closed = true
	close(b.lines)
	b.mu.Unlock()
	<-b.done
}

// newLogger returns a logger to w that adds the node's name to each line.
func newLogger(w io.Writer, node string) zerolog.Logger {
	return logging.New(w, "info").With().Str("node", node).Logger()
}

// logEvent logs an event of the core. Fields that do not apply are left out;
// attempt and waited_ms apply to every event of a request, also if they are 0.
func (g *Gateway) logEvent(e *gateway.Event) {
	l := g.log.Info().Str("event", e.Name)
	if e.Request != "" {
		l = l.Str("request", e.Request).Int("attempt", e.Attempt).Dur("waited_ms", e.Wait)
	}
	if e.Endpoint != "" {
		l = l.Str("endpoint", e.Endpoint)
	}
	if e.Count != 0 {
		l = l.Int("count", e.Count)
	}
	if e.Took != 0 {
		l = l.Dur("took_ms", e.Took)
	}
	if e.Detail != "" {
		l = l.Str("detail", e.Detail)
	}
	l.Send()
}
