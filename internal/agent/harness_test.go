package agent

import (
	"flag"
	"fmt"
	"os"
	"sort"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// TestMain gives rapid a fixed seed unless -rapid.seed is set, so that runs can
// be repeated.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const (
	fakeStep        = 10 * time.Millisecond
	fakePrefillRate = 100_000.0 // tokens per second, over all sequences
	fakeDecodeRate  = 50.0      // tokens per second, for each sequence
	fakeCallTime    = 200 * time.Millisecond
	fakeLoadTime    = 500 * time.Millisecond // of a model
	fakeCapacity    = 500_000                // KV cache tokens
	fakeModelName   = "luthier-modelo"
)

// fakeSequence is one sequence of the fake engine.
type fakeSequence struct {
	submit        engine.Submit
	prefillLeft   float64 // tokens
	output        float64 // tokens
	hasFirstToken bool
	hung          bool
}

// fakeEngine prefills prompts by priority, decodes all other sequences at
// the same time, and counts what it was told to run.
type fakeEngine struct {
	total         int64
	have          wire.Assignment
	fence         uint64
	checkFence    bool // refuse loads with an old fencing number
	seqs          []*fakeSequence
	handles       map[string]int64 // exported KV caches and their tokens
	loading       *engine.Load
	loadEnd       time.Duration
	submits       map[engine.SequenceID]int // number of accepted submits
	loads         []string                  // models loaded, in order
	dead          bool
	paused        bool
	ignoreCancels bool
	tokenRatio    float64 // counted prompt tokens over those submitted
	prefillRate   float64
}

func newFakeEngine() *fakeEngine {
	return &fakeEngine{
		total:       fakeCapacity,
		have:        wire.Assignment{Model: fakeModelName, Role: wire.RoleServe},
		checkFence:  true,
		handles:     map[string]int64{},
		submits:     map[engine.SequenceID]int{},
		tokenRatio:  1,
		prefillRate: fakePrefillRate,
	}
}

func (e *fakeEngine) held() int64 {
	var n int64
	for _, s := range e.seqs {
		n += s.submit.PromptTokens + int64(s.output)
	}
	for _, tokens := range e.handles {
		n += tokens
	}
	return n
}

func (e *fakeEngine) state() engine.State {
	s := engine.State{Capacity: e.total, HeldTokens: e.held(), Have: e.have, Loading: e.loading != nil, PrefillRate: e.prefillRate, DecodeRate: fakeDecodeRate}
	for _, q := range e.seqs {
		s.Held = append(s.Held, engine.Held{ID: q.submit.ID, Tokens: q.submit.PromptTokens + int64(q.output), Output: int64(q.output)})
	}
	sort.Slice(s.Held, func(i, j int) bool { return s.Held[i].ID < s.Held[j].ID })
	names := make([]string, 0, len(e.handles))
	for h := range e.handles {
		names = append(names, h)
	}
	sort.Strings(names)
	for _, h := range names {
		s.Held = append(s.Held, engine.Held{Handle: h, Tokens: e.handles[h]})
	}
	return s
}

func (e *fakeEngine) command(now time.Duration, cmd engine.Command) []engine.Event {
	switch {
	case e.dead:
		return nil
	case cmd.Submit != nil:
		return e.submit(*cmd.Submit)
	case cmd.Cancel != nil && !e.ignoreCancels:
		return e.cancel(*cmd.Cancel)
	case cmd.Drop != nil:
		delete(e.handles, *cmd.Drop)
	case cmd.Query:
		s := e.state()
		return []engine.Event{{State: &s}}
	case cmd.Load != nil:
		return e.load(now, *cmd.Load)
	}
	return nil
}

func (e *fakeEngine) submit(s engine.Submit) []engine.Event {
	fail := func(r engine.FailReason) []engine.Event {
		return []engine.Event{{Failed: &engine.Failed{ID: s.ID, Reason: r, Rejected: true}}}
	}
	if s.Model != e.have.Model || e.loading != nil {
		return fail(engine.FailModel)
	}
	if e.held()+s.PromptTokens > e.total {
		return fail(engine.FailMemory)
	}
	e.submits[s.ID]++
	e.seqs = append(e.seqs, &fakeSequence{submit: s, prefillLeft: float64(s.PromptTokens) * e.tokenRatio})
	return []engine.Event{{Accepted: &engine.Accepted{ID: s.ID}}}
}

