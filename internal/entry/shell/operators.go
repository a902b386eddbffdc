package shell

import (
	"encoding/json"
	"net/http"
	"strings"

	"trefoilpath.org/trefoilpath/internal/entry"
)

// OperatorHandler returns the operators' HTTP interface. Everything under
// /v1/operator/ needs the operators' key.
func (e *Entry) OperatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", e.serveHealth)
	mux.HandleFunc("GET /readyz", e.serveReady)
	mux.HandleFunc("GET /metrics", e.serveMetrics)
	mux.Handle("GET /v1/operator/status", e.operatorsOnly(e.serveStatus))
	mux.Handle("GET /v1/operator/dump", e.operatorsOnly(e.serveDump))
	mux.Handle("POST /v1/operator/drain", e.operatorsOnly(e.serveDrain))
	return mux
}

func (e *Entry) operatorsOnly(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok || !e.cfg.OperatorKey.Matches(key) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(w, "operators' key required", http.StatusUnauthorized)
			return
		}
		next(w, r)
	})
}

func (e *Entry) serveStatus(w http.ResponseWriter, r *http.Request) {
	var s entry.Status
	if err := e.query(r.Context(), func(c *entry.Core) { s = c.Status() }); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeIndented(w, s)
}

func (e *Entry) serveDump(w http.ResponseWriter, r *http.Request) {
	d, err := e.Dump(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeIndented(w, d)
}

func writeIndented(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v) // an error means that the operator has disconnected
}

func (e *Entry) serveDrain(w http.ResponseWriter, r *http.Request) {
	e.cfg.Log.Info().Str("event", "operator-drain").Str("from", r.RemoteAddr).Send()
	e.Shutdown()
	w.WriteHeader(http.StatusAccepted)
}
