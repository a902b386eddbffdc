package shell

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"strings"

	"trefoilpath.org/trefoilpath/internal/gateway"
)

// serveMetrics writes counters and latency quantiles as text.
func (g *Gateway) serveMetrics(w http.ResponseWriter) {
	g.meters.write(w)
}

// serveDump writes the core's state as JSON.
func (g *Gateway) serveDump(w http.ResponseWriter) {
	dump := readCore(g, (*gateway.Core).Dump)
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(dump); err != nil {
		g.log.Warn().Str("event", "dump-failed").Err(err).Send()
	}
}

// newServer returns an HTTP server whose own messages are logged as events.
func (g *Gateway) newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		ErrorLog: slog.NewLogLogger(slog.NewTextHandler(serverLogWriter{g}, nil), slog.LevelWarn),
	}
}

// serverLogWriter logs each line of an http.Server's error log as an event.
type serverLogWriter struct{ g *Gateway }

// Write implements io.Writer.
func (s serverLogWriter) Write(p []byte) (int, error) {
	s.g.log.Warn().Str("event", "http-server").Str("detail", strings.TrimSpace(string(p))).Send()
	return len(p), nil
}
