package crowdtest

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// TestBrokenHeadOfAServiceIsNoAnswerOfTheEntry guards against a service's answer without a status, or with a line in its
// head that is no field, that an entry passes on or cuts off in place of its own answer.
func TestBrokenHeadOfAServiceIsNoAnswerOfTheEntry(t *testing.T) {
	var raw atomic.Value // string; the answer to each call unless it is empty
	raw.Store("")
	f := startFleet(t, manyDescriptors, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text := raw.Load().(string)
		if text == "" {
			echo(w, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body) // as does the write, it fails only if the call has ended
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		_, _ = io.WriteString(c, text)
	}))
	for name, text := range map[string]string{
		"status 000":             "HTTP/1.1 000 \r\n" + framed("answer"),
		"status 101":             "HTTP/1.1 101 \r\n" + framed("answer"),
		"blank in a name":        "HTTP/1.1 200 OK\r\nX Trace: 1\r\n" + framed("answer"),
		"blank before a name":    "HTTP/1.1 200 OK\r\nX-A: 1\r\n X-Trace: 1\r\n" + framed("answer"),
		"blank after the coding": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked" + chunkedBody("answer"),
	} {
		raw.Store(text)
		if status := f.send(strings.NewReader("order")); status < 500 {
			t.Errorf("%s: status %d, want a failure of the entry's own; 0: the answer was cut off", name, status)
		}
		raw.Store("")
		f.serveOrdinary()
	}
}