func (e *fakeEngine) cancel(id engine.SequenceID) []engine.Event {
	for i, s := range e.seqs {
		if s.submit.ID == id {
			e.seqs = append(e.seqs[:i], e.seqs[i+1:]...)
			return []engine.Event{{Failed: &engine.Failed{ID: id, Reason: engine.FailCancelled}}}
		}
	}
	return nil
}

func (e *fakeEngine) load(now time.Duration, l engine.Load) []engine.Event {
	if e.checkFence && l.Fence < e.fence {
		return []engine.Event{{Loaded: &engine.Loaded{OrderID: l.OrderID, Stale: true, Have: e.have}}}
	}
	e.fence = max(e.fence, l.Fence)
	var out []engine.Event
	for len(e.seqs) > 0 {
		out = append(out, engine.Event{Failed: &engine.Failed{ID: e.seqs[0].submit.ID, Reason: engine.FailModel}})
		e.seqs = e.seqs[1:]
	}
	e.loading = &l
	e.loadEnd = now + fakeLoadTime
	return out
}

// advance runs the engine for one fakeStep.
func (e *fakeEngine) advance(now time.Duration) []engine.Event {
	if e.dead || e.paused {
		return nil
	}
	var out []engine.Event
	if e.loading != nil && now >= e.loadEnd {
		e.have = e.loading.Want
		e.loads = append(e.loads, e.have.Model)
		out = append(out, engine.Event{Loaded: &engine.Loaded{OrderID: e.loading.OrderID, OK: true, Have: e.have}})
		e.loading = nil
	}
	budget := e.prefillRate * fakeStep.Seconds()
	order := append([]*fakeSequence(nil), e.seqs...)
	sort.SliceStable(order, func(i, j int) bool { return order[i].submit.Priority > order[j].submit.Priority })
	for i, s := range order {
		if s.hung {
			continue
		}
		if s.prefillLeft <= 0 {
			out = append(out, e.decode(s)...)
			continue
		}
		part := min(s.prefillLeft, budget/float64(samePriorityPrefills(order[i:])))
		s.prefillLeft -= part
		budget -= part
	}
	return out
}

// samePriorityPrefills counts the prompts in prefill that have the priority
// of the first one, including it.
func samePriorityPrefills(order []*fakeSequence) int {
	n := 0
	for _, s := range order {
		if s.submit.Priority == order[0].submit.Priority && s.prefillLeft > 0 && !s.hung {
			n++
		}
	}
	return n
}

func (e *fakeEngine) decode(s *fakeSequence) []engine.Event {
	var out []engine.Event
	prompt := int64(float64(s.submit.PromptTokens) * e.tokenRatio)
	if !s.hasFirstToken {
		s.hasFirstToken = true
		out = append(out, engine.Event{First: &engine.First{ID: s.submit.ID, PromptTokens: prompt}})
	}
	s.output += fakeDecodeRate * fakeStep.Seconds()
	out = append(out, engine.Event{Progress: &engine.Progress{ID: s.submit.ID, Output: int64(s.output)}})
	if s.output < float64(s.submit.MaxOutput) && !s.submit.Export {
		return out
	}
	e.cancel(s.submit.ID)
	done := engine.Finished{ID: s.submit.ID, PromptTokens: prompt, Output: int64(s.output)}
	if s.submit.Export {
		done.Handle = "kv-" + string(s.submit.ID)
		e.handles[done.Handle] = prompt
	}
	return append(out, engine.Event{Finished: &done})
}

// fakeCall is one call in progress at the fake plain service.
type fakeCall struct {
	attempt wire.AttemptID
	endsAt  time.Duration
}

