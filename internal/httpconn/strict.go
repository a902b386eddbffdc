package httpconn

import (
	"context"
	"net"
	"net/http"
)

// Strict is an http.Transport that fails for a broken response where http.Transport may take it for a whole one: for
// one without a length whose connection was reset while the request was written. Create it with NewStrict. It is safe
// for concurrent use.
type Strict struct{ base *http.Transport }

// NewStrict returns a Strict with the settings of t, which must not be used otherwise.
func NewStrict(t *http.Transport) *Strict {
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewClientConn(conn), nil
	}
	return &Strict{base: t}
}

// RoundTrip implements http.RoundTripper.
func (s *Strict) RoundTrip(r *http.Request) (*http.Response, error) { return s.base.RoundTrip(r) }

// CloseIdleConnections closes the connections that wait for a request.
func (s *Strict) CloseIdleConnections() { s.base.CloseIdleConnections() }
