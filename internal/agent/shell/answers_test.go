package shell

import (
	"context"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// TestCountlessShortPiecesOfAnAnswerAreNotKept guards against an engine that sends tokens without text, or
// with little, without an end.
func TestCountlessShortPiecesOfAnAnswerAreNotKept(t *testing.T) {
	const pieces, maxKept = 200_000, 20_000
	for _, text := range []string{"", "x"} {
		answers := newAnswers(&links{byEntry: make(map[wire.NodeID]*link)})
		ans := answers.open(context.Background(), wire.AttemptID{}, 0)
		for range pieces {
			ans.data(context.Background(), []byte(text), 1)
		}
		if n := len(ans.frames); n > maxKept || n == 0 {
			t.Errorf("text %q: %d frames are kept of %d, want at most %d", text, n, pieces, maxKept)
		}
	}
}

// TestShortReadsOfAServiceKeepLittleMemory guards against a service that sends its answer in pieces of a byte.
func TestShortReadsOfAServiceKeepLittleMemory(t *testing.T) {
	const pieces, maxBytes = 4000, 8 << 20
	answers := newAnswers(&links{byEntry: make(map[wire.NodeID]*link)})
	ans := answers.open(context.Background(), wire.AttemptID{}, 0)
	before := liveHeap()
	if err := copyReply(context.Background(), ans, iotest.OneByteReader(strings.NewReader(strings.Repeat("x", pieces)))); err != nil {
		t.Fatal(err)
	}
	if grown := int64(liveHeap() - before); grown > maxBytes {
		t.Errorf("%d KB are kept for %d bytes, want at most %d KB", grown>>10, pieces, maxBytes>>10)
	}
	runtime.KeepAlive(ans)
}

func liveHeap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
