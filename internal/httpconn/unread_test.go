package httpconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

func TestResponseToAnUnreadBodyThatDoesNotComeIsSent(t *testing.T) {
	for name, framing := range map[string]string{"stated length": "Content-Length: 9\r\n\r\nx", "chunks": "Transfer-Encoding: chunked\r\n\r\n9\r\nx"} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			refuse := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) }
			srv := &http.Server{Handler: BoundUnreadBodies(http.HandlerFunc(refuse))}
			go func() { _ = srv.Serve(l) }()
			t.Cleanup(func() { srv.Close() })
			c := dial(t, l.Addr().String())
			if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\n"+framing); err != nil {
				t.Fatal(err)
			}
			if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if resp.StatusCode != http.StatusUnauthorized || !resp.Close {
				t.Errorf("got %s, want 401 and the end of the connection", resp.Status)
			}
		})
	}
}
