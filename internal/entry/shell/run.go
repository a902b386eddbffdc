package shell

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"trefoilpath.org/trefoilpath/internal/httpconn"
	"trefoilpath.org/trefoilpath/internal/incarnation"
	"trefoilpath.org/trefoilpath/internal/settings"
	"trefoilpath.org/trefoilpath/internal/transport"
)

const (
	// stopTimeout bounds the shutdown of the HTTP servers after Entry.Run has returned.
	stopTimeout = 2 * time.Second
	// memoryLimitFraction of the process's memory is the garbage collector's limit.
	memoryLimitFraction = 0.6
	// writeTimeout is how long a client may take for 64 KiB of an answer, or for what is left of it.
	writeTimeout = 30 * time.Second
	// maxOperatorConnections bounds the connections of operators, the balancer's included.
	maxOperatorConnections = 32
)

// Listeners are the sockets of one entry. Operators may be nil.
type Listeners struct {
	Callers   net.Listener
	Peers     net.Listener
	Operators net.Listener
}

// Listen opens the sockets that the settings name.
func Listen(s settings.Entry) (l Listeners, err error) {
	if l.Callers, err = net.Listen("tcp", s.ListenCallers); err != nil {
		return l, errors.Wrap(err, "listen_callers")
	}
	if l.Peers, err = net.Listen("tcp", s.ListenPeers); err != nil {
		return l, errors.Wrap(err, "listen_peers")
	}
	if s.ListenOperators == "" {
		return l, nil
	}
	l.Operators, err = net.Listen("tcp", s.ListenOperators)
	return l, errors.Wrap(err, "listen_operators")
}

// Run runs an entry process with the given settings. When ctx ends, it shuts
// down gracefully; Run returns when no work is in flight any more, or after
// the drain wait of the settings.
func Run(ctx context.Context, s settings.Entry, log zerolog.Logger) error {
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.Limits.MemoryBytes)))
	cfg, err := FromSettings(s, incarnation.For(ctx, s.StoreURL, incarnation.RoleEntry, string(s.Node), log), log)
	if err != nil {
		return err
	}
	l, err := Listen(s)
	if err != nil {
		return err
	}
	if s.CallersTLS.Enabled() {
		cert, err := tls.LoadX509KeyPair(s.CallersTLS.CertFile, s.CallersTLS.KeyFile)
		if err != nil {
			return errors.Wrap(err, "callers_tls")
		}
		cfg.CallersTLS = &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{cert}, NextProtos: []string{"http/1.1"}}
	}
	e, err := New(cfg)
	if err != nil {
		return err
	}
	return e.Serve(ctx, l)
}

// Serve runs the entry on the listeners. When ctx ends it shuts down gracefully.
func (e *Entry) Serve(ctx context.Context, l Listeners) error {
	handler, err := e.PeerHandler()
	if err != nil {
		return err
	}
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	peers := transport.Serve(l.Peers, e.cfg.TLS, handler)
	callers := e.serve(l.Callers, e.cfg.CallersTLS, e.CallerHandler(), e.callerLimits())
	var operatorsTLS *tls.Config
	if e.cfg.OperatorsTLS {
		operatorsTLS = e.cfg.TLS.Operators()
	}
	operators := e.serve(l.Operators, operatorsTLS, e.OperatorHandler(), httpconn.Limits{Connections: maxOperatorConnections, WriteTimeout: writeTimeout})
	e.watchShed(run, "callers", callers)
	e.watchShed(run, "operators", operators)
	unhook := context.AfterFunc(ctx, func() {
		e.Shutdown()
		time.AfterFunc(e.cfg.DrainWait, stop)
	})
	defer unhook()
	e.cfg.Log.Info().Str("event", "start").Str("callers", l.Callers.Addr().String()).Str("peers", l.Peers.Addr().String()).Send()
	err = e.Run(run)
	var g errgroup.Group
	g.Go(callers.stop)
	g.Go(operators.stop)
	stop()
	_ = g.Wait() // a caller that still reads after stopTimeout is disconnected
	e.servers.Wait()
	peers.Close()
	e.cfg.Log.Info().Str("event", "stop").Send()
	return err
}

// server is an HTTP server and the tracker of its connections; nil: no server.
type server struct {
	http  *http.Server
	conns *httpconn.Tracker
}

// callerLimits returns the limits of the connections of callers.
func (e *Entry) callerLimits() httpconn.Limits {
	limits := e.cfg.Limits
	return httpconn.Limits{
		Connections: httpconn.MaxConnections(httpconn.Descriptors(limits.MaxDescriptors), limits.MemoryBytes),
		Memory:      e.memory, WriteTimeout: writeTimeout,
	}
}

// watchShed logs and counts the connections of a server that are closed at its limits, until ctx
// ends. The server may be nil.
func (e *Entry) watchShed(ctx context.Context, name string, s *server) {
	if s == nil {
		return
	}
	e.servers.Go(func() {
		s.conns.WatchShed(ctx, func(closed, refused int) {
			e.meters.connectionsShed.Inc(int64(closed + refused))
			e.cfg.Log.Warn().Str("event", "connections-shed").Str("listener", name).Int("closed", closed).Int("refused", refused).Send()
		})
	})
}

// serve starts an HTTP server on l. It returns nil if l is nil.
func (e *Entry) serve(l net.Listener, tlsConfig *tls.Config, h http.Handler, limits httpconn.Limits) *server {
	if l == nil {
		return nil
	}
	s := &server{conns: httpconn.NewTracker(), http: &http.Server{
		Handler:           httpconn.BoundUnreadBodies(h),
		ReadHeaderTimeout: time.Duration(e.cfg.Limits.ReadHeaderTimeoutMS) * time.Millisecond,
		MaxHeaderBytes:    int(e.cfg.Limits.MaxHeaderBytes),
	}}
	s.http.ConnState = s.conns.OnStateChange
	s.conns.SetLimits(limits)
	l = s.conns.Listener(l)
	if tlsConfig != nil {
		l = tls.NewListener(l, tlsConfig)
	}
	e.servers.Go(func() { _ = s.http.Serve(l) }) // returns only after Close, or with the listener's error
	return s
}

func (s *server) stop() error {
	if s == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return s.conns.CloseServer(ctx, s.http)
}
