package sleep

import (
	"context"
	"testing"
	"time"
)

func TestFor(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	if !For(ctx, time.Millisecond) {
		t.Error("a context that is alive counts as ended")
	}
	cancel()
	if For(ctx, time.Hour) {
		t.Error("a context that has ended counts as alive")
	}
}
