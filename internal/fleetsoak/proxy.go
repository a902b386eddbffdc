package fleetsoak

import (
	"io"
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
	clients map[net.Conn]bool // open connections from clients
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
	p.reset()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		refuse := p.refuse
		p.clients[c] = true
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
		p.copy(t, c, false)
		if half, ok := t.(*net.TCPConn); ok {
			_ = half.CloseWrite() // the other side may be gone
		}
	}()
	p.copy(c, t, true)
}

// copy forwards bytes until one side ends; back means from target to client.
func (p *proxy) copy(dst io.Writer, src io.Reader, back bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			p.mu.Lock()
			delay, silent := p.delay, p.silent && back
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

// reset closes all client connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.clients {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only on a closed connection
		}
		_ = c.Close()
	}
}
