package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	readBuffer = 4 << 10 // bytes; events and heads are smaller
	// maxHeadBytes bounds an answer's head.
	maxHeadBytes = 64 << 10
	// inlineBody is the size up to which a request is written before its answer
	// is awaited; a connection's window takes at least as much.
	inlineBody = 2 << 10
	// maxStray is the number of answers to other requests that are skipped.
	maxStray = 2
	// maxStrayBody bounds the body of such an answer.
	maxStrayBody = 256 << 10
)

// ErrStray is returned for an answer that does not belong to the request.
var ErrStray = errors.New("answer belongs to another request")

// Conn is one connection to an endpoint.
type Conn struct {
	pool    *Pool
	addr    string
	net     net.Conn
	limited *io.LimitedReader
	r       *bufio.Reader
	idle    time.Time // since when
	expires time.Time // when the endpoint closes it, if it said so

	writing  chan error // result of a write that goes on while the answer is read
	unusable bool
	closed   atomic.Bool
}

// Request is one request in wire form.
type Request struct {
	Method string
	Target string // path and query, as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
	// ID is echoed by the endpoint in the header IDHeader.
	ID       string
	IDHeader string
}

// head returns the request line and headers.
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

// Do sends the request and reads the head of its answer. After an error the
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

// Write sends the request. A large body is written while the answer is read,
// since the endpoint may answer before it has read all of it.
func (c *Conn) Write(r *Request) error {
	head := r.head()
	if len(head)+len(r.Body) <= inlineBody {
		_, err := c.net.Write(append(head, r.Body...))
		return errors.Wrap(err, "write request")
	}
	c.writing = make(chan error, 1)
	go func() {
		buffers := net.Buffers{head, r.Body}
		_, err := buffers.WriteTo(c.net)
		c.writing <- err
	}()
	return nil
}

// Read reads the head of the answer to r. An answer that bears the ID of another
// request is skipped, if its length is stated; otherwise the error is ErrStray.
func (c *Conn) Read(r *Request) (*http.Response, error) {
	for range maxStray + 1 {
		resp, err := c.readHead(r)
		if err != nil {
			return nil, err
		}
		echoed := resp.Header.Get(r.IDHeader)
		if echoed == "" || echoed == r.ID {
			return resp, nil
		}
		c.unusable = true
		if resp.ContentLength < 0 || resp.ContentLength > maxStrayBody {
			return nil, ErrStray
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, errors.Wrap(err, "skip answer to another request")
		}
	}
	return nil, ErrStray
}

func (c *Conn) readHead(r *Request) (*http.Response, error) {
	for {
		c.limited.N = maxHeadBytes
		resp, err := http.ReadResponse(c.r, &http.Request{Method: r.Method})
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		c.limited.N = 1 << 62
		if resp.StatusCode >= 200 || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

// Done gives the connection back after the body of resp has been read to its
// end. It is closed if it can't be used again.
func (c *Conn) Done(resp *http.Response) {
	if c.unusable || resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 ||
		c.r.Buffered() > 0 || !c.written() {
		c.Close()
		return
	}
	if c.net.SetDeadline(time.Time{}) != nil {
		c.Close()
		return
	}
	c.idle = time.Now()
	c.expires = time.Time{}
	if timeout, ok := keepAlive(resp.Header.Get("Keep-Alive")); ok {
		c.expires = c.idle.Add(timeout)
	}
	c.pool.put(c)
}

// written reports whether the whole request has been sent.
func (c *Conn) written() bool {
	if c.writing == nil {
		return true
	}
	select {
	case err := <-c.writing:
		c.writing = nil
		return err == nil
	default:
		return false
	}
}

// Close closes the connection. It may be called at any time, also to end a
// blocked read or write.
func (c *Conn) Close() {
	if c.closed.CompareAndSwap(false, true) {
		_ = c.net.Close() // nothing can be done about a failure
		c.pool.closed()
	}
}

// quiet reports whether an idle connection is open and has sent nothing.
func (c *Conn) quiet() bool {
	raw, err := c.net.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// keepAlive reads how long the endpoint keeps an idle connection open.
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

// SetReadTimeout bounds the next reads.
func (c *Conn) SetReadTimeout(d time.Duration) {
	if c.net.SetReadDeadline(time.Now().Add(d)) != nil {
		c.unusable = true // the connection is closed already
	}
}
