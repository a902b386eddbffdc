package shell

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"trefoilpath.org/trefoilpath/internal/agent"
	"trefoilpath.org/trefoilpath/internal/answer"
	"trefoilpath.org/trefoilpath/internal/membership"
	"trefoilpath.org/trefoilpath/internal/settings"
	"trefoilpath.org/trefoilpath/internal/standin"
	"trefoilpath.org/trefoilpath/internal/standin/enginemodel"
	"trefoilpath.org/trefoilpath/internal/transport"
	"trefoilpath.org/trefoilpath/internal/wire"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"))
}

const (
	testModel   = "luthier-modelo"
	testEntry   = wire.NodeID("entry-1")
	testTimeout = 20 * time.Second
)

// fakeEntry is an entry that holds one agent's stream and assembles answers.
type fakeEntry struct {
	t       *testing.T
	address string

	mu         sync.Mutex
	changed    *sync.Cond
	stream     *transport.AgentStream
	hellos     int
	asm        map[wire.AttemptID]*answer.Assembler
	text       map[wire.AttemptID]string
	broken     map[wire.AttemptID]bool
	outcome    map[wire.AttemptID]string
	report     wire.Report
	head       map[wire.AttemptID]wire.ReplyHead
	breakAfter int // frames after which the stream is closed; 0: never
}

func newFakeEntry(t *testing.T) *fakeEntry {
	e := &fakeEntry{
		t:       t,
		asm:     map[wire.AttemptID]*answer.Assembler{},
		text:    map[wire.AttemptID]string{},
		broken:  map[wire.AttemptID]bool{},
		outcome: map[wire.AttemptID]string{},
		head:    map[wire.AttemptID]wire.ReplyHead{},
	}
	e.changed = sync.NewCond(&e.mu)
	h, err := transport.Handler(e, noPeers{}, false)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := transport.Serve(l, nil, h)
	t.Cleanup(srv.Close)
	e.address = l.Addr().String()
	return e
}

type noPeers struct{}

func (noPeers) PeerMessages(wire.NodeID, []wire.ToPeer) {}

// AgentMessage implements transport.AgentServer.
func (e *fakeEntry) AgentMessage(s *transport.AgentStream, m *wire.ToEntry) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.changed.Broadcast()
	switch {
	case m.Hello != nil:
		e.stream = s
		e.hellos++
		return s.Send(wire.ToAgent{Welcome: &wire.Welcome{Entry: testEntry, Incarnation: 1}})
	case m.Report != nil:
		e.report = *m.Report
	case m.Frame != nil:
		e.frame(*m.Frame)
	case m.Finished != nil:
		e.outcome[m.Finished.Attempt] = "finished"
	case m.Failed != nil:
		e.outcome[m.Failed.Attempt] = "failed " + m.Failed.Reason.String()
		if m.Failed.Rejected {
			e.outcome[m.Failed.Attempt] += " rejected"
		}
	case m.Refused != nil:
		e.outcome[m.Refused.Attempt] = "refused " + m.Refused.Reason.String()
	}
	return nil
}

func (e *fakeEntry) frame(f wire.Frame) {
	asm := e.asm[f.Attempt]
	if asm == nil {
		return
	}
	data, _, event := asm.Accept(f)
	e.text[f.Attempt] += string(data)
	if event != answer.EventDropped && f.Head != nil {
		e.head[f.Attempt] = *f.Head
	}
	if event == answer.EventBroken {
		e.broken[f.Attempt] = true
	}
	if e.breakAfter > 0 {
		e.breakAfter--
		if e.breakAfter == 0 {
			e.stream.Close()
		}
	}
}

// AgentClosed implements transport.AgentServer.
func (e *fakeEntry) AgentClosed(s *transport.AgentStream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stream == s {
		e.stream = nil
	}
	e.changed.Broadcast()
}

