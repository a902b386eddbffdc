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
	go func() { _ = srv.Serve(tracker.Listener(l)) }()
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

// acceptTracked returns a connection accepted by a tracker's listener and its other side.
func acceptTracked(t *testing.T, tracker *Tracker) (server *trackedConn, client net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client = dial(t, l.Addr().String())
	c, err := tracker.Listener(l).Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	tracker.OnStateChange(c, http.StateNew)
	tracker.OnStateChange(c, http.StateIdle)
	return c.(*trackedConn), client
}

// readInBackground reads once from a connection, and returns when the read has begun. The
// channel receives the result.
func readInBackground(t *testing.T, c *trackedConn) <-chan int {
	t.Helper()
	result := make(chan int, 1)
	go func() {
		n, _ := c.Read(make([]byte, 100))
		result <- n
	}()
	for begun := false; !begun; time.Sleep(time.Millisecond) {
		c.mu.Lock()
		begun = c.reading
		c.mu.Unlock()
	}
	return result
}

func TestCloseIdleSparesAConnectionOnWhichARequestHasArrived(t *testing.T) {
	tracker := NewTracker()
	expect := func(name string, want int) {
		t.Helper()
		if n := tracker.CloseIdle(); n != want {
			t.Errorf("%s: %d connections closed, want %d", name, n, want)
		}
	}
	client, server := net.Pipe()
	defer client.Close()
	tracker.OnStateChange(server, http.StateIdle) // not plain TCP: what has arrived can't be told
	expect("not plain TCP", 0)

	_, c := acceptTracked(t, tracker)
	sendRequest(t, c)
	time.Sleep(20 * time.Millisecond) // lets it arrive
	expect("request not read", 0)

	s, c := acceptTracked(t, tracker)
	result := readInBackground(t, s)
	sendRequest(t, c)
	if n := <-result; n == 0 {
		t.Error("the request was not read")
	}
	expect("request read", 0)

	s, c = acceptTracked(t, tracker)
	result = readInBackground(t, s)
	if _, err := io.WriteString(c, "GET / HT"); err != nil {
		t.Fatal(err)
	}
	<-result
	readInBackground(t, s) // for the rest of the head
	expect("half of a head read", 0)

	s, _ = acceptTracked(t, tracker)
	result = readInBackground(t, s)
	expect("silent", 1)
	if n := <-result; n != 0 {
		t.Errorf("%d bytes read from a closed connection", n)
	}
}

// TestServerRunsARequestOfAConnectionThatWasClosed checks that a connection stays open if its
// read has received bytes at the moment of the close, so that they can be answered, and that
// one whose read has received nothing passes nothing on.
func TestServerRunsARequestOfAConnectionThatWasClosed(t *testing.T) {
	for _, received := range []int{0, 10} {
		tracker := NewTracker()
		s, c := acceptTracked(t, tracker)
		if !s.startRead() {
			t.Fatal("an open connection can't be read")
		}
		if n := tracker.CloseIdle(); n != 1 {
			t.Fatalf("%d connections closed, want 1", n)
		}
		open := s.finishRead(received)
		if open != (received > 0) {
			t.Errorf("open %v after a read of %d bytes", open, received)
		}
		sendRequest(t, c)
		n, err := s.Read(make([]byte, 10))
		if open != (n > 0 && err == nil) {
			t.Errorf("%d bytes and error %v are read next, open: %v", n, err, open)
		}
	}
}
