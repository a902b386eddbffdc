package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/limits"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// bench drives a Core with explicit inputs and times, and keeps the outputs of
// the last tick.
type bench struct {
	t    *testing.T
	core *Core
	now  time.Duration
	last []Output
}

func newBench(t *testing.T, change func(*Config)) *bench {
	t.Helper()
	cfg := Config{Self: "entry-1", Incarnation: 1, FailureDomain: "fd-a", Rand: rand.New(rand.NewPCG(1, 2)), NoStore: true}
	if change != nil {
		change(&cfg)
	}
	core, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{t: t, core: core}
	b.tick(Input{LocalDeclarations: testDeclarations()})
	b.advance(limits.DefaultListLag + time.Second)
	return b
}

// testDeclarations returns a snapshot with account shop, model m and service
// orders.
func testDeclarations() *declaration.Snapshot {
	acc := declaration.Account{
		ID: "shop", Weight: 1, Limits: declaration.Limits{RequestsPerSecond: 1e6, TokensPerSecond: 1e9, BurstSeconds: 10, Concurrency: 1_000_000},
		MaxOutputTokens: 1000, ServiceDeadline: 5 * time.Second,
		Deadlines: [wire.BandCount]time.Duration{10 * time.Second, 20 * time.Second, 60 * time.Second, 120 * time.Second},
		Models:    map[string]*declaration.ModelGrant{"m": {Model: "m"}},
		Services:  map[string]*declaration.ServiceGrant{"orders": {Service: "orders"}},
	}
	return declaration.NewSnapshot(1, []declaration.Account{acc},
		[]declaration.Model{{Name: "m", MaxGroups: 2}},
		[]declaration.Service{{Name: "orders", IdempotentMethods: []string{"GET"}}}, nil)
}

func (b *bench) tick(in ...Input) {
	b.t.Helper()
	b.last = append([]Output{}, b.core.Tick(b.now, in)...)
}

func (b *bench) advance(d time.Duration, in ...Input) {
	b.now += d
	b.tick(in...)
}

func (b *bench) engineUp(id wire.EndpointID) {
	b.tick(Input{AgentUp: &AgentUp{Hello: wire.Hello{
		Endpoint: id, FailureDomain: "fd-a", Incarnation: 1, Kind: wire.KindEngine, Capacity: 400_000, Have: wire.Assignment{Model: "m"},
	}}})
	b.from(id, wire.ToEntry{Report: &wire.Report{Sequence: 1, Have: wire.Assignment{Model: "m"}, FreeTokens: 400_000}})
}

func (b *bench) serviceUp(id wire.EndpointID) {
	b.tick(Input{AgentUp: &AgentUp{Hello: wire.Hello{Endpoint: id, FailureDomain: "fd-a", Incarnation: 1, Kind: wire.KindService, Service: "orders"}}})
	b.from(id, wire.ToEntry{Report: &wire.Report{Sequence: 1}})
}

func (b *bench) from(id wire.EndpointID, m wire.ToEntry) {
	b.tick(Input{FromAgent: &FromAgent{Endpoint: id, Msg: m}})
}

func (b *bench) request(id RequestID, tokens int64) {
	b.tick(Input{Request: &Request{ID: id, ExternalID: "r", Account: "shop", Kind: wire.KindEngine, Model: "m", PromptTokens: tokens, MaxOutput: 100}})
}

func (b *bench) call(id RequestID) {
	b.tick(Input{Request: &Request{ID: id, Account: "shop", Kind: wire.KindService, Call: &wire.ServiceCall{Service: "orders", Method: "POST"}}})
}

// dispatched returns the first dispatch of the last tick.
func (b *bench) dispatched() (wire.EndpointID, wire.Dispatch) {
	b.t.Helper()
	for _, o := range b.last {
		if o.ToAgent != nil && o.ToAgent.Msg.Dispatch != nil {
			return o.ToAgent.Endpoint, *o.ToAgent.Msg.Dispatch
		}
	}
	b.t.Fatal("nothing was dispatched")
	return "", wire.Dispatch{}
}

// answer returns the first answer of the last tick, or nil.
func (b *bench) answer() *Answer {
	for _, o := range b.last {
		if o.Answer != nil {
			return o.Answer
		}
	}
	return nil
}

