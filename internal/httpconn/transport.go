package httpconn

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// maxIdle is how long a connection of a Transport waits for the next request, maxIdlePerHost
	// how many do.
	maxIdle        = time.Second
	maxIdlePerHost = 4
	// maxHeadBytes bounds the head of a response together with those of the interim responses before it.
	maxHeadBytes = 64 << 10
)

// Transport sends a request whose Close field is set on a new connection, and reuses
// connections for others. http.Transport sends both kinds on an idle connection, which
// may have fallen silent. It fails for the responses for which Strict does. Create it
// with NewTransport. It is safe for concurrent use.
type Transport struct{ kept, single *Strict }

// NewTransport returns a Transport whose connections are made by dial.
func NewTransport(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *Transport {
	kept := &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: maxIdle, DisableCompression: true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	single := kept.Clone()
	single.DisableKeepAlives = true
	return &Transport{kept: NewStrict(kept), single: NewStrict(single)}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Close {
		return t.single.RoundTrip(r)
	}
	return t.kept.RoundTrip(r)
}
