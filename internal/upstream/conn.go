package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/httpconn"
)

const (
	// readBufferSize is the size in bytes of a connection's read buffer. Events and
	// response heads are usually smaller.
	readBufferSize = 4 << 10
	// maxHeadBytes bounds the status line and headers of a response together with those of
	// the interim responses before it.
	maxHeadBytes = 64 << 10
	// maxInlineRequest is the size in bytes up to which a request is written before
	// its response is read. A connection's TCP window holds at least as much.
	maxInlineRequest = 2 << 10
	// maxSkipped is the number of responses to other requests that Read skips.
	maxSkipped = 2
	// maxSkippedBody bounds the body of a skipped response, in bytes.
	maxSkippedBody = 256 << 10
	// maxRequests is the number of requests after which a connection is closed. It bounds the IDs
	// that are remembered for it.
	maxRequests = 256
	// unlimited disables the byte limit of the reader after the head.
	unlimited = 1 << 62
)

// ErrMismatchedResponse is returned for a response that does not carry the ID of its
// request.
var ErrMismatchedResponse = errors.New("answer belongs to another request")

// errSwitched is returned for a response that leaves HTTP, which no request asks for.
var errSwitched = errors.New("the endpoint switches protocols")

// errNoStatus is returned for a status that is neither an interim nor a final one, so that it is unknown
// whether a body follows.
var errNoStatus = errors.New("the answer's status is below 100")

// Conn is one connection to an endpoint.
type Conn struct {
	pool      *Pool
	addr      string
	net       *httpconn.ClientConn
	limited   *io.LimitedReader
	r         *bufio.Reader
	idleSince time.Time // when the connection was returned to the pool
	expires   time.Time // when the endpoint closes it, by its Keep-Alive header; zero: unknown

	carried     []uint64     // hashes of the IDs of the requests sent on it
	stopAbort   func() bool  // of the latest AbortOn; nil: none
	body        *trackedBody // of the latest response
	writeResult chan error   // receives the result of a write that runs while the response is read
	unusable    bool         // the connection must not return to the pool
	closed      atomic.Bool
}

// Request is an HTTP/1.1 request.
type Request struct {
	Method string
	Target string // path and query, sent unchanged
	Host   string
	Header http.Header
	Body   []byte
	// ID is the request ID, which the endpoint echoes in the header IDHeader of its
	// response. Without one, the response has none either.
	ID       string
	IDHeader string
}

// head encodes the request line and headers.
func (r *Request) head() []byte {
	var b strings.Builder
	b.Grow(512)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return []byte(b.String())
}

// answeredBy reports whether a response carries the ID of the request and no other.
func (r *Request) answeredBy(resp *http.Response) bool {
	ids := resp.Header.Values(r.IDHeader)
	if len(ids) == 0 {
		return r.ID == ""
	}
	return !slices.ContainsFunc(ids, func(id string) bool { return id != r.ID })
}

// Do sends the request and reads the head of its response. After an error the
// connection is closed.
func (c *Conn) Do(r *Request) (*http.Response, error) {
	err := c.Write(r)
	var resp *http.Response
	if err == nil {
		resp, err = c.Read(r)
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return resp, nil
}

// Write sends the request. One larger than maxInlineRequest is written in a
// goroutine, since the endpoint may respond before it has read the whole body.
func (c *Conn) Write(r *Request) error {
	c.carried = append(c.carried, xxhash.Sum64String(r.ID))
	// A copy of the response to HEAD, which states the length of a body that it lacks, can't be skipped.
	c.unusable = c.unusable || r.Method == http.MethodHead
	head := r.head()
	if len(head)+len(r.Body) <= maxInlineRequest {
		_, err := c.net.Write(append(head, r.Body...))
		return errors.Wrap(err, "write request")
	}
	c.writeResult = make(chan error, 1)
	go func() {
		buffers := net.Buffers{head, r.Body}
		_, err := c.net.WriteBuffers(&buffers)
		c.writeResult <- err
	}()
	return nil
}

// Read reads the head of the response to r. It skips up to maxSkipped responses that don't carry
// r's ID, or that carry one although r has none. The error is ErrMismatchedResponse if there are
// more, if the body of such a response is too large or ends with the connection, or if r is a HEAD.
func (c *Conn) Read(r *Request) (*http.Response, error) {
	for range maxSkipped + 1 {
		resp, err := c.readHead(r)
		if err != nil {
			return nil, err
		}
		if r.answeredBy(resp) {
			c.body = &trackedBody{ReadCloser: resp.Body, ended: resp.Body == http.NoBody}
			resp.Body = c.body
			return resp, nil
		}
		c.unusable = true
		if r.Method == http.MethodHead { // the other request may have another method, and its response a body
			return nil, ErrMismatchedResponse
		}
		if err := skipBody(resp); err != nil {
			return nil, err
		}
	}
	return nil, ErrMismatchedResponse
}

// skipBody reads the body of a response to another request.
func skipBody(resp *http.Response) error {
	if EndsWithConnection(resp) {
		return ErrMismatchedResponse
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBody+1))
	switch {
	case err != nil:
		return errors.Wrap(err, "skip answer to another request")
	case n > maxSkippedBody:
		return ErrMismatchedResponse
	}
	return nil
}

