package httpconn

import (
	"net"
	"sync"
	"time"
)

// Bounded returns a listener that keeps at most maxConns connections open. For a further one it
// closes the connection that has waited longest: since it was accepted, or since the latest write of
// a response has begun. Clients of short requests are thus served however many others stay connected.
func Bounded(l net.Listener, maxConns int) net.Listener {
	return &boundedListener{Listener: l, maxConns: max(maxConns, 1), conns: make(map[*boundedConn]time.Time)}
}

type boundedListener struct {
	net.Listener
	maxConns int

	mu    sync.Mutex
	conns map[*boundedConn]time.Time // since when each has waited
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for l.full() {
		l.closeLongest()
	}
	c := &boundedConn{Conn: conn, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = time.Now()
	return c, nil
}

func (l *boundedListener) full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns) >= l.maxConns
}

// closeLongest closes the connection that has waited longest.
func (l *boundedListener) closeLongest() {
	if c := l.longest(); c != nil {
		_ = c.Close() // the connection is dropped either way
	}
}

func (l *boundedListener) longest() *boundedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found *boundedConn
	for c, since := range l.conns {
		if found == nil || since.Before(l.conns[found]) {
			found = c
		}
	}
	return found
}

// boundedConn is a connection of a boundedListener.
type boundedConn struct {
	net.Conn
	listener *boundedListener
}

// Write implements net.Conn.
func (c *boundedConn) Write(p []byte) (int, error) {
	c.wrote()
	return c.Conn.Write(p)
}

func (c *boundedConn) wrote() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if _, open := c.listener.conns[c]; open {
		c.listener.conns[c] = time.Now()
	}
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