// until waits for a condition under the entry's lock.
func (e *fakeEntry) until(desc string, cond func() bool) {
	e.t.Helper()
	expired := false
	timer := time.AfterFunc(testTimeout, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		expired = true
		e.changed.Broadcast()
	})
	defer timer.Stop()
	e.mu.Lock()
	defer e.mu.Unlock()
	for !cond() {
		if expired {
			e.t.Fatalf("%s: not within %v", desc, testTimeout)
		}
		e.changed.Wait()
	}
}

// sendDispatch sends an attempt with its body in two chunks.
func (e *fakeEntry) sendDispatch(d wire.Dispatch, body string) {
	e.t.Helper()
	e.mu.Lock()
	defer e.mu.Unlock()
	asm := &answer.Assembler{}
	asm.SetAttempt(d.Attempt, 0)
	e.asm[d.Attempt] = asm
	d.BodyBytes = int64(len(body))
	half := len(body) / 2
	if err := e.stream.Send(wire.ToAgent{Dispatch: &d}); err != nil {
		e.t.Fatal(err)
	}
	for _, chunk := range []wire.BodyChunk{
		{Attempt: d.Attempt, Data: []byte(body[:half])},
		{Attempt: d.Attempt, Offset: int64(half), Data: []byte(body[half:]), Last: true},
	} {
		if err := e.stream.SendBulk(context.Background(), wire.ToAgent{Body: &chunk}); err != nil {
			e.t.Fatal(err)
		}
	}
}

func (e *fakeEntry) done(id wire.AttemptID) bool {
	_, done := e.asm[id].Done()
	return done
}

func attemptID(n uint64) wire.AttemptID {
	return wire.AttemptID{Entry: testEntry, Incarnation: 1, Sequence: n}
}

func dispatch(n uint64, output int64) wire.Dispatch {
	return wire.Dispatch{
		Attempt:      attemptID(n),
		RequestID:    "request",
		Account:      "antigua",
		Kind:         wire.KindEngine,
		Model:        testModel,
		PromptTokens: 100,
		MaxOutput:    output,
		TimeLeft:     testTimeout,
		StartBy:      testTimeout,
		Idempotent:   true,
	}
}

const testPrompt = `{"prompt":"a spruce top, quarter sawn, seasoned eight years","max_tokens":400}`

// startAgent runs an agent until the test ends and waits for its first report
// of a live endpoint.
func startAgent(t *testing.T, e *fakeEntry, cfg Config) *Agent {
	t.Helper()
	cfg.Entries = []membership.EntryNode{{Node: testEntry, Address: e.address}}
	cfg.Log = zerolog.Nop()
	cfg.Core.Endpoint = "luthier-01"
	cfg.Core.Incarnation = 1
	a, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("Run: %v", err)
		}
	})
	e.until("endpoint up", func() bool { return e.stream != nil && e.report.Sequence > 0 && !e.report.Failing })
	return a
}

