package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// Repeater is a faulty server: once it has read a further request on a kept connection, it
// sends a second copy of the previous answer before its own.
type Repeater struct {
	listener net.Listener
	answer   AnswerFunc
	wg       sync.WaitGroup
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

// AnswerFunc returns the status and the text that answer a request. It is called concurrently.
type AnswerFunc func(r *http.Request, body []byte) (status int, text string)

// NewRepeater starts a repeater on a loopback port chosen by the system.
func NewRepeater(answer AnswerFunc) (*Repeater, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "repeater")
	}
	s := &Repeater{listener: l, answer: answer, conns: make(map[net.Conn]bool)}
	s.wg.Go(s.accept)
	return s, nil
}

// URL returns the base URL, without a trailing slash.
func (s *Repeater) URL() string { return "http://" + s.listener.Addr().String() }

// Close breaks all connections and waits for their goroutines.
func (s *Repeater) Close() error {
	err := s.listener.Close()
	s.mu.Lock()
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
	return err
}

func (s *Repeater) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		s.wg.Go(func() { s.serve(c) })
	}
}

// serve answers the requests of one connection until it breaks or a request asks for its end.
func (s *Repeater) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	var previous []byte
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		status, text := s.answer(r, body)
		next := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(text), text)
		if _, err := c.Write(append(previous, next...)); err != nil || r.Close {
			return
		}
		previous = next
	}
}
