package httpconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/bytebudget"
)

func TestMaxConnections(t *testing.T) {
	for _, c := range []struct {
		name        string
		descriptors int
		memoryMB    int64
		want        int
	}{
		{"no limits", 0, 0, 0},
		{"a front by its descriptors", 4100, 284, 1950},
		{"the smallest front by its memory", 4100, 160, 1280},
		{"descriptors only", 256, 0, 96},
		{"memory only", 0, 128, 1024},
		{"hardly any", 1, 1, 1},
	} {
		if got := MaxConnections(c.descriptors, c.memoryMB<<20); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}

func TestLongestWaits(t *testing.T) {
	now := time.Now()
	wait := func(ago time.Duration, idle bool) waitingConn {
		return waitingConn{conn: &trackedConn{}, wait: connWait{since: now.Add(-ago), idle: idle}}
	}
	short, long, longest, idle := wait(time.Millisecond, false), wait(time.Second, false), wait(time.Minute, false), wait(time.Hour, true)
	got := longestWaits([]waitingConn{short, long, idle, longest}, now, false, stallTime)
	if len(got) != 2 || got[0] != longest || got[1] != long {
		t.Errorf("%v, want the longest and the long wait", got)
	}
	if got := longestWaits([]waitingConn{short, idle}, now, true, minIdle); len(got) != 1 || got[0] != idle {
		t.Errorf("%v, want the idle connection", got)
	}
}

// startLimited starts a server with places for a number of connections.
func startLimited(t *testing.T, places int, memory *bytebudget.Account, h http.HandlerFunc) (*Tracker, string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tracker := NewTracker()
	tracker.SetLimits(Limits{Connections: places, Memory: memory})
	srv := &http.Server{Handler: h, ConnState: tracker.OnStateChange}
	go func() { _ = srv.Serve(tracker.Listener(l)) }()
	t.Cleanup(func() { srv.Close() })
	return tracker, l.Addr().String()
}

// awaitServed sends requests on new connections until one is answered.
func awaitServed(t *testing.T, addr string) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		c, err := net.Dial("tcp4", addr)
		if err != nil {
			continue
		}
		defer c.Close()
		if exchange(c, bufio.NewReader(c)) {
			return
		}
	}
	t.Fatal("no request is served")
}

func TestConnectionsThatWaitAreClosedForANewOne(t *testing.T) {
	for name, text := range map[string]string{"nothing sent": "", "half a head": "GET / HT", "idle": "GET / HTTP/1.1\r\nHost: h\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			tracker, addr := startLimited(t, 4, nil, func(http.ResponseWriter, *http.Request) {})
			for range 4 {
				if _, err := io.WriteString(dial(t, addr), text); err != nil {
					t.Fatal(err)
				}
			}
			awaitServed(t, addr)
			if closed, _ := tracker.Shed(); closed == 0 {
				t.Error("no connection was closed for the new one")
			}
		})
	}
}

func TestRequestWithoutProgressIsEvictedForANewConnection(t *testing.T) {
	memory := bytebudget.New(0)
	_, addr := startLimited(t, 2, memory, func(w http.ResponseWriter, r *http.Request) {
		h := memory.Open()
		defer h.Close()
		h.Evictable(func() { _ = http.NewResponseController(w).SetReadDeadline(pastDeadline) })
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
	})
	for range 2 {
		if _, err := io.WriteString(dial(t, addr), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
	}
	awaitServed(t, addr)
}

// TestRequestInProgressIsCutForANewConnection fills all places with requests in progress. None may
// be cut, and the newcomer is closed unread.
func TestRequestInProgressIsCutForANewConnection(t *testing.T) {
	release := make(chan struct{})
	tracker, addr := startLimited(t, 2, bytebudget.New(0), func(http.ResponseWriter, *http.Request) { <-release })
	var conns []net.Conn
	for range 2 {
		c := dial(t, addr)
		sendRequest(t, c)
		conns = append(conns, c)
	}
	awaitBusy(t, tracker, 2)
	newcomer := dial(t, addr)
	if err := newcomer.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if n, err := newcomer.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Fatal("the newcomer got bytes")
	} else if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		t.Fatal("the newcomer was not closed")
	}
	close(release)
	for _, c := range conns {
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("a request in progress was cut: %v", err)
		}
	}
	if closed, refused := tracker.Shed(); closed != 0 || refused != 1 {
		t.Errorf("%d closed, %d refused, want 0 and 1", closed, refused)
	}
}
