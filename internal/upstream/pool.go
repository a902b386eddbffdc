package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"trefoilpath.org/trefoilpath/internal/httpconn"
)

const (
	// dialTimeout bounds a TCP connect: a few round trips within a region, and the
	// retransmission of one lost packet.
	dialTimeout = 400 * time.Millisecond
	// idleLimit is how long an idle connection is kept if the endpoint states no
	// keep-alive timeout. If it does, the connection is given up expiryMargin before
	// that timeout.
	idleLimit    = 2500 * time.Millisecond
	expiryMargin = 700 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure TCP keep-alive
	// probes, which detect that a peer has vanished while a response is awaited. A VM
	// that stands still for up to 3 s acknowledges nothing meanwhile and then continues.
	// The kernel takes whole seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 4
	// userTimeout is TCP_USER_TIMEOUT: how long sent data may stay unacknowledged, and how
	// long nothing may arrive in spite of probes, before the connection fails.
	userTimeout = 4500 * time.Millisecond
	// maxIdle is the number of idle connections kept for each endpoint.
	maxIdle = 12
	// closeSample is the number of endpoints among which put looks for the longest idle connection at the
	// bound of SetMaxIdle.
	closeSample = 16
)

// Pool holds idle connections by address. It is safe for concurrent use.
type Pool struct {
	mu     sync.Mutex
	idle   map[string][]*Conn // by address, the longest idle first
	dialer net.Dialer
	kept   int    // connections in idle
	bound  int    // of kept; 0: none
	open   int    // open connections, idle or in use
	dialed uint64 // connections made since the start
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		idle: make(map[string][]*Conn),
		dialer: net.Dialer{
			Timeout: dialTimeout,
			Control: setUserTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
			},
		},
	}
}

// SetMaxIdle bounds the idle connections to all endpoints together; 0: no bound.
func (p *Pool) SetMaxIdle(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bound = n
}

// setUserTimeout is a net.Dialer.Control hook that sets TCP_USER_TIMEOUT.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Get returns an open connection to addr that has been idle for at most maxAge, or dials a new
// one. The endpoint may send an earlier response once more where the next one is expected. So a
// connection that has carried the request with the given ID is not used for it again, and a
// request without an ID is always sent on a new connection.
func (p *Pool) Get(ctx context.Context, addr string, maxAge time.Duration, id string) (*Conn, error) {
	for {
		c := p.takeIdle(addr, maxAge, id)
		if c == nil {
			return p.dial(ctx, addr)
		}
		if httpconn.OpenAndSilent(c.net.Conn) {
			return c, nil
		}
		c.Close()
	}
}

// takeIdle removes and returns the most recently used idle connection to addr that has not
// carried the request with an ID. It returns nil if there is none, if that one has been idle
// for longer than maxAge or is about to expire, or without an ID.
func (p *Pool) takeIdle(addr string, maxAge time.Duration, id string) *Conn {
	if id == "" {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	i := len(list) - 1
	for i >= 0 && list[i].carries(id) {
		i--
	}
	if i < 0 {
		return nil
	}
	c := list[i]
	now := time.Now()
	if now.Sub(c.idleSince) > maxAge || !c.expires.IsZero() && now.After(c.expires.Add(-expiryMargin)) {
		return nil
	}
	p.idle[addr] = slices.Delete(list, i, i+1)
	p.kept--
	return c
}

func (p *Pool) dial(ctx context.Context, addr string) (*Conn, error) {
	nc, err := p.dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	conn := httpconn.NewClientConn(nc)
	limited := &io.LimitedReader{R: conn, N: unlimited}
	c := &Conn{pool: p, addr: addr, net: conn, limited: limited, r: bufio.NewReaderSize(limited, readBufferSize)}
	p.mu.Lock()
	p.open++
	p.dialed++
	p.mu.Unlock()
	return c, nil
}

// put adds an idle connection. Beyond maxIdle, and beyond the bound of SetMaxIdle, it closes one that has
// been idle for long.
func (p *Pool) put(c *Conn) {
	if extra := p.keep(c); extra != nil {
		extra.Close()
	}
}

// keep adds an idle connection and removes and returns one that has no place any more, if any.
func (p *Pool) keep(c *Conn) (extra *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case len(p.idle[c.addr]) >= maxIdle:
		extra = p.removeFirst(c.addr)
	case p.bound > 0 && p.kept >= p.bound:
		extra = p.removeFirst(p.longIdle())
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
	p.kept++
	return extra
}

// longIdle returns an address whose first connection has been idle longest of a sample.
func (p *Pool) longIdle() string {
	var found string
	sampled := 0
	for addr, list := range p.idle {
		if len(list) == 0 {
			continue
		}
		if found == "" || list[0].idleSince.Before(p.idle[found][0].idleSince) {
			found = addr
		}
		if sampled++; sampled == closeSample {
			break
		}
	}
	return found
}

// removeFirst removes and returns the longest idle connection to an address; nil if there is none.
func (p *Pool) removeFirst(addr string) *Conn {
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	p.idle[addr] = list[1:]
	p.kept--
	return list[0]
}

// CloseIdle closes the idle connections to addr, for example since others to it have fallen silent.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	idle := p.idle[addr]
	delete(p.idle, addr)
	p.kept -= len(idle)
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// closed counts a connection that was closed.
func (p *Pool) closed() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// Sweep closes connections that have been idle beyond idleLimit or are about to
// expire.
func (p *Pool) Sweep(now time.Time) {
	var stale []*Conn
	p.mu.Lock()
	for addr, list := range p.idle {
		p.idle[addr] = slices.DeleteFunc(list, func(c *Conn) bool {
			over := now.Sub(c.idleSince) > idleLimit
			if !c.expires.IsZero() {
				over = now.After(c.expires.Add(-expiryMargin))
			}
			if over {
				stale = append(stale, c)
			}
			return over
		})
		if len(p.idle[addr]) == 0 {
			delete(p.idle, addr)
		}
	}
	p.kept -= len(stale)
	p.mu.Unlock()
	for _, c := range stale {
		c.Close()
	}
}

// Stats returns the number of open connections and of those made since the start.
func (p *Pool) Stats() (open int, dialed uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, p.dialed
}
