package gateway

import (
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/retrybudget"
)

// stallAfterFirstEvent begins a request of a kind, lets it be silent after its first event for
// a time and reports whether the attempt was cancelled.
func stallAfterFirstEvent(t *testing.T, c *Core, kind string, silence time.Duration) bool {
	t.Helper()
	d := dispatchOf(submit(c, time.Second, 1, kind))
	if d == nil {
		t.Fatal("not dispatched")
	}
	c.Tick(time.Second, Input{Sent: &Sent{ID: 1, Attempt: d.Attempt}}, Input{First: &FirstEvent{ID: 1, Attempt: d.Attempt}})
	cancelled := false
	for s := d.GapTimeout; s <= silence; s += silenceRecheck {
		for _, o := range c.Tick(time.Second+s, Input{Stalled: &Stalled{ID: 1, Attempt: d.Attempt, Silence: s}}) {
			cancelled = cancelled || o.Cancel != nil
		}
	}
	return cancelled
}

// TestStalledStreamIsNotGivenUpWithoutReplacement checks that a silent stream keeps its attempt
// if nothing could follow it.
func TestStalledStreamIsNotGivenUpWithoutReplacement(t *testing.T) {
	noBudget := New(Config{Incarnation: 1, Addr: gatewayAddr(0), Retry: retrybudget.Config{Window: 10 * time.Second}, Placement: DefaultPlacement()})
	noBudget.Tick(0, Input{Config: testTable(t)}, Input{Endpoints: testEndpoints(18, 0)})
	if stallAfterFirstEvent(t, noBudget, "short", 3*time.Second) {
		t.Error("a stream was given up without a retry budget")
	}
	alone := newTestCore(t, 0, 1)
	alone.Tick(0, Input{Endpoints: testEndpoints(1, 0)})
	if stallAfterFirstEvent(t, alone, "short", 3*time.Second) {
		t.Error("a stream was given up without another engine")
	}
	ejected := newTestCore(t, 0, 1)
	ejected.Tick(0, Input{Endpoints: testEndpoints(2, 0)})
	for e := range ejected.endpoints.Values() {
		e.health.ejectedUntil = time.Minute
	}
	if stallAfterFirstEvent(t, ejected, "short", 3*time.Second) {
		t.Error("a stream was given up while all other engines are ejected")
	}
	for _, kind := range []string{"short", "medium"} {
		if !stallAfterFirstEvent(t, newTestCore(t, 0, 1), kind, 3*time.Second) {
			t.Errorf("%s: a stream that another engine can resume was not given up in 3 s", kind)
		}
	}
}

// TestReplacementOfSilentAttemptIsPaidOnce checks that a silent attempt takes its retry from the
// budget when it is given up, and not again when it has ended.
func TestReplacementOfSilentAttemptIsPaidOnce(t *testing.T) {
	c := New(Config{
		Incarnation: 1, Addr: gatewayAddr(0), Placement: DefaultPlacement(),
		Retry: retrybudget.Config{FleetRetriesPerWindow: 2, Window: 10 * time.Second}, // one retry is usable
	})
	c.Tick(0, Input{Config: testTable(t)}, Input{Endpoints: testEndpoints(18, 0)})
	if !stallAfterFirstEvent(t, c, "short", 3*time.Second) {
		t.Fatal("the silent attempt was not given up")
	}
	out := c.Tick(4*time.Second, Input{Ended: &AttemptEnded{ID: 1, Attempt: 1, Result: ResultSilent, PartlyDelivered: true, Resumable: true}})
	if d := dispatchOf(out); d == nil || d.Attempt != 2 {
		t.Errorf("outputs %+v, want a second attempt", out)
	}
	if c.service(engineService).budget.TakeRetry(4*time.Second, 1) {
		t.Error("the budget allows a second retry, want the one that was used to be counted")
	}
}

// TestSilenceBlocksReservedMemoryForShort checks that an attempt that is silent inside its
// answer lets the memory at its helpers go in time, also without a replacement.
func TestSilenceBlocksReservedMemoryForShort(t *testing.T) {
	c := New(Config{Incarnation: 1, Addr: gatewayAddr(0), Retry: retrybudget.Config{Window: 10 * time.Second}, Placement: DefaultPlacement()})
	c.Tick(0, Input{Config: testTable(t)}, Input{Endpoints: testEndpoints(18, 0)})
	r := testRoutes()["long"]
	d := dispatchOf(c.Tick(time.Second, Input{Arrive: &Arrival{
		ID: 1, RequestID: "l", Route: r, Service: engineService, PromptTokens: 520_000, MaxOutputTokens: 500, Deadline: time.Second + r.Timeout,
	}}))
	c.Tick(time.Second, Input{Sent: &Sent{ID: 1, Attempt: d.Attempt}}, Input{First: &FirstEvent{ID: 1, Attempt: d.Attempt}})
	cancelled := func(silence time.Duration) bool {
		for _, o := range c.Tick(time.Second+silence, Input{Stalled: &Stalled{ID: 1, Attempt: d.Attempt, Silence: silence}}) {
			if o.Cancel != nil {
				return true
			}
		}
		return false
	}
	if cancelled(3 * time.Second) {
		t.Error("given up after 3 s without a replacement")
	}
	if !cancelled(maxReservedSilence) {
		t.Errorf("not given up after %v, want the reserved memory to be freed", maxReservedSilence)
	}
}

// TestStalledStreamIsResumedBeforeItsCallerLeaves checks that the gap timeout leaves time for
// another engine: callers leave after two seconds, four times the objective or eight times the
// gap objective, whichever is longest.
func TestStalledStreamIsResumedBeforeItsCallerLeaves(t *testing.T) {
	const resumeTime = 600 * time.Millisecond
	for kind, r := range testRoutes() {
		callerLeaves := max(2*time.Second, 4*r.Objective, 8*r.GapObjective)
		timeout := (&request{in: Arrival{Route: r}}).gapTimeout()
		if r.Resumable && (timeout < minSilenceTimeout || timeout > callerLeaves-resumeTime) {
			t.Errorf("%s: gap timeout %v, want at least %v and %v before %v", kind, timeout, minSilenceTimeout, resumeTime, callerLeaves)
		}
		if !r.Resumable && timeout != 0 {
			t.Errorf("%s: gap timeout %v, want none for a route that can't be resumed", kind, timeout)
		}
	}
}
