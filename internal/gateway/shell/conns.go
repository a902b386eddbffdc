package shell

import (
	"net"
	"net/http"
	"sync"
	"time"

	"trefoilpath.org/trefoilpath/internal/route"
)

// callerConns tracks the connections of callers on which no request runs. They are
// closed by the timeouts of the active configuration, which may change while a
// connection is open; the timeouts of http.Server are fixed at its start.
type callerConns struct {
	mu      sync.Mutex
	waiting map[net.Conn]connWait
}

// connWait describes a connection that waits for a request.
type connWait struct {
	since time.Time
	idle  bool // it has carried a request before; false: it waits for the head of its first
}

func newCallerConns() *callerConns { return &callerConns{waiting: make(map[net.Conn]connWait)} }

// onStateChange is the http.Server.ConnState hook of the callers' port.
func (c *callerConns) onStateChange(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateNew, http.StateIdle:
		c.waiting[conn] = connWait{since: time.Now(), idle: s == http.StateIdle}
	default:
		delete(c.waiting, conn)
	}
}

// sweep closes the connections that have waited longer than their timeout and
// returns how many. A timeout of 0 closes none.
func (c *callerConns) sweep(now time.Time, limits route.Limits) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	closed := 0
	for conn, w := range c.waiting {
		limit := limits.HeaderTimeout
		if w.idle {
			limit = limits.IdleTimeout
		}
		if limit > 0 && now.Sub(w.since) > limit {
			_ = conn.Close() // the connection is dropped either way
			delete(c.waiting, conn)
			closed++
		}
	}
	return closed
}
