package enginehttp

import (
	"context"
	"testing"

	"trefoilpath.org/trefoilpath/internal/rawserver"
)

// TestBrokenHeadOfAnEngineIsNoAnswer guards against a report of an engine that is believed although a line of its head
// is no field.
func TestBrokenHeadOfAnEngineIsNoAnswer(t *testing.T) {
	head := rawserver.SoundHead
	engine := New(rawserver.Send(t, func() string { return head + "{}" }), nil, nil)
	if _, err := engine.State(context.Background()); err != nil {
		t.Errorf("a sound answer: %v", err)
	}
	for name, broken := range rawserver.BrokenHeads {
		head = broken
		if s, err := engine.State(context.Background()); err == nil {
			t.Errorf("%s: %+v", name, s)
		}
	}
}
