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
)

const (
	// dialTimeout bounds the making of a connection: some round trips within a
	// region, and one lost packet.
	dialTimeout = 400 * time.Millisecond
	// idleLimit is how long an idle connection is kept if the endpoint does not
	// say; expiryMargin is left of what it says.
	idleLimit    = 2500 * time.Millisecond
	expiryMargin = 700 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a peer that has
	// vanished while an answer is awaited.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// userTimeout bounds how long sent data may stay unacknowledged.
	userTimeout = 1500 * time.Millisecond
	// maxIdle is the number of idle connections kept for each endpoint.
	maxIdle = 12
)

// Pool holds idle connections by address. It is safe for concurrent use.
type Pool struct {
	mu     sync.Mutex
	idle   map[string][]*Conn // the longest idle first
	dialer net.Dialer
	open   int
	dialed uint64
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		idle: make(map[string][]*Conn),
		dialer: net.Dialer{
			Timeout: dialTimeout,
			Control: control,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
			},
		},
	}
}

// control sets the bound on unacknowledged data.
func control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Get returns a connection to addr that has been idle for less than maxAge, or a
// new one.
func (p *Pool) Get(ctx context.Context, addr string, maxAge time.Duration) (*Conn, error) {
	for {
		c := p.take(addr, maxAge)
		if c == nil {
			return p.dial(ctx, addr)
		}
		if c.quiet() {
			return c, nil
		}
		c.Close()
	}
}

// take removes the most recently used idle connection.
func (p *Pool) take(addr string, maxAge time.Duration) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	now := time.Now()
	if now.Sub(c.idle) > maxAge || !c.expires.IsZero() && now.After(c.expires.Add(-expiryMargin)) {
		return nil
	}
	p.idle[addr] = list[:len(list)-1]
	return c
}

func (p *Pool) dial(ctx context.Context, addr string) (*Conn, error) {
	nc, err := p.dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	limited := &io.LimitedReader{R: nc, N: 1 << 62}
	c := &Conn{pool: p, addr: addr, net: nc, limited: limited, r: bufio.NewReaderSize(limited, readBuffer)}
	p.mu.Lock()
	p.open++
	p.dialed++
	p.mu.Unlock()
	return c, nil
}

// put keeps an idle connection.
func (p *Pool) put(c *Conn) {
	p.mu.Lock()
	list := p.idle[c.addr]
	var extra *Conn
	if len(list) >= maxIdle {
		extra, list = list[0], list[1:]
	}
	p.idle[c.addr] = append(list, c)
	p.mu.Unlock()
	if extra != nil {
		extra.Close()
	}
}

func (p *Pool) closed() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// Sweep closes connections that are idle for too long.
func (p *Pool) Sweep(now time.Time) {
	var stale []*Conn
	p.mu.Lock()
	for addr, list := range p.idle {
		p.idle[addr] = slices.DeleteFunc(list, func(c *Conn) bool {
			over := now.Sub(c.idle) > idleLimit
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
	p.mu.Unlock()
	for _, c := range stale {
		c.Close()
	}
}

// Stats returns the number of open connections and of all that were made.
func (p *Pool) Stats() (open int, dialed uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, p.dialed
}
