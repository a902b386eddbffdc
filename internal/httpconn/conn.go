package httpconn

import (
	"net"
	"net/http"
	"sync"
	"time"

	"trefoilpath.org/trefoilpath/internal/bytebudget"
)

// Listener returns a listener whose TCP connections the tracker can close while they
// wait for a request, also below TLS. Other connections are never closed by it. Connections for which the tracker's
// limits have no place are closed unread.
func (t *Tracker) Listener(l net.Listener) net.Listener {
	return listener{Listener: l, tracker: t}
}

type listener struct {
	net.Listener
	tracker *Tracker
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		tcp, ok := c.(*net.TCPConn)
		if err != nil || !ok {
			return c, err
		}
		if l.tracker.admit() {
			return l.tracker.track(tcp), nil
		}
		_ = tcp.Close() // the connection is dropped either way
	}
}

func (t *Tracker) track(conn *net.TCPConn) *trackedConn {
	c := &trackedConn{TCPConn: conn, tracker: t}
	if t.limits.Memory != nil {
		c.memory = t.limits.Memory.Open()
	}
	return c
}

// trackedConn is a server's connection that can be closed without losing a request. A server
// that is blocked in Read and has not reported the connection as active lacks at least a part
// of a request's head. Its Read is then made to time out, and closes the connection if it has
// received nothing.
type trackedConn struct {
	*net.TCPConn
	tracker  *Tracker
	memory   *bytebudget.Holder // of the head of the latest request; nil: not accounted
	mu       sync.Mutex
	waits    bool     // new or idle: no request's head has been read
	wait     connWait // if waits
	head     headState
	lingers  time.Time // when the server has written the last response; zero: not yet
	reading  bool      // the server is in Read
	ending   bool      // to be closed by Read, unless it has received something
	ended    bool      // closed by Read
	deadline time.Time // of reads, as the server has set it
}

// connWait describes a connection that waits for a request.
type connWait struct {
	since time.Time // for the first request since the connection was accepted, for others since the first byte of the head
	idle  bool      // it has carried a request before, and no byte of the next one has been read
}

// Read implements net.Conn. After the tracker has closed the connection it returns no data.
func (c *trackedConn) Read(b []byte) (int, error) {
	c.awaitRest()
	if !c.startRead() {
		return 0, net.ErrClosed
	}
	n, err := c.TCPConn.Read(b)
	if !c.finishRead(n) {
		return 0, net.ErrClosed
	}
	if n > 0 && !c.chargeHead(b[:n]) {
		c.tracker.countRefused()
		c.close()
		return 0, net.ErrClosed
	}
	return n, err
}

// close closes the connection; nothing is read from it any more.
func (c *trackedConn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	_ = c.TCPConn.Close() // the connection is dropped either way
}

func (c *trackedConn) startRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
	return !c.ended
}

// finishRead records that n bytes were read, and reports whether the connection stays open.
func (c *trackedConn) finishRead(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.ending && n == 0 {
		c.ended = true
		_ = c.TCPConn.Close() // the connection is dropped either way
		return false
	}
	if c.ending {
		c.ending = false
		_ = c.TCPConn.SetReadDeadline(c.deadline) // fails only on a closed connection, as does the next read
	}
	if n > 0 && c.waits && c.head == headNone {
		c.head = headBegun
	}
	if n > 0 && c.waits && c.wait.idle {
		c.wait = connWait{since: time.Now()}
	}
	return true
}

// CloseWrite closes the writing side. A server calls it after the last response, and closes the
// connection some time later.
func (c *trackedConn) CloseWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingers = time.Now()
	return c.TCPConn.CloseWrite()
}

// lingersSince reports whether CloseWrite was called at a time or before.
func (c *trackedConn) lingersSince(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.lingers.IsZero() && !c.lingers.After(t)
}

// SetDeadline implements net.Conn.
func (c *trackedConn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.ending {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

// onStateChange records a state that an http.Server has reported.
func (c *trackedConn) onStateChange(s http.ConnState) {
	c.setWait(s)
	switch {
	case c.memory == nil:
	case s == http.StateActive:
		c.memory.Settle() // one that was evicted at the same time has arrived nevertheless
	default:
		c.memory.Close()
	}
}

func (c *trackedConn) setWait(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = headNone
	c.waits = s == http.StateNew || s == http.StateIdle
	c.wait = connWait{since: time.Now(), idle: s == http.StateIdle}
}

// currentWait returns the connection's wait, and whether it waits.
func (c *trackedConn) currentWait() (connWait, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wait, c.waits && !c.ending && !c.ended
}

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// end lets the server's Read close the connection if it waits for a request, the wait meets a
// condition and nothing has arrived, and reports whether it does. The connection stays open if
// something has been read at the same moment.
func (c *trackedConn) end(condition func(connWait) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.ending || !c.waits || !c.reading || !condition(c.wait) || !OpenAndSilent(c.TCPConn) {
		return false
	}
	c.ending = c.TCPConn.SetReadDeadline(pastDeadline) == nil // else it is closed already
	return c.ending
}
