package shell

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"trefoilpath.org/trefoilpath/internal/answer"
	"trefoilpath.org/trefoilpath/internal/entry"
	"trefoilpath.org/trefoilpath/internal/wire"
)

func TestResumeStartsAfterDeliveredTokens(t *testing.T) {
	xs := newExchanges()
	x := newExchange(t.Context(), 1, []byte("request"), newBacklogs(0), func() {})
	x.continueRequest = func(text []byte) ([]byte, error) { return append([]byte("request+"), text...), nil }
	xs.add(x)
	first := wire.AttemptID{Entry: "e", Incarnation: 1, Sequence: 1}
	second := wire.AttemptID{Entry: "e", Incarnation: 1, Sequence: 2}

	xs.setAttempt(&entry.SelectAttempt{ID: 1, Attempt: first})
	lost := answer.NewFramer(first)
	for _, token := range []string{" a", " b", " c"} {
		f := lost.Data([]byte(token), 1)
		x.accept(&f)
	}
	// The core knows of the first token only.
	xs.setAttempt(&entry.SelectAttempt{ID: 1, Attempt: second, ResumeFrom: 1})
	d := &wire.Dispatch{Attempt: second, ResumeFrom: 1}
	if _, body := xs.body(1, d); d.ResumeFrom != 3 || string(body) != "request+ a b c" {
		t.Errorf("resumes after token %d with body %q", d.ResumeFrom, body)
	}
	rest := answer.NewFramer(second)
	data := rest.Data([]byte(" d"), 1)
	last := rest.Close(wire.FrameTotal{PromptTokens: 13, OutputTokens: 1})
	x.accept(&data)
	done, _ := x.accept(&last)
	if done == nil || done.Event != entry.StreamDone {
		t.Fatalf("the end of the continuation gave %+v", done)
	}
	want := wire.FrameTotal{PromptTokens: 10, OutputTokens: 4}
	got := wire.FrameTotal{PromptTokens: done.Total.PromptTokens, OutputTokens: done.Total.OutputTokens}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("totals differ (-want +got):\n%s", diff)
	}
	if string(x.text) != " a b c d" {
		t.Errorf("the caller got %q", x.text)
	}
}
