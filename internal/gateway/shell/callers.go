package shell

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/bytebudget"
	"trefoilpath.org/trefoilpath/internal/gateway"
	"trefoilpath.org/trefoilpath/internal/route"
)

const (
	// defaultBodyBytes bounds a request's body if the configuration does not.
	defaultBodyBytes = 4 << 20
	// defaultTimeout bounds a request if its route has no timeout.
	defaultTimeout = 15 * time.Second
	// startingRetryAfter is the Retry-After of responses while no configuration is
	// known.
	startingRetryAfter = 300 * time.Millisecond
	// keepAliveMargin is the difference between the idle limit of connections and
	// the shorter one stated to callers: a caller's last request may be delayed by a
	// lost packet.
	keepAliveMargin = time.Second
	// plainText is the media type of the gateway's own answers.
	plainText = "text/plain; charset=utf-8"
	// bodyTimeout bounds the time to read a request's body.
	bodyTimeout = 5 * time.Second
	// discardBytes is the size in bytes up to which a body that is not needed is read, so that its connection can be
	// kept.
	discardBytes = 256 << 10
	// writeTimeout bounds the time in which a caller takes 64 KiB of its response.
	writeTimeout = 10 * time.Second
	// memoryRetryAfter is the Retry-After of a response to a request for whose body there is no memory.
	memoryRetryAfter = 300 * time.Millisecond
)

// ServeHTTP implements http.Handler for callers' requests.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := g.newExchange(w, r)
	defer x.memory.Close()
	r.Trailer = nil // names that the head declares; trailers are not forwarded
	table := g.table.Load()
	if table == nil {
		x.logLocal("refuse", "no-configuration")
		x.discardBody()
		x.refuse(startingRetryAfter, "not run: no configuration yet")
		return
	}
	if !x.admit(table) || !x.readBody(table.Limits()) {
		return
	}
	if !g.endsBeforeExit(x.deadline) {
		x.logLocal("refuse", "shutting-down")
		x.refuse(shutdownRetryAfter, "not run: shutting down")
		return
	}
	g.register(x)
	g.tick(gateway.Input{Arrive: x.arrival()})
	x.run()
}

// admit finds the route, account, priority, service and deadline of a request. If
// the request is rejected, it sends the response and returns false.
func (x *exchange) admit(table *route.Table) bool {
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	x.route = table.Match(x.r.Host, path)
	if x.route == nil {
		x.rejectUnread(http.StatusNotFound, "no route for this host and path")
		return false
	}
	account, known := table.Account(x.caller.Key)
	if !known && !x.route.Public {
		x.rejectUnread(http.StatusUnauthorized, "unknown key")
		return false
	}
	if limit := table.Limits().HeaderBytes; limit > 0 && headerSize(x.r) > limit {
		x.rejectUnread(http.StatusRequestHeaderFieldsTooLarge, "headers are larger than "+strconv.Itoa(limit)+" bytes")
		return false
	}
	x.priority = x.route.Priority
	if account != nil {
		x.account = account.Name
		if account.HasPriority {
			x.priority = account.Priority
		}
	}
	x.regions = table.Regions(x.route, account)
	x.service = x.route.Pick(x.caller.RequestID)
	x.deadline = x.arrived + x.timeLeft()
	return true
}

// headerSize returns the approximate size in bytes of a request's head on the wire.
func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + len("  HTTP/1.1\r\nHost: \r\n")
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// timeLeft returns the route's timeout or the time that the caller still waits,
// whichever is shorter.
func (x *exchange) timeLeft() time.Duration {
	left := x.route.Timeout
	if left <= 0 {
		left = defaultTimeout
	}
	if x.caller.HasTimeLeft {
		left = min(left, x.caller.TimeLeft)
	}
	return left
}

// readBody reads the whole body into memory, so that it can be sent to a second
// endpoint. If the body is too large or memory is short, it sends the response and returns false.
func (x *exchange) readBody(limits route.Limits) bool {
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return true
	}
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if x.r.ContentLength > limit {
		x.rejectBody(limit)
		return false
	}
	x.setReadDeadline(time.Now().Add(bodyTimeout))
	x.memory.Evictable(func() { x.setReadDeadline(pastDeadline) })
	body, err := readAll(x.memory, http.MaxBytesReader(x.w, x.r.Body, limit), x.r.ContentLength, limit)
	kept := x.memory.Settle()
	x.r.Trailer = nil // those that came after the body
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		x.rejectBody(limit)
		return false
	case err == bytebudget.ErrShort:
		x.refuseBody()
		return false
	case !kept:
		x.logLocal("body-evicted", "no progress, or not ended, while memory or connections are short")
		x.g.meters.bodiesEvicted.Inc(1)
		panic(http.ErrAbortHandler)
	case err != nil:
		x.logLocal("body-not-read", err.Error())
		panic(http.ErrAbortHandler) // the caller has disconnected or was too slow
	}
	x.setReadDeadline(time.Time{})
	x.body = body
	return true
}

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

