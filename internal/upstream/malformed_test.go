package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// readRaw returns the body of the answer to a request with the ID "a", to which the endpoint sends raw, as a whole or
// byte by byte.
func readRaw(t *testing.T, method, raw string, byteByByte bool) (string, error) {
	t.Helper()
	s := newServer(t, func(c net.Conn, n int64, r *http.Request) bool {
		if n == 1 { // leaves a kept connection in the pool
			return reply(c, "before", "body", "")
		}
		piece := len(raw)
		if byteByByte {
			piece = 1
		}
		for i := 0; i < len(raw); i += piece {
			if _, err := io.WriteString(c, raw[i:i+piece]); err != nil {
				return false
			}
		}
		return false
	})
	p := NewPool()
	if _, err := exchange(p, s, "before"); err != nil {
		t.Fatal(err)
	}
	c, err := p.Get(context.Background(), s.listener.Addr().String(), time.Minute, "a")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if c.Carried() != 1 {
		t.Fatal("the connection is not a kept one")
	}
	r := request("a")
	r.Method = method
	resp, err := c.Do(r)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

const (
	ownFields   = testIDHeader + ": a\r\n"
	otherFields = testIDHeader + ": other\r\n"
	ownAnswer   = "HTTP/1.1 200 OK\r\n" + ownFields + "Content-Length: 3\r\n\r\nown"
	chunkedBody = "Transfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n"
)

// TestAnswerAfterABrokenHeadIsNone guards against bytes that are read as an answer, or as the rest of one, although a
// line of a head is no field: in the answer, before it or after its body.
func TestAnswerAfterABrokenHeadIsNone(t *testing.T) {
	broken := map[string]string{
		"blank inside a name": "X Trace: 1\r\n", "blank after a name": "X-Trace : 1\r\n", "blank before a name": "X-Trace: 1\r\n Y: 2\r\n",
		"control byte": "X-\x02Trace: 1\r\n",
	}
	for name, line := range broken {
		for place, raw := range map[string]string{
			"answer":           "HTTP/1.1 200 OK\r\n" + ownFields + line + "Content-Length: 3\r\n\r\nown",
			"interim answer":   "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n" + ownAnswer,
			"skipped answer":   "HTTP/1.1 200 OK\r\n" + otherFields + line + "Content-Length: 5\r\n\r\nother" + ownAnswer,
			"second interim":   "HTTP/1.1 103 \r\n\r\nHTTP/1.1 103 \r\n" + line + "\r\n" + ownAnswer,
			"after a skipped":  "HTTP/1.1 200 OK\r\n" + otherFields + "Content-Length: 5\r\n\r\nother" + "HTTP/1.1 200 OK\r\n" + line + ownAnswer[len("HTTP/1.1 200 OK\r\n"):],
			"trailers":         "HTTP/1.1 200 OK\r\n" + ownFields + chunkedBody + strings.TrimPrefix(line, "X-Trace: 1\r\n") + "\r\n",
			"skipped trailers": "HTTP/1.1 200 OK\r\n" + otherFields + chunkedBody + strings.TrimPrefix(line, "X-Trace: 1\r\n") + "\r\n" + ownAnswer,
		} {
			for _, byteByByte := range []bool{false, true} {
				if body, err := readRaw(t, http.MethodGet, raw, byteByByte); err == nil {
					t.Errorf("%s, %s, byte by byte=%t: answer %q", name, place, byteByByte, body)
				}
			}
		}
	}
}

// TestSkippedFramingIsNotHidden guards against the body of a skipped answer that is read as the answer, since a blank hides
// how it is framed.
func TestSkippedFramingIsNotHidden(t *testing.T) {
	inner := "HTTP/1.1 200 OK\r\n" + ownFields + "Content-Length: 6\r\n\r\nstolen"
	raw := "HTTP/1.1 200 OK\r\n" + otherFields + "Content-Length: 4\r\nTransfer-Encoding : chunked\r\n\r\n" + "61\r\n" + inner + "\r\n0\r\n\r\n" + ownAnswer
	if body, err := readRaw(t, http.MethodGet, raw, false); err == nil {
		t.Errorf("answer %q", body)
	}
}

// TestSoundAnswersAreRead guards against an answer that is turned away although its heads and trailers are sound.
func TestSoundAnswersAreRead(t *testing.T) {
	for place, raw := range map[string]string{
		"answer":          ownAnswer,
		"interim answers": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: <a b>; c\r\n\r\n" + ownAnswer,
		"skipped answers": "HTTP/1.1 200 OK\r\n" + otherFields + "Content-Length: 8\r\n\r\n a : b\r\n" + ownAnswer,
		"trailers":        "HTTP/1.1 200 OK\r\n" + ownFields + chunkedBody + "Checksum: 1 2\r\n\r\n",
		"close":           "HTTP/1.1 200 OK\r\n" + ownFields + "Connection: close\r\n\r\nown",
		"line feeds":      "HTTP/1.1 200 OK\n" + testIDHeader + ":a\nContent-Length:3\n\nown",
	} {
		for _, byteByByte := range []bool{false, true} {
			if body, err := readRaw(t, http.MethodGet, raw, byteByByte); err != nil || body != "own" {
				t.Errorf("%s, byte by byte=%t: %q, %v, want the answer", place, byteByByte, body, err)
			}
		}
	}
	if body, err := readRaw(t, http.MethodHead, "HTTP/1.1 200 OK\r\n"+ownFields+"Transfer-Encoding: chunked\r\n\r\n", false); err != nil || body != "" {
		t.Errorf("HEAD: %q, %v, want no body", body, err)
	}
}

// TestStatus000IsNoAnswer guards against an answer without a status, and against bytes after one that are read as the
// answer.
func TestStatus000IsNoAnswer(t *testing.T) {
	for place, raw := range map[string]string{
		"answer":           "HTTP/1.1 000 \r\n" + ownFields + "Content-Length: 3\r\n\r\nown",
		"without a reason": "HTTP/1.1 000\r\n" + ownFields + "\r\nown",
		"skipped answer":   "HTTP/1.1 000 \r\n" + otherFields + "Content-Length: 5\r\n\r\nother" + ownAnswer,
		"interim answer":   "HTTP/1.1 000 \r\n\r\n" + ownAnswer,
		"after an interim": "HTTP/1.1 103 \r\n\r\nHTTP/1.1 000 \r\n" + ownFields + "\r\n",
	} {
		if body, err := readRaw(t, http.MethodGet, raw, false); err == nil {
			t.Errorf("%s: answer %q", place, body)
		}
	}
}
