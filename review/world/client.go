package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// kind is a kind of requests of the deployment.
type kind struct {
	name, route, method string
	streaming, unsafe   bool
	perSecond           float64
	prompt, output      int // tokens
	body                int // bytes
	deadline            time.Duration
}

var kinds = []kind{
	{name: "cotizacion", route: "quote", method: "POST", streaming: true, perSecond: 39.5, prompt: 5000, output: 1610, body: 1200, deadline: 10 * time.Second},
	{name: "bitacora-secado", route: "season", method: "POST", streaming: true, perSecond: 2.87, prompt: 45040, output: 966, body: 11000, deadline: 10 * time.Second},
	{name: "expediente-aserradero", route: "mill", method: "POST", streaming: true, perSecond: 1.19, prompt: 210040, output: 782, body: 29000, deadline: 15 * time.Second},
	{name: "reserva-tablon", route: "book", method: "POST", unsafe: true, perSecond: 3.73, body: 600, deadline: 600 * time.Millisecond},
	{name: "consulta-existencia", route: "stock", method: "GET", perSecond: 3, deadline: 600 * time.Millisecond},
}

// call is a client's attempt and what came of it.
type call struct {
	kind           *kind
	attempt, path  string
	body           string
	gateway        *gateway
	sent, ended    time.Time
	status         int
	sealed         bool
	text           string
	err            error
	connectionOver bool
}

// client is a keep-alive connection of a caller to a gateway.
type client struct {
	gateway  *gateway
	conn     net.Conn
	in       *bufio.Reader
	idleFrom time.Time
}

func dialClient(g *gateway) (*client, error) {
	c, err := net.DialTimeout("tcp4", g.front(), time.Second)
	if err != nil {
		return nil, err
	}
	return &client{gateway: g, conn: c, in: bufio.NewReader(c), idleFrom: time.Now()}, nil
}

// do sends one request and reads the whole answer. It leaves when the deadline has passed by a
// little.
func (c *client) do(w *world, k *kind, path, body string) *call {
	x := &call{kind: k, attempt: w.nextAttempt(), path: path, body: body, gateway: c.gateway}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Token %s\r\n", k.method, path, host, x.attempt, k.deadline.Milliseconds(), apiKey)
	if k.streaming {
		fmt.Fprintf(&b, "Model: m\r\nToken-Count: %d,%d\r\nPrompt-Prefix: 5c1e07a2:40,%s:%d\r\n", k.prompt, k.output, x.attempt, k.prompt-40)
	}
	if k.method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	x.sent = time.Now()
	w.sent(x)
	c.conn.SetDeadline(x.sent.Add(k.deadline + 700*time.Millisecond))
	x.err = c.exchange(x, b.String())
	x.ended = time.Now()
	c.idleFrom = x.ended
	if x.err != nil || x.connectionOver {
		c.conn.Close()
		c.conn = nil
	}
	w.answered(x)
	return x
}

func (c *client) exchange(x *call, text string) error {
	if _, err := io.WriteString(c.conn, text); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.in, &http.Request{Method: x.kind.method})
	if err != nil {
		return err
	}
	x.status, x.sealed = resp.StatusCode, resp.Header.Get("Origin-Seal") != ""
	x.connectionOver = resp.Close
	raw, err := io.ReadAll(resp.Body)
	x.text = string(raw)
	if err != nil {
		return fmt.Errorf("answer broke off: %w", err)
	}
	return nil
}

var errNoGateway = errors.New("no gateway in rotation")

// client returns a connection to a gateway in rotation: an open one for about half of the requests.
func (w *world) client() (*client, error) {
	w.mu.Lock()
	var live []*gateway
	for _, g := range w.gateways {
		if g.inService.Load() {
			live = append(live, g)
		}
	}
	for rand.IntN(2) == 0 && len(w.idle) > 0 {
		i := rand.IntN(len(w.idle))
		c := w.idle[i]
		w.idle = append(w.idle[:i], w.idle[i+1:]...)
		if time.Since(c.idleFrom) < 8*time.Second {
			w.mu.Unlock()
			return c, nil
		}
		c.conn.Close()
	}
	w.mu.Unlock()
	if len(live) == 0 {
		return nil, errNoGateway
	}
	return dialClient(live[rand.IntN(len(live))])
}

func (w *world) giveBack(c *client) {
	if c.conn == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.idle) < 200 {
		w.idle = append(w.idle, c)
		return
	}
	c.conn.Close()
}

// request sends one request of a kind, as a caller that does not repeat it.
func (w *world) request(k *kind) *call {
	c, err := w.client()
	if err != nil {
		return nil
	}
	body := ""
	if k.body > 0 {
		body = strings.Repeat("b", k.body-20) + fmt.Sprintf("%020d", rand.Uint64N(1e18))
	}
	x := c.do(w, k, fmt.Sprintf("/%s/%x", k.route, rand.Uint32N(1<<20)), body)
	w.giveBack(c)
	return x
}

// traffic sends requests of the deployment's kinds until stop, at a share of its rates.
func (w *world) traffic(share float64, stop <-chan struct{}) {
	for i := range kinds {
		k := &kinds[i]
		w.wg.Add(1)
		go func() {
			defer w.wg.Done()
			for {
				pause := time.Duration(rand.ExpFloat64() / (k.perSecond * share) * float64(time.Second))
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				w.wg.Add(1)
				go func() { defer w.wg.Done(); w.request(k) }()
			}
		}()
	}
}
