package shell

import (
	"net"
	"net/http"
	"sync"
	"time"

	"trefoilpath.org/trefoilpath/internal/route"
	"trefoilpath.org/trefoilpath/internal/upstream"
)

// callerConns tracks the connections of callers. Those on which no request runs are closed
// by the timeouts of the active configuration, which may change while a connection is open;
// the timeouts of http.Server are fixed at its start.
type callerConns struct {
	mu      sync.Mutex
	waiting map[net.Conn]connWait
	active  map[net.Conn]bool // a request has been read, and its response is not yet written
}

// connWait describes a connection that waits for a request.
type connWait struct {
	since time.Time
	idle  bool // it has carried a request before; false: it waits for the head of its first
}

func newCallerConns() *callerConns {
	return &callerConns{waiting: make(map[net.Conn]connWait), active: make(map[net.Conn]bool)}
}

// onStateChange is the http.Server.ConnState hook of the callers' port.
func (c *callerConns) onStateChange(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, conn)
	delete(c.active, conn)
	switch s {
	case http.StateNew, http.StateIdle:
		c.waiting[conn] = connWait{since: time.Now(), idle: s == http.StateIdle}
	case http.StateActive:
		c.active[conn] = true
	}
}

// busy returns the number of connections whose latest request has no complete response.
func (c *callerConns) busy() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.active)
}

// closeIdle closes the connections that have carried a request and wait for another, and
// returns how many. Those that have not carried one stay open, since their callers may
// have sent it, as do those on which one has arrived.
func (c *callerConns) closeIdle() int {
	return c.closeWaiting(func(w connWait) bool { return w.idle })
}

// sweep closes the connections that have waited longer than their timeout and
// returns how many. A timeout of 0 closes none.
func (c *callerConns) sweep(now time.Time, limits route.Limits) int {
	return c.closeWaiting(func(w connWait) bool {
		limit := limits.HeaderTimeout
		if w.idle {
			limit = limits.IdleTimeout
		}
		return limit > 0 && now.Sub(w.since) > limit
	})
}

// closeWaiting closes the waiting connections that meet a condition, but no idle one whose
// next request has arrived, and returns how many.
func (c *callerConns) closeWaiting(condition func(connWait) bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	closed := 0
	for conn, w := range c.waiting {
		if condition(w) && !(w.idle && !upstream.OpenAndSilent(conn)) {
			_ = conn.Close() // the connection is dropped either way
			delete(c.waiting, conn)
			closed++
		}
	}
	return closed
}
