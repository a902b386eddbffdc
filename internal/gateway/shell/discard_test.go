package shell

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/bytebudget"
	"trefoilpath.org/trefoilpath/internal/route"
)

// startDiscarding starts a server that responds 404 after discardBody, and returns a connection to it.
func startDiscarding(t *testing.T, memory *bytebudget.Account) net.Conn {
	t.Helper()
	g := &Gateway{memory: memory}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{g: g, w: w, r: r, memory: memory.Open()}
		defer x.memory.Close()
		x.discardBody()
		w.WriteHeader(http.StatusNotFound)
	}))
	t.Cleanup(srv.Close)
	c, err := net.Dial("tcp4", srv.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return c
}

// awaitNotFound reads a 404 response.
func awaitNotFound(t *testing.T, r *bufio.Reader) *http.Response {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusNotFound {
		t.Fatalf("status %d", resp.StatusCode)
	}
	return resp
}

func TestConnectionIsKeptAfterABodyThatIsNotNeeded(t *testing.T) {
	c := startDiscarding(t, bytebudget.New(0))
	r := bufio.NewReader(c)
	for range 2 {
		if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nxx"); err != nil {
			t.Fatal(err)
		}
		if resp := awaitNotFound(t, r); resp.Close {
			t.Fatal("the connection is closed after the response")
		}
	}
}

func TestEvictedBodyThatIsNotNeededLosesTheResponse(t *testing.T) {
	memory := bytebudget.New(0)
	c := startDiscarding(t, memory)
	if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx"); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); memory.EvictStalled(1) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("nothing was evicted")
		}
	}
	if resp := awaitNotFound(t, bufio.NewReader(c)); !resp.Close {
		t.Error("the connection is kept though the body was not read")
	}
}

func TestCallerThatWaitsToSendItsBodyIsAskedForOneThatIsNotNeeded(t *testing.T) {
	c := startDiscarding(t, bytebudget.New(0))
	if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if resp := awaitNotFound(t, bufio.NewReader(c)); !resp.Close {
		t.Error("the connection is kept though the body was not read")
	}
}

// deadlineRecorder records the latest read deadline.
type deadlineRecorder struct {
	http.ResponseWriter
	latest time.Time
}

func (r *deadlineRecorder) SetReadDeadline(t time.Time) error {
	r.latest = t
	return http.NewResponseController(r.ResponseWriter).SetReadDeadline(t)
}

func TestServerWaitsForTheRestOfABodyOverTheLimit(t *testing.T) {
	g := &Gateway{memory: bytebudget.New(0), meters: newMeters()}
	latest := make(chan time.Time, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := &deadlineRecorder{ResponseWriter: w}
		x := &exchange{g: g, w: recorder, r: r, memory: g.memory.Open()}
		defer x.memory.Close()
		if x.readBody(route.Limits{BodyBytes: 1}) {
			t.Error("a body over the limit was taken")
		}
		latest <- recorder.latest
	}))
	t.Cleanup(srv.Close)
	c, err := net.Dial("tcp4", srv.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nxx"); err != nil {
		t.Fatal(err)
	}
	select {
	case deadline := <-latest:
		if deadline.IsZero() || deadline.After(time.Now()) {
			t.Errorf("reads may last until %v", deadline)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the request is not answered")
	}
}
