package shell

import (
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/answer"
	"trefoilpath.org/trefoilpath/internal/bytebudget"
	"trefoilpath.org/trefoilpath/internal/entry"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// slowExchange returns an exchange whose caller takes nothing, with a way to add to its answer. It
// ends when its writes are cut.
func slowExchange(t *testing.T, id entry.RequestID, backlogs *bytebudget.Account) (x *exchange, add func(bytes int) (tooSlow bool)) {
	attempt := wire.AttemptID{Entry: "entry-1", Incarnation: 1, Sequence: uint64(id)}
	x = newExchange(t.Context(), id, nil, backlogs, func() { go x.close() })
	x.service = true
	x.setAttempt(&entry.SelectAttempt{ID: id, Attempt: attempt})
	framer := answer.NewFramer(attempt)
	return x, func(bytes int) bool {
		f := framer.Data(make([]byte, bytes), 0)
		_, tooSlow := x.accept(&f)
		return tooSlow
	}
}

func TestStalledBacklogIsEvictedForAnother(t *testing.T) {
	const size = 600 << 10
	backlogs := bytebudget.New(1 << 20)
	stalled, add := slowExchange(t, 1, backlogs)
	if add(size) {
		t.Fatal("there is no room for the first answer")
	}
	time.Sleep(bytebudget.StallTime + 100*time.Millisecond)
	x, add := slowExchange(t, 2, backlogs)
	if add(size) {
		t.Error("an answer is cut although that of a stalled caller could make room")
	}
	stalled.mu.Lock()
	if !stalled.closed {
		t.Error("the stalled answer is still held")
	}
	stalled.mu.Unlock()
	_, add = slowExchange(t, 3, backlogs)
	if !add(size) {
		t.Error("an answer without room is held")
	}
	x.close()
}

func TestBacklogIsBoundedWithoutALimitOfMemory(t *testing.T) {
	backlogs := newBacklogs(0)
	x, add := slowExchange(t, 1, backlogs)
	for range maxBacklogBytes / (1 << 20) {
		if add(1<<20 - pieceOverhead) {
			t.Fatal("an answer within the bound is cut")
		}
	}
	if !add(1) {
		t.Error("an answer beyond the bound is held")
	}
	x.close()
	if used := backlogs.Used(); used != 0 {
		t.Errorf("%d bytes are charged for no answer", used)
	}
}
