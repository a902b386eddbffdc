package enginehttp

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestMalformedHeadOfAnEngineIsNoAnswer guards against a report of an engine that is believed although a line of its head
// is no field.
func TestMalformedHeadOfAnEngineIsNoAnswer(t *testing.T) {
	for name, head := range map[string]string{
		"": "HTTP/1.1 200 OK\r\n", "blank in a name": "HTTP/1.1 200 OK\r\nX Trace: 1\r\n", "blank before a name": "HTTP/1.1 200 OK\r\nX-A: 1\r\n X-Trace: 1\r\n",
		"status 000": "HTTP/1.1 000 \r\n",
	} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			_, _ = io.WriteString(c, head+"Connection: close\r\n\r\n{}") // fails only if the client has left
		}))
		if _, err := New(srv.URL, nil, nil).State(context.Background()); (err == nil) != (name == "") {
			t.Errorf("%q: error %v", name, err)
		}
		srv.Close()
	}
}