// harness joins one core with a fake engine or service on a virtual clock,
// and records the messages to each entry.
type harness struct {
	core     *Core
	cfg      Config
	now      time.Duration
	eng      *fakeEngine
	calls    []fakeCall
	callRuns map[wire.AttemptID]int // starts of the service call
	inbox    []Input
	paused   bool
	drained  bool

	received       map[wire.AttemptID][]string // messages about the attempt, as text
	notRun         map[wire.AttemptID]bool     // reported as not run
	startedAt      map[wire.AttemptID]time.Duration
	firstTokenAt   map[wire.AttemptID]time.Duration
	outcomeAt      map[wire.AttemptID]time.Duration
	lastReports    map[wire.NodeID]wire.Report
	hellos         map[wire.NodeID]wire.Hello
	orderResults   map[uint64]wire.OrderStatus
	reserveGranted map[wire.AttemptID]bool
	sent           map[wire.NodeID][]wire.ToEntry
	handles        map[wire.AttemptID]string
}

// failer is the method of testing.TB and rapid.T that harness needs.
type failer interface{ Fatal(args ...any) }

func newHarness(tb failer, cfg Config) *harness {
	if cfg.Endpoint == "" {
		cfg.Endpoint = "luthier-01"
	}
	if cfg.Kind == 0 {
		cfg.Kind = wire.KindEngine
	}
	if cfg.Incarnation == 0 {
		cfg.Incarnation = 1
	}
	h := &harness{cfg: cfg, eng: newFakeEngine(), callRuns: map[wire.AttemptID]int{}, notRun: map[wire.AttemptID]bool{}}
	h.resetRecords()
	h.restart(tb)
	return h
}

func (h *harness) resetRecords() {
	h.received = map[wire.AttemptID][]string{}
	h.startedAt = map[wire.AttemptID]time.Duration{}
	h.firstTokenAt = map[wire.AttemptID]time.Duration{}
	h.outcomeAt = map[wire.AttemptID]time.Duration{}
	h.lastReports = map[wire.NodeID]wire.Report{}
	h.hellos = map[wire.NodeID]wire.Hello{}
	h.orderResults = map[uint64]wire.OrderStatus{}
	h.reserveGranted = map[wire.AttemptID]bool{}
	h.sent = map[wire.NodeID][]wire.ToEntry{}
	h.handles = map[wire.AttemptID]string{}
}

// restart replaces the agent while the engine keeps its state.
func (h *harness) restart(tb failer) {
	core, err := New(h.cfg)
	if err != nil {
		tb.Fatal(err)
	}
	h.core = core
	h.inbox = nil
	h.calls = nil
	if h.cfg.Kind == wire.KindEngine && !h.eng.dead {
		s := h.eng.state()
		h.input(Input{EngineUp: &EngineUp{State: s}})
	}
	h.tick()
}

func (h *harness) input(in Input) { h.inbox = append(h.inbox, in) }

func (h *harness) fromEntry(entry wire.NodeID, msg wire.ToAgent) {
	h.input(Input{FromEntry: &FromEntry{Entry: entry, Msg: msg}})
}

// tick runs the core until its commands cause no further inputs.
func (h *harness) tick() {
	if h.paused {
		return
	}
	for {
		in := h.inbox
		h.inbox = nil
		for _, o := range h.core.Tick(h.now, in) {
			h.apply(o)
		}
		h.core.audit()
		if len(h.inbox) == 0 {
			return
		}
	}
}

func (h *harness) apply(o Output) {
	switch {
	case o.ToEntry != nil:
		h.record(o.ToEntry.Entry, o.ToEntry.Msg)
	case o.Engine != nil:
		for _, ev := range h.eng.command(h.now, o.Engine.Command) {
			h.engineEvent(ev)
		}
	case o.Service != nil:
		h.callRuns[o.Service.Attempt]++
		h.calls = append(h.calls, fakeCall{attempt: o.Service.Attempt, endsAt: h.now + fakeCallTime})
	case o.Drop != nil:
		h.stopCall(o.Drop.Attempt)
	case o.Drained:
		h.drained = true
	}
}

func (h *harness) engineEvent(ev engine.Event) {
	if ev.First != nil {
		if id, ok := ParseSequenceID(ev.First.ID); ok {
			h.firstTokenAt[id] = h.now
		}
	}
	h.input(Input{Engine: &ev})
}

func (h *harness) stopCall(id wire.AttemptID) {
	for i := range h.calls {
		if h.calls[i].attempt == id {
			h.calls = append(h.calls[:i], h.calls[i+1:]...)
			h.input(Input{ServiceDone: &ServiceDone{Attempt: id, RequestSent: true}})
			return
		}
	}
}

