package enginehttp

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
)

const (
	// maxHeadBytes bounds the head of an answer together with those of the interim responses before it.
	maxHeadBytes = 64 << 10
	// maxAnswerBytes bounds an answer that is not a stream. The largest is a State, with about
	// 100 bytes a sequence.
	maxAnswerBytes = 1 << 20
	// maxAnswerCommas bounds the elements and fields of such an answer by its commas: elements of a few
	// bytes take much more memory once decoded.
	maxAnswerCommas = 1 << 16
)

var errAnswerTooLarge = errors.Errorf("answer of more than %d bytes or %d commas", maxAnswerBytes, maxAnswerCommas)

// boundedAnswer reads from r up to the bounds of an answer; beyond them Read returns errAnswerTooLarge.
type boundedAnswer struct {
	r             io.Reader
	bytes, commas int // read so far
}

// Read implements io.Reader.
func (a *boundedAnswer) Read(p []byte) (int, error) {
	n, err := a.r.Read(p)
	a.bytes += n
	a.commas += bytes.Count(p[:n], []byte{','})
	if a.bytes > maxAnswerBytes || a.commas > maxAnswerCommas {
		return 0, errAnswerTooLarge
	}
	return n, err
}
