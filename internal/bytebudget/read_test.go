package bytebudget

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
)

func TestReadAll(t *testing.T) {
	for _, size := range []int{0, 1, firstBuffer - 1, firstBuffer, firstBuffer + 1, 100_000} {
		for _, known := range []bool{false, true} {
			want := bytes.Repeat([]byte("ab"), size/2+1)[:size]
			h := New(0).Open()
			got, err := h.ReadAll(iotest.OneByteReader(bytes.NewReader(want)), int64(size)+1, known)
			if err != nil || !bytes.Equal(got, want) {
				t.Errorf("%d bytes: got %d, error %v", size, len(got), err)
			}
			if charged := h.account.Used(); charged != int64(cap(got)) {
				t.Errorf("%d bytes: %d charged for a buffer of %d", size, charged, cap(got))
			}
		}
	}
}

func TestReadAllStopsAtTheLimitAndAtErrors(t *testing.T) {
	if got, err := New(0).Open().ReadAll(bytes.NewReader(make([]byte, 100)), 10, false); err != nil || len(got) != 10 {
		t.Errorf("%d bytes, error %v, want 10", len(got), err)
	}
	broken := errors.New("broken")
	if got, err := New(0).Open().ReadAll(io.MultiReader(bytes.NewReader(make([]byte, 100)), iotest.ErrReader(broken)), 1000, true); err != broken || len(got) != 100 {
		t.Errorf("%d bytes, error %v, want 100 and %v", len(got), err, broken)
	}
}

func TestBodyThatHasNotArrivedIsNotCharged(t *testing.T) {
	a := New(1 << 20)
	h := a.Open()
	r, w := io.Pipe()
	go func() {
		_, _ = w.Write(make([]byte, 100)) // the reader is there until the end of the test
		if used := a.Used(); used > firstBuffer {
			t.Errorf("%d bytes charged for 100", used)
		}
		w.Close()
	}()
	if _, err := h.ReadAll(r, 1<<30, true); err != nil {
		t.Error(err)
	}
}

func TestReadAllWithoutRoomReturnsWhatHasArrived(t *testing.T) {
	a := New(1 << 20)
	h := a.Open()
	got, err := h.ReadAll(bytes.NewReader(make([]byte, 2<<20)), 4<<20, false)
	if err != ErrShort || len(got) == 0 {
		t.Errorf("%d bytes, error %v, want ErrShort", len(got), err)
	}
	if a.Used() != int64(cap(got)) {
		t.Errorf("%d bytes charged for a buffer of %d", a.Used(), cap(got))
	}
}
