package shell

import (
	"bytes"
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
func (x *exchange) relayStream(conn *upstream.Conn, resp *http.Response, a *attempt, e *gateway.AttemptEnded) *gateway.AttemptEnded {
	if ended := x.checkResumption(conn, resp, a, e); ended != nil {
		return ended
	}
	buf := make([]byte, 0, eventBuffer)
	defer func() { x.releaseEvents(buf) }()
	watch := x.watchStalls(a)
	defer watch.stop()
	for {
		searched := len(buf) // there is no end of an event before
		watch.reading.Store(true)
		n, err := resp.Body.Read(buf[searched:cap(buf)])
		watch.reading.Store(false)
		buf = buf[:searched+n]
		if n > 0 {
			a.heardAt = x.g.now()
		}
		if whole := completeEventsLen(buf, searched); whole > 0 {
			if err := x.relayEvents(a, resp, buf[:whole], watch); err != nil {
				conn.Close()
				return x.failAttempt(a, e, gateway.ResultBroken, err)
			}
			buf = x.trimEvents(buf[:copy(buf, buf[whole:])])
		}
		if err == io.EOF {
			if err = checkStreamEnd(resp, buf, a.begun); err == nil {
				return x.endStream(conn, resp, buf, a, e)
			}
			e.TruncatedBytes = len(buf)
			x.g.meters.streamsTruncated.Inc(1)
		}
		if err == nil && len(buf) > maxEventBytes {
			err = errEventTooLarge
		}
		if err == nil && len(buf) == cap(buf) {
			buf, err = x.growEvents(buf)
		}
		if err != nil {
			conn.Close()
			return x.failAttempt(a, e, gateway.ResultBroken, err)
		}
	}
}

// checkResumption ends an attempt whose response can't go on where the caller's stands: the
// attempt on standby has gone on meanwhile, or the response is not the rest of the stream.
func (x *exchange) checkResumption(conn *upstream.Conn, resp *http.Response, a *attempt, e *gateway.AttemptEnded) *gateway.AttemptEnded {
	x.delivery.Lock()
	started, goesOn := x.responseStarted, x.lastEventID == a.resumeAfter
	x.delivery.Unlock()
	switch {
	case started && !goesOn:
		conn.Close()
		return x.failAttempt(a, e, gateway.ResultBroken, errSuperseded)
	case started && (!x.route.Resumable || a.resumeAfter == "" || resp.StatusCode != http.StatusOK):
		conn.Close()
		e.Result, e.Detail = gateway.ResultFailed, "the stream can't go on here"
		return x.deliveryState(e)
	}
	return nil
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
func (x *exchange) endStream(conn *upstream.Conn, resp *http.Response, rest []byte, a *attempt, e *gateway.AttemptEnded) *gateway.AttemptEnded {
	conn.Release(resp)
	if !x.completeStream(resp, rest, a) {
		return x.failAttempt(a, e, gateway.ResultBroken, errSuperseded)
	}
	e.Result = gateway.ResultDone
	return x.deliveryState(e)
}

// completeStream sends the rest of a stream, and reports whether a is the attempt that may.
func (x *exchange) completeStream(resp *http.Response, rest []byte, a *attempt) bool {
	x.delivery.Lock()
	defer x.delivery.Unlock()
	if !x.claim(a) {
		return false
	}
	if !x.responseStarted {
		x.startResponse(resp)
	}
	if len(rest) > 0 {
		if _, err := x.w.Write(rest); err != nil {
			x.logLocal("caller-lost", err.Error())
		}
	}
	x.markComplete(resp.StatusCode)
	return true
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

// relayEvents sends complete events of an attempt to the caller, and tells the core if they
// are its first or the first after a silence. The error is errSuperseded if another attempt
// answers the request.
func (x *exchange) relayEvents(a *attempt, resp *http.Response, events []byte, watch *stallWatch) error {
	x.delivery.Lock()
	defer x.delivery.Unlock()
	if !x.claim(a) {
		return errSuperseded
	}
	if !a.begun {
		a.begun = true
		x.notifyFirstEvent(a)
	}
	if watch.reported.Swap(false) {
		x.g.tick(gateway.Input{Resumed: &gateway.Resumed{ID: x.id, Attempt: a.Attempt}})
	}
	defer watch.eventRelayed()
	return x.sendEvents(resp, events)
}

func (x *exchange) sendEvents(resp *http.Response, events []byte) error {
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
