package httpconn

import (
	"slices"
	"time"

	"trefoilpath.org/trefoilpath/internal/bytebudget"
)

const (
	// fileDescriptors are kept for files and the like, which are not connections, but at most
	// fileFraction of all.
	fileDescriptors = 200
	fileFraction    = 4
	// callerFraction is the part of the remaining descriptors that connections of callers may take:
	// each request in flight has one to an endpoint as well, and others go to the store and to peers.
	callerFraction = 2
	// connectionBytes is the memory that a connection takes, with its goroutines and buffers, in
	// bytes. Connections of callers may take a connectionFraction of the process's memory.
	connectionBytes    = 32 << 10
	connectionFraction = 4
	// stallTime is how long a connection must have waited for a request to be closed for another one:
	// clients send a head as soon as they are connected.
	stallTime = 100 * time.Millisecond
	// lingerTime is how long a connection whose last response is written stays open at the bound, for
	// its client to read the response: closing it resets it if the client still sends.
	lingerTime = 50 * time.Millisecond
	// endingFraction of Limits.Connections may be closed and not yet given up by the server: it keeps
	// a goroutine and buffers for each until half a second after its last response.
	endingFraction = 2
	// minIdle is how long an idle connection stays open in any case: its client may send the next
	// request as soon as it has a response.
	minIdle = quietTime
	// shedFraction of the connections are closed at once at the bound, in searches of a searchInterval,
	// so that a crowd of newcomers does not cost a search each.
	shedFraction   = 32
	searchInterval = 5 * time.Millisecond
	// admitTime is how long a new connection waits for a place.
	admitTime = 20 * time.Millisecond
)

// MaxConnections returns how many connections of callers a process may have open, by its limits of
// descriptors and of memory in bytes, of which 0 is unlimited. 0: any number.
func MaxConnections(descriptors int, memoryBytes int64) int {
	byDescriptors := (descriptors - min(fileDescriptors, descriptors/fileFraction)) / callerFraction
	byMemory := int(memoryBytes / connectionFraction / connectionBytes)
	switch {
	case descriptors <= 0 && memoryBytes <= 0:
		return 0
	case descriptors <= 0:
		return max(byMemory, 1)
	case memoryBytes <= 0:
		return max(byDescriptors, 1)
	}
	return max(min(byDescriptors, byMemory), 1)
}

// Limits bound what the clients of a server can make it hold.
type Limits struct {
	Connections int // open at once; 0: any number
	// WriteTimeout is how long a client may take for a piece of a response, of 64 KiB or what is
	// left; 0: any time.
	WriteTimeout time.Duration
	Memory       *bytebudget.Account // charged for heads, and may evict requests that make no progress for new connections; nil: none
}

// SetLimits sets the limits. It is called before Listener.
func (t *Tracker) SetLimits(l Limits) { t.limits = l }

// Shed returns the numbers of connections that were closed for others, and of those that were closed
// without a request for lack of a place or of memory for its head, since the previous call.
func (t *Tracker) Shed() (closed, refused int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	closed, refused = t.shedCount, t.refused
	t.shedCount, t.refused = 0, 0
	return closed, refused
}

// admit reports whether there is a place for a new connection. At the bound it closes others that
// wait, and waits for a place for up to admitTime: connections that come meanwhile queue up in turn at
// the listening socket.
func (t *Tracker) admit() bool {
	for end := time.Now().Add(admitTime); t.full(); {
		now := time.Now()
		if now.After(end) {
			t.countRefused()
			return false
		}
		if t.startSearch(now) {
			t.makeRoom(now)
		}
		select {
		case <-t.closed:
		case <-time.After(searchInterval):
		}
	}
	return true
}

func (t *Tracker) countRefused() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refused++
}

func (t *Tracker) full() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limits.Connections > 0 && len(t.conns) >= t.limits.Connections
}

// startSearch reports whether a search for connections to close is due, and counts it as begun.
func (t *Tracker) startSearch(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	due := now.Sub(t.searched) >= searchInterval
	if due {
		t.searched = now
	}
	return due
}

// makeRoom closes connections that wait.
func (t *Tracker) makeRoom(now time.Time) {
	n := max(t.limits.Connections/shedFraction, 1)
	closed := t.closeLingering(now)
	if closed < n {
		closed += t.endLongest(now, n-closed, false, stallTime)
	}
	if closed < n && t.limits.Memory != nil {
		closed += t.limits.Memory.EvictStalled(n - closed)
	}
	if closed == 0 {
		closed = t.endLongest(now, n, true, minIdle)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shedCount += closed
}

// closeLingering closes connections whose last response was written lingerTime ago, and returns how
// many.
func (t *Tracker) closeLingering(now time.Time) int {
	closed := 0
	for _, c := range t.open() {
		if !c.lingersSince(now.Add(-lingerTime)) || !t.forget(c) {
			continue
		}
		_ = c.TCPConn.Close() // fails only if it is closed already
		closed++
	}
	return closed
}

// forget removes a connection that is to be closed, before its server reports that, and reports whether it
// may: no more than a part of Limits.Connections are closed so.
func (t *Tracker) forget(c *trackedConn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.conns[c] || len(t.ending) >= max(t.limits.Connections/endingFraction, 1) {
		return false
	}
	delete(t.conns, c)
	t.ending[c] = true
	return true
}

// endLongest closes up to n connections that wait, idle ones or others, the longest wait first, and
// returns how many. Each has waited for a minimum.
func (t *Tracker) endLongest(now time.Time, n int, idle bool, minimum time.Duration) int {
	closed := 0
	for _, c := range longestWaits(t.waiting(), now, idle, minimum) {
		if closed == n {
			break
		}
		if c.conn.end(func(w connWait) bool { return w == c.wait }) {
			closed++
		}
	}
	return closed
}

// waitingConn is a connection with its wait.
type waitingConn struct {
	conn *trackedConn
	wait connWait
}

func (t *Tracker) waiting() []waitingConn {
	var out []waitingConn
	for _, c := range t.open() {
		if wait, waits := c.currentWait(); waits {
			out = append(out, waitingConn{conn: c, wait: wait})
		}
	}
	return out
}

// longestWaits returns those connections, idle or not, that have waited for a minimum, the longest
// wait first.
func longestWaits(conns []waitingConn, now time.Time, idle bool, minimum time.Duration) []waitingConn {
	conns = slices.DeleteFunc(conns, func(c waitingConn) bool { return c.wait.idle != idle || now.Sub(c.wait.since) < minimum })
	slices.SortFunc(conns, func(a, b waitingConn) int { return a.wait.since.Compare(b.wait.since) })
	return conns
}
