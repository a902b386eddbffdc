package crowdtest

import (
	"fmt"
	"net/http"
	"testing"

	"trefoilpath.org/trefoilpath/platform/standin"
)

// framed returns the length of a body, the end of the head and the body.
func framed(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) }

// chunkedBody returns the end of the head and a body in chunks.
func chunkedBody(body string) string {
	return fmt.Sprintf("\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

// testNoAnswer checks that callers do not get the answers of endpoints whose heads begin with a status line: the fields
// of a signed answer follow, and then rest.
func testNoAnswer(t *testing.T, statusLine, rest string) {
	g := startGatewayOn(t, uploadConfig, manyDescriptors)
	for _, path := range []string{"/unsafe/x", "/stream/x"} {
		a := g.play(path, []byte("order"), func(r *standin.Replica) {
			r.Raw = func(id string) string {
				return statusLine + "\r\nAttempt-Id: " + id + "\r\nOrigin-Seal: s-" + id + "\r\n" + rest
			}
			r.InjectFaults(standin.FaultRaw)
		})
		if a.whole && a.status != http.StatusBadGateway {
			t.Errorf("%s: status %d, header %q, body of %d bytes, want 502", path, a.status, a.header, len(a.body))
		}
	}
}

// TestMalformedHeadIsNoAnswer guards against an answer with a line in its head that is no field, which reaches the caller
// without that line, or with a body that is framed in another way.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	body, large := standin.WholeStream(2), standin.WholeStream(100_000)
	for name, rest := range map[string]string{
		"blank inside a name":          "X Trace: 1\r\n" + framed(body),
		"blank inside a name, relayed": "X Trace: 1\r\n" + framed(large),
		"blank after a name":           "X-Trace : 1\r\n" + framed(body),
		"blank after the length":       "Content-Length : 3\r\n\r\n" + body,
		"blank after the coding":       "Transfer-Encoding : chunked" + chunkedBody(body),
		"blank before a name":          " X-Trace: 1\r\n" + framed(body),
		"blank before the coding":      "X-A: 1\r\n Transfer-Encoding: chunked" + chunkedBody(body),
		"tab after a name":             "X-Trace\t: 1\r\n" + framed(body),
		"tab before a name":            "\tX-Trace: 1\r\n" + framed(body),
		"control byte in a name":       "X-\x01Trace: 1\r\n" + framed(body),
		"NUL in a name":                "X-\x00Trace: 1\r\n" + framed(body),
		"carriage return in a name":    "X-\rTrace: 1\r\n" + framed(body),
		"DEL in a name":                "X-\x7fTrace: 1\r\n" + framed(body),
		"control byte in the coding":   "Transfer-Encoding\x0b: chunked" + chunkedBody(body),
	} {
		t.Run(name, func(t *testing.T) {
			testNoAnswer(t, "HTTP/1.1 200 OK", rest)
		})
	}
	t.Run("blank in an interim answer", func(t *testing.T) {
		testNoAnswer(t, "HTTP/1.1 103 Early Hints\r\nX Trace: 1\r\n\r\nHTTP/1.1 200 OK", framed(body))
	})
}

// TestStatus000IsNoAnswer guards against an answer without a status that reaches the caller.
func TestStatus000IsNoAnswer(t *testing.T) {
	for name, rest := range map[string]string{
		"with a body": framed(standin.WholeStream(2)), "without a body": framed(""), "without a length": "\r\n" + standin.WholeStream(2),
	} {
		t.Run(name, func(t *testing.T) { testNoAnswer(t, "HTTP/1.1 000 ", rest) })
	}
}
