package httpconn

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// startWriter serves responses of a size, with a WriteTimeout, and passes on the results of the writes.
func startWriter(t *testing.T, size int, timeout time.Duration) (addr string, result <-chan error) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tracker := NewTracker()
	tracker.SetLimits(Limits{WriteTimeout: timeout})
	results := make(chan error, 1)
	srv := &http.Server{ConnState: tracker.OnStateChange, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := io.Copy(w, strings.NewReader(strings.Repeat("x", size)))
		results <- err
	})}
	go func() { _ = srv.Serve(tracker.Listener(l)) }()
	t.Cleanup(func() { srv.Close() })
	return l.Addr().String(), results
}

func TestClientThatDoesNotReadLosesItsConnection(t *testing.T) {
	addr, result := startWriter(t, 64<<20, 100*time.Millisecond)
	sendRequest(t, dial(t, addr))
	select {
	case err := <-result:
		if err == nil {
			t.Error("the whole response was written to a client that does not read")
		}
	case <-time.After(10 * time.Second):
		t.Error("the server still writes to a client that does not read")
	}
}

func TestWholeResponseIsWrittenInPieces(t *testing.T) {
	const size = 5*writePiece + 1
	addr, result := startWriter(t, size, 10*time.Second)
	resp, err := http.Get("http://" + addr)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if n, err := io.Copy(io.Discard, resp.Body); n != size || err != nil {
		t.Errorf("%d bytes of %d, error %v", n, size, err)
	}
	if err := <-result; err != nil {
		t.Error(err)
	}
}
