package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// proxy forwards TCP connections to a target and can let the open ones go silent: they stay
// open, and nothing passes any more in either direction. New connections work.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	links map[*link]bool
}

type link struct {
	client, server net.Conn
	silent         atomic.Bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, links: map[*link]bool{}}
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
	t, err := net.Dial("tcp4", p.target)
	if err != nil {
		c.Close()
		return
	}
	k := &link{client: c, server: t}
	p.mu.Lock()
	p.links[k] = true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); p.copy(k, t, c) }()
	go func() { defer wg.Done(); p.copy(k, c, t) }()
	wg.Wait()
	p.mu.Lock()
	delete(p.links, k)
	p.mu.Unlock()
}

// copy forwards until a side ends. A silent link also hides that a side has ended.
func (p *proxy) copy(k *link, dst, src net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 && !k.silent.Load() {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			if !k.silent.Load() {
				dst.Close()
			}
			src.Close()
			return
		}
	}
}

// silence lets the connections that are open now go silent for good, and returns how many.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for k := range p.links {
		if !k.silent.Swap(true) {
			n++
		}
	}
	return n
}
