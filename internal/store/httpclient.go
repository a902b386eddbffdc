package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
)

// opPath is the path of the platform's key-value service below its base URL.
const opPath = "/v1/op"

// maxResponseBytes bounds the answer to one operation. Lists and watches answer
// with several values, in base64. A larger answer counts as none.
const maxResponseBytes = 32 * MaxValueBytes

// HTTPClient executes operations over HTTP. It sends each operation at most
// once, on a connection of its own, and follows no redirect. It is safe for concurrent use.
type HTTPClient struct {
	url  string
	http http.Client
}

// NewHTTPClient returns a client for the service at baseURL. The timeout of hc,
// or that of the context given to Do, bounds each operation.
func NewHTTPClient(baseURL string, hc *http.Client) *HTTPClient {
	if hc == nil {
		hc = http.DefaultClient
	}
	c := &HTTPClient{url: strings.TrimRight(baseURL, "/") + opPath, http: *hc}
	c.http.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return c
}

// Do executes op and always returns a Result with its ID. StatusUnavailable
// means that the operation was not executed, or that a read has no answer;
// StatusUnknown that a write may have taken effect, now or later.
func (c *HTTPClient) Do(ctx context.Context, op Op) Result {
	body, err := json.Marshal(op)
	if err != nil {
		return Result{ID: op.ID, Status: StatusInvalid}
	}
	var mayBeSent atomic.Bool // a connection was obtained, so the store may get the operation
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { mayBeSent.Store(true) }}
	req, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), body)
	if err != nil {
		return Result{ID: op.ID, Status: StatusUnavailable}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return unansweredResult(op, mayBeSent.Load())
	}
	defer resp.Body.Close()
	return readResult(op, resp)
}

// newRequest builds a request that http.Transport can't resend: it has a body
// and no way to read it again. It gets a connection of its own, since on a kept one a
// late second copy of an earlier refusal, which names no operation, would pass for the
// answer to this one.
func (c *HTTPClient) newRequest(ctx context.Context, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Close = true
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// unansweredResult returns the result of an operation without a valid answer.
func unansweredResult(op Op, mayBeSent bool) Result {
	if mayBeSent && op.Writes() {
		return Result{ID: op.ID, Status: StatusUnknown}
	}
	return Result{ID: op.ID, Status: StatusUnavailable}
}

func readResult(op Op, resp *http.Response) Result {
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusTooManyRequests: // taken to mean that the store did not execute the operation
		return Result{ID: op.ID, Status: StatusUnavailable}
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return Result{ID: op.ID, Status: StatusInvalid}
	default:
		return unansweredResult(op, true)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil || len(raw) > maxResponseBytes {
		return unansweredResult(op, true)
	}
	var result Result
	if json.Unmarshal(raw, &result) != nil || result.ID != op.ID || result.Status == 0 {
		return unansweredResult(op, true)
	}
	return result
}
