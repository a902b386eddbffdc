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
	fakeCapacity    = 500_000 // KV cache tokens
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
	e.loadEnd = now + 500*time.Millisecond
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
	w := &harness{cfg: cfg, eng: newFakeEngine(), callRuns: map[wire.AttemptID]int{}, notRun: map[wire.AttemptID]bool{}}
	w.resetRecords()
	w.restart(tb)
	return w
}

func (w *harness) resetRecords() {
	w.received = map[wire.AttemptID][]string{}
	w.startedAt = map[wire.AttemptID]time.Duration{}
	w.firstTokenAt = map[wire.AttemptID]time.Duration{}
	w.outcomeAt = map[wire.AttemptID]time.Duration{}
	w.lastReports = map[wire.NodeID]wire.Report{}
	w.hellos = map[wire.NodeID]wire.Hello{}
	w.orderResults = map[uint64]wire.OrderStatus{}
	w.reserveGranted = map[wire.AttemptID]bool{}
	w.sent = map[wire.NodeID][]wire.ToEntry{}
	w.handles = map[wire.AttemptID]string{}
}

// restart replaces the agent while the engine keeps its state.
func (w *harness) restart(tb failer) {
	core, err := New(w.cfg)
	if err != nil {
		tb.Fatal(err)
	}
	w.core = core
	w.inbox = nil
	w.calls = nil
	if w.cfg.Kind == wire.KindEngine && !w.eng.dead {
		s := w.eng.state()
		w.input(Input{EngineUp: &EngineUp{State: s}})
	}
	w.tick()
}

func (w *harness) input(in Input) { w.inbox = append(w.inbox, in) }

func (w *harness) fromEntry(entry wire.NodeID, msg wire.ToAgent) {
	w.input(Input{FromEntry: &FromEntry{Entry: entry, Msg: msg}})
}

// tick runs the core until its commands cause no further inputs.
func (w *harness) tick() {
	if w.paused {
		return
	}
	for {
		in := w.inbox
		w.inbox = nil
		for _, o := range w.core.Tick(w.now, in) {
			w.apply(o)
		}
		w.core.audit()
		if len(w.inbox) == 0 {
			return
		}
	}
}

func (w *harness) apply(o Output) {
	switch {
	case o.ToEntry != nil:
		w.record(o.ToEntry.Entry, o.ToEntry.Msg)
	case o.Engine != nil:
		for _, ev := range w.eng.command(w.now, o.Engine.Command) {
			w.engineEvent(ev)
		}
	case o.Service != nil:
		w.callRuns[o.Service.Attempt]++
		w.calls = append(w.calls, fakeCall{attempt: o.Service.Attempt, endsAt: w.now + fakeCallTime})
	case o.Drop != nil:
		w.stopCall(o.Drop.Attempt)
	case o.Drained:
		w.drained = true
	}
}

func (w *harness) engineEvent(ev engine.Event) {
	if ev.First != nil {
		if id, ok := ParseSequence(ev.First.ID); ok {
			w.firstTokenAt[id] = w.now
		}
	}
	w.input(Input{Engine: &ev})
}

func (w *harness) stopCall(id wire.AttemptID) {
	for i := range w.calls {
		if w.calls[i].attempt == id {
			w.calls = append(w.calls[:i], w.calls[i+1:]...)
			w.input(Input{ServiceDone: &ServiceDone{Attempt: id, Sent: true}})
			return
		}
	}
}

func (w *harness) record(entry wire.NodeID, msg wire.ToEntry) {
	w.sent[entry] = append(w.sent[entry], msg)
	note := func(id wire.AttemptID, text string, final bool) {
		w.received[id] = append(w.received[id], text)
		if final {
			w.outcomeAt[id] = w.now
		}
	}
	switch {
	case msg.Hello != nil:
		w.hellos[entry] = *msg.Hello
	case msg.Report != nil:
		w.lastReports[entry] = *msg.Report
	case msg.Started != nil:
		w.startedAt[msg.Started.Attempt] = w.now
		note(msg.Started.Attempt, "started", false)
	case msg.Refused != nil:
		note(msg.Refused.Attempt, "refused "+msg.Refused.Reason.String(), true)
		if msg.Refused.Reason != wire.RefuseDuplicate {
			w.notRun[msg.Refused.Attempt] = true
		}
	case msg.Finished != nil:
		w.handles[msg.Finished.Attempt] = msg.Finished.KVHandle
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
			w.notRun[msg.Cancelled.Attempt] = true
		}
		note(msg.Cancelled.Attempt, text, true)
	case msg.Reserved != nil:
		w.reserveGranted[msg.Reserved.Attempt] = msg.Reserved.Granted
	case msg.OrderResult != nil:
		w.orderResults[msg.OrderResult.ID] = msg.OrderResult.Status
	}
}

// run advances the clock by d.
func (w *harness) run(d time.Duration) {
	end := w.now + d
	w.tick()
	for w.now < end {
		next := w.now + fakeStep
		if w.idle() {
			next = max(next, min(w.core.Next(), end))
		}
		w.now = min(next, end)
		for _, ev := range w.eng.advance(w.now) {
			w.engineEvent(ev)
		}
		w.endCalls()
		if len(w.inbox) > 0 || w.core.Next() <= w.now {
			w.tick()
		}
	}
}

func (w *harness) idle() bool {
	return len(w.eng.seqs) == 0 && w.eng.loading == nil && len(w.calls) == 0
}

func (w *harness) endCalls() {
	kept := w.calls[:0]
	for _, call := range w.calls {
		if call.endsAt > w.now {
			kept = append(kept, call)
			continue
		}
		w.input(Input{ServiceDone: &ServiceDone{Attempt: call.attempt, Sent: true, OK: true}})
	}
	w.calls = kept
}

// checkRuns checks what the agent guarantees by itself: an attempt reported
// as not run did not run, and nothing ran twice.
func (w *harness) checkRuns() error {
	for id := range w.notRun {
		if w.eng.submits[engine.SequenceID(id.String())]+w.callRuns[id] > 0 {
			return fmt.Errorf("attempt %v ran and was reported as not run: %v", id, w.received[id])
		}
	}
	for id, n := range w.eng.submits {
		if n > 1 {
			return fmt.Errorf("sequence %v ran %d times", id, n)
		}
	}
	for id, n := range w.callRuns {
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
