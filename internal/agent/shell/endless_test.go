package shell

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"

	"trefoilpath.org/trefoilpath/internal/agent"
	"trefoilpath.org/trefoilpath/internal/membership"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// startEndless starts a server that answers each request with start and then part again and again
// until the client closes the connection. It returns its URL and the number of bytes sent.
func startEndless(t *testing.T, start, part string) (url string, sent *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	t.Cleanup(func() {
		l.Close()
		wg.Wait()
	})
	sent = new(atomic.Int64)
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				for text := start; ; text = part {
					n, err := io.WriteString(c, text)
					sent.Add(int64(n))
					if err != nil {
						return
					}
				}
			})
		}
	})
	return "http://" + l.Addr().String(), sent
}

func TestHeadOfAServiceWithoutEndIsBounded(t *testing.T) {
	url, sent := startEndless(t, "HTTP/1.1 200 OK\r\n", "X-Endless: "+strings.Repeat("x", 4000)+"\r\n")
	e := newFakeEntry(t)
	a, err := New(Config{
		Core:        agent.Config{Kind: wire.KindService, Service: "mostrador-pedidos", Endpoint: "s-1", Incarnation: 1},
		EndpointURL: url, Entries: []membership.EntryNode{{Node: testEntry, Address: e.address}}, Log: zerolog.Nop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("Run: %v", err)
		}
	})
	e.until("endpoint up", func() bool { return e.stream != nil && e.report.Sequence > 0 && !e.report.Failing })
	e.sendDispatch(serviceDispatch(1), "order")
	e.until("outcome", func() bool { return e.outcome[attemptID(1)] != "" })
	if n := sent.Load(); n > 8<<20 { // the sockets' buffers take some of it
		t.Errorf("the agent read a head of %d bytes", n)
	}
}

func TestAnswerOfAnEngineBeyondItsOutputLimitIsBrokenOff(t *testing.T) {
	const limit = 100
	for name, token := range map[string]struct {
		text  string
		count int
		most  int // bytes that the entry may get
	}{
		"many tokens": {"word ", 10 * limit, 5 * limit},
		"long tokens": {strings.Repeat("x", 100<<10), limit / 2, 1 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			srv := http.NewServeMux()
			srv.HandleFunc("GET /v1/state", func(w http.ResponseWriter, _ *http.Request) {
				fmt.Fprintf(w, `{"Capacity":100000,"Have":{"Model":%q,"Role":%q}}`, testModel, wire.RoleServe)
			})
			srv.HandleFunc("GET /v1/cache-events", func(w http.ResponseWriter, r *http.Request) {
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
			})
			srv.HandleFunc("POST /v1/sequences", func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					return
				}
				for n := range token.count {
					if _, err := fmt.Fprintf(w, "{\"from\":%d,\"tokens\":1,\"text\":%q}\n", n, token.text); err != nil {
						return
					}
				}
				<-r.Context().Done()
			})
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			hs := &http.Server{Handler: srv}
			go func() { _ = hs.Serve(l) }()
			t.Cleanup(func() { hs.Close() })
			e := newFakeEntry(t)
			startAgent(t, e, Config{Core: agent.Config{Kind: wire.KindEngine}, EndpointURL: "http://" + l.Addr().String()})
			e.sendDispatch(dispatch(1, limit), testPrompt)
			e.until("outcome", func() bool { return e.outcome[attemptID(1)] != "" })
			e.mu.Lock()
			defer e.mu.Unlock()
			if got := e.outcome[attemptID(1)]; got != "failed endpoint-lost" {
				t.Errorf("outcome is %q, want failed endpoint-lost", got)
			}
			if n := len(e.text[attemptID(1)]); n > token.most {
				t.Errorf("the entry got %d bytes, want at most %d", n, token.most)
			}
		})
	}
}
