package shell

import (
	"context"
	"net/http"
	"syscall"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/gateway"
)

// checkInstance asks an engine for its report to learn whether the instance still runs, and
// passes the result to the core.
func (g *Gateway) checkInstance(c gateway.InstanceCheck) {
	_, err := g.callEndpoint(context.Background(), endpointRequest{
		method: http.MethodGet, target: g.cfg.Translator.ReportTarget(), header: make(http.Header),
		endpoint: string(c.Endpoint), addr: c.Addr,
	})
	var status *statusError
	answered := errors.As(err, &status)
	state := &gateway.InstanceState{Endpoint: c.Endpoint, Addr: c.Addr}
	state.Ended = errors.Is(err, syscall.ECONNREFUSED) || answered && status.otherInstance
	state.Runs = err == nil || answered && !status.otherInstance
	g.tick(gateway.Input{Instance: state})
}
