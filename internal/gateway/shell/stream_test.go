package shell

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

// brokenWriter is a caller's connection that fails.
type brokenWriter struct{ *httptest.ResponseRecorder }

// Write implements io.Writer.
func (brokenWriter) Write([]byte) (int, error) {
	return 0, errors.New("connection reset by the caller")
}

// TestFailedRelayKeepsItsCause checks that a relay that fails names the cause, by which logs
// tell a caller that left from a fault of the gateway's own.
func TestFailedRelayKeepsItsCause(t *testing.T) {
	x := &exchange{g: New(Config{Log: &strings.Builder{}}), w: brokenWriter{httptest.NewRecorder()}, responseStarted: true}
	defer x.g.logLines.close()
	err := x.sendEvents(&http.Response{StatusCode: http.StatusOK}, []byte("id: 1\ndata: x\n\n"))
	if err == nil || !strings.Contains(err.Error(), "connection reset by the caller") {
		t.Errorf("error %v, want the one of the connection", err)
	}
}

// TestEventEndInTwoReads checks that the end of an event is found wherever it is split.
func TestEventEndInTwoReads(t *testing.T) {
	for _, text := range []string{"data: x\n\nid: ", "data: x\r\n\r\nid: ", "\n\n", "\r\n\r\n", "x\r\n\n\r\n\r\nx"} {
		whole := completeEventsLen([]byte(text), 0)
		for read := range len(text) {
			if completeEventsLen([]byte(text[:read]), 0) > 0 {
				break
			}
			if n := completeEventsLen([]byte(text), read); n != whole || n == 0 {
				t.Errorf("%q after %d bytes: %d bytes are whole, want %d", text, read, n, whole)
			}
		}
	}
}
