package sleep

import (
	"context"
	"testing"
	"time"
)

func TestFor(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	if !For(ctx, time.Millisecond) {
		t.Error("For returned false with an active context")
	}
	cancel()
	if For(ctx, time.Hour) {
		t.Error("For returned true with a cancelled context")
	}
}
