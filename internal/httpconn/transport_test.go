package httpconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
)

// TestRequestWithCloseGetsAConnectionOfItsOwn guards against a request that waits on an idle
// connection that has fallen silent.
func TestRequestWithCloseGetsAConnectionOfItsOwn(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	var dialed atomic.Int64
	client := &http.Client{Transport: NewTransport(func(ctx context.Context, network, addr string) (net.Conn, error) {
		dialed.Add(1)
		return new(net.Dialer).DialContext(ctx, network, addr)
	})}
	for i, step := range []struct {
		close bool
		conns int64 // made so far
	}{{false, 1}, {false, 1}, {true, 2}, {true, 3}, {false, 3}} {
		req, err := http.NewRequest(http.MethodGet, server.URL, nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Close = step.close
		resp, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if n := dialed.Load(); n != step.conns {
			t.Errorf("step %d: %d connections, want %d", i, n, step.conns)
		}
	}
}
