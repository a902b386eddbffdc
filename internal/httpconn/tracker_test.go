package httpconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// startServer serves requests that wait for release, and returns the server's address.
func startServer(t *testing.T, release <-chan struct{}) (*http.Server, *Tracker, string) {
	t.Helper()
	return startTracked(t, func(http.ResponseWriter, *http.Request) { <-release }, func(*Tracker, http.ConnState) {})
}

// startTracked starts a server whose changes of state are passed to before and then to a
// tracker, and returns its address.
func startTracked(t *testing.T, h http.HandlerFunc, before func(*Tracker, http.ConnState)) (*http.Server, *Tracker, string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tracker := NewTracker()
	srv := &http.Server{Handler: h, ConnState: func(c net.Conn, s http.ConnState) {
		before(tracker, s)
		tracker.OnStateChange(c, s)
	}}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { srv.Close() })
	return srv, tracker, l.Addr().String()
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func sendRequest(t *testing.T, c net.Conn) {
	t.Helper()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
}

func awaitBusy(t *testing.T, tracker *Tracker, want int) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); tracker.Busy() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections are busy, want %d", tracker.Busy(), want)
		}
	}
}

func TestRequestReadWhileTheServerClosesIsAnswered(t *testing.T) {
	release := make(chan struct{})
	srv, tracker, addr := startServer(t, release)
	running, unused := dial(t, addr), dial(t, addr)
	sendRequest(t, running)
	awaitBusy(t, tracker, 1)
	closed := make(chan error)
	go func() { closed <- tracker.CloseServer(context.Background(), srv) }()
	time.Sleep(20 * time.Millisecond) // lets the close begin
	sendRequest(t, unused)
	awaitBusy(t, tracker, 2)
	close(release)
	for name, c := range map[string]net.Conn{"running": running, "unused": unused} {
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("the request on the %s connection: %v, want a response", name, err)
		}
	}
	if err := <-closed; err != nil {
		t.Error(err)
	}
}

func TestCloseServerEndsWithItsContext(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	srv, tracker, addr := startServer(t, release)
	sendRequest(t, dial(t, addr))
	awaitBusy(t, tracker, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if err := tracker.CloseServer(ctx, srv); err != nil {
		t.Error(err)
	}
}

func TestCloseIdleSparesAConnectionOnWhichARequestHasArrived(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	tracker := NewTracker()
	tracker.OnStateChange(server, http.StateIdle) // not plain TCP: what has arrived can't be told
	if n := tracker.CloseIdle(); n != 0 {
		t.Errorf("%d connections closed, want 0", n)
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for name, send := range map[string]bool{"with a request": true, "silent": false} {
		c := dial(t, l.Addr().String())
		s, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		if send {
			sendRequest(t, c)
			time.Sleep(20 * time.Millisecond) // lets it arrive
		}
		tracker.OnStateChange(s, http.StateIdle)
		if n := tracker.CloseIdle(); (n == 0) != send {
			t.Errorf("%s: %d connections closed", name, n)
		}
		tracker.OnStateChange(s, http.StateClosed)
	}
}
