package entry

import (
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// silences are the ways in which an agent may fall silent about an attempt that goes on. Each
// leaves the agent silent, or its stream down, for longer than the attempt may be unknown.
var silences = []struct {
	name   string
	silent func(b *bench, at wire.EndpointID, d wire.Dispatch)
	back   func(b *bench, at wire.EndpointID, d wire.Dispatch)
}{
	{
		"nothing about the start",
		func(b *bench, at wire.EndpointID, d wire.Dispatch) {
			b.advance(d.StartBy + startGrace)
			b.advance(time.Second)
		},
		func(b *bench, at wire.EndpointID, d wire.Dispatch) {
			b.from(at, wire.ToEntry{Started: &wire.Started{Attempt: d.Attempt}})
		},
	},
	{
		"stream down after the start",
		func(b *bench, at wire.EndpointID, d wire.Dispatch) {
			b.from(at, wire.ToEntry{Started: &wire.Started{Attempt: d.Attempt}})
			b.tick(Input{AgentDown: &AgentDown{Endpoint: at, Incarnation: 1}})
			b.advance(DefaultStreamGrace + 100*time.Millisecond)
			b.advance(time.Second)
		},
		func(b *bench, at wire.EndpointID, d wire.Dispatch) {
			b.tick(Input{AgentUp: &AgentUp{Hello: wire.Hello{
				Endpoint: at, FailureDomain: "fd-a", Incarnation: 1, Kind: wire.KindEngine, Capacity: 400_000,
				Have: wire.Assignment{Model: "m"}, RunningAttempts: []wire.AttemptID{d.Attempt},
			}}})
		},
	},
}

// TestSilentAgentDoesNotEndARequestWithoutReplacement checks that an attempt whose agent is only
// silent goes on if the retry budget is spent or no other endpoint is there, and that it then
// takes nothing from the budget.
func TestSilentAgentDoesNotEndARequestWithoutReplacement(t *testing.T) {
	for _, test := range []struct {
		name      string
		endpoints []wire.EndpointID
		budget    float64
	}{
		{"budget spent", []wire.EndpointID{"e1", "e2"}, 0},
		{"no other endpoint", []wire.EndpointID{"e1"}, 1},
	} {
		for _, s := range silences {
			t.Run(test.name+", "+s.name, func(t *testing.T) {
				b := newBench(t, nil)
				for _, id := range test.endpoints {
					b.engineUp(id)
				}
				b.request(1, 1000)
				b.core.retryBudget.available = test.budget
				at, d := b.dispatched()
				s.silent(b, at, d)
				if b.core.InFlight() == 0 {
					t.Fatalf("answered while the attempt may go on: %+v", b.core.counts)
				}
				s.back(b, at, d)
				b.advance(2 * time.Second)
				if left := b.core.retryBudget.available; left != test.budget {
					t.Errorf("%v retries left in the budget, want %v", left, test.budget)
				}
				if a := b.core.attemptOf(d.Attempt); a == nil || a.abandoned || a.orphaned {
					t.Errorf("attempt %+v, want the current one of the request", a)
				}
				b.tick(Input{StreamProgress: &StreamProgress{ID: 1, Attempt: d.Attempt, Event: StreamDone, Delivered: 5, Total: wire.FrameTotal{OutputTokens: 5}}})
				b.wantAnswer(Answer{ID: 1, Outcome: wire.OutcomeCompleted})
			})
		}
	}
}

// TestReplacementOfSilentAgentIsPaidOnce checks that an attempt whose agent is silent is given up
// for another endpoint, as soon as there is one, and takes one retry from the budget.
func TestReplacementOfSilentAgentIsPaidOnce(t *testing.T) {
	for _, s := range silences {
		t.Run(s.name, func(t *testing.T) {
			b := newBench(t, nil)
			b.engineUp("e1")
			b.request(1, 1000)
			b.core.retryBudget.available = 1
			first, d := b.dispatched()
			s.silent(b, first, d)
			b.engineUp("e2")
			for range 10 {
				if b.advance(100 * time.Millisecond); b.core.counts.Dispatched == 2 {
					break
				}
			}
			if second, _ := b.dispatched(); second != "e2" {
				t.Errorf("retried at %s, want e2", second)
			}
			if left := b.core.retryBudget.available; left != 0 {
				t.Errorf("%v retries left in the budget, want none", left)
			}
		})
	}
}

// TestLostAttemptIsNotWaitedFor checks that an attempt that its agent no longer has is given up
// without a replacement.
func TestLostAttemptIsNotWaitedFor(t *testing.T) {
	for name, incarnation := range map[string]wire.Incarnation{"restarted": 2, "does not list it": 1} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, nil)
			b.engineUp("e1")
			b.request(1, 1000)
			b.core.retryBudget.available = 0
			at, d := b.dispatched()
			b.from(at, wire.ToEntry{Started: &wire.Started{Attempt: d.Attempt}})
			b.tick(Input{AgentDown: &AgentDown{Endpoint: at, Incarnation: 1}})
			b.advance(DefaultStreamGrace + 100*time.Millisecond)
			b.tick(Input{AgentUp: &AgentUp{Hello: wire.Hello{
				Endpoint: at, FailureDomain: "fd-a", Incarnation: incarnation, Kind: wire.KindEngine, Capacity: 400_000, Have: wire.Assignment{Model: "m"},
			}}})
			b.advance(DefaultStreamGrace)
			if b.core.InFlight() != 0 || b.core.counts.Unknown != 1 {
				t.Errorf("%d requests in flight, %d of unknown outcome, want none and one", b.core.InFlight(), b.core.counts.Unknown)
			}
		})
	}
}
