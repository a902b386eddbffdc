package shell

import (
	"context"
	"testing"

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
