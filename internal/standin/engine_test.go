package standin_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/engine/enginehttp"
	"trefoilpath.org/trefoilpath/internal/standin"
	"trefoilpath.org/trefoilpath/internal/standin/enginemodel"
	"trefoilpath.org/trefoilpath/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testModel = "luthier-modelo"

// recorder collects the events and the text that a client passes to its handler.
type recorder struct {
	mu     sync.Mutex
	text   map[engine.SequenceID]string
	tokens map[engine.SequenceID]int
	events []engine.Event
	wake   chan struct{}
}

func newRecorder() *recorder {
	return &recorder{
		text:   make(map[engine.SequenceID]string),
		tokens: make(map[engine.SequenceID]int),
		wake:   make(chan struct{}, 1),
	}
}

func (r *recorder) Text(id engine.SequenceID, tokens int, data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.text[id] += string(data)
	r.tokens[id] += tokens
}

func (r *recorder) Event(ev engine.Event) {
	r.mu.Lock()
	r.events = append(r.events, ev)
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// await returns the first event that match accepts.
func (r *recorder) await(t *testing.T, match func(engine.Event) bool) engine.Event {
	t.Helper()
	timeout := time.After(30 * time.Second)
	for {
		r.mu.Lock()
		for _, ev := range r.events {
			if match(ev) {
				r.mu.Unlock()
				return ev
			}
		}
		r.mu.Unlock()
		select {
		case <-r.wake:
		case <-timeout:
			t.Fatal("no matching event within 30s")
		}
	}
}

func finished(id engine.SequenceID) func(engine.Event) bool {
	return func(ev engine.Event) bool { return ev.Finished != nil && ev.Finished.ID == id }
}

func failed(id engine.SequenceID) func(engine.Event) bool {
	return func(ev engine.Event) bool { return ev.Failed != nil && ev.Failed.ID == id }
}

func first(id engine.SequenceID) func(engine.Event) bool {
	return func(ev engine.Event) bool { return ev.First != nil && ev.First.ID == id }
}

func startEngine(t *testing.T, cfg enginemodel.Config) (*standin.Engine, *enginehttp.Client, *recorder) {
	t.Helper()
	cfg.Have = wire.Assignment{Model: testModel}
	if cfg.StepBase == 0 {
		cfg.StepBase = 100 * time.Microsecond
	}
	cfg.StateLag = time.Millisecond
	cfg.CacheLag = time.Millisecond
	e, err := standin.NewEngine(cfg)
	if err != nil {
		t.Fatal(err)
	}
	tr := &http.Transport{}
	r := newRecorder()
	t.Cleanup(func() {
		e.Close()
		tr.CloseIdleConnections()
	})
	return e, enginehttp.New(e.URL(), r, &http.Client{Transport: tr}), r
}

func chatBody(t *testing.T, text, answer string, maxTokens int) []byte {
	t.Helper()
	type msg struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	messages := []msg{{"user", text}}
	if answer != "" {
		messages = append(messages, msg{"assistant", answer})
	}
	raw, err := json.Marshal(map[string]any{"messages": messages, "max_tokens": maxTokens})
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func submitOf(id engine.SequenceID) engine.Submit {
	return engine.Submit{ID: id, Model: testModel, PromptTokens: 1, MaxOutput: 1000}
}

func TestAnswerIsWholeAndRepeatable(t *testing.T) {
	e, c, r := startEngine(t, enginemodel.Config{})
	body := chatBody(t, strings.Repeat("abcd", 1000), "", 30)
	c.Submit(context.Background(), submitOf("entry/1/1"), body)
	c.Submit(context.Background(), submitOf("entry/1/2"), body)
	ev := r.await(t, finished("entry/1/1"))
	r.await(t, finished("entry/1/2"))
	if ev.Finished.PromptTokens != 1000 || ev.Finished.Output != 30 || r.tokens["entry/1/1"] != 30 {
		t.Errorf("got %+v after text of %d tokens, want 1000 prompt tokens and 30 of output", ev.Finished, r.tokens["entry/1/1"])
	}
	if diff := cmp.Diff(r.text["entry/1/1"], r.text["entry/1/2"]); diff != "" {
		t.Errorf("the same prompt gave two answers: %s", diff)
	}
	if l := e.Ledger(); l.HeldTokens != 0 || l.Finished != 2 {
		t.Errorf("ledger %+v, want 2 finished sequences and no memory held", l)
	}
}

func TestContinuationJoinsWithoutGapOrRepeat(t *testing.T) {
	_, c, r := startEngine(t, enginemodel.Config{})
	c.Submit(context.Background(), submitOf("whole"), chatBody(t, "a question", "", 30))
	r.await(t, finished("whole"))
	have := r.text["whole"][:12*enginemodel.TokenBytes]
	rest := submitOf("rest")
	rest.ResumeFrom = 12
	c.Submit(context.Background(), rest, chatBody(t, "a question", have, 30))
	r.await(t, finished("rest"))
	if diff := cmp.Diff(r.text["whole"], have+r.text["rest"]); diff != "" {
		t.Error(diff)
	}
}

func TestResumeReadsARunningSequence(t *testing.T) {
	_, c, r := startEngine(t, enginemodel.Config{StepBase: time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	c.Submit(ctx, submitOf("a"), chatBody(t, "a question", "", 300))
	r.await(t, first("a"))
	cancel()
	r.await(t, failed("a"))
	r.mu.Lock()
	have := r.tokens["a"]
	r.mu.Unlock()
	c.Resume(context.Background(), "a", int64(have))
	ev := r.await(t, finished("a"))
	c.Submit(context.Background(), submitOf("b"), chatBody(t, "a question", "", 300))
	r.await(t, finished("b"))
	if ev.Finished.Output != int64(r.tokens["a"]) || r.text["a"] != r.text["b"] {
		t.Errorf("resumed answer of %d tokens differs from the whole one of %d", r.tokens["a"], r.tokens["b"])
	}
}

func TestCancelFreesMemory(t *testing.T) {
	e, c, r := startEngine(t, enginemodel.Config{StepBase: 10 * time.Millisecond})
	c.Submit(context.Background(), submitOf("a"), chatBody(t, "a question", "", 500))
	r.await(t, first("a"))
	if err := c.Cancel(context.Background(), "a"); err != nil {
		t.Fatal(err)
	}
	if ev := r.await(t, failed("a")); ev.Failed.Reason != engine.FailCancelled || ev.Failed.Rejected {
		t.Errorf("cancelled sequence ended with %+v, want FailCancelled and not Rejected", ev.Failed)
	}
	if held := e.Ledger().HeldTokens; held != 0 {
		t.Errorf("%d tokens held after the cancellation", held)
	}
}

func TestKilledEngineIsLost(t *testing.T) {
	e, c, r := startEngine(t, enginemodel.Config{StepBase: 10 * time.Millisecond})
	c.Submit(context.Background(), submitOf("a"), chatBody(t, "a question", "", 500))
	r.await(t, first("a"))
	e.Kill()
	if ev := r.await(t, failed("a")); ev.Failed.Reason != engine.FailLost || ev.Failed.Rejected {
		t.Errorf("sequence of a killed engine ended with %+v, want FailLost and not Rejected", ev.Failed)
	}
	if _, err := c.State(context.Background()); err == nil {
		t.Error("a killed engine answered a state call")
	}
	e.Restart()
	if st, err := c.State(context.Background()); err != nil || st.HeldTokens != 0 {
		t.Errorf("after Restart: state %+v, error %v, want no memory held", st, err)
	}
}

func TestUnreachableEngineRejects(t *testing.T) {
	e, c, r := startEngine(t, enginemodel.Config{})
	e.Close()
	c.Submit(context.Background(), submitOf("a"), chatBody(t, "a question", "", 5))
	if ev := r.await(t, failed("a")); ev.Failed.Reason != engine.FailLost || !ev.Failed.Rejected {
		t.Errorf("submit to a closed engine ended with %+v, want FailLost and Rejected", ev.Failed)
	}
}

func TestWatchReportsStateAndCache(t *testing.T) {
	_, c, r := startEngine(t, enginemodel.Config{})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- c.Watch(ctx) }()
	r.await(t, func(ev engine.Event) bool { return ev.State != nil && ev.State.Have.Model == testModel })
	sub := submitOf("a")
	sub.Prefixes = []uint64{42}
	c.Submit(context.Background(), sub, chatBody(t, strings.Repeat("abcd", 2000), "", 5))
	ev := r.await(t, func(ev engine.Event) bool { return ev.Cache != nil })
	if diff := cmp.Diff(&engine.Cache{Sequence: 1, Add: []uint64{42}}, ev.Cache); diff != "" {
		t.Error(diff)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

func TestLoadReportsItsEnd(t *testing.T) {
	_, c, r := startEngine(t, enginemodel.Config{LoadTime: time.Millisecond})
	want := wire.Assignment{Model: "other", Version: "2"}
	if err := c.Load(context.Background(), engine.Load{OrderID: 9, Want: want}); err != nil {
		t.Fatal(err)
	}
	ev := r.await(t, func(ev engine.Event) bool { return ev.Loaded != nil })
	if diff := cmp.Diff(&engine.Loaded{OrderID: 9, OK: true, Have: want}, ev.Loaded); diff != "" {
		t.Error(diff)
	}
}

func TestExportIsDropped(t *testing.T) {
	e, c, r := startEngine(t, enginemodel.Config{})
	sub := submitOf("part")
	sub.Export = true
	sub.PromptTokens = 700
	c.Submit(context.Background(), sub, chatBody(t, "a question", "", 5))
	handle := r.await(t, finished("part")).Finished.Handle
	if held := e.Ledger().HeldTokens; held != 700 {
		t.Errorf("%d tokens held under %q, want 700", held, handle)
	}
	if err := c.Drop(context.Background(), handle); err != nil {
		t.Fatal(err)
	}
	if held := e.Ledger().HeldTokens; held != 0 {
		t.Errorf("%d tokens held after the drop", held)
	}
}

// TestClosedStandinTakesNoConnection closes a stand-in right after its start, when
// its HTTP server may not have registered the listener yet and so would not close it.
func TestClosedStandinTakesNoConnection(t *testing.T) {
	for range 500 {
		e, err := standin.NewEngine(enginemodel.Config{Have: wire.Assignment{Model: testModel}})
		if err != nil {
			t.Fatal(err)
		}
		if err := e.Close(); err != nil {
			t.Fatal(err)
		}
		c, err := net.Dial("tcp", strings.TrimPrefix(e.URL(), "http://"))
		if err == nil {
			c.Close()
			t.Fatal("a closed stand-in accepted a connection")
		}
	}
}
