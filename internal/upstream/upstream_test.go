package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// server is a TCP server that counts connections and the requests it has read.
type server struct {
	listener net.Listener
	requests atomic.Int64
	conns    atomic.Int64
}

// newServer starts a server that calls answer for each request; n counts from 1.
// It closes the connection if answer returns false.
func newServer(t *testing.T, answer func(c net.Conn, n int64, r *http.Request) bool) *server {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &server{listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					if !answer(c, s.requests.Add(1), r) {
						return
					}
				}
			}()
		}
	}()
	return s
}

const testIDHeader = "X-Id"

func request(id string) *Request {
	return &Request{Method: "GET", Target: "/x", Host: "h", Header: http.Header{}, ID: id, IDHeader: testIDHeader}
}

func reply(c net.Conn, id, body, more string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n%s\r\n%s", testIDHeader, id, len(body), more, body)
	return err == nil
}

// exchange sends a request through the pool, on any connection, and returns the response body.
func exchange(p *Pool, s *server, id string) (string, error) {
	c, err := p.Get(context.Background(), s.listener.Addr().String(), time.Minute, "not sent before")
	if err != nil {
		return "", err
	}
	if err := c.Write(request(id)); err != nil {
		c.Close()
		return "", err
	}
	resp, err := c.Read(request(id))
	if err != nil {
		c.Close()
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.Close()
		return string(body), err
	}
	c.Release(resp)
	return string(body), nil
}

func TestConnectionIsReused(t *testing.T) {
	s := newServer(t, func(c net.Conn, n int64, r *http.Request) bool { return reply(c, "a", "body", "") })
	p := NewPool()
	for range 5 {
		if body, err := exchange(p, s, "a"); err != nil || body != "body" {
			t.Fatal(body, err)
		}
	}
	if n := s.conns.Load(); n != 1 {
		t.Errorf("%d connections, want 1", n)
	}
}

// TestRequestIsNotSentTwiceOnAConnection guards against a copy of an earlier response that is taken
// for the response to a second send of its request, or to a request without an ID.
func TestRequestIsNotSentTwiceOnAConnection(t *testing.T) {
	s := newServer(t, func(c net.Conn, n int64, r *http.Request) bool {
		return reply(c, r.Header.Get(testIDHeader), "body", "")
	})
	p := NewPool()
	for i, test := range []struct {
		id    string
		conns int64 // made so far
	}{{"a", 1}, {"b", 1}, {"a", 2}, {"b", 2}, {"c", 2}, {"", 3}, {"", 4}, {"d", 4}} {
		c, err := p.Get(context.Background(), s.listener.Addr().String(), time.Minute, test.id)
		if err != nil {
			t.Fatal(err)
		}
		r := request(test.id)
		r.Header.Set(testIDHeader, test.id)
		resp, err := c.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatal(err)
		}
		c.Release(resp)
		if n := s.conns.Load(); n != test.conns {
			t.Errorf("step %d, request %q: %d connections, want %d", i, test.id, n, test.conns)
		}
	}
}

// TestCopyBeforeTheResponseToHEADIsNoAnswer guards against a proof that is read in the body of a response
// to another request, since the response to HEAD has none.
func TestCopyBeforeTheResponseToHEADIsNoAnswer(t *testing.T) {
	s := newServer(t, func(c net.Conn, n int64, r *http.Request) bool {
		return reply(c, "a", fmt.Sprintf("HTTP/1.1 503 X\r\n%s: b\r\n\r\n", testIDHeader), "")
	})
	p := NewPool()
	c, err := p.Get(context.Background(), s.listener.Addr().String(), time.Minute, "b")
	if err != nil {
		t.Fatal(err)
	}
	r := request("b")
	r.Method = http.MethodHead
	if resp, err := c.Do(r); err == nil {
		t.Errorf("status %d was read in a body", resp.StatusCode)
	}
}

// TestBodyBelowStatus100IsNoAnswer guards against a proof that is read in the body of a malformed answer.
func TestBodyBelowStatus100IsNoAnswer(t *testing.T) {
	s := newServer(t, func(c net.Conn, n int64, r *http.Request) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 099 X\r\n%s: a\r\nContent-Length: 60\r\n\r\nHTTP/1.1 503 X\r\n%s: a\r\nContent-Length: 0\r\n\r\n", testIDHeader, testIDHeader)
		return err == nil
	})
	if body, err := exchange(NewPool(), s, "a"); err == nil {
		t.Errorf("the answer %q was read, want an error", body)
	}
}

// TestConnectionIsClosedAfterManyRequests checks that the IDs remembered for a connection are
// bounded.
func TestConnectionIsClosedAfterManyRequests(t *testing.T) {
	s := newServer(t, func(c net.Conn, n int64, r *http.Request) bool { return reply(c, "a", "body", "") })
	p := NewPool()
	for range maxRequests + 1 {
		if _, err := exchange(p, s, "a"); err != nil {
			t.Fatal(err)
		}
	}
	if n := s.conns.Load(); n != 2 {
		t.Errorf("%d connections for %d requests, want 2", n, maxRequests+1)
	}
}