// wantAnswer compares ID, Outcome and Code of the answer.
func (b *bench) wantAnswer(want Answer) {
	b.t.Helper()
	got := b.answer()
	if got == nil {
		b.t.Fatal("no answer")
	}
	brief := Answer{ID: got.ID, Outcome: got.Outcome, Code: got.Code}
	if diff := cmp.Diff(want, brief); diff != "" {
		b.t.Fatalf("answer differs (-want +got):\n%s\n%s", diff, got.Detail)
	}
}

func TestRequestCompletes(t *testing.T) {
	b := newBench(t, nil)
	b.engineUp("e1")
	b.request(1, 1000)
	at, d := b.dispatched()
	b.from(at, wire.ToEntry{Started: &wire.Started{Attempt: d.Attempt}})
	b.from(at, wire.ToEntry{Finished: &wire.Finished{Attempt: d.Attempt, OutputTokens: 5}})
	if a := b.answer(); a != nil {
		t.Fatalf("answered %v before the whole answer was assembled", a)
	}
	b.tick(Input{StreamProgress: &StreamProgress{ID: 1, Attempt: d.Attempt, Event: StreamDone, Delivered: 5, Total: wire.FrameTotal{OutputTokens: 5}}})
	b.wantAnswer(Answer{ID: 1, Outcome: wire.OutcomeCompleted})
	if n := b.core.InFlight(); n != 0 {
		t.Fatalf("%d requests left", n)
	}
}

func TestRefusedRequestGoesToTheNextEndpoint(t *testing.T) {
	b := newBench(t, nil)
	b.engineUp("e1")
	b.engineUp("e2")
	b.request(1, 1000)
	first, d := b.dispatched()
	b.from(first, wire.ToEntry{Refused: &wire.Refused{Attempt: d.Attempt, Reason: wire.RefuseNoCapacity, RetryAfter: time.Second}})
	second, _ := b.dispatched()
	if second == first {
		t.Fatalf("retried at %s, which had refused", first)
	}
}

func TestUnstartedRequestIsNotRunOnlyWithProof(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer bool
		want   wire.Outcome
	}{{"agent confirms", true, wire.OutcomeNotRun}, {"agent is silent", false, wire.OutcomeUnknown}} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, nil)
			b.engineUp("e1")
			b.request(1, 1000)
			at, d := b.dispatched()
			b.advance(d.StartBy + startGrace)
			b.advance(d.TimeLeft - d.StartBy - startGrace - DefaultSettleMargin - 100*time.Millisecond)
			for range 2 { // the agent is asked for proof between the two
				b.advance(100 * time.Millisecond)
				if a := b.answer(); a != nil {
					t.Fatalf("answered %+v before the agent had time to send proof", a)
				}
			}
			if c.answer {
				b.from(at, wire.ToEntry{Cancelled: &wire.Cancelled{Attempt: d.Attempt, NotRun: true}})
			} else {
				b.tick(Input{AgentDown: &AgentDown{Endpoint: at, Incarnation: 1}})
				b.advance(DefaultSettleMargin)
			}
			b.wantAnswer(Answer{ID: 1, Outcome: c.want, Code: CodeDeadline})
		})
	}
}

func TestLostEndpointResumesAfterDeliveredTokens(t *testing.T) {
	b := newBench(t, nil)
	b.engineUp("e1")
	b.engineUp("e2")
	b.request(1, 1000)
	first, d := b.dispatched()
	b.from(first, wire.ToEntry{Started: &wire.Started{Attempt: d.Attempt}})
	b.tick(Input{StreamProgress: &StreamProgress{ID: 1, Attempt: d.Attempt, Event: StreamFirst, Delivered: 7}})
	b.from(first, wire.ToEntry{Failed: &wire.Failed{Attempt: d.Attempt, Reason: wire.FailEndpointLost}})
	b.advance(time.Second)
	second, retry := b.dispatched()
	if second == first || retry.ResumeFrom != 7 {
		t.Fatalf("retried at %s from token %d, want another endpoint than %s and token 7", second, retry.ResumeFrom, first)
	}
}

