// Package httponce makes HTTP requests that net/http sends at most once.
//
// http.Transport resends a request by itself when a kept-alive connection breaks
// before the response begins, if it considers the request replayable: a method
// without side effects or an Idempotency-Key header, and either no body or a body
// that can be read again. A request that the server has already executed would
// then run twice.
package httponce

import (
	"io"
	"net/http"
)

// Transport sends each request at most once through Base. It is safe for
// concurrent use if Base is.
type Transport struct {
	Base http.RoundTripper // nil: http.DefaultTransport
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	base := t.Base
	if base == nil {
		base = http.DefaultTransport
	}
	return base.RoundTrip(Prepare(req))
}

// CloseIdleConnections closes the idle connections of Base.
func (t *Transport) CloseIdleConnections() {
	type closer interface{ CloseIdleConnections() }
	if c, ok := t.Base.(closer); ok {
		c.CloseIdleConnections()
	}
}

// Prepare returns a shallow copy of req that http.Transport can't resend: the copy
// has a body, which may be empty, and no GetBody.
func Prepare(req *http.Request) *http.Request {
	once := *req
	once.GetBody = nil
	if once.Body == nil || once.Body == http.NoBody {
		once.Body = emptyBody{}
		once.ContentLength = 0
	}
	return &once
}

// emptyBody is an empty request body. http.Transport can't see that it is empty, as
// it can with http.NoBody, and so does not resend the request.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

func (emptyBody) Close() error { return nil }
