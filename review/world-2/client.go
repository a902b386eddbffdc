package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// request is one that a client sends once, on a connection of its own.
type request struct {
	method, path, body string
	deadline           time.Duration
	header             string // further header lines, each with its line end
}

// answer is what a client has seen of a request.
type answer struct {
	id     string
	to     string
	method string
	path   string
	sent   time.Time
	ended  time.Time
	status int // 0: no complete answer
	body   string
	sealed bool
	err    string
}

const host = "desk.example"

// key is the key of the only client account.
const key = "k-9f3ac2"

var lastRequest atomic.Uint64

// send sends a request to a gateway and reads the answer.
func send(g *gateway, q request) (a answer) {
	a = answer{id: fmt.Sprintf("%016x", lastRequest.Add(1)), to: g.name, method: q.method, path: q.path, sent: time.Now()}
	defer func() { a.ended = time.Now() }()
	fail := func(err error) answer {
		a.status, a.err = 0, err.Error()
		return a
	}
	c, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", g.ip, frontPort), time.Second)
	if err != nil {
		return fail(err)
	}
	defer c.Close()
	_ = c.SetDeadline(a.sent.Add(q.deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Token %s\r\n",
		q.method, q.path, host, a.id, q.deadline.Milliseconds(), key)
	if q.method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	if _, err := io.WriteString(c, head+q.header+"\r\n"+q.body); err != nil {
		return fail(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.method})
	if err != nil {
		return fail(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return fail(err)
	}
	a.status, a.body, a.sealed = resp.StatusCode, string(body), resp.Header.Get("Origin-Seal") != ""
	return a
}

// load sends requests at a steady rate until stop is closed, each to one of the gateways that were ready
// when they were last asked, drawn at random.
type load struct {
	mu      sync.Mutex
	answers []answer
	wg      sync.WaitGroup
}

func (l *load) run(gateways []*gateway, perSecond int, pick func(n int) request, stop <-chan struct{}) {
	var ready atomic.Pointer[[]*gateway]
	ask := func() {
		var list []*gateway
		for _, g := range gateways {
			if g.ready() {
				list = append(list, g)
			}
		}
		if len(list) == 0 {
			list = gateways
		}
		ready.Store(&list)
	}
	ask()
	l.wg.Add(2)
	go func() {
		defer l.wg.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
				ask()
			}
		}
	}()
	go func() {
		defer l.wg.Done()
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			list := *ready.Load()
			g, q := list[rand.IntN(len(list))], pick(n)
			l.wg.Add(1)
			go func() {
				defer l.wg.Done()
				a := send(g, q)
				l.mu.Lock()
				defer l.mu.Unlock()
				l.answers = append(l.answers, a)
			}()
		}
	}()
}

// statuses counts the answers sent from a time on by their status.
func (l *load) statuses(from, to time.Time) map[int]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[int]int)
	for _, a := range l.answers {
		if !a.sent.Before(from) && a.sent.Before(to) {
			out[a.status]++
		}
	}
	return out
}

// gatewayOf returns the names of the gateways that requests were sent to, by the ID of the request.
func (l *load) gatewayOf() map[string]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]string, len(l.answers))
	for _, a := range l.answers {
		out[a.id] = a.to
	}
	return out
}