// readHead reads the next response head; interim 1xx responses are skipped.
func (c *Conn) readHead(r *Request) (*http.Response, error) {
	c.limited.N = maxHeadBytes
	buffered, _ := c.r.Peek(c.r.Buffered()) // does not read, so that it can't fail
	if err := c.net.ExpectResponse(buffered); err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	for {
		resp, err := http.ReadResponse(c.r, &http.Request{Method: r.Method})
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		switch {
		case resp.StatusCode < 100:
			return nil, errNoStatus
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errSwitched
		}
		if resp.StatusCode >= 200 {
			c.limited.N = unlimited
			httpconn.CheckTrailers(resp)
			return resp, nil
		}
	}
}

// trackedBody is a response body that records whether it has been read to its end.
type trackedBody struct {
	io.ReadCloser
	ended bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.ended = true
	}
	return n, err
}

// AbortOn calls Abort when ctx ends, unless the connection has been released before.
func (c *Conn) AbortOn(ctx context.Context) { c.stopAbort = context.AfterFunc(ctx, c.Abort) }

// Release returns the connection to the pool. The connection is closed if it can't be
// reused, which includes that the body of resp has not been read to its end.
func (c *Conn) Release(resp *http.Response) {
	aborted := c.stopAbort != nil && !c.stopAbort()
	if aborted || c.unusable || len(c.carried) >= maxRequests || resp.Close || EndsWithConnection(resp) || !c.body.ended || c.r.Buffered() > 0 || !c.requestWritten() {
		c.Close()
		return
	}
	if c.net.SetDeadline(time.Time{}) != nil {
		c.Close()
		return
	}
	c.idleSince = time.Now()
	c.expires = time.Time{}
	if timeout, ok := keepAlive(resp.Header.Get("Keep-Alive")); ok {
		c.expires = c.idleSince.Add(timeout)
	}
	c.pool.put(c)
}

// carries reports whether the request with an ID has been sent on the connection.
func (c *Conn) carries(id string) bool {
	return slices.Contains(c.carried, xxhash.Sum64String(id))
}

// Carried returns the number of requests that have been sent on the connection.
func (c *Conn) Carried() int { return len(c.carried) }

// EndsWithConnection reports whether the body of resp has neither a length nor chunks, so
// that only the end of the connection ends it (RFC 9112, section 6.3).
func EndsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// requestWritten reports whether the whole request has been sent.
func (c *Conn) requestWritten() bool {
	if c.writeResult == nil {
		return true
	}
	select {
	case err := <-c.writeResult:
		c.writeResult = nil
		return err == nil
	default:
		return false
	}
}

// Close closes the connection. It may be called concurrently with other methods
// and ends a blocked read or write.
func (c *Conn) Close() {
	if c.closed.CompareAndSwap(false, true) {
		_ = c.net.Close() // the connection is dropped either way
		c.pool.closed()
	}
}

// Abort closes the connection and drops what has not been sent yet, so that the endpoint
// does not receive a request whose caller has left or whose time is over. Like Close it
// may be called concurrently with other methods.
func (c *Conn) Abort() {
	if tcp, ok := c.net.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	c.Close()
}

// keepAlive returns the timeout of a Keep-Alive header, which is how long the
// endpoint keeps an idle connection open, and whether the header has one.
func keepAlive(header string) (time.Duration, bool) {
	for _, part := range strings.Split(header, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}
