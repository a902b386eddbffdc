package httpconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestConnectionsClosedAfterTheirResponseAreServedWithoutBound lets clients come back at once. A
// server keeps a goroutine for each connection until some time after its end.
func TestConnectionsClosedAfterTheirResponseAreServedWithoutBound(t *testing.T) {
	const places, clients, duration = 32, 16, time.Second
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var served, peak atomic.Int64
	tracker := NewTracker()
	tracker.SetLimits(Limits{Connections: places})
	srv := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") }),
		ConnState: func(c net.Conn, s http.ConnState) {
			if s == http.StateClosed {
				served.Add(-1) // before its place is free
			}
			tracker.OnStateChange(c, s)
			if s == http.StateNew {
				peak.Store(max(peak.Load(), served.Add(1))) // connections are accepted one after the other
			}
		},
	}
	go func() { _ = srv.Serve(tracker.Listener(l)) }()
	t.Cleanup(func() { srv.Close() })
	var running sync.WaitGroup
	var attempts atomic.Int64
	for range clients {
		running.Go(func() {
			for end := time.Now().Add(duration); time.Now().Before(end); {
				c, err := net.Dial("tcp4", l.Addr().String())
				if err != nil {
					continue
				}
				attempts.Add(1)
				_ = c.SetDeadline(end.Add(time.Second))                                                   // fails only on a closed connection
				_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n") // fails if the connection is refused
				_, _ = http.ReadResponse(bufio.NewReader(c), nil)
				c.Close()
			}
		})
	}
	running.Wait()
	t.Logf("%d connections, at most %d at once", attempts.Load(), peak.Load())
	if peak.Load() > places+places/endingFraction {
		t.Errorf("%d connections served at once, want at most %d", peak.Load(), places+places/endingFraction)
	}
}
