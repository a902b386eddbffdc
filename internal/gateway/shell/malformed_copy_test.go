package shell

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"trefoilpath.org/trefoilpath/internal/storecopy"
)

// TestMalformedHeadOfAPeerIsNoCopy guards against a copy of another gateway that is believed although a line of its head
// is no field.
func TestMalformedHeadOfAPeerIsNoCopy(t *testing.T) {
	body, err := cbor.Marshal(storecopy.Listing{Revision: 7})
	if err != nil {
		t.Fatal(err)
	}
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
			_, _ = io.WriteString(c, head+"Connection: close\r\n\r\n"+string(body)) // fails only if the client has left
		}))
		addr := netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
		l, err := new(Gateway).fetchCopyFrom(context.Background(), addr, "k", storecopy.Version{})
		if (err == nil) != (name == "") || err == nil && l.Revision != 7 {
			t.Errorf("%q: %+v, %v", name, l, err)
		}
		srv.Close()
	}
}
