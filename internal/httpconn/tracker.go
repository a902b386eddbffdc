package httpconn

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// pollInterval is the time between two checks of AwaitQuiet.
const pollInterval = 10 * time.Millisecond

// Tracker tracks the connections of an http.Server, of which it is the ConnState hook and
// wraps the listener.
type Tracker struct {
	mu     sync.Mutex
	conns  map[*trackedConn]bool // all that are open
	ending map[*trackedConn]bool // closed by the tracker after their last response, and not yet given up by the server
	active map[net.Conn]bool     // a request has been read, and its response is not yet written

	shedCount, refused int // since the latest Shed

	limits   Limits
	closed   chan struct{} // receives when a connection has been closed
	searched time.Time     // when the latest search for connections to close began
}

// NewTracker returns a tracker without connections.
func NewTracker() *Tracker {
	return &Tracker{
		conns: make(map[*trackedConn]bool), ending: make(map[*trackedConn]bool), active: make(map[net.Conn]bool),
		closed: make(chan struct{}, 1),
	}
}

// OnStateChange is an http.Server.ConnState hook.
func (t *Tracker) OnStateChange(conn net.Conn, s http.ConnState) {
	c := trackedOf(conn)
	if c != nil {
		c.onStateChange(s)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.active, conn)
	switch s {
	case http.StateNew:
		if c != nil {
			t.conns[c] = true
		}
	case http.StateActive:
		t.active[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(t.conns, c)
		delete(t.ending, c)
		select {
		case t.closed <- struct{}{}:
		default: // an earlier end has not been noticed yet
		}
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
// have sent it, as do those on which a part of one has arrived and those that are not plain
// TCP.
func (t *Tracker) CloseIdle() int {
	return t.closeWaiting(func(w connWait) bool { return w.idle })
}

// Sweep closes the connections that have waited longer than a timeout, one for the head of a
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

// closeWaiting closes the connections that wait for a request, if their wait meets a
// condition, and returns how many.
func (t *Tracker) closeWaiting(condition func(connWait) bool) int {
	closed := 0
	for _, c := range t.open() {
		if c.end(condition) {
			closed++
		}
	}
	return closed
}

// open returns the open connections. They are closed without the tracker's lock, for which a
// server that has read a request waits.
func (t *Tracker) open() []*trackedConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Keys(t.conns))
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