func startEngine(t *testing.T) *standin.Engine {
	t.Helper()
	eng, err := standin.NewEngine(enginemodel.Config{Have: wire.Assignment{Model: testModel, Role: wire.RoleServe}, StepBase: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { eng.Close() })
	return eng
}

func engineConfig(eng *standin.Engine) Config {
	return Config{Core: agent.Config{Kind: wire.KindEngine}, EndpointURL: eng.URL()}
}

func TestAnswerIsWhole(t *testing.T) {
	e, eng := newFakeEntry(t), startEngine(t)
	startAgent(t, e, engineConfig(eng))
	e.sendDispatch(dispatch(1, 400), testPrompt)
	e.until("answer", func() bool { return e.done(attemptID(1)) && e.outcome[attemptID(1)] != "" })
	e.mu.Lock()
	defer e.mu.Unlock()
	if got := e.outcome[attemptID(1)]; got != "finished" {
		t.Errorf("outcome is %q, want finished", got)
	}
	total, _ := e.asm[attemptID(1)].Done()
	if tokens, _ := e.asm[attemptID(1)].Delivered(); tokens != total.OutputTokens || tokens == 0 {
		t.Errorf("%d tokens delivered, the engine counts %d", tokens, total.OutputTokens)
	}
}

// TestAnswerSurvivesBrokenStreams breaks the entry's stream twice in the middle
// of an answer. The lost frames are sent again over the next stream.
func TestAnswerSurvivesBrokenStreams(t *testing.T) {
	e, eng := newFakeEntry(t), startEngine(t)
	startAgent(t, e, engineConfig(eng))
	e.mu.Lock()
	e.breakAfter = 5
	e.mu.Unlock()
	e.sendDispatch(dispatch(1, 400), testPrompt)
	e.until("second stream", func() bool { return e.hellos >= 2 })
	e.mu.Lock()
	e.breakAfter = 8
	e.mu.Unlock()
	e.until("answer", func() bool { return e.done(attemptID(1)) && e.outcome[attemptID(1)] == "finished" })
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.broken[attemptID(1)] {
		t.Error("the answer had a gap")
	}
	if tokens, _ := e.asm[attemptID(1)].Delivered(); tokens == 0 {
		t.Error("no token delivered")
	}
}

func TestEngineDeathFailsAttempt(t *testing.T) {
	e, eng := newFakeEntry(t), startEngine(t)
	startAgent(t, e, engineConfig(eng))
	e.sendDispatch(dispatch(1, 400), testPrompt)
	e.until("first text", func() bool { return e.text[attemptID(1)] != "" })
	eng.Kill()
	e.until("outcome", func() bool { return e.outcome[attemptID(1)] != "" })
	e.mu.Lock()
	got := e.outcome[attemptID(1)]
	e.mu.Unlock()
	if got != "failed endpoint-lost" {
		t.Errorf("outcome is %q, want failed endpoint-lost", got)
	}
	eng.Restart()
	e.until("endpoint back", func() bool { return !e.report.Failing && e.report.Have.Model == testModel })
	e.sendDispatch(dispatch(2, 50), testPrompt)
	e.until("answer", func() bool { return e.done(attemptID(2)) })
}

// TestHungEngineMeetsDeadline suspends the engine in the middle of an answer past
// the deadline of the attempt, and resumes it later.
func TestHungEngineMeetsDeadline(t *testing.T) {
	e, eng := newFakeEntry(t), startEngine(t)
	startAgent(t, e, engineConfig(eng))
	d := dispatch(1, 400)
	d.TimeLeft = 1500 * time.Millisecond
	e.sendDispatch(d, testPrompt)
	e.until("first text", func() bool { return e.text[attemptID(1)] != "" })
	eng.Hang(3 * time.Second)
	e.until("outcome", func() bool { return e.outcome[attemptID(1)] == "failed deadline" })
	e.sendDispatch(dispatch(2, 50), testPrompt)
	e.until("answer", func() bool { return e.done(attemptID(2)) && e.outcome[attemptID(2)] == "finished" })
	if held := eng.Ledger().HeldTokens; held != 0 {
		t.Errorf("the engine holds %d tokens, want none", held)
	}
}

func serviceDispatch(n uint64) wire.Dispatch {
	d := dispatch(n, 0)
	d.Kind, d.Model, d.PromptTokens, d.Idempotent = wire.KindService, "", 0, false
	d.Call = &wire.ServiceCall{Service: "mostrador-pedidos", Method: http.MethodPost, Path: "/reservations", IdempotencyKey: "maple-17"}
	return d
}

// TestServiceCallIsSentOnce lets the service execute a call and close the
// connection without an answer. The call must not be sent again, nor reported
// as not run.
func TestServiceCallIsSentOnce(t *testing.T) {
	svc, err := standin.NewService()
	if err != nil {
		t.Fatal(err)
	}
	defer svc.Close()
	e := newFakeEntry(t)
	startAgent(t, e, Config{Core: agent.Config{Kind: wire.KindService, Service: "mostrador-pedidos"}, EndpointURL: svc.URL()})
	first := serviceDispatch(1)
	first.Call.IdempotencyKey = "ebony-3"
	e.sendDispatch(first, `{"billet":3}`)
	e.until("answer", func() bool { return e.done(attemptID(1)) && e.outcome[attemptID(1)] == "finished" })
	svc.BreakNext(1) // on the kept-alive connection, where net/http would resend
	e.sendDispatch(serviceDispatch(2), `{"billet":17}`)
	e.until("outcome", func() bool { return e.outcome[attemptID(2)] != "" })
	e.mu.Lock()
	defer e.mu.Unlock()
	if got := e.outcome[attemptID(2)]; got != "failed endpoint-lost" {
		t.Errorf("outcome is %q, want failed endpoint-lost without rejection", got)
	}
	if n := svc.Executions("maple-17"); n != 1 {
		t.Errorf("the service executed the call %d times, want 1", n)
	}
	if status := e.head[attemptID(1)].Status; status == 0 {
		t.Error("the answer has no status line")
	}
}

func TestUnreachableServiceRejects(t *testing.T) {
	svc, err := standin.NewService()
	if err != nil {
		t.Fatal(err)
	}
	url := svc.URL()
	svc.Close()
	e := newFakeEntry(t)
	startAgent(t, e, Config{Core: agent.Config{Kind: wire.KindService, Service: "mostrador-pedidos"}, EndpointURL: url})
	e.sendDispatch(serviceDispatch(1), `{}`)
	e.until("outcome", func() bool { return e.outcome[attemptID(1)] != "" })
	e.mu.Lock()
	defer e.mu.Unlock()
	if got := e.outcome[attemptID(1)]; got != "failed endpoint-lost rejected" {
		t.Errorf("outcome is %q, want failed endpoint-lost rejected", got)
	}
}

// TestLeaving checks that a draining agent finishes its running attempt, refuses
// a new one, and then closes its stream.
func TestLeaving(t *testing.T) {
	e, eng := newFakeEntry(t), startEngine(t)
	a := startAgent(t, e, engineConfig(eng))
	e.sendDispatch(dispatch(1, 400), testPrompt)
	e.until("first text", func() bool { return e.text[attemptID(1)] != "" })
	a.Leave()
	e.until("leaving reported", func() bool { return e.report.Leaving })
	e.sendDispatch(dispatch(2, 10), testPrompt)
	e.until("refusal", func() bool { return e.outcome[attemptID(2)] == "refused leaving" })
	e.until("answer", func() bool { return e.done(attemptID(1)) && e.outcome[attemptID(1)] == "finished" })
	e.until("stream closed", func() bool { return e.stream == nil })
}

func TestOperators(t *testing.T) {
	e, eng := newFakeEntry(t), startEngine(t)
	cfg := engineConfig(eng)
	cfg.OperatorKey = settings.NewCredential("operators-key")
	a := startAgent(t, e, cfg)
	get := func(path, key string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodGet, path, nil)
		if key != "" {
			r.Header.Set("Authorization", "Bearer "+key)
		}
		a.OperatorHandler().ServeHTTP(w, r)
		return w
	}
	for path, want := range map[string]int{"/healthz": 200, "/readyz": 200, "/metrics": 200, "/v1/operator/dump": 401, "/v1/operator/status": 401} {
		if got := get(path, "").Code; got != want {
			t.Errorf("GET %s without a key gives %d, want %d", path, got, want)
		}
	}
	if got := get("/v1/operator/dump", "another-key").Code; got != http.StatusUnauthorized {
		t.Errorf("a wrong key gives %d, want 401", got)
	}
	var status Status
	if err := json.Unmarshal(get("/v1/operator/status", "operators-key").Body.Bytes(), &status); err != nil {
		t.Fatal(err)
	}
	if status.Have.Model != testModel || status.EntriesUp != 1 {
		t.Errorf("status is %+v, want model %s and one entry", status, testModel)
	}
	if body := get("/metrics", "").Body.String(); !strings.Contains(body, "memory.capacity_tokens") {
		t.Errorf("metrics lack memory.capacity_tokens: %s", body)
	}
}
