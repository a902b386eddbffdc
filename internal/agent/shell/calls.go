package shell

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/agent"
	"trefoilpath.org/trefoilpath/internal/httponce"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// replyChunkBytes bounds the data in one frame of a plain service's answer.
const replyChunkBytes = 32 << 10

// calls runs the calls to a plain service. Each is sent at most once, on a connection of its
// own.
type calls struct {
	agent  *Agent
	base   string // URL of the service, without a trailing slash
	client http.Client

	mu     sync.Mutex
	cancel map[wire.AttemptID]context.CancelFunc
	wg     sync.WaitGroup
}

func newCalls(a *Agent, base string, hc *http.Client) *calls {
	c := &calls{
		agent:  a,
		base:   strings.TrimRight(base, "/"),
		client: *hc,
		cancel: make(map[wire.AttemptID]context.CancelFunc),
	}
	c.client.Transport = &httponce.Transport{Base: hc.Transport}
	c.client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return c
}

// startCall starts a call and returns at once.
func (a *Agent) startCall(ctx context.Context, s *agent.ServiceStart) {
	a.calls.start(ctx, s, a.bodies.take(s.Attempt))
}

func (c *calls) start(ctx context.Context, s *agent.ServiceStart, body []byte) {
	ans := c.agent.answers.open(ctx, s.Attempt, 0)
	callCtx, cancel := context.WithTimeout(ctx, s.Timeout)
	c.mu.Lock()
	c.cancel[s.Attempt] = cancel
	c.mu.Unlock()
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		sent, err := c.run(callCtx, s, body, ans)
		c.stop(s.Attempt)
		if err != nil {
			c.agent.cfg.Log.Warn().Str("event", "service-call").Stringer("attempt", s.Attempt).Bool("sent", sent).Err(err).Send()
		}
		c.agent.enqueue(ctx, agent.Input{ServiceDone: &agent.ServiceDone{Attempt: s.Attempt, RequestSent: sent, AnswerComplete: err == nil}})
	}()
}

// stop cancels a call if it is still running.
func (c *calls) stop(id wire.AttemptID) {
	c.mu.Lock()
	cancel := c.cancel[id]
	delete(c.cancel, id)
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (c *calls) wait() { c.wg.Wait() }

// run makes the call and passes its answer to ans. sent is false only if no connection
// was made, so that the service can't have received anything.
func (c *calls) run(ctx context.Context, s *agent.ServiceStart, body []byte, ans *answerStream) (sent bool, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := c.request(httptrace.WithClientTrace(ctx, trace), s, body)
	if err != nil {
		return false, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return connected.Load(), errors.Wrap(err, "call service")
	}
	defer resp.Body.Close()
	if resp.StatusCode < http.StatusOK {
		return true, errors.Errorf("the service answered with the status %03d, which is no final one", resp.StatusCode)
	}
	ans.head(ctx, wire.ReplyHead{Status: resp.StatusCode, Headers: replyHeaders(resp.Header)})
	return true, copyReply(ctx, ans, resp.Body)
}

// request builds a request for a connection of its own: on a kept one, a late second copy of
// an earlier answer would pass for the answer to this call.
func (c *calls) request(ctx context.Context, s *agent.ServiceStart, body []byte) (*http.Request, error) {
	url := c.base + "/" + strings.TrimPrefix(s.Call.Path, "/")
	if s.Call.Query != "" {
		url += "?" + s.Call.Query
	}
	req, err := http.NewRequestWithContext(ctx, s.Call.Method, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build service request")
	}
	req.Close = true
	for _, h := range s.Call.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	if s.Call.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", s.Call.IdempotencyKey)
	}
	return req, nil
}

// copyReply passes the body of an answer to ans in frames.
func copyReply(ctx context.Context, ans *answerStream, body io.Reader) error {
	buf := make([]byte, replyChunkBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			ans.data(ctx, bytes.Clone(buf[:n]), 0)
		}
		if err == io.EOF {
			ans.close(ctx, wire.FrameTotal{})
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read service answer")
		}
	}
}

// connectionHeaders are hop-by-hop headers, which are not forwarded.
var connectionHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

func replyHeaders(h http.Header) []wire.Header {
	var out []wire.Header
	for name, values := range h {
		if connectionHeaders[name] {
			continue
		}
		for _, v := range values {
			out = append(out, wire.Header{Name: name, Value: v})
		}
	}
	return out
}
