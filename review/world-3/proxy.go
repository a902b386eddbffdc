package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// proxy forwards connections to an address. Those that are open can be made silent for good: they stay
// open, and nothing is forwarded on them any more. New ones work.
type proxy struct {
	listener net.Listener
	to       string

	mu   sync.Mutex
	open []*atomic.Bool // one for each connection: whether it is silent
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, to: to}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

func (p *proxy) forward(c net.Conn) {
	defer c.Close()
	up, err := net.Dial("tcp4", p.to)
	if err != nil {
		return
	}
	defer up.Close()
	silent := new(atomic.Bool)
	p.mu.Lock()
	p.open = append(p.open, silent)
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	pipe := func(from, to net.Conn) {
		defer func() { done <- struct{}{} }()
		buf := make([]byte, 16<<10)
		for {
			n, err := from.Read(buf)
			if silent.Load() {
				if err != nil {
					return
				}
				continue
			}
			if n > 0 {
				if _, err := to.Write(buf[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go pipe(c, up)
	pipe(up, c)
	<-done // each side of a silent connection stays open until the gateway closes it
}

// silence makes the open connections silent, and returns how many there were.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.open)
	for _, s := range p.open {
		s.Store(true)
	}
	p.open = nil
	return n
}
