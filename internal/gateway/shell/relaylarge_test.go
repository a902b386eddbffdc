package shell

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"
)

func TestHeldBodyThatIsCutOrTooLarge(t *testing.T) {
	for _, size := range []int{0, 1, minHeldBuffer, minHeldBuffer + 1, maxHeldBytes, maxHeldBytes + 1, 2 * maxHeldBytes} {
		text := bytes.Repeat([]byte("abcdefg"), size/7+1)[:size]
		for name, r := range map[string]io.Reader{"whole": bytes.NewReader(text), "with EOF": iotest.DataErrReader(bytes.NewReader(text))} {
			body, err := readHeld(r)
			if err != nil || !bytes.Equal(body, text[:min(size, maxHeldBytes+1)]) {
				t.Errorf("%s, %d bytes: read %d, %v", name, size, len(body), err)
			}
			if cap(body) > maxHeldBytes+1 {
				t.Errorf("%s, %d bytes: a buffer of %d bytes, want at most %d", name, size, cap(body), maxHeldBytes+1)
			}
		}
	}
	broken := errors.New("broken")
	if _, err := readHeld(io.MultiReader(bytes.NewReader(make([]byte, 5000)), iotest.ErrReader(broken))); !errors.Is(err, broken) {
		t.Errorf("error %v, want %v", err, broken)
	}
}
