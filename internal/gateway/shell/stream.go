package shell

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/gateway"
	"trefoilpath.org/trefoilpath/internal/upstream"
)

const (
	// eventBuffer is the first size of the buffer for events; maxEventBytes bounds
	// one event.
	eventBuffer   = 1 << 10
	maxEventBytes = 1 << 20
	// pauseFactor times its pause objective, and pauseLeast at least, is how long
	// a stream that may go on elsewhere waits for its next event. Callers give a
	// stream up after two seconds without an event, or later.
	pauseFactor = 2
	pauseLeast  = 1200 * time.Millisecond
)

var errEventTooLarge = errors.Errorf("event is larger than %d bytes", maxEventBytes)

// pump passes the events of a stream on, each when it is whole. An event that
// is torn by the end of the stream is not passed on, so that another endpoint
// may go on behind the last whole one.
func (x *exchange) pump(ctx context.Context, conn *upstream.Conn, resp *http.Response, d *gateway.Dispatch, e *gateway.Ended) *gateway.Ended {
	if x.begun && !x.sameStream(resp) {
		conn.Close()
		e.Result, e.Begun, e.Resumable, e.Detail = gateway.ResultFailed, true, x.route.Resumable, "the stream can't go on here"
		return e
	}
	buf := make([]byte, 0, eventBuffer)
	first := true
	for {
		if !first && x.route.Resumable {
			conn.SetReadTimeout(x.longestPause())
		}
		n, err := resp.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		whole := wholeEvents(buf)
		if whole > 0 {
			if first {
				x.tellFirst(d)
				first = false
			}
			if !x.passOn(resp, buf[:whole]) {
				conn.Close()
				return x.broke(ctx, e, gateway.ResultBroken, io.ErrClosedPipe)
			}
			buf = append(buf[:0], buf[whole:]...)
		}
		if err == io.EOF {
			return x.endStream(conn, resp, buf, e)
		}
		if err == nil && len(buf) > maxEventBytes {
			err = errEventTooLarge
		}
		if err != nil {
			conn.Close()
			return x.broke(ctx, e, gateway.ResultBroken, err)
		}
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
	}
}

func (x *exchange) longestPause() time.Duration {
	return max(pauseLeast, pauseFactor*x.route.PauseObjective)
}

// sameStream reports whether an endpoint can go on with a stream that another
// one has begun.
func (x *exchange) sameStream(resp *http.Response) bool {
	return x.route.Resumable && x.lastEvent != "" && resp.StatusCode == http.StatusOK
}

// endStream handles the complete end of a stream.
func (x *exchange) endStream(conn *upstream.Conn, resp *http.Response, rest []byte, e *gateway.Ended) *gateway.Ended {
	conn.Done(resp)
	if !x.begun {
		x.begin(resp)
	}
	if len(rest) > 0 {
		if _, err := x.w.Write(rest); err != nil {
			x.logLocal("caller-lost", err.Error())
		}
	}
	x.complete(resp.StatusCode)
	e.Result = gateway.ResultDone
	return e
}

// begin sends the head of a stream. It stays that of the first endpoint.
func (x *exchange) begin(resp *http.Response) {
	copyHeader(x.w.Header(), resp.Header)
	x.setConnection()
	x.begun = true
	x.w.WriteHeader(resp.StatusCode)
	x.g.meters.first.Update((x.g.now() - x.arrived).Milliseconds())
}

// passOn sends whole events to the caller and reports whether it took them.
func (x *exchange) passOn(resp *http.Response, events []byte) bool {
	if !x.begun {
		x.begin(resp)
	} else {
		pause := x.g.now() - x.lastAt
		x.pause = max(x.pause, pause)
		x.g.meters.pause.Update(pause.Milliseconds())
	}
	x.lastAt = x.g.now()
	if _, err := x.w.Write(events); err != nil {
		return false
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return false
	}
	if id := lastID(events); id != "" {
		x.lastEvent = id
	}
	return true
}

// wholeEvents returns the length of the whole events at the beginning of buf.
func wholeEvents(buf []byte) int {
	whole := 0
	if i := bytes.LastIndex(buf, []byte("\n\n")); i >= 0 {
		whole = i + 2
	}
	if i := bytes.LastIndex(buf, []byte("\r\n\r\n")); i >= 0 {
		whole = max(whole, i+4)
	}
	return whole
}

// lastID returns the ID of the last event that has one.
func lastID(events []byte) string {
	i := bytes.LastIndex(events, []byte("\nid:"))
	switch {
	case i >= 0:
		i += len("\nid:")
	case bytes.HasPrefix(events, []byte("id:")):
		i = len("id:")
	default:
		return ""
	}
	line := events[i:]
	if end := bytes.IndexByte(line, '\n'); end >= 0 {
		line = line[:end]
	}
	return string(bytes.TrimSpace(line))
}