// TestNothingIsResent checks that a request is not resent if the endpoint closes a
// kept-alive connection after it has read the request.
func TestNothingIsResent(t *testing.T) {
	s := newServer(t, func(c net.Conn, n int64, r *http.Request) bool { return n == 1 && reply(c, "a", "body", "") })
	p := NewPool()
	if _, err := exchange(p, s, "a"); err != nil {
		t.Fatal(err)
	}
	if _, err := exchange(p, s, "a"); err == nil {
		t.Error("no error for a request without a response")
	}
	if n := s.requests.Load(); n != 2 {
		t.Errorf("%d requests were read, want 2", n)
	}
}

func TestConnectionsThatAreNotReused(t *testing.T) {
	for name, answer := range map[string]func(c net.Conn, r *http.Request) bool{
		"closing":                            func(c net.Conn, r *http.Request) bool { return reply(c, "a", "body", "Connection: close\r\n") },
		"response to another request after":  func(c net.Conn, r *http.Request) bool { return reply(c, "a", "body", "") && reply(c, "b", "x", "") },
		"response to another request before": func(c net.Conn, r *http.Request) bool { return reply(c, "b", "x", "") && reply(c, "a", "body", "") },
		"chunked response to another request before": func(c net.Conn, r *http.Request) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: b\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", testIDHeader)
			return reply(c, "a", "body", "")
		},
		"expired": func(c net.Conn, r *http.Request) bool { return reply(c, "a", "body", "Keep-Alive: timeout=0\r\n") },
		"without length": func(c net.Conn, r *http.Request) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: a\r\n\r\nbody", testIDHeader)
			return false
		},
	} {
		s := newServer(t, func(c net.Conn, n int64, r *http.Request) bool { return answer(c, r) })
		p := NewPool()
		for range 3 {
			body, err := exchange(p, s, "a")
			if err != nil || body != "body" {
				t.Errorf("%s: %q, %v", name, body, err)
			}
			time.Sleep(5 * time.Millisecond) // lets bytes that follow the response arrive
		}
		if n := s.conns.Load(); n != 3 {
			t.Errorf("%s: %d connections, want 3", name, n)
		}
	}
}

// TestConnectionOfAHEADIsNotReused guards against the copy of a response to HEAD that swallows the next response,
// as it states the length of a body that it lacks.
func TestConnectionOfAHEADIsNotReused(t *testing.T) {
	s := newServer(t, func(c net.Conn, n int64, r *http.Request) bool { return reply(c, "a", "", "") })
	p := NewPool()
	for range 2 {
		c, err := p.Get(context.Background(), s.listener.Addr().String(), time.Minute, "not sent before")
		if err != nil {
			t.Fatal(err)
		}
		r := request("a")
		r.Method = http.MethodHead
		resp, err := c.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		c.Release(resp)
	}
	if n := s.conns.Load(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

// TestResetBodyIsIncomplete checks that a body without a stated length counts as
// complete only after an orderly close of the connection, not after a reset.
func TestResetBodyIsIncomplete(t *testing.T) {
	s := newServer(t, func(c net.Conn, n int64, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: a\r\n\r\nhalf", testIDHeader)
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	})
	if body, err := exchange(NewPool(), s, "a"); err == nil {
		t.Errorf("a reset body looks complete: %q", body)
	}
}

// TestEarlyResponse checks that a response that arrives before the whole request
// body is written is read, and that the connection is then not reused.
func TestEarlyResponse(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Read(make([]byte, 10))
		reply(c, "a", "early", "")
		time.Sleep(time.Second)
	}()
	p := NewPool()
	c, err := p.Get(context.Background(), l.Addr().String(), time.Minute, "")
	if err != nil {
		t.Fatal(err)
	}
	r := request("a")
	r.Method, r.Body = "POST", make([]byte, 32<<20)
	if err := c.Write(r); err != nil {
		t.Fatal(err)
	}
	resp, err := c.Read(r)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "early" {
		t.Fatal(string(body), err)
	}
	c.Release(resp)
	if open, _ := p.Stats(); open != 0 {
		t.Error("a connection with a partly written request was kept")
	}
}

func TestSweepClosesIdleConnections(t *testing.T) {
	s := newServer(t, func(c net.Conn, n int64, r *http.Request) bool {
		return reply(c, "a", "body", "Keep-Alive: timeout=2\r\n")
	})
	p := NewPool()
	if _, err := exchange(p, s, "a"); err != nil {
		t.Fatal(err)
	}
	p.Sweep(time.Now().Add(time.Second))
	if open, _ := p.Stats(); open != 1 {
		t.Errorf("%d connections open more than expiryMargin before the keep-alive timeout, want 1", open)
	}
	p.Sweep(time.Now().Add(1500 * time.Millisecond))
	if open, _ := p.Stats(); open != 0 {
		t.Errorf("%d connections open less than expiryMargin before the keep-alive timeout, want 0", open)
	}
}

func BenchmarkExchange(b *testing.B) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	web := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testIDHeader, "a")
		_, _ = io.WriteString(w, "body")
	})}
	go func() { _ = web.Serve(l) }()
	defer web.Close()
	p := NewPool()
	s := &server{listener: l}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := exchange(p, s, "a"); err != nil {
			b.Fatal(err)
		}
	}
}