// TestRequestIsNotCarriedOverEngineAfterEngineThatItCrashes checks that a request is not retried for
// as long as its deadline allows when each engine that begins to run it is lost.
func TestRequestIsNotCarriedOverEngineAfterEngineThatItCrashes(t *testing.T) {
	b := newBench(t, nil)
	for i := range 8 {
		b.engineUp(wire.EndpointID(fmt.Sprintf("e%d", i)))
	}
	b.request(1, 1000)
	for lost := 1; lost <= 8; lost++ {
		at, d := b.dispatched()
		b.from(at, wire.ToEntry{Started: &wire.Started{Attempt: d.Attempt}})
		b.from(at, wire.ToEntry{Failed: &wire.Failed{Attempt: d.Attempt, Reason: wire.FailEndpointLost}})
		if a := b.answer(); a != nil {
			if lost != 3 || a.Code != CodeEndpointLost {
				t.Errorf("answered %+v after %d lost engines, want %v after 3", a, lost, CodeEndpointLost)
			}
			return
		}
		b.advance(2 * time.Second)
	}
	t.Error("not answered after 8 lost engines")
}

func TestCallThatIsNotIdempotentIsRetriedOnlyIfItHasNotRun(t *testing.T) {
	b := newBench(t, nil)
	b.serviceUp("s1")
	b.serviceUp("s2")
	b.call(1)
	at, d := b.dispatched()
	b.from(at, wire.ToEntry{Failed: &wire.Failed{Attempt: d.Attempt, Reason: wire.FailEndpointLost}})
	b.wantAnswer(Answer{ID: 1, Outcome: wire.OutcomeUnknown, Code: CodeOutcomeUnknown})

	b.call(2)
	at, d = b.dispatched()
	b.from(at, wire.ToEntry{Failed: &wire.Failed{Attempt: d.Attempt, Reason: wire.FailEndpointLost, Rejected: true}})
	b.advance(time.Second)
	if _, again := b.dispatched(); again.Attempt == d.Attempt {
		t.Fatal("the same attempt was sent twice")
	}
}

func TestReturningAgentKeepsItsAttempts(t *testing.T) {
	b := newBench(t, nil)
	b.serviceUp("s1")
	b.call(1)
	_, d := b.dispatched()
	b.tick(Input{AgentDown: &AgentDown{Endpoint: "s1", Incarnation: 1}})
	b.advance(300 * time.Millisecond)
	b.tick(Input{AgentUp: &AgentUp{Hello: wire.Hello{Endpoint: "s1", Incarnation: 1, Kind: wire.KindService, Service: "orders", RunningAttempts: []wire.AttemptID{d.Attempt}}}})
	b.advance(time.Second)
	if a := b.answer(); a != nil {
		t.Fatalf("answered %v although the attempt still runs", a)
	}
	b.tick(Input{StreamProgress: &StreamProgress{ID: 1, Attempt: d.Attempt, Event: StreamDone}})
	b.wantAnswer(Answer{ID: 1, Outcome: wire.OutcomeCompleted})
}

func TestLongPromptRunsOnAGroup(t *testing.T) {
	b := newBench(t, nil)
	for _, id := range []wire.EndpointID{"e3", "e1", "e2"} {
		b.engineUp(id)
	}
	b.request(1, 900_000)
	var asked []wire.EndpointID
	for {
		at, res, ok := b.reservation()
		if !ok {
			break
		}
		asked = append(asked, at)
		b.from(at, wire.ToEntry{Reserved: &wire.Reserved{Attempt: res.Attempt, Granted: true}})
	}
	if diff := cmp.Diff([]wire.EndpointID{"e1", "e2", "e3"}, asked); diff != "" {
		t.Fatalf("reservations differ (-want +got):\n%s", diff)
	}
	for i := range 2 {
		at, d := b.dispatched()
		if d.Slice.Index != i || len(d.Slice.Imports) != i {
			t.Fatalf("slice %+v, want index %d and as many imports", d.Slice, i)
		}
		b.from(at, wire.ToEntry{Finished: &wire.Finished{Attempt: d.Attempt, KVHandle: string(at), PromptTokens: 300_000}})
	}
	at, d := b.dispatched()
	if counted := b.core.requests.Get(1).group.countedPromptTokens; counted != 600_000 {
		t.Fatalf("counted %d prompt tokens of two slices, want 600000", counted)
	}
	if at != "e3" || d.Slice.Count != 3 {
		t.Fatalf("last slice %+v at %s, want one of 3 slices at e3", d.Slice, at)
	}
	b.from("e1", wire.ToEntry{Failed: &wire.Failed{Attempt: d.Attempt, Reason: wire.FailLease}})
	released := 0
	for _, o := range b.last {
		if o.ToAgent != nil && o.ToAgent.Msg.Cancel != nil {
			released++
		}
	}
	if released != 3 {
		t.Fatalf("%d reservations released, want 3", released)
	}
}

