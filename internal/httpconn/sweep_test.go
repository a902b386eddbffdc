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

// TestHalfAHeadKeepsItsConnectionOpen checks that a connection on which a part of a head has
// arrived is closed at the header limit, and not sooner by the idle limit.
func TestHalfAHeadKeepsItsConnectionOpen(t *testing.T) {
	const headerLimit = 300 * time.Millisecond
	for name, before := range map[string]int{"first request": 0, "kept connection": 1} {
		t.Run(name, func(t *testing.T) {
			_, tracker, addr := startTracked(t, func(http.ResponseWriter, *http.Request) {}, noState)
			c := dial(t, addr)
			r := bufio.NewReader(c)
			for range before {
				if !exchange(c, r) {
					t.Fatal("the request before was not answered")
				}
			}
			sent := time.Now()
			if _, err := io.WriteString(c, "GET / HTTP/1.1\r\n"); err != nil {
				t.Fatal(err)
			}
			time.Sleep(headerLimit / 10) // lets it arrive
			for tracker.Sweep(time.Now(), headerLimit, time.Nanosecond) == 0 {
				if time.Since(sent) > 3*headerLimit {
					t.Fatalf("not closed %v after half a head, limit %v", time.Since(sent), headerLimit)
				}
				time.Sleep(time.Millisecond)
			}
			if open := time.Since(sent); open < headerLimit*9/10 {
				t.Errorf("closed %v after half a head, limit %v", open, headerLimit)
			}
			if _, err := r.ReadByte(); err == nil {
				t.Error("half of a head was answered")
			}
		})
	}
}

// TestHeadInTwoSegmentsIsCutByTheIdleLimit sweeps between two segments of a head on a kept
// connection that has been idle beyond the limit.
func TestHeadInTwoSegmentsIsCutByTheIdleLimit(t *testing.T) {
	_, tracker, addr := startTracked(t, func(http.ResponseWriter, *http.Request) {}, noState)
	c := dial(t, addr)
	r := bufio.NewReader(c)
	for round := range 20 {
		if !exchange(c, r) {
			t.Fatalf("request %d on the connection was not answered", 2*round)
		}
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHo"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond) // lets it arrive
		tracker.Sweep(time.Now(), time.Minute, time.Nanosecond)
		if _, err := io.WriteString(c, "st: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("head in two segments: %v, want a response", err)
		}
	}
}

// TestPipelinedRequestIsLostInASweep sweeps before and after each change of state while two
// requests of one segment are served.
func TestPipelinedRequestIsLostInASweep(t *testing.T) {
	swept := func(tracker *Tracker, _ http.ConnState) { sweepAll(tracker) }
	for range 50 {
		_, _, addr := startTracked(t, func(http.ResponseWriter, *http.Request) {}, swept)
		c := dial(t, addr)
		request := "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
		if _, err := io.WriteString(c, request+request); err != nil {
			t.Fatal(err)
		}
		r := bufio.NewReader(c)
		for i := range 2 {
			if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("request %d of two in one segment: %v, want a response", i, err)
			}
		}
	}
}
