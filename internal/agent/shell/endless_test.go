package shell

import (
	"bufio"
	"context"
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