// reservation returns the first reservation request of the last tick.
func (b *bench) reservation() (wire.EndpointID, wire.Reserve, bool) {
	for _, o := range b.last {
		if o.ToAgent != nil && o.ToAgent.Msg.Reserve != nil {
			return o.ToAgent.Endpoint, *o.ToAgent.Msg.Reserve, true
		}
	}
	return "", wire.Reserve{}, false
}

func TestOverloadIsRefusedAtOnce(t *testing.T) {
	b := newBench(t, nil)
	b.engineUp("e1")
	b.from("e1", wire.ToEntry{Report: &wire.Report{
		Sequence: 2, Have: wire.Assignment{Model: "m"}, FreeTokens: 400_000, PrefillRate: 1000,
		QueueTokens: [wire.BandCount]int64{50_000, 0, 0, 0},
	}})
	b.request(1, 1000)
	b.wantAnswer(Answer{ID: 1, Outcome: wire.OutcomeNotRun, Code: CodeOverloaded})
	if b.answer().RetryAfter < 30*time.Second {
		t.Fatalf("retry after %s, want at least 30s, since the queue takes 50s", b.answer().RetryAfter)
	}
}

func TestShutdownWaitsForWorkInFlight(t *testing.T) {
	b := newBench(t, nil)
	b.engineUp("e1")
	b.request(1, 1000)
	_, d := b.dispatched()
	b.tick(Input{Shutdown: &Shutdown{}})
	if ok, _ := b.core.Ready(); ok {
		t.Fatal("still ready")
	}
	b.advance(6 * time.Second)
	b.tick(Input{StreamProgress: &StreamProgress{ID: 1, Attempt: d.Attempt, Event: StreamDone}})
	b.wantAnswer(Answer{ID: 1, Outcome: wire.OutcomeCompleted})
	drained := false
	for _, o := range b.last {
		drained = drained || o.Drained
	}
	if !drained {
		t.Fatal("not drained")
	}
}

func TestUnresponsiveAgentIsGivenUp(t *testing.T) {
	b := newBench(t, nil)
	b.engineUp("e1")
	b.engineUp("e2")
	b.request(1, 1000)
	first, d := b.dispatched()
	b.advance(d.StartBy + startGrace)
	b.advance(time.Second)
	second, _ := b.dispatched()
	if second == first {
		t.Fatalf("retried at %s, whose agent had sent nothing", first)
	}
}

func TestAttemptAtEndpointWithoutReportsIsRetriedElsewhere(t *testing.T) {
	b := newBench(t, nil)
	b.engineUp("e1")
	b.engineUp("e2")
	b.request(1, 50_000)
	first, d := b.dispatched()
	b.from(first, wire.ToEntry{Started: &wire.Started{Attempt: d.Attempt}})
	second := wire.EndpointID("e1")
	if first == "e1" {
		second = "e2"
	}
	b.advance(minReportTimeout - time.Second)
	b.from(second, wire.ToEntry{Report: &wire.Report{Sequence: 2, Have: wire.Assignment{Model: "m"}, FreeTokens: 400_000}})
	b.advance(time.Second)
	b.advance(time.Second)
	if at, _ := b.dispatched(); at != second {
		t.Fatalf("retried at %s, want %s", at, second)
	}
}

func TestAttemptThatCannotStartInTimeIsCancelledBeforeTheDeadline(t *testing.T) {
	b := newBench(t, nil)
	b.serviceUp("s1")
	b.call(1)
	at, d := b.dispatched()
	b.advance(5*time.Second - DefaultSettleMargin)
	b.from(at, wire.ToEntry{Cancelled: &wire.Cancelled{Attempt: d.Attempt, NotRun: true}})
	b.wantAnswer(Answer{ID: 1, Outcome: wire.OutcomeNotRun, Code: CodeDeadline})
}
