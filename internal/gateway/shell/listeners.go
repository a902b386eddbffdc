package shell

import (
	"net"
	"net/http"
	"time"

	"trefoilpath.org/trefoilpath/internal/httpconn"
)

const (
	// readyConns, peerConns and metricsConns bound the connections that are open at the listeners for
	// the balancer, for other gateways and for operators. Each is at most otherFraction of
	// Settings.Descriptors.
	readyConns    = 64
	peerConns     = 128
	metricsConns  = 16
	otherFraction = 16
	// otherWriteTimeout bounds the time to write a response there: a dump over a slow link takes seconds.
	otherWriteTimeout = 10 * time.Second
	// maxDumps is the number of dumps and metrics that are written at once. A dump is encoded in memory.
	maxDumps = 2
)

// boundOther bounds what clients of a server other than that for callers can make it hold, and
// returns its listener. Requests there have no bodies.
func (g *Gateway) boundOther(server *http.Server, l net.Listener, conns int) net.Listener {
	server.ReadTimeout, server.WriteTimeout = headerTimeout, otherWriteTimeout
	if d := g.cfg.Settings.Descriptors; d > 0 {
		conns = min(conns, d/otherFraction)
	}
	return httpconn.Bounded(l, conns)
}

// atMost returns a handler that serves at most n requests at once, and responds 503 to others.
func atMost(n int, h http.Handler) http.Handler {
	serving := make(chan struct{}, n)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case serving <- struct{}{}:
			defer func() { <-serving }()
			h.ServeHTTP(w, r)
		default:
			http.Error(w, "busy", http.StatusServiceUnavailable)
		}
	})
}
