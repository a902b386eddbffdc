package shell

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/gateway"
	"trefoilpath.org/trefoilpath/internal/upstream"
)

// maxAskBytes bounds the answer to the gateway's own questions.
const maxAskBytes = 64 << 10

// question is a question or an order of the gateway itself to an endpoint.
type question struct {
	method, target string
	header         http.Header
	body           []byte
	endpoint       string // the only instance that may answer
	addr           string
}

// query sends a request of the gateway's own, once, and returns the answer's body.
// Any status but 200 is an error.
func (g *Gateway) query(ctx context.Context, r question) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	conn, err := g.pool.Get(ctx, r.addr, reuseAge)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	g.cfg.Translator.Forward(r.header, ForwardHeaders{TimeLeft: orderTimeout, Instance: r.endpoint})
	req := &upstream.Request{Method: r.method, Target: r.target, Host: r.addr, Header: r.header, Body: r.body}
	resp, err := conn.Do(req)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAskBytes))
	if err != nil {
		conn.Close()
		return nil, errors.Wrap(err, "read answer")
	}
	conn.Done(resp)
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status %s", resp.Status)
	}
	return body, nil
}

// probe asks an engine for its report and tells the core.
func (g *Gateway) probe(p gateway.Probe) {
	report := &gateway.Report{Endpoint: p.Endpoint}
	body, err := g.query(context.Background(), question{
		method: http.MethodGet, target: g.cfg.Translator.ReportTarget(), header: make(http.Header),
		endpoint: string(p.Endpoint), addr: p.Addr,
	})
	if err == nil {
		report.Pace, err = g.cfg.Translator.Pace(body)
	}
	report.OK = err == nil
	if err != nil {
		g.log.Info().Str("event", "no-report").Str("endpoint", string(p.Endpoint)).Err(err).Send()
	}
	g.tick(gateway.Input{Report: report})
}
