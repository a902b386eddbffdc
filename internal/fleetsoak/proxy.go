package fleetsoak

import (
	"net"
	"sync"
	"time"
)

// proxy forwards TCP connections to a target and injects faults into them.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	delay   time.Duration     // before each write
	silent  bool              // data from the target is discarded
	refuse  bool              // new connections are closed at once
	clients map[net.Conn]bool // open connections from clients; true: fallen silent
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, clients: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) close() {
	_ = p.listener.Close() // ends accept
	p.reset(false)
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		refuse := p.refuse
		p.clients[c] = false
		p.mu.Unlock()
		if refuse {
			p.drop(c)
			continue
		}
		go p.forward(c)
	}
}

func (p *proxy) drop(c net.Conn) {
	_ = c.Close() // an error means that it is closed already
	p.mu.Lock()
	delete(p.clients, c)
	p.mu.Unlock()
}

func (p *proxy) forward(c net.Conn) {
	defer p.drop(c)
	t, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer t.Close()
	go func() {
		p.copy(t, c, c)
		if half, ok := t.(*net.TCPConn); ok {
			_ = half.CloseWrite() // the other side may be gone
		}
	}()
	p.copy(c, t, c)
}

// copy forwards bytes of a client's connection until one side ends.
func (p *proxy) copy(dst, src, client net.Conn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			p.mu.Lock()
			delay, silent := p.delay, p.silent && dst == client || p.clients[client]
			p.mu.Unlock()
			time.Sleep(delay)
			if !silent {
				if _, err := dst.Write(buf[:n]); err != nil {
					return
				}
			}
		}
		if err != nil {
			return
		}
	}
}

// set replaces the faults of all connections.
func (p *proxy) set(delay time.Duration, silent, refuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.silent, p.refuse = delay, silent, refuse
}

// reset closes all client connections with a TCP reset, or lets them fall silent while new ones work.
func (p *proxy) reset(silence bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.clients {
		if p.clients[c] = p.clients[c] || silence; silence {
			continue
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only on a closed connection
		}
		_ = c.Close()
	}
}
