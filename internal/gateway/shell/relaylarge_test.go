package shell

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/bytebudget"
)

func TestHeldBodyThatIsCutOrTooLarge(t *testing.T) {
	const buffer = 1 << 10 // the first buffer in bytes
	for _, size := range []int{0, 1, buffer, buffer + 1, maxHeldBytes, maxHeldBytes + 1, 2 * maxHeldBytes} {
		text := bytes.Repeat([]byte("abcdefg"), size/7+1)[:size]
		for name, r := range map[string]io.Reader{"whole": bytes.NewReader(text), "with EOF": iotest.DataErrReader(bytes.NewReader(text))} {
			body, err := readHeld(bytebudget.New(0).Open(), r)
			if err != nil || !bytes.Equal(body, text[:min(size, maxHeldBytes+1)]) {
				t.Errorf("%s, %d bytes: read %d, %v", name, size, len(body), err)
			}
			if cap(body) > maxHeldBytes+1 {
				t.Errorf("%s, %d bytes: a buffer of %d bytes, want at most %d", name, size, cap(body), maxHeldBytes+1)
			}
		}
	}
	broken := errors.New("broken")
	if _, err := readHeld(bytebudget.New(0).Open(), io.MultiReader(bytes.NewReader(make([]byte, 5000)), iotest.ErrReader(broken))); !errors.Is(err, broken) {
		t.Errorf("error %v, want %v", err, broken)
	}
}

func TestResponseThatIsRelayedInsteadOfHeld(t *testing.T) {
	small, large := make([]byte, 10), make([]byte, maxHeldBytes+1)
	for _, c := range []struct {
		name   string
		read   []byte
		short  bool
		status int
		want   bool
	}{
		{"held", small, false, 200, false},
		{"too large", large, false, 200, true},
		{"memory short", small, true, 200, true},
		{"memory short, the caller's fault", small, true, 404, true},
		{"memory short, a failure", small, true, 500, false},
		{"memory short, a refusal", small, true, 429, false},
	} {
		if got := mustRelay(c.read, c.short, c.status); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestHeldBodyWithoutMemoryIsReturnedAsFarAsRead(t *testing.T) {
	body, err := readHeld(bytebudget.New(1<<20).Open(), bytes.NewReader(make([]byte, maxHeldBytes)))
	if err != bytebudget.ErrShort || len(body) == 0 {
		t.Errorf("%d bytes, error %v, want some and %v", len(body), err, bytebudget.ErrShort)
	}
}
