// Package rawserver answers HTTP clients under test with bytes that no http.Server would send.
package rawserver

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// SoundHead is the head of a response whose body ends with its connection.
const SoundHead = "HTTP/1.1 200 OK\r\nX-A: 1\r\nConnection: close\r\n\r\n"

// BrokenHeads are heads of such responses in which a line does not begin with a field name, or without a status, by what is
// wrong with them.
var BrokenHeads = map[string]string{
	"blank in a name":             "HTTP/1.1 200 OK\r\nX Trace: 1\r\nConnection: close\r\n\r\n",
	"blank after a name":          "HTTP/1.1 200 OK\r\nX-Trace : 1\r\nConnection: close\r\n\r\n",
	"blank before a name":         "HTTP/1.1 200 OK\r\nX-A: 1\r\n X-Trace: 1\r\nConnection: close\r\n\r\n",
	"control byte in a name":      "HTTP/1.1 200 OK\r\nX-\x01Trace: 1\r\nConnection: close\r\n\r\n",
	"blank in an interim head":    "HTTP/1.1 103 Early Hints\r\nX Trace: 1\r\n\r\n" + SoundHead,
	"status 000":                  "HTTP/1.1 000 \r\nConnection: close\r\n\r\n",
	"status 000 after an interim": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 \r\nConnection: close\r\n\r\n",
}

// Start starts a server that reads the heads of requests and lets answer write the response, with TLS if config is set. It
// closes a connection if answer returns false, and all of them at the end of the test. Start returns the server's URL.
func Start(t testing.TB, config *tls.Config, answer func(c net.Conn, r *http.Request) bool) (url string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{config: config, answer: answer, conns: make(map[net.Conn]bool)}
	s.serving.Go(func() { s.accept(l) })
	t.Cleanup(func() {
		l.Close()
		s.close()
		s.serving.Wait()
	})
	if config != nil {
		return "https://" + l.Addr().String()
	}
	return "http://" + l.Addr().String()
}

// Send starts a server that answers each request with the bytes that response returns, once it has read its body. It closes
// the connection after that. Send returns the server's URL.
func Send(t testing.TB, response func() string) (url string) {
	t.Helper()
	return Start(t, nil, func(c net.Conn, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body) // as does the write, it fails only if the client has left
		_, _ = io.WriteString(c, response())
		return false
	})
}

type server struct {
	config  *tls.Config
	answer  func(c net.Conn, r *http.Request) bool
	serving sync.WaitGroup

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

func (s *server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if s.config != nil {
			c = tls.Server(c, s.config)
		}
		s.serving.Go(func() { s.serve(c) })
	}
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	s.mu.Lock()
	closed := s.closed
	s.conns[c] = true
	s.mu.Unlock()
	in := bufio.NewReader(c)
	for !closed {
		r, err := http.ReadRequest(in)
		if err != nil || !s.answer(c, r) {
			return
		}
	}
}

func (s *server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		c.Close()
	}
}
