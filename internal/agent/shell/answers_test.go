package shell

import (
	"context"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/bytebudget"
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
