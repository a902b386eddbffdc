package transport

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"trefoilpath.org/trefoilpath/internal/tlsconfig"
)

// headerTimeout is the maximum time for a client to send its request headers.
const headerTimeout = 10 * time.Second

// Server accepts the connections of agents and other entries.
type Server struct {
	http *http.Server
	done chan struct{}
}

// Serve starts serving on l, with mutual TLS if source is not nil.
func Serve(l net.Listener, source *tlsconfig.Source, handler http.Handler) *Server {
	var protocols http.Protocols
	protocols.SetHTTP2(source != nil)
	protocols.SetUnencryptedHTTP2(source == nil)
	s := &Server{
		http: &http.Server{Handler: handler, Protocols: &protocols, ReadHeaderTimeout: headerTimeout},
		done: make(chan struct{}),
	}
	if source != nil {
		l = tls.NewListener(l, source.Server())
	}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(l) // returns after Close or Shutdown, or with the listener's error
	}()
	return s
}

// Close closes all connections and waits until the server has stopped accepting.
// Handlers may still be running.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.done
}

// Shutdown stops accepting connections and waits until no call or stream is in
// progress or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }
