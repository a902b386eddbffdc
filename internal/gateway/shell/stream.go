package shell

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/gateway"
	"trefoilpath.org/trefoilpath/internal/upstream"
)

const (
	// eventBuffer is the initial size in bytes of the buffer for events.
	// maxEventBytes bounds one event.
	eventBuffer   = 1 << 10
	maxEventBytes = 1 << 20
)

var (
	errEventTooLarge  = errors.Errorf("event is larger than %d bytes", maxEventBytes)
	errTruncatedEvent = errors.New("the stream ended inside an event")
	errNoEvent        = errors.New("the connection ended before the stream's first event")
)

// relayStream relays the events of a stream to the caller, each when it is complete.
// An event that is truncated because the stream broke off is not relayed, so that
// another endpoint can resume after the last complete one.
func (x *exchange) relayStream(ctx context.Context, conn *upstream.Conn, resp *http.Response, d *gateway.Dispatch, e *gateway.AttemptEnded) *gateway.AttemptEnded {
	if x.responseStarted && !x.canResume(resp) {
		conn.Close()
		e.Result, e.PartlyDelivered, e.Resumable, e.Detail = gateway.ResultFailed, true, x.route.Resumable, "the stream can't go on here"
		return e
	}
	buf := make([]byte, 0, eventBuffer)
	first := true
	watch := x.watchStalls(d)
	defer watch.stop()
	for {
		searched := len(buf) // there is no end of an event before
		n, err := resp.Body.Read(buf[searched:cap(buf)])
		buf = buf[:searched+n]
		if n > 0 {
			x.heardAt = x.g.now()
		}
		whole := completeEventsLen(buf, searched)
		if whole > 0 {
			if first {
				x.notifyFirstEvent(d)
				first = false
			}
			if err := x.relayEvents(resp, buf[:whole]); err != nil {
				conn.Close()
				return x.failAttempt(ctx, e, gateway.ResultBroken, err)
			}
			watch.eventRelayed()
			buf = append(buf[:0], buf[whole:]...)
		}
		if err == io.EOF {
			if err = checkStreamEnd(resp, buf, !first); err == nil {
				return x.endStream(conn, resp, buf, e)
			}
			e.TruncatedBytes = len(buf)
			x.g.meters.streamsTruncated.Inc(1)
		}
		if err == nil && len(buf) > maxEventBytes {
			err = errEventTooLarge
		}
		if err != nil {
			conn.Close()
			return x.failAttempt(ctx, e, gateway.ResultBroken, err)
		}
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
	}
}

// canResume reports whether a response can continue the stream that another
// endpoint has begun.
func (x *exchange) canResume(resp *http.Response) bool {
	return x.route.Resumable && x.lastEventID != "" && resp.StatusCode == http.StatusOK
}

// checkStreamEnd returns an error if the body of a stream has ended and the stream is
// incomplete, however the body was framed. rest are the bytes after the last complete event;
// events tells whether there was one.
func checkStreamEnd(resp *http.Response, rest []byte, events bool) error {
	switch {
	case len(bytes.Trim(rest, "\r\n")) > 0:
		return errTruncatedEvent
	case !events && upstream.EndsWithConnection(resp):
		return errNoEvent
	}
	return nil
}

// endStream completes the response after the proper end of a stream. rest are line ends
// after the last event; they are relayed too.
func (x *exchange) endStream(conn *upstream.Conn, resp *http.Response, rest []byte, e *gateway.AttemptEnded) *gateway.AttemptEnded {
	conn.Release(resp)
	if !x.responseStarted {
		x.startResponse(resp)
	}
	if len(rest) > 0 {
		if _, err := x.w.Write(rest); err != nil {
			x.logLocal("caller-lost", err.Error())
		}
	}
	x.markComplete(resp.StatusCode)
	e.Result = gateway.ResultDone
	return e
}

// startResponse sends the status and headers of a relayed response. A stream that
// resumes at another endpoint keeps those of the first.
func (x *exchange) startResponse(resp *http.Response) {
	copyHeader(x.w.Header(), resp.Header)
	x.setConnectionHeaders()
	x.responseStarted = true
	x.w.WriteHeader(resp.StatusCode)
	x.g.meters.firstEvent.Update((x.g.now() - x.arrived).Milliseconds())
}

// relayEvents sends complete events to the caller.
func (x *exchange) relayEvents(resp *http.Response, events []byte) error {
	if !x.responseStarted {
		x.startResponse(resp)
	} else {
		pause := x.g.now() - x.lastEventAt
		x.longestGap = max(x.longestGap, pause)
		x.g.meters.eventGap.Update(pause.Milliseconds())
	}
	x.lastEventAt = x.g.now()
	if _, err := x.w.Write(events); err != nil {
		return errors.Wrap(err, "relay events")
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return errors.Wrap(err, "relay events")
	}
	if id := lastEventID(events); id != "" {
		x.lastEventID = id
	}
	return nil
}

// completeEventsLen returns the length in bytes of the complete events at the
// beginning of buf. The first searched bytes hold no end of an event.
func completeEventsLen(buf []byte, searched int) int {
	from := max(searched-len("\r\n\r\n")+1, 0)
	whole := 0
	if i := bytes.LastIndex(buf[from:], []byte("\n\n")); i >= 0 {
		whole = from + i + 2
	}
	if i := bytes.LastIndex(buf[from:], []byte("\r\n\r\n")); i >= 0 {
		whole = max(whole, from+i+4)
	}
	return whole
}

// lastEventID returns the ID of the last event with an ID, or "" if there is none.
func lastEventID(events []byte) string {
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
