package shell

import (
	"context"
	"net"
	"net/http"
	"syscall"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/gateway"
)

// checkInstance learns whether an instance still runs, and passes the result to the core. It
// asks an engine for its report, and connects to the endpoint of a plain service.
func (g *Gateway) checkInstance(c gateway.InstanceCheck) {
	state := &gateway.InstanceState{Endpoint: c.Endpoint, Addr: c.Addr}
	if c.ConnectOnly {
		err := connect(c.Addr)
		state.Runs, state.Ended = err == nil, errors.Is(err, syscall.ECONNREFUSED)
		g.tick(gateway.Input{Instance: state})
		return
	}
	_, err := g.callEndpoint(context.Background(), endpointRequest{
		method: http.MethodGet, target: g.cfg.Translator.ReportTarget(), header: make(http.Header),
		endpoint: string(c.Endpoint), addr: c.Addr,
	})
	var status *statusError
	answered := errors.As(err, &status)
	state.Ended = errors.Is(err, syscall.ECONNREFUSED) || answered && status.otherInstance
	state.Runs = err == nil || answered && !status.otherInstance
	g.tick(gateway.Input{Instance: state})
}

// connect opens and closes a connection.
func connect(addr string) error {
	conn, err := net.DialTimeout("tcp4", addr, orderTimeout)
	if err != nil {
		return errors.Wrap(err, "connect")
	}
	return conn.Close()
}
