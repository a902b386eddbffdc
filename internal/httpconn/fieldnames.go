package httpconn

import (
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// ErrFieldName is returned for a response whose head or trailer section has a line that does not begin with the
// name of a field. net/http takes a blank for a part of a name, and a line that begins with one for a
// continuation, so that such a line may hide how the body is framed, or change another field.
var ErrFieldName = errors.New("a line of the answer's head or trailers does not begin with a field name")

// scanState is what a headScanner expects next.
type scanState int

const (
	scanNothing    scanState = iota // what follows is no head
	scanStatusLine                  // the first line
	scanLineStart
	scanLineEnd // the second byte of a line that begins with a carriage return
	scanName
	scanValue
)

// headScanner checks the field names of a response's head, and of those of the interim responses before it.
type headScanner struct {
	state  scanState
	status []byte // of the present head, as far as it has been read
	failed error
}

// expect begins a new response.
func (s *headScanner) expect() { *s = headScanner{state: scanStatusLine, status: s.status[:0]} }

// scan takes the next bytes of the connection. Once it has returned an error it returns it again.
func (s *headScanner) scan(p []byte) error {
	for len(p) > 0 && s.state != scanNothing && s.failed == nil {
		switch s.state {
		case scanStatusLine:
			p = s.scanStatus(p)
		case scanValue:
			p = s.skipLine(p)
		default:
			s.scanByte(p[0])
			p = p[1:]
		}
	}
	return s.failed
}

// scanStatus takes bytes of the status line and returns those after it.
func (s *headScanner) scanStatus(p []byte) []byte {
	line, rest, ended := bytes.Cut(p, []byte{'\n'})
	s.status = append(s.status, line...)
	if ended {
		s.state = scanLineStart
	}
	if !bytes.HasPrefix(s.status, []byte(httpPrefix)) {
		s.state = scanNothing
	}
	return rest
}

// httpPrefix begins each response of HTTP/1. Others are TLS, or no responses.
const httpPrefix = "H"

// skipLine returns the bytes after the end of the present line.
func (s *headScanner) skipLine(p []byte) []byte {
	_, rest, ended := bytes.Cut(p, []byte{'\n'})
	if ended {
		s.state = scanLineStart
	}
	return rest
}

// scanByte takes a byte at the start of a line or in a name.
func (s *headScanner) scanByte(b byte) {
	switch {
	case s.state == scanLineStart && b == '\r':
		s.state = scanLineEnd
	case s.state != scanName && b == '\n':
		s.endHead()
	case s.state == scanName && b == ':':
		s.state = scanValue
	case s.state == scanLineEnd || !isTokenByte(b):
		s.failed = ErrFieldName
	default:
		s.state = scanName
	}
}

// endHead ends a head. Another one follows that of an interim response.
func (s *headScanner) endHead() {
	_, status, _ := bytes.Cut(s.status, []byte{' '})
	interim := bytes.HasPrefix(bytes.TrimLeft(status, " "), []byte{'1'})
	s.state, s.status = scanNothing, s.status[:0]
	if interim {
		s.state = scanStatusLine
	}
}

// isTokenByte reports whether a field name may have a byte (RFC 9110, section 5.6.2).
func isTokenByte(b byte) bool {
	return 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || '0' <= b && b <= '9' || b != 0 && strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

func isFieldName(name string) bool {
	for i := range len(name) {
		if !isTokenByte(name[i]) {
			return false
		}
	}
	return name != ""
}

// CheckTrailers lets the body of a response end with ErrFieldName if the name of a trailer is none.
func CheckTrailers(resp *http.Response) {
	if len(resp.TransferEncoding) > 0 && resp.Body != http.NoBody {
		resp.Body = &trailedBody{ReadCloser: resp.Body, resp: resp}
	}
}

// trailedBody is a body in chunks, which trailers may follow.
type trailedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	for name, values := range b.resp.Trailer {
		if len(values) > 0 && !isFieldName(name) { // a declared one that has not come has no value
			return n, ErrFieldName
		}
	}
	return n, io.EOF
}
