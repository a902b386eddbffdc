package shell

import (
	"net"
	"net/http"
	"sync"
	"time"

	"trefoilpath.org/trefoilpath/internal/route"
)

// callerConns are the connections of callers on which no request runs. They are
// closed by the limits of the configuration in force, which may change while a
// connection is open; the limits of http.Server are fixed at its start.
type callerConns struct {
	mu      sync.Mutex
	waiting map[net.Conn]connWait
}

// connWait is what a connection waits for, and since when.
type connWait struct {
	since time.Time
	idle  bool // for another request; otherwise for the head of the first one
}

func newCallerConns() *callerConns { return &callerConns{waiting: make(map[net.Conn]connWait)} }

// state is an http.Server.ConnState hook.
func (c *callerConns) state(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateNew, http.StateIdle:
		c.waiting[conn] = connWait{since: time.Now(), idle: s == http.StateIdle}
	default:
		delete(c.waiting, conn)
	}
}

// sweep closes the connections that wait beyond a limit and returns how many;
// a limit of 0 closes none.
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
			_ = conn.Close() // nothing can be done about a failure
			delete(c.waiting, conn)
			closed++
		}
	}
	return closed
}
