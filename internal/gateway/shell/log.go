package shell

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"trefoilpath.org/trefoilpath/internal/gateway"
	"trefoilpath.org/trefoilpath/internal/logging"
)

const (
	// logBuffer is the number of lines that wait for the output.
	logBuffer = 1024
	// logRate and logBurst bound the lines a second: five a request at the rate of
	// requests that one small VM carries.
	logRate  = 300
	logBurst = 1200
	// logPeriod is how often the allowance is refilled and dropped lines are told.
	logPeriod = time.Second
)

// boundedWriter hands lines to a goroutine that writes them. It never blocks:
// lines beyond the rate, or that find the buffer full, are counted and dropped.
type boundedWriter struct {
	lines   chan []byte
	allowed atomic.Int64
	dropped atomic.Uint64
	done    chan struct{}
}

// newBoundedWriter starts writing to w.
func newBoundedWriter(w io.Writer) *boundedWriter {
	b := &boundedWriter{lines: make(chan []byte, logBuffer), done: make(chan struct{})}
	b.allowed.Store(logBurst)
	go b.run(w)
	return b
}

// Write implements io.Writer.
func (b *boundedWriter) Write(p []byte) (int, error) {
	if b.allowed.Add(-1) < 0 {
		b.dropped.Add(1)
		return len(p), nil
	}
	line := append([]byte(nil), p...)
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
			b.dropped.Add(1) // told with the dropped lines once the output works
		}
	}
}

// refill allows another period's lines and returns the number dropped since the
// last call.
func (b *boundedWriter) refill() uint64 {
	b.allowed.Store(min(max(b.allowed.Load(), 0)+logRate, logBurst))
	return b.dropped.Swap(0)
}

// close writes what waits. Nothing may be written afterwards.
func (b *boundedWriter) close() {
	close(b.lines)
	<-b.done
}

// newLogger returns a logger over w.
func newLogger(w io.Writer, node string) zerolog.Logger {
	return logging.New(w, "info").With().Str("node", node).Logger()
}

// logEvent writes an event of the core. Fields that do not apply are left out.
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