func (x *exchange) setReadDeadline(t time.Time) {
	if err := http.NewResponseController(x.w).SetReadDeadline(t); err != nil {
		x.g.log.Warn().Str("event", "no-read-deadline").Err(err).Send()
	}
}

// stopReading lets the connection end after the response to a request whose body is not read.
func (x *exchange) stopReading() {
	x.w.Header().Set("Connection", "close")
	x.setReadDeadline(pastDeadline)
}

// discardBody reads the body of a request that is answered without it, or lets the connection end after the
// response. The server itself would read it without a time limit before it sends the response.
func (x *exchange) discardBody() {
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return
	}
	if x.r.Header.Get("Expect") != "" { // a read would ask the caller for the body
		x.stopReading()
		return
	}
	x.setReadDeadline(time.Now().Add(bodyTimeout))
	x.memory.Evictable(func() { x.setReadDeadline(pastDeadline) })
	_, err := io.CopyN(io.Discard, x.r.Body, discardBytes)
	if kept := x.memory.Settle(); !kept || err != io.EOF {
		x.logLocal("body-not-read", fmt.Sprintf("not needed, evicted=%t: %v", !kept, err))
		x.stopReading()
		return
	}
	x.setReadDeadline(time.Time{})
}

// rejectUnread responds to a request whose body has not been read.
func (x *exchange) rejectUnread(status int, text string) {
	x.discardBody()
	x.reject(status, text)
}

// refuseBody responds to a request for whose body there is no memory.
func (x *exchange) refuseBody() {
	x.memory.Close()
	x.stopReading()
	x.g.meters.bodiesRefused.Inc(1)
	x.logLocal("refuse", "memory-short")
	x.refuse(memoryRetryAfter, "not run: memory is short")
}

func (x *exchange) rejectBody(limit int64) {
	x.memory.Close()
	x.stopReading()
	x.reject(http.StatusRequestEntityTooLarge, "body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
}

// readAll reads a body of a stated size to its end, so that the server knows that it is complete. A
// size of -1 is unknown. limit is the bound that r itself enforces.
func readAll(h *bytebudget.Holder, r io.Reader, size, limit int64) ([]byte, error) {
	if size < 0 {
		return h.ReadAll(r, limit+1, false)
	}
	body, err := h.ReadAll(r, size+1, true)
	switch n := int64(len(body)); {
	case err != nil:
		return nil, err
	case n > size:
		return nil, errors.New("body is longer than stated")
	case n < size:
		return nil, io.ErrUnexpectedEOF
	}
	return body, nil
}

// reject responds to a request that can't be served in this form.
func (x *exchange) reject(status int, text string) {
	x.logLocal("reject", strconv.Itoa(status)+" "+text)
	x.respondText(status, text)
}

// refuse responds 503 to a request that has not run and will not. after is the
// value of Retry-After.
func (x *exchange) refuse(after time.Duration, text string) {
	x.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	x.respondText(http.StatusServiceUnavailable, text)
}

// respondText sends a complete response with a line of text as its body.
func (x *exchange) respondText(status int, text string) {
	h := x.w.Header()
	h.Set("Content-Type", plainText)
	h.Set("Content-Length", strconv.Itoa(len(text)+1))
	x.setConnectionHeaders()
	x.w.WriteHeader(status)
	if _, err := io.WriteString(x.w, text+"\n"); err != nil {
		x.logLocal("caller-lost", err.Error())
	}
	x.g.meters.recordResponse(status, x.g.now()-x.arrived)
}

// setConnectionHeaders sets Connection: close while the process shuts down, and, unless
// the connection is to be closed, a Keep-Alive timeout of the configuration's idle limit less
// keepAliveMargin, if that is at least a second.
func (x *exchange) setConnectionHeaders() {
	if x.g.leaving.Load() {
		x.w.Header().Set("Connection", "close")
	}
	if x.w.Header().Get("Connection") == "close" {
		return
	}
	table := x.g.table.Load()
	if table == nil {
		return
	}
	if keep := table.Limits().IdleTimeout - keepAliveMargin; keep >= time.Second {
		x.w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(int(keep.Seconds())))
	}
}

// logLocal logs an event of this exchange that does not come from the core.
func (x *exchange) logLocal(event, detail string) {
	x.g.log.Info().Str("event", event).Str("request", x.caller.RequestID).
		Dur("waited_ms", x.g.now()-x.arrived).Str("detail", detail).Send()
}
