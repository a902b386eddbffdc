package httpconn

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// scanWith scans a response in pieces that are cut at a place, and returns the error.
func scanWith(text string, cut int) error {
	var s headScanner
	s.expect()
	_ = s.scan([]byte(text[:cut])) // a later call returns its error again
	return s.scan([]byte(text[cut:]))
}

func TestLineWithoutAFieldNameIsFoundWhereverItIsCut(t *testing.T) {
	for _, line := range []string{
		"X Trace: 1", "X-Trace : 1", " X-Trace: 1", "\tX-Trace: 1", "X\tTrace: 1", "X-Trace\t: 1", "X-\x00Trace: 1", "X-\x01Trace: 1",
		"X-\rTrace: 1", "\rX-Trace: 1", "\x0bX-Trace: 1", "X-Trace\x7f: 1", "X-Tr\xe4ce: 1", "X(Trace): 1", ": 1", "no field", " ",
	} {
		for _, text := range []string{
			"HTTP/1.1 200 OK\r\n" + line + "\r\n\r\n",
			"HTTP/1.1 200 OK\r\nA: b\r\n" + line + "\r\nC: d\r\n\r\nbody",
			"HTTP/1.1 200 OK\nA: b\n" + line + "\n\n",
			"HTTP/1.1 103 Early Hints\r\nA: b\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
			"HTTP/1.1  103\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n" + line + "\r\n\r\n",
		} {
			for cut := range len(text) + 1 {
				if scanWith(text, cut) == nil {
					t.Errorf("%q cut after %d bytes is taken", text, cut)
				}
			}
		}
	}
}

func TestSoundHeadIsTakenWhereverItIsCut(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 3\r\n\r\n x\x00: \r\n",
		"HTTP/1.0 204\r\n\r\n\r\n\r\n : ",
		"HTTP/1.1 200 OK\nA:b\nC:\n\n not a field",
		"HTTP/1.1 200 OK\r\na!#$%&'*+-.^_`|~9Z:\t v\xe4lue : \x7e \r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 \r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n\r\n\x00 \x01",
		"\x16\x03\x01 a TLS record\n \n", "", "\n \n", "no response\n \n",
	} {
		for cut := range len(text) + 1 {
			if err := scanWith(text, cut); err != nil {
				t.Errorf("%q cut after %d bytes: %v", text, cut, err)
			}
		}
	}
}

// FuzzHeadScanner checks that a head which the scanner takes has no other names than those of fields, and that the places
// at which it is cut don't matter.
func FuzzHeadScanner(f *testing.F) {
	for _, head := range []string{"A: b\r\nC: d\r\n\r\n", "A : b\r\n\r\n", "A: b\n c\n\n", "A: b\r\n\tC: d\r\n\r\n", "\r\n", "A:\r\r\n\r\n"} {
		f.Add(head, 3)
	}
	f.Fuzz(func(t *testing.T, head string, cut int) {
		text := "HTTP/1.1 200 OK\r\n" + head
		whole := scanWith(text, 0)
		if inParts := scanWith(text, min(max(cut, 0), len(text))); inParts != whole {
			t.Errorf("%q: %v, cut after %d bytes: %v", text, whole, cut, inParts)
		}
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		if err != nil || whole != nil {
			return
		}
		for name := range resp.Header {
			if !isFieldName(name) {
				t.Errorf("%q has the name %q", text, name)
			}
		}
	})
}

func TestTrailerWithoutAFieldNameEndsTheBody(t *testing.T) {
	for _, test := range []struct {
		trailer string
		broken  bool
	}{{"", false}, {"A: b\r\n", false}, {"A b: c\r\n", true}, {"A : b\r\n", true}} {
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nTrailer: A, D d\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n%s\r\n", test.trailer)
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		if err != nil {
			t.Fatal(err)
		}
		CheckTrailers(resp)
		body := new(strings.Builder)
		if _, err := bufio.NewReader(resp.Body).WriteTo(body); (err != nil) != test.broken || body.String() != "x" {
			t.Errorf("trailer %q: body %q, error %v, want one: %t", test.trailer, body, err, test.broken)
		}
	}
}
