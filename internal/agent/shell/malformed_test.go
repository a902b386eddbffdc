package shell

import (
	"testing"

	"trefoilpath.org/trefoilpath/internal/rawserver"
)

// TestMalformedHeadOfAServiceIsNoAnswer guards against a service's answer that is passed on, without a line of its head or
// with a body that is framed in another way, although that line is no field.
func TestMalformedHeadOfAServiceIsNoAnswer(t *testing.T) {
	const length, chunked = "Content-Length: 6\r\n\r\nanswer", "\r\n\r\n6\r\nanswer\r\n0\r\n"
	for name, test := range map[string]struct {
		raw   string
		sound bool
	}{
		"sound":                    {"HTTP/1.1 200 OK\r\nX-Trace: 1\r\n" + length, true},
		"sound interim":            {"HTTP/1.1 103 \r\nX-Trace: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + length, true},
		"sound trailers":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked" + chunked + "X-Trace: 1\r\n\r\n", true},
		"blank in a name":          {"HTTP/1.1 200 OK\r\nX Trace: 1\r\n" + length, false},
		"blank after the coding":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked" + chunked + "\r\n", false},
		"blank before a name":      {"HTTP/1.1 200 OK\r\nX-A: 1\r\n X-Trace: 1\r\n" + length, false},
		"control byte":             {"HTTP/1.1 200 OK\r\nX-\x01Trace: 1\r\n" + length, false},
		"blank in an interim head": {"HTTP/1.1 103 \r\nX Trace: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + length, false},
		"blank in a trailer":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked" + chunked + "X Trace: 1\r\n\r\n", false},
	} {
		url := rawserver.Send(t, func() string { return test.raw })
		if text, whole := callService(t, url, []byte("order")); whole != test.sound || test.sound && text != "answer" {
			t.Errorf("%s: %q, whole=%t", name, text, whole)
		}
	}
}

// TestStatusBelow200OfAServiceIsNoAnswer guards against a status that is passed on although no caller can be answered with
// it, for a call that counts as completed.
func TestStatusBelow200OfAServiceIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "042", "101"} {
		for _, rest := range []string{"Content-Length: 6\r\n\r\nanswer", "Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n"} {
			url := rawserver.Send(t, func() string { return "HTTP/1.1 " + status + " \r\n" + rest })
			if text, whole := callService(t, url, []byte("order")); whole {
				t.Errorf("status %s, %q: %q was passed on", status, rest, text)
			}
		}
	}
}
