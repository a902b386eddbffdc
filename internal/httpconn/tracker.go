package httpconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// pollInterval is the time between two checks of AwaitQuiet.
const pollInterval = 10 * time.Millisecond

// Tracker tracks the connections of an http.Server, of which it is the ConnState hook.
type Tracker struct {
	mu      sync.Mutex
	waiting map[net.Conn]connWait
	active  map[net.Conn]bool // a request has been read, and its response is not yet written
}

// connWait describes a connection that waits for a request.
type connWait struct {
	since time.Time
	idle  bool // it has carried a request before; false: it waits for the head of its first
}

// NewTracker returns a tracker without connections.
func NewTracker() *Tracker {
	return &Tracker{waiting: make(map[net.Conn]connWait), active: make(map[net.Conn]bool)}
}

// OnStateChange is an http.Server.ConnState hook.
func (t *Tracker) OnStateChange(conn net.Conn, s http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, conn)
	delete(t.active, conn)
	switch s {
	case http.StateNew, http.StateIdle:
		t.waiting[conn] = connWait{since: time.Now(), idle: s == http.StateIdle}
	case http.StateActive:
		t.active[conn] = true
	}
}

// Busy returns the number of connections whose latest request has no complete response.
func (t *Tracker) Busy() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.active)
}

// AwaitQuiet waits until no connection has been busy for a duration, and returns false if
// ctx ends before.
func (t *Tracker) AwaitQuiet(ctx context.Context, duration time.Duration) bool {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for quietSince := time.Now(); ; {
		if t.Busy() > 0 {
			quietSince = time.Now()
		} else if time.Since(quietSince) >= duration {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}

// CloseIdle closes the connections that have carried a request and wait for another, and
// returns how many. Those that have not carried one stay open, since their clients may
// have sent it, as do those on which one has arrived and those that are not plain TCP.
func (t *Tracker) CloseIdle() int {
	return t.closeWaiting(func(w connWait) bool { return w.idle })
}

// Sweep closes the connections that have waited longer than a timeout, one for the first
// request and one between requests, and returns how many. A timeout of 0 closes none.
func (t *Tracker) Sweep(now time.Time, headerTimeout, idleTimeout time.Duration) int {
	return t.closeWaiting(func(w connWait) bool {
		limit := headerTimeout
		if w.idle {
			limit = idleTimeout
		}
		return limit > 0 && now.Sub(w.since) > limit
	})
}

// closeWaiting closes the waiting connections that meet a condition, but no idle one whose
// next request has arrived, and returns how many.
func (t *Tracker) closeWaiting(condition func(connWait) bool) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	closed := 0
	for conn, w := range t.waiting {
		if condition(w) && !(w.idle && !OpenAndSilent(conn)) {
			_ = conn.Close() // the connection is dropped either way
			delete(t.waiting, conn)
			closed++
		}
	}
	return closed
}

// quietTime is how long no connection must have been busy before CloseServer closes a server:
// a client may send its next request as soon as it has a response.
const quietTime = 100 * time.Millisecond

// CloseServer closes a server, whose ConnState hook is t, when no connection is busy, or when
// ctx ends. http.Server.Shutdown would drop requests: a server that is shutting down closes
// connections from which it has just read a request, without a response.
func (t *Tracker) CloseServer(ctx context.Context, srv *http.Server) error {
	srv.SetKeepAlivesEnabled(false)
	t.AwaitQuiet(ctx, quietTime)
	return srv.Close()
}
