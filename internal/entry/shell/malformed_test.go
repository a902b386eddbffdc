package shell

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"trefoilpath.org/trefoilpath/internal/membership"
	"trefoilpath.org/trefoilpath/internal/store"
)

// TestMalformedHeadOfThePlatformIsNoAnswer guards against a VM list and a value of the store that are believed although
// a line of their head is no field.
func TestMalformedHeadOfThePlatformIsNoAnswer(t *testing.T) {
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
			_, _ = io.WriteString(c, head+"Connection: close\r\n\r\n"+`{"id":3,"status":1,"vms":[]}`) // fails only if the client has left
		}))
		if _, err := membership.NewVMListClient(srv.URL, plainClient()).Fetch(context.Background()); (err == nil) != (name == "") {
			t.Errorf("%q: VM list: error %v", name, err)
		}
		if r := store.NewHTTPClient(srv.URL, plainClient()).Do(context.Background(), store.Op{ID: 3, Kind: store.OpGet}); (r.Status == store.StatusOK) != (name == "") {
			t.Errorf("%q: store: status %d", name, r.Status)
		}
		srv.Close()
	}
}