// TestAbortDropsUnsentBytes checks that an endpoint behind a slow link does not receive
// the rest of a request that was cancelled while it was in the sender's buffers: the
// endpoint begins to read only after the cancellation.
func TestAbortDropsUnsentBytes(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	cancelled, result := make(chan struct{}), make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			result <- err
			return
		}
		defer c.Close()
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10) // on failure more is read before the reset
		<-cancelled
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err == nil {
			_, err = io.Copy(io.Discard, r.Body)
		}
		result <- err
	}()
	pool := NewPool()
	conn, err := pool.Get(context.Background(), l.Addr().String(), time.Minute, "")
	if err != nil {
		t.Fatal(err)
	}
	r := request("1")
	r.Method, r.Body = "POST", make([]byte, 1<<20)
	if err := conn.net.Conn.(*net.TCPConn).SetWriteBuffer(2 << 20); err != nil {
		t.Fatal(err)
	}
	if err := conn.Write(r); err != nil {
		t.Fatal(err)
	}
	if err := <-conn.writeResult; err != nil {
		t.Fatal(err)
	}
	conn.Abort()
	close(cancelled)
	if err := <-result; err == nil {
		t.Error("the endpoint received the whole request after it was cancelled")
	}
}

func TestConnectionWithAnUnreadBodyIsNotReused(t *testing.T) {
	s := newServer(t, func(c net.Conn, n int64, r *http.Request) bool {
		if n > 1 {
			return reply(c, "a", "second", "")
		}
		// The rest of the body arrives after the release.
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: a\r\nContent-Length: 9\r\n\r\nfirs", testIDHeader)
		time.Sleep(10 * time.Millisecond)
		_, _ = io.WriteString(c, "t\nmore")
		return true
	})
	p := NewPool()
	c, err := p.Get(context.Background(), s.listener.Addr().String(), time.Minute, "")
	if err != nil {
		t.Fatal(err)
	}
	resp, err := c.Do(request("a"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(resp.Body, make([]byte, 4)); err != nil {
		t.Fatal(err)
	}
	c.Release(resp)
	if body, err := exchange(p, s, "a"); err != nil || body != "second" {
		t.Errorf("the next response is %q, %v, want the second", body, err)
	}
}

func TestInterimResponsesThatHideOrDelayTheAnswer(t *testing.T) {
	const interim = "HTTP/1.1 102 Processing\r\n\r\n"
	s := newServer(t, func(c net.Conn, n int64, r *http.Request) bool {
		if n == 1 {
			_, _ = io.WriteString(c, strings.Repeat(interim, 100))
			return reply(c, "a", "body", "")
		}
		for {
			if _, err := io.WriteString(c, interim); err != nil {
				return false
			}
		}
	})
	p := NewPool()
	if body, err := exchange(p, s, "a"); err != nil || body != "body" {
		t.Errorf("%q, %v after interim responses, want the answer", body, err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := exchange(p, s, "a")
		ended <- err
	}()
	select {
	case err := <-ended:
		if err == nil {
			t.Error("no error for interim responses without an end")
		}
	case <-time.After(5 * time.Second):
		t.Error("still reading interim responses after 5 s")
	}
}

// TestConnectionToAFrozenVMIsEnded checks by the socket options of a dialed connection that
// it outlasts a VM that stands still, and ends soon after one has vanished.
func TestConnectionToAFrozenVMIsEnded(t *testing.T) {
	const standstill, vanished = 3 * time.Second, 5 * time.Second
	s := newServer(t, func(net.Conn, int64, *http.Request) bool { return true })
	c, err := NewPool().Get(context.Background(), s.listener.Addr().String(), 0, "")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if tcpOption(t, c.net.Conn, unix.SOL_SOCKET, unix.SO_KEEPALIVE) == 0 {
		t.Fatal("no keep-alive probes")
	}
	seconds := func(option int) time.Duration {
		return time.Duration(tcpOption(t, c.net.Conn, unix.IPPROTO_TCP, option)) * time.Second
	}
	idle, interval := seconds(unix.TCP_KEEPIDLE), seconds(unix.TCP_KEEPINTVL)
	count := tcpOption(t, c.net.Conn, unix.IPPROTO_TCP, unix.TCP_KEEPCNT)
	// The last sign of a VM may be as old as idle when it stops.
	for name, end := range map[string]time.Duration{
		"data unacknowledged": time.Duration(tcpOption(t, c.net.Conn, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)) * time.Millisecond,
		"probes unanswered":   idle + time.Duration(count)*interval,
	} {
		if end <= standstill+idle || end > vanished {
			t.Errorf("%s: the connection ends after %v, want more than %v and at most %v", name, end, standstill+idle, vanished)
		}
	}
}

func tcpOption(t *testing.T, c net.Conn, level, option int) int {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var value int
	var failed error
	if err := raw.Control(func(fd uintptr) { value, failed = unix.GetsockoptInt(int(fd), level, option) }); err != nil || failed != nil {
		t.Fatalf("read option %d: %v, %v", option, err, failed)
	}
	return value
}
