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

// sweepAll closes every connection that waits, as limits that a configuration has lowered do.
func sweepAll(tracker *Tracker) int {
	return tracker.Sweep(time.Now().Add(time.Hour), time.Nanosecond, time.Nanosecond)
}

// exchange sends a request and reports whether its response arrived.
func exchange(c net.Conn, r *bufio.Reader) bool {
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return false
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// noState is a hook that does nothing.
func noState(*Tracker, http.ConnState) {}

// TestRequestReadButNotYetActiveIsLostInASweep sweeps in the moment at which the server has
// read a request and has not yet reported its connection as active.
func TestRequestReadButNotYetActiveIsLostInASweep(t *testing.T) {
	for name, before := range map[string]int64{"first request": 0, "kept connection": 1} {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int64
			_, _, addr := startTracked(t, func(http.ResponseWriter, *http.Request) {}, func(tracker *Tracker, s http.ConnState) {
				if s == http.StateActive && requests.Add(1) > before {
					sweepAll(tracker)
				}
			})
			c := dial(t, addr)
			r := bufio.NewReader(c)
			for range before + 1 {
				if !exchange(c, r) {
					t.Fatalf("request %d was read and not answered", requests.Load())
				}
			}
		})
	}
}

// TestRequestsThatArriveWithASweepAreLostAfterTheirStart sends requests on many connections
// while all that wait are swept. One whose handler has started must be answered.
func TestRequestsThatArriveWithASweepAreLostAfterTheirStart(t *testing.T) {
	const conns, rounds = 100, 20
	for name, before := range map[string]int{"first request": 0, "kept connection": 1} {
		t.Run(name, func(t *testing.T) {
			var started, lost, closed int
			for range rounds {
				s, a, n := sweepRound(t, conns, before)
				started, lost, closed = started+s, lost+s-a, closed+n
			}
			t.Logf("%d connections closed, %d requests started, %d of them lost", closed, started, lost)
			if lost > 0 {
				t.Errorf("%d of %d requests that had started were not answered", lost, started)
			}
		})
	}
}

// sweepRound sends one request on each of a number of connections that have carried some
// before, and sweeps meanwhile. It returns the number of requests started, of those answered,
// and of connections closed.
func sweepRound(t *testing.T, conns, before int) (started, answered, closed int) {
	t.Helper()
	var starts, answers atomic.Int64
	srv, tracker, addr := startTracked(t, func(http.ResponseWriter, *http.Request) { starts.Add(1) }, noState)
	defer srv.Close()
	var ready, done sync.WaitGroup
	send := make(chan struct{})
	for range conns {
		c := dial(t, addr)
		ready.Add(1)
		done.Go(func() {
			defer c.Close()
			r := bufio.NewReader(c)
			for range before {
				if !exchange(c, r) {
					t.Error("a request before the sweep was not answered")
				}
			}
			ready.Done()
			<-send
			if exchange(c, r) {
				answers.Add(1)
			}
		})
	}
	ready.Wait()
	starts.Store(0)
	close(send)
	for range 20 {
		closed += sweepAll(tracker)
	}
	done.Wait()
	return int(starts.Load()), int(answers.Load()), closed
}
