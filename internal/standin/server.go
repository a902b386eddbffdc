package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// headerTimeout is the maximum time that a stand-in waits for the headers of a call.
const headerTimeout = 10 * time.Second

// server is the HTTP server that each stand-in embeds.
type server struct {
	listener net.Listener
	http     *http.Server
	down     atomic.Bool // close the connection of every call
}

// listen serves h on a loopback port chosen by the system.
func listen(h http.Handler) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "stand-in")
	}
	s := &server{listener: l}
	s.http = &http.Server{Handler: s.guard(h), ReadHeaderTimeout: headerTimeout}
	go s.http.Serve(l)
	return s, nil
}

// guard closes the connection of every call while the stand-in is down.
func (s *server) guard(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.down.Load() {
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	})
}

// Address returns the "host:port" that the stand-in listens on.
func (s *server) Address() string { return s.listener.Addr().String() }

// URL returns the base URL, without a trailing slash.
func (s *server) URL() string { return "http://" + s.Address() }

// Close stops serving and breaks all connections. It also closes the listener, since
// the HTTP server may not have registered it yet right after the start.
func (s *server) Close() error {
	err := s.http.Close()
	if closed := s.listener.Close(); closed != nil && !errors.Is(closed, net.ErrClosed) && err == nil {
		err = closed
	}
	return err
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(append(raw, '\n'))
}
