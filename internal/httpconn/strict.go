package httpconn

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Strict is an http.Transport that fails for broken responses that http.Transport may take for whole ones: those without
// a length whose connection was reset while the request was written, and those with a line in their head, in that of an
// interim response or in their trailers that does not begin with a field name. It returns a response also if the write
// of the request fails before that has been read. It speaks HTTP/1. Create it with NewStrict. It is safe for concurrent use.
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
		return newTransportConn(conn), nil
	}
	if t.DialTLSContext == nil {
		t.DialTLSContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return startTLS(ctx, conn, addr, t)
		}
	}
	return &Strict{base: t}
}

// startTLS makes a TLS connection to the host of addr on conn as t would, but for HTTP/1 only.
func startTLS(ctx context.Context, conn net.Conn, addr string, t *http.Transport) (net.Conn, error) {
	if t.TLSHandshakeTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, t.TLSHandshakeTimeout)
		defer cancel()
	}
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		conn.Close()
		return nil, err
	}
	cfg := t.TLSClientConfig.Clone()
	if cfg == nil {
		cfg = new(tls.Config)
	}
	cfg.ServerName = cmp.Or(cfg.ServerName, host)
	cfg.NextProtos = nil
	secured := tls.Client(NewClientConn(conn), cfg)
	if err := secured.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return newTransportConn(secured), nil
}

func newTransportConn(conn net.Conn) *ClientConn {
	c := NewClientConn(conn)
	c.holdWrites()
	return c
}

// RoundTrip implements http.RoundTripper.
func (s *Strict) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*ClientConn); ok {
			_ = conn.ExpectResponse(nil) // fails only for bytes that have been read
		}
	}}
	resp, err := s.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	CheckTrailers(resp)
	return resp, nil
}

// CloseIdleConnections closes the connections that wait for a request.
func (s *Strict) CloseIdleConnections() { s.base.CloseIdleConnections() }
