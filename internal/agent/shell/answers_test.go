package shell

import (
	"context"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"trefoilpath.org/trefoilpath/internal/bytebudget"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// newTestAnswers returns answers whose entries have no streams.
func newTestAnswers(memory *bytebudget.Account) *answers {
	a := &Agent{}
	a.links = newLinks(a)
	return newAnswers(a.links, memory)
}

func TestFramesOfEndedAnswersMakeRoomForOthers(t *testing.T) {
	const size = 600 << 10
	ctx := t.Context()
	memory := bytebudget.New(1 << 20)
	s := newTestAnswers(memory)
	ended := s.open(ctx, attemptID(1), 0)
	ended.data(ctx, make([]byte, size), 0)
	s.markEnded(attemptID(1))
	time.Sleep(bytebudget.StallTime + 100*time.Millisecond)
	running := s.open(ctx, attemptID(2), 0)
	for range 2 {
		running.data(ctx, make([]byte, size/2), 0)
	}
	if n := len(running.frames); n != 2 {
		t.Errorf("%d frames of the running answer are kept, want 2", n)
	}
	ended.mu.Lock()
	defer ended.mu.Unlock()
	if len(ended.frames) != 0 {
		t.Error("the frames of the ended answer are still kept")
	}
}

func TestAnswersWithoutRoomKeepTheirNewestFrame(t *testing.T) {
	const size = 200 << 10
	memory := bytebudget.New(1 << 20)
	s := newTestAnswers(memory)
	for n := range 8 {
		ans := s.open(context.Background(), attemptID(uint64(n+1)), 0)
		for range 4 {
			ans.data(context.Background(), make([]byte, size), 0)
		}
		if len(ans.frames) == 0 {
			t.Errorf("answer %d keeps no frame", n)
		}
	}
	if used := memory.Used(); used > 1<<20 {
		t.Errorf("%d bytes are charged, want at most %d", used, 1<<20)
	}
}

// TestCountlessShortPiecesOfAnAnswerAreNotKept guards against an engine that sends tokens without text, or
// with little, without an end.
func TestCountlessShortPiecesOfAnAnswerAreNotKept(t *testing.T) {
	const pieces, maxKept = 200_000, 20_000
	for _, text := range []string{"", "x"} {
		answers := newTestAnswers(bytebudget.New(0))
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
	answers := newTestAnswers(bytebudget.New(0))
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
