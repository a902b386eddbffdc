package answer

import (
	"flag"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"trefoilpath.org/trefoilpath/internal/wire"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func attemptID(n uint64) wire.AttemptID {
	return wire.AttemptID{Entry: "entry-1", Incarnation: 1, Sequence: n}
}

func frames(id wire.AttemptID, pieces []string) []wire.Frame {
	f := NewFramer(id)
	out := make([]wire.Frame, 0, len(pieces)+1)
	for _, p := range pieces {
		out = append(out, f.Data([]byte(p), 1))
	}
	return append(out, f.Close(wire.FrameTotal{FinishReason: "stop"}))
}

// TestAssemblerPassesOnceInOrder sends the frames of the current attempt with
// losses, repetitions and swaps, mixed with frames of an earlier attempt. The
// output must be a prefix of the sent text, and all of it once Done reports true.
func TestAssemblerPassesOnceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pieces := rapid.SliceOfN(rapid.StringN(1, 8, 16), 0, 12).Draw(t, "pieces")
		stale := frames(attemptID(1), rapid.SliceOfN(rapid.StringN(1, 8, 16), 0, 12).Draw(t, "stale"))
		current := frames(attemptID(2), pieces)
		var wireOrder []wire.Frame
		for _, f := range current {
			switch rapid.IntRange(0, 9).Draw(t, "fault") {
			case 0: // lost
			case 1:
				wireOrder = append(wireOrder, f, f)
			case 2:
				wireOrder = append([]wire.Frame{f}, wireOrder...)
			case 3:
				wireOrder = append(wireOrder, stale[rapid.IntRange(0, len(stale)-1).Draw(t, "which")], f)
			default:
				wireOrder = append(wireOrder, f)
			}
		}
		var a Assembler
		if !a.SetAttempt(attemptID(1), 0) || !a.SetAttempt(attemptID(2), 0) {
			t.Fatal("a first attempt was refused")
		}
		var got, want string
		for _, p := range pieces {
			want += p
		}
		for _, f := range wireOrder {
			data, _, _ := a.Accept(f)
			got += string(data)
		}
		if len(got) > len(want) || want[:len(got)] != got {
			t.Fatalf("passed on %q, which is not a prefix of %q", got, want)
		}
		if _, done := a.Done(); done && got != want {
			t.Fatalf("done with %q, want %q", got, want)
		}
		_, n := a.Delivered()
		if n != int64(len(got)) {
			t.Fatalf("delivered %d bytes, counted %d", len(got), n)
		}
	})
}

// TestAssemblerReplay checks that frames accepted before are dropped when an agent
// sends all frames again after its stream has broken.
func TestAssemblerReplay(t *testing.T) {
	fs := frames(attemptID(1), []string{"a", "b", "c"})
	var a Assembler
	a.SetAttempt(attemptID(1), 0)
	var events []Event
	for _, f := range append(fs[:2:2], fs...) {
		_, _, ev := a.Accept(f)
		events = append(events, ev)
	}
	want := []Event{EventFirst, EventMore, EventDropped, EventDropped, EventMore, EventDone}
	if diff := cmp.Diff(want, events); diff != "" {
		t.Errorf("events differ (-want +got):\n%s", diff)
	}
}

func TestAssemblerBreaks(t *testing.T) {
	good := frames(attemptID(1), []string{"a", "b"})
	wrongDigest := frames(attemptID(1), []string{"a", "b"})
	wrongDigest[1].Data = []byte("x")
	wrongCount := frames(attemptID(1), []string{"a", "b"})
	wrongCount[2].Last.Frames = 1
	early := good[2]
	early.Sequence = 1
	for name, fs := range map[string][]wire.Frame{
		"gap":          {good[0], good[2]},
		"wrong digest": wrongDigest,
		"wrong count":  wrongCount,
		"early end":    {good[0], early},
	} {
		t.Run(name, func(t *testing.T) {
			var a Assembler
			a.SetAttempt(attemptID(1), 0)
			var last Event
			for _, f := range fs {
				_, _, last = a.Accept(f)
			}
			if last != EventBroken {
				t.Errorf("last event is %v, want broken", last)
			}
			if _, done := a.Done(); done {
				t.Error("a broken answer is reported as done")
			}
		})
	}
}

// TestAssemblerResume checks that a second attempt is joined only if it starts at
// the end of the delivered text; any other would repeat or omit text.
func TestAssemblerResume(t *testing.T) {
	first := frames(attemptID(1), []string{"a", "b", "c"})
	var a Assembler
	a.SetAttempt(attemptID(1), 0)
	a.Accept(first[0])
	a.Accept(first[1])
	for _, resumeFrom := range []int64{0, 1, 3} {
		b := a
		if b.SetAttempt(attemptID(2), resumeFrom) {
			t.Errorf("an attempt that resumes from %d was joined after 2 delivered tokens", resumeFrom)
		}
	}
	if !a.SetAttempt(attemptID(2), 2) {
		t.Fatal("an attempt that resumes from 2 was refused after 2 delivered tokens")
	}
	if _, _, ev := a.Accept(first[2]); ev != EventDropped {
		t.Errorf("a late frame of the first attempt gave %v", ev)
	}
	var got string
	for _, f := range frames(attemptID(2), []string{"c"}) {
		data, _, _ := a.Accept(f)
		got += string(data)
	}
	if _, done := a.Done(); !done || got != "c" {
		t.Errorf("done %v with %q after resuming, want %q", done, got, "c")
	}
}

func BenchmarkAccept(b *testing.B) {
	data := []byte("token ")
	b.ReportAllocs()
	var a Assembler
	a.SetAttempt(attemptID(1), 0)
	f := NewFramer(attemptID(1))
	for b.Loop() {
		a.Accept(f.Data(data, 1))
	}
}
