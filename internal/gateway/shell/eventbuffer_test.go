package shell

import (
	"bytes"
	"testing"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/bytebudget"
)

func TestEventBuffersAreChargedToTheAccount(t *testing.T) {
	account := bytebudget.New(8 << 20)
	x := &exchange{memory: account.Open()}
	text := bytes.Repeat([]byte("x"), maxEventBytes)
	buf := make([]byte, 0, eventBuffer)
	for len(buf) < len(text) {
		buf = append(buf, text[len(buf):min(cap(buf), len(text))]...)
		if len(buf) < cap(buf) {
			break
		}
		grown, err := x.growEvents(buf)
		if err != nil {
			t.Fatal(err)
		}
		buf = grown
		if got := account.Used(); got != int64(cap(buf)) {
			t.Fatalf("%d bytes are charged for a buffer of %d", got, cap(buf))
		}
	}
	if !bytes.Equal(buf, text) || cap(buf) > maxEventBytes+1 {
		t.Errorf("%d bytes in a buffer of %d, want the %d of the event", len(buf), cap(buf), len(text))
	}
	buf = x.trimEvents(buf[:copy(buf, "rest")])
	if string(buf) != "rest" || cap(buf) != eventBuffer || account.Used() != 0 {
		t.Errorf("%q in a buffer of %d bytes, %d charged, want the rest in a small buffer", buf, cap(buf), account.Used())
	}
}

func TestEventBufferDoesNotGrowWithoutMemory(t *testing.T) {
	x := &exchange{memory: bytebudget.New(eventBuffer).Open()}
	buf := append(make([]byte, 0, eventBuffer), "data"...)
	if got, err := x.growEvents(buf); !errors.Is(err, bytebudget.ErrShort) || string(got) != "data" {
		t.Errorf("%q, %v, want ErrShort", got, err)
	}
}
