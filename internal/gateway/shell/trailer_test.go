package shell

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/bytebudget"
	"trefoilpath.org/trefoilpath/internal/route"
)

func TestTrailersAreHeldUntilTheEndOfTheRequest(t *testing.T) {
	g := &Gateway{memory: bytebudget.New(0)}
	fields := make(chan int, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{g: g, w: w, r: r, memory: g.memory.Open()}
		defer x.memory.Close()
		if !x.readBody(route.Limits{}) || string(x.body) != "x" {
			t.Errorf("body %q", x.body)
		}
		fields <- len(r.Trailer)
	}))
	t.Cleanup(srv.Close)
	c, err := net.Dial("tcp4", srv.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA: b\r\nC: d\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	select {
	case n := <-fields:
		if n != 0 {
			t.Errorf("%d trailer fields are held", n)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the request was not read")
	}
}
