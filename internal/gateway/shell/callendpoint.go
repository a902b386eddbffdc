package shell

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/gateway"
	"trefoilpath.org/trefoilpath/internal/upstream"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// maxEndpointResponseBytes bounds the response body in callEndpoint.
const maxEndpointResponseBytes = 64 << 10

// endpointRequest is a request that the gateway itself makes to an endpoint, for a
// report or with an order.
type endpointRequest struct {
	method, target string
	header         http.Header
	body           []byte
	endpoint       string // ID of the only endpoint that may respond
	addr           string // address of the endpoint
}

// statusError is the error of callEndpoint for a response with another status than 200.
type statusError struct {
	code          int
	otherInstance bool // another instance than the expected one responded
}

// Error implements error.
func (e *statusError) Error() string { return "status " + strconv.Itoa(e.code) }

// callEndpoint sends a request once, bounded by orderTimeout, and returns the
// response body. Any status but 200 is an error.
func (g *Gateway) callEndpoint(ctx context.Context, r endpointRequest) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	conn, err := g.pool.Get(ctx, r.addr, maxIdleAge, "")
	if err != nil {
		return nil, err
	}
	conn.AbortOn(ctx)
	g.cfg.Translator.Forward(r.header, ForwardHeaders{TimeLeft: orderTimeout, EndpointID: r.endpoint})
	sent := g.now()
	req := &upstream.Request{
		Method: r.method, Target: r.target, Host: r.addr, Header: r.header, Body: r.body,
		IDHeader: g.cfg.Translator.Names().RequestID,
	}
	resp, err := conn.Do(req)
	if err != nil {
		return nil, err
	}
	a := g.cfg.Translator.Response(resp.StatusCode, resp.Header)
	g.passAnnouncement(wire.EndpointID(r.endpoint), r.addr, &a)
	if a.Limit > 0 { // only answers to requests need state a limit, so that others don't end it
		g.tick(gateway.Input{Limit: g.limitInput(wire.EndpointID(r.endpoint), r.addr, &a, sent)})
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxEndpointResponseBytes+1))
	if err != nil {
		conn.Close()
		return nil, errors.Wrap(err, "read answer")
	}
	conn.Release(resp)
	if len(body) > maxEndpointResponseBytes {
		return nil, errors.Errorf("answer is larger than %d bytes", maxEndpointResponseBytes)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, &statusError{code: resp.StatusCode, otherInstance: a.OtherEndpoint}
	}
	return body, nil
}

// passAnnouncement passes what an endpoint says of itself in a response to the core. Another
// endpoint at its address says nothing of it.
func (g *Gateway) passAnnouncement(id wire.EndpointID, addr string, h *ResponseHeaders) {
	if h.Malformed != "" {
		g.log.Warn().Str("event", "header-unusable").Str("endpoint", string(id)).Str("detail", h.Malformed).Send()
	}
	if !h.OtherEndpoint && (h.Leaving || h.Backoff > 0 || h.ColdLeft > 0) {
		g.tick(gateway.Input{Announced: &gateway.EndpointAnnouncement{
			Endpoint: id, Addr: addr, Leaving: h.Leaving, Backoff: h.Backoff, ColdLeft: h.ColdLeft,
		}})
	}
}

// limitInput returns the input of the core for what a response to a request sent at a time says
// of the endpoint's limit, or nil if it says nothing.
func (g *Gateway) limitInput(id wire.EndpointID, addr string, h *ResponseHeaders, sent time.Duration) *gateway.EndpointLimit {
	if h.OtherEndpoint || h.LimitUnknown {
		return nil
	}
	return &gateway.EndpointLimit{Endpoint: id, Addr: addr, Limit: h.Limit, Sent: sent}
}

// probe queries an engine's report and passes the result to the core.
func (g *Gateway) probe(p gateway.Probe) {
	report := &gateway.EngineReport{Endpoint: p.Endpoint}
	body, err := g.callEndpoint(context.Background(), endpointRequest{
		method: http.MethodGet, target: g.cfg.Translator.ReportTarget(), header: make(http.Header),
		endpoint: string(p.Endpoint), addr: p.Addr,
	})
	if err == nil {
		report.Slowdown, err = g.cfg.Translator.Slowdown(body)
	}
	report.OK = err == nil
	if err != nil {
		g.log.Info().Str("event", "no-report").Str("endpoint", string(p.Endpoint)).Err(err).Send()
	}
	g.tick(gateway.Input{Report: report})
}