func (h *harness) record(entry wire.NodeID, msg wire.ToEntry) {
	h.sent[entry] = append(h.sent[entry], msg)
	note := func(id wire.AttemptID, text string, final bool) {
		h.received[id] = append(h.received[id], text)
		if final {
			h.outcomeAt[id] = h.now
		}
	}
	switch {
	case msg.Hello != nil:
		h.hellos[entry] = *msg.Hello
	case msg.Report != nil:
		h.lastReports[entry] = *msg.Report
	case msg.Started != nil:
		h.startedAt[msg.Started.Attempt] = h.now
		note(msg.Started.Attempt, "started", false)
	case msg.Refused != nil:
		note(msg.Refused.Attempt, "refused "+msg.Refused.Reason.String(), true)
		if msg.Refused.Reason != wire.RefuseDuplicate {
			h.notRun[msg.Refused.Attempt] = true
		}
	case msg.Finished != nil:
		h.handles[msg.Finished.Attempt] = msg.Finished.KVHandle
		note(msg.Finished.Attempt, "finished", true)
	case msg.Failed != nil:
		text := "failed " + msg.Failed.Reason.String()
		if msg.Failed.Rejected {
			text += " rejected"
		}
		note(msg.Failed.Attempt, text, true)
	case msg.Cancelled != nil:
		text := "cancelled"
		if msg.Cancelled.NotRun {
			text += " not-run"
			h.notRun[msg.Cancelled.Attempt] = true
		}
		note(msg.Cancelled.Attempt, text, true)
	case msg.Reserved != nil:
		h.reserveGranted[msg.Reserved.Attempt] = msg.Reserved.Granted
	case msg.OrderResult != nil:
		h.orderResults[msg.OrderResult.ID] = msg.OrderResult.Status
	}
}

// run advances the clock by d.
func (h *harness) run(d time.Duration) {
	end := h.now + d
	h.tick()
	for h.now < end {
		next := h.now + fakeStep
		if h.idle() {
			next = max(next, min(h.core.Next(), end))
		}
		h.now = min(next, end)
		for _, ev := range h.eng.advance(h.now) {
			h.engineEvent(ev)
		}
		h.endCalls()
		if len(h.inbox) > 0 || h.core.Next() <= h.now {
			h.tick()
		}
	}
}

func (h *harness) idle() bool {
	return len(h.eng.seqs) == 0 && h.eng.loading == nil && len(h.calls) == 0
}

func (h *harness) endCalls() {
	kept := h.calls[:0]
	for _, call := range h.calls {
		if call.endsAt > h.now {
			kept = append(kept, call)
			continue
		}
		h.input(Input{ServiceDone: &ServiceDone{Attempt: call.attempt, RequestSent: true, AnswerComplete: true}})
	}
	h.calls = kept
}

// checkRuns checks what the agent guarantees by itself: an attempt reported
// as not run did not run, and nothing ran twice.
func (h *harness) checkRuns() error {
	for id := range h.notRun {
		if h.eng.submits[engine.SequenceID(id.String())]+h.callRuns[id] > 0 {
			return fmt.Errorf("attempt %v ran and was reported as not run: %v", id, h.received[id])
		}
	}
	for id, n := range h.eng.submits {
		if n > 1 {
			return fmt.Errorf("sequence %v ran %d times", id, n)
		}
	}
	for id, n := range h.callRuns {
		if n > 1 {
			return fmt.Errorf("call %v ran %d times", id, n)
		}
	}
	return nil
}

func dispatch(entry wire.NodeID, seq uint64, account wire.AccountID, prompt, output int64) wire.Dispatch {
	return wire.Dispatch{
		Attempt:      wire.AttemptID{Entry: entry, Incarnation: 1, Sequence: seq},
		RequestID:    fmt.Sprintf("r%d", seq),
		Account:      account,
		Weight:       1,
		Kind:         wire.KindEngine,
		Model:        fakeModelName,
		PromptTokens: prompt,
		MaxOutput:    output,
		TimeLeft:     time.Minute,
		StartBy:      20 * time.Second,
		Idempotent:   true,
	}
}
