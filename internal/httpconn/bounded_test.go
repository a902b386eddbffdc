package httpconn

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// listenBounded returns a bounded listener on loopback.
func listenBounded(t *testing.T, maxConns int) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l = Bounded(l, maxConns)
	t.Cleanup(func() { l.Close() })
	return l
}

// connect returns both sides of a new connection.
func connect(t *testing.T, l net.Listener) (client, server net.Conn) {
	t.Helper()
	client, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	if server, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	return client, server
}

func isOpen(client net.Conn) bool {
	_ = client.SetReadDeadline(time.Now().Add(50 * time.Millisecond)) // fails only on a closed connection
	_, err := client.Read(make([]byte, 1))
	timeout, ok := err.(net.Error)
	return err == nil || ok && timeout.Timeout()
}

func TestFullListenerClosesTheLongestWait(t *testing.T) {
	l := listenBounded(t, 3)
	var clients, servers []net.Conn
	for range 3 {
		c, s := connect(t, l)
		clients, servers = append(clients, c), append(servers, s)
	}
	// The first has been served meanwhile, so that the second has waited longest.
	if _, err := servers[0].Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	newest, _ := connect(t, l)
	for i, want := range []bool{true, false, true} {
		if isOpen(clients[i]) != want {
			t.Errorf("connection %d open: %v, want %v", i, !want, want)
		}
	}
	if !isOpen(newest) {
		t.Error("the new connection was closed")
	}
}

func TestClosedConnectionLeavesItsPlace(t *testing.T) {
	l := listenBounded(t, 1)
	for range 3 {
		_, s := connect(t, l)
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		if err := s.Close(); err == nil {
			t.Error("a second Close succeeded")
		}
	}
	c, _ := connect(t, l)
	if !isOpen(c) {
		t.Error("the only connection was closed")
	}
}

func TestRequestIsServedBesideSilentConnections(t *testing.T) {
	l := listenBounded(t, 4)
	srv := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go func() { _ = srv.Serve(l) }() // until the listener is closed
	for i := range 20 {
		c, err := net.Dial("tcp4", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: x\r\nX-Line: "); err != nil {
			t.Fatal(err)
		}
		client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Get("http://" + l.Addr().String())
		if err != nil {
			t.Fatalf("beside %d connections: %v", i+1, err)
		}
		resp.Body.Close()
	}
}
