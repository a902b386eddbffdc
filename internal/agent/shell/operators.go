package shell

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"

	"trefoilpath.org/trefoilpath/internal/agent"
	"trefoilpath.org/trefoilpath/internal/httpconn"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	operatorHeaderTimeout = 5 * time.Second
	operatorStopTimeout   = time.Second
	// operatorWriteTimeout is how long an operator may take for 64 KiB of an answer, or for what is
	// left of it.
	operatorWriteTimeout = 30 * time.Second
	// maxOperatorConnections bounds the connections of operators, the balancer's included.
	maxOperatorConnections = 32
)

// Status summarises the state of the agent for operators.
type Status struct {
	Endpoint    wire.EndpointID  `json:"endpoint"`
	Incarnation wire.Incarnation `json:"incarnation"`
	Revision    uint64           `json:"revision"`
	Have        wire.Assignment  `json:"have"`
	EndpointUp  bool             `json:"endpoint_up"`
	Leaving     bool             `json:"leaving"`
	Drained     bool             `json:"drained"`
	Queued      int              `json:"queued"`
	Running     int              `json:"running"`
	EntriesUp   int              `json:"entries_up"`
}

// OperatorHandler serves /healthz, /readyz and /metrics to all, and /v1/operator/ to
// holders of the operators' key.
func (a *Agent) OperatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", a.serveReady)
	mux.HandleFunc("GET /metrics", a.serveMetrics)
	mux.Handle("GET /v1/operator/status", a.operatorsOnly(a.serveStatus))
	mux.Handle("GET /v1/operator/dump", a.operatorsOnly(a.serveDump))
	mux.Handle("POST /v1/operator/drain", a.operatorsOnly(a.serveDrain))
	return mux
}

func (a *Agent) serveOperators(ctx context.Context) error {
	l, err := net.Listen("tcp", a.cfg.ListenOperators)
	if err != nil {
		return errors.Wrap(err, "listen_operators")
	}
	conns := httpconn.NewTracker()
	conns.SetLimits(httpconn.Limits{Connections: maxOperatorConnections, WriteTimeout: operatorWriteTimeout})
	l = conns.Listener(l)
	if a.cfg.TLS != nil {
		l = tls.NewListener(l, a.cfg.TLS.Operators())
	}
	srv := &http.Server{
		Handler: httpconn.BoundUnreadBodies(a.OperatorHandler()), ReadHeaderTimeout: operatorHeaderTimeout, ConnState: conns.OnStateChange,
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		conns.WatchShed(ctx, a.logShed)
		stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), operatorStopTimeout)
		defer cancel()
		_ = srv.Shutdown(stopCtx)
	}()
	err = srv.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		<-stopped
		return nil
	}
	return errors.Wrap(err, "serve operators' HTTP")
}

func (a *Agent) logShed(closed, refused int) {
	a.cfg.Log.Warn().Str("event", "connections-shed").Str("listener", "operators").Int("closed", closed).Int("refused", refused).Send()
}

func (a *Agent) operatorsOnly(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok || !a.cfg.OperatorKey.Matches(key) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(w, "operators' key required", http.StatusUnauthorized)
			return
		}
		next(w, r)
	})
}

func (a *Agent) serveReady(w http.ResponseWriter, r *http.Request) {
	d, err := a.Dump(r.Context())
	switch {
	case err != nil || d.Leaving:
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case !d.Engine.Up:
		http.Error(w, "the endpoint does not answer", http.StatusServiceUnavailable)
	case d.EntriesUp() == 0:
		http.Error(w, "no entry", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

func (a *Agent) serveMetrics(w http.ResponseWriter, r *http.Request) {
	if d, err := a.Dump(r.Context()); err == nil {
		a.metrics.gauges(&d)
	}
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(a.metrics.registry, w)
}

func (a *Agent) serveStatus(w http.ResponseWriter, r *http.Request) {
	a.withDump(w, r, func(d *agent.Dump) any {
		return Status{
			Endpoint:    d.Endpoint,
			Incarnation: d.Incarnation,
			Revision:    d.Revision,
			Have:        d.Engine.Have,
			EndpointUp:  d.Engine.Up,
			Leaving:     d.Leaving,
			Drained:     d.Drained,
			Queued:      d.Engine.Queued,
			Running:     d.Engine.Running,
			EntriesUp:   d.EntriesUp(),
		}
	})
}

func (a *Agent) serveDump(w http.ResponseWriter, r *http.Request) {
	a.withDump(w, r, func(d *agent.Dump) any { return d })
}

func (a *Agent) withDump(w http.ResponseWriter, r *http.Request, view func(*agent.Dump) any) {
	d, err := a.Dump(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(view(&d)) // an error means that the operator has disconnected
}

func (a *Agent) serveDrain(w http.ResponseWriter, r *http.Request) {
	a.cfg.Log.Info().Str("event", "operator-drain").Str("from", r.RemoteAddr).Send()
	a.Leave()
	w.WriteHeader(http.StatusAccepted)
}
