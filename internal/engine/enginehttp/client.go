package enginehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/httpconn"
	"trefoilpath.org/trefoilpath/internal/httponce"
)

// Handler receives the engine's events and output text. Calls for one sequence are
// sequential; calls for different sequences may be concurrent. Text is passed before
// the event whose token count includes it.
type Handler interface {
	Event(ev engine.Event)
	Text(id engine.SequenceID, tokens int, data []byte)
}

// Client calls one engine. It sends each call at most once, on a connection of its
// own. It is safe for concurrent use.
type Client struct {
	base    string
	handler Handler
	http    http.Client

	mu   sync.Mutex
	open map[engine.SequenceID]int // number of answer streams being read
}

// NewHTTPClient returns an HTTP client of its own connections for calls to an engine or service. It
// gives up responses whose heads have more than maxHeadBytes.
func NewHTTPClient() *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxResponseHeaderBytes = maxHeadBytes
	return &http.Client{Transport: httpconn.NewStrict(t)}
}

// New returns a client for the engine at baseURL; a nil hc is NewHTTPClient. The timeout of hc must be
// zero, since answer streams last as long as the sequence; contexts bound calls.
func New(baseURL string, h Handler, hc *http.Client) *Client {
	if hc == nil {
		hc = NewHTTPClient()
	}
	c := &Client{
		base:    strings.TrimRight(baseURL, "/"),
		handler: h,
		http:    *hc,
		open:    make(map[engine.SequenceID]int),
	}
	c.http.Transport = &httponce.Transport{Base: hc.Transport}
	c.http.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return c
}

// Submit starts a sequence with the caller's JSON body and returns at once. If s can't
// be encoded or the engine answers 400 or 413, the handler gets a Failed event with
// FailInvalid and Rejected. For any other status but 200, and if the stream breaks
// before the final event, it gets FailLost; Rejected is then set only if no connection
// to the engine could be made. Cancelling ctx ends the stream, not the sequence.
func (c *Client) Submit(ctx context.Context, s engine.Submit, body []byte) {
	c.streamOpened(s.ID)
	go func() {
		defer c.streamClosed(s.ID)
		raw, err := EncodeSubmit(s, body)
		if err != nil {
			c.fail(s.ID, engine.FailInvalid, true)
			return
		}
		c.follow(ctx, http.MethodPost, "/v1/sequences", raw, &streamReader{id: s.ID, handler: c.handler})
	}()
}

// Resume reads the answer stream of a sequence that the engine already holds,
// from output token number from on, and returns at once. A status other than 200 says
// nothing about the sequence: the handler gets a Failed event with FailLost.
func (c *Client) Resume(ctx context.Context, id engine.SequenceID, from int64) {
	c.streamOpened(id)
	path := sequencePath(id) + "?from=" + strconv.FormatInt(from, 10)
	go func() {
		defer c.streamClosed(id)
		c.follow(ctx, http.MethodGet, path, nil, &streamReader{id: id, handler: c.handler, next: from})
	}()
}

// follow makes a call that is answered with a stream and reads the stream to its end.
func (c *Client) follow(ctx context.Context, method, path string, body []byte, s *streamReader) {
	submits := method == http.MethodPost // else the sequence has been submitted before
	var connected atomic.Bool            // a call without a connection can't have reached the engine
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := c.call(httptrace.WithClientTrace(ctx, trace), method, path, body)
	if err != nil {
		c.fail(s.id, engine.FailLost, submits && !connected.Load())
		return
	}
	defer resp.Body.Close()
	switch {
	case submits && (resp.StatusCode == http.StatusBadRequest || resp.StatusCode == http.StatusRequestEntityTooLarge):
		c.fail(s.id, engine.FailInvalid, true)
	case resp.StatusCode != http.StatusOK:
		c.fail(s.id, engine.FailLost, false)
	case s.read(resp.Body) != nil:
		c.fail(s.id, engine.FailLost, false)
	}
}

func (c *Client) fail(id engine.SequenceID, reason engine.FailReason, rejected bool) {
	c.handler.Event(engine.Event{Failed: &engine.Failed{ID: id, Reason: reason, Rejected: rejected}})
}

// Cancel stops a sequence. Its final event comes from its answer stream, or, if
// none is open here, from the answer to this call.
func (c *Client) Cancel(ctx context.Context, id engine.SequenceID) error {
	var failed engine.Failed
	if err := c.exchange(ctx, http.MethodDelete, sequencePath(id), nil, &failed); err != nil {
		return err
	}
	if !c.isStreamOpen(id) {
		failed.ID = id
		c.handler.Event(engine.Event{Failed: &failed})
	}
	return nil
}

// Load requests a change of assignment. It returns when the engine has accepted the
// request; the handler gets Loaded when the load has ended. If the connection
// breaks before, there is no event, and State shows the resulting assignment.
func (c *Client) Load(ctx context.Context, l engine.Load) error {
	raw, err := json.Marshal(l)
	if err != nil {
		return errors.Wrap(err, "encode load")
	}
	resp, err := c.call(ctx, http.MethodPost, "/v1/load", raw)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return errors.Errorf("engine answered %s to POST /v1/load", resp.Status)
	}
	go func() {
		defer resp.Body.Close()
		var loaded engine.Loaded
		if decode(resp.Body, &loaded) == nil {
			c.handler.Event(engine.Event{Loaded: &loaded})
		}
	}()
	return nil
}

// Drop frees an exported KV cache.
func (c *Client) Drop(ctx context.Context, handle string) error {
	return c.exchange(ctx, http.MethodDelete, "/v1/kv/"+url.PathEscape(handle), nil, nil)
}

// State returns the engine's report of its state, with its age.
func (c *Client) State(ctx context.Context) (engine.State, error) {
	var st engine.State
	err := c.exchange(ctx, http.MethodGet, "/v1/state", nil, &st)
	return st, err
}

// exchange makes a call with a JSON answer and decodes it into out, which may be nil.
func (c *Client) exchange(ctx context.Context, method, path string, body []byte, out any) error {
	resp, err := c.call(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return errors.Errorf("engine answered %s to %s %s", resp.Status, method, path)
	}
	if out == nil {
		return nil
	}
	return decode(resp.Body, out)
}

// call makes a call on a connection of its own: on a kept one, a late second copy of an
// earlier answer would pass for the answer to this call.
func (c *Client) call(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return nil, errors.Wrap(err, "engine call")
	}
	req.Close = true
	resp, err := c.http.Do(req)
	return resp, errors.Wrap(err, "engine call")
}

func decode(r io.Reader, out any) error {
	return errors.Wrap(json.NewDecoder(&boundedAnswer{r: r}).Decode(out), "decode engine answer")
}

func sequencePath(id engine.SequenceID) string {
	return "/v1/sequences/" + url.PathEscape(string(id))
}

func (c *Client) streamOpened(id engine.SequenceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[id]++
}

func (c *Client) streamClosed(id engine.SequenceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[id]--
	if c.open[id] == 0 {
		delete(c.open, id)
	}
}

func (c *Client) isStreamOpen(id engine.SequenceID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[id] > 0
}
