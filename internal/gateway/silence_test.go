package gateway

import (
	"slices"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/retrybudget"
)

// stallAfterFirstEvent begins request 1 of a kind, lets it be silent after its first event for
// up to a time and returns the dispatch of a second attempt, if there is one, and when. The
// first attempt must not be cancelled.
func stallAfterFirstEvent(t *testing.T, c *Core, kind string, silence time.Duration) (*Dispatch, time.Duration) {
	t.Helper()
	d := dispatchOf(submit(c, time.Second, 1, kind))
	if d == nil {
		t.Fatal("not dispatched")
	}
	c.Tick(time.Second, Input{Sent: &Sent{ID: 1, Attempt: d.Attempt}}, Input{First: &FirstEvent{ID: 1, Attempt: d.Attempt}})
	for s := d.GapTimeout; s <= silence; s += silenceRecheck {
		out := c.Tick(time.Second+s, Input{Stalled: &Stalled{ID: 1, Attempt: d.Attempt, Silence: s}})
		if slices.ContainsFunc(out, func(o Output) bool { return o.Cancel != nil || o.Finish != nil }) {
			t.Fatalf("outputs %+v after %v of silence, want the attempt to be kept", out, s)
		}
		if second := dispatchOf(out); second != nil {
			return second, time.Second + s
		}
	}
	return nil, time.Second + silence
}

// coreWithBudget returns a core with a number of engines and a number of usable retries, which
// hardly grows during a test.
func coreWithBudget(t *testing.T, engines, retries int) *Core {
	t.Helper()
	c := New(Config{
		Incarnation: 1, Addr: gatewayAddr(0), Placement: DefaultPlacement(),
		Retry: retrybudget.Config{FleetRetriesPerWindow: float64(25 * retries), Window: time.Hour},
	})
	c.Tick(0, Input{Config: testTable(t)}, Input{Endpoints: testEndpoints(engines, 0)})
	return c
}

// TestStalledStreamIsNotGivenUpWithoutReplacement checks that a silent stream keeps its attempt
// if nothing could follow it.
func TestStalledStreamIsNotGivenUpWithoutReplacement(t *testing.T) {
	ejected := coreWithBudget(t, 2, 10)
	for e := range ejected.endpoints.Values() {
		e.health.ejectedUntil = time.Minute
	}
	for name, c := range map[string]*Core{
		"no retry budget": coreWithBudget(t, 18, 0), "no other engine": coreWithBudget(t, 1, 10), "all others ejected": ejected,
	} {
		if d, _ := stallAfterFirstEvent(t, c, "short", 3*time.Second); d != nil {
			t.Errorf("%s: dispatch %+v, want the silent attempt to go on alone", name, d)
		}
	}
	for _, kind := range []string{"short", "medium"} {
		if d, _ := stallAfterFirstEvent(t, newTestCore(t, 0, 1), kind, 3*time.Second); d == nil {
			t.Errorf("%s: a stream that another engine can resume was not moved within 3 s", kind)
		}
	}
}

// TestReplacementOfSilentAttemptIsPaidOnce checks that the second attempt beside a silent one
// takes one retry from the budget, and none more when either ends.
func TestReplacementOfSilentAttemptIsPaidOnce(t *testing.T) {
	c := coreWithBudget(t, 18, 2)
	d, now := stallAfterFirstEvent(t, c, "short", 3*time.Second)
	if d == nil {
		t.Fatal("no second attempt")
	}
	c.Tick(now, Input{Sent: &Sent{ID: 1, Attempt: d.Attempt}}, Input{First: &FirstEvent{ID: 1, Attempt: d.Attempt}})
	c.Tick(now, Input{Ended: &AttemptEnded{ID: 1, Attempt: 1, Result: ResultSilent, PartlyDelivered: true, Resumable: true}})
	out := c.Tick(now, Input{Ended: &AttemptEnded{ID: 1, Attempt: d.Attempt, Result: ResultDone, Status: 200, PartlyDelivered: true}})
	if f := finishOf(out); f == nil || f.Verdict != VerdictDone {
		t.Errorf("outputs %+v, want the request to be done", out)
	}
	b := c.service(engineService).budget
	if !b.TakeRetry(now, 1) || b.TakeRetry(now, 1) {
		t.Error("the budget of two retries has not exactly one left")
	}
	if n := len(c.ownWorkItems()); n != 0 {
		t.Errorf("%d work items after the end, want none", n)
	}
}

// TestFailedReplacementLeavesTheSilentAttempt checks that a request stays with its silent
// attempt when the other endpoint refuses it, can't be reached or fails, and is done when the
// silent one goes on.
func TestFailedReplacementLeavesTheSilentAttempt(t *testing.T) {
	for _, test := range []struct {
		result Result
		sent   bool
	}{{ResultFull, true}, {ResultFull, false}, {ResultUnreachable, false}, {ResultMisdirected, true}, {ResultBroken, true}} {
		c := coreWithBudget(t, 2, 1)
		d, now := stallAfterFirstEvent(t, c, "short", 3*time.Second)
		if d == nil {
			t.Fatal("no second attempt")
		}
		if test.sent {
			c.Tick(now, Input{Sent: &Sent{ID: 1, Attempt: d.Attempt}})
		}
		out := c.Tick(now, Input{Ended: &AttemptEnded{ID: 1, Attempt: d.Attempt, Result: test.result, PartlyDelivered: true, Resumable: true}})
		if f := finishOf(out); f != nil {
			t.Fatalf("%v: verdict %+v, want the silent attempt to be kept", test.result, f)
		}
		c.Tick(now+100*time.Millisecond, Input{Resumed: &Resumed{ID: 1, Attempt: 1}})
		out = c.Tick(now+200*time.Millisecond, Input{Ended: &AttemptEnded{ID: 1, Attempt: 1, Result: ResultDone, Status: 200, PartlyDelivered: true}})
		if f := finishOf(out); f == nil || f.Verdict != VerdictDone {
			t.Errorf("%v: outputs %+v, want the request to be done by its first attempt", test.result, out)
		}
	}
}

// TestAnswerOfSilentAttemptCancelsTheOther checks that the attempt that answers first goes on
// if that is the silent one, and that its engine is used again.
func TestAnswerOfSilentAttemptCancelsTheOther(t *testing.T) {
	c := coreWithBudget(t, 18, 1)
	d, now := stallAfterFirstEvent(t, c, "short", 3*time.Second)
	if d == nil {
		t.Fatal("no second attempt")
	}
	c.Tick(now, Input{Sent: &Sent{ID: 1, Attempt: d.Attempt}})
	out := c.Tick(now, Input{Resumed: &Resumed{ID: 1, Attempt: 1}})
	if !slices.ContainsFunc(out, func(o Output) bool { return o.Cancel != nil && o.Cancel.Attempt == d.Attempt }) {
		t.Errorf("outputs %+v, want the second attempt to be cancelled", out)
	}
	for e := range c.endpoints.Values() {
		if e.health.ejected(now) {
			t.Errorf("%s is ejected, want the engine that answers again to be used", e.registration.ID)
		}
	}
	c.Tick(now, Input{Ended: &AttemptEnded{ID: 1, Attempt: d.Attempt, Result: ResultSilent, PartlyDelivered: true, Resumable: true}})
	if w := c.ownWorkItems(); len(w) != 1 || c.running(1, 1) == nil {
		t.Errorf("work items %v, want the one of the first attempt, which runs", w)
	}
}

// TestSilentAttemptIsKeptWithoutRoom checks that a request whose second attempt finds no place
// stays with its silent attempt until the deadline.
func TestSilentAttemptIsKeptWithoutRoom(t *testing.T) {
	c := coreWithBudget(t, 2, 10)
	var d *Dispatch
	full := false
	for id := RequestID(1); !full; id++ {
		dispatched := dispatchOf(submit(c, time.Second, id, "short"))
		if full = dispatched == nil; !full {
			c.Tick(time.Second, Input{Sent: &Sent{ID: id, Attempt: 1}}, Input{First: &FirstEvent{ID: id, Attempt: 1}})
		}
		if id == 1 {
			d = dispatched
		}
	}
	deadline := time.Second + testRoutes()["short"].Timeout
	for now := time.Second + d.GapTimeout; now < deadline; now += silenceRecheck {
		for _, o := range c.Tick(now, Input{Stalled: &Stalled{ID: 1, Attempt: 1, Silence: now - time.Second}}) {
			if o.Cancel != nil && o.Cancel.ID == 1 || o.Finish != nil && o.Finish.ID == 1 {
				t.Fatalf("output %+v at %v, want the attempt to be kept until the deadline", o, now)
			}
		}
	}
	if f := finishOf(c.Tick(deadline)); f == nil {
		t.Error("not ended at the deadline")
	}
}

// TestPauseOfTheGatewayIsNoSilence checks that a gateway that stood still reads what has arrived
// before it tries other endpoints.
func TestPauseOfTheGatewayIsNoSilence(t *testing.T) {
	c := newTestCore(t, 0, 1)
	for id := RequestID(1); id <= 30; id++ {
		if d := dispatchOf(submit(c, time.Second, id, "short")); d != nil {
			c.Tick(time.Second, Input{Sent: &Sent{ID: id, Attempt: 1}})
		}
	}
	before := c.counts.Retried
	c.Tick(4 * time.Second)
	if n := c.counts.Retried - before; n > 0 {
		t.Errorf("%d requests were tried again right after a pause of three seconds", n)
	}
}

// TestCancelledAttemptCountsAsNotSent checks that a request is not charged for an attempt that
// is cancelled before its first byte, also if that was about to be written.
func TestCancelledAttemptCountsAsNotSent(t *testing.T) {
	c := coreWithBudget(t, 18, 0)
	d := dispatchOf(submit(c, time.Second, 1, "short"))
	cancelled := false
	for now := time.Second; now < 3*time.Second && !cancelled; now += 50 * time.Millisecond {
		cancelled = slices.ContainsFunc(c.Tick(now), func(o Output) bool { return o.Cancel != nil })
	}
	if !cancelled {
		t.Fatal("an attempt of which nothing was sent for two seconds was not cancelled")
	}
	c.Tick(3*time.Second, Input{Sent: &Sent{ID: 1, Attempt: d.Attempt}})
	out := c.Tick(3*time.Second, Input{Ended: &AttemptEnded{ID: 1, Attempt: d.Attempt, Result: ResultFull}})
	if second := dispatchOf(out); second == nil {
		t.Errorf("outputs %+v, want another attempt without a retry budget", out)
	}
}

// TestSilenceBlocksReservedMemoryForShort checks that an attempt that is silent inside its
// answer lets the memory at its helpers go in time, also without a replacement.
func TestSilenceBlocksReservedMemoryForShort(t *testing.T) {
	c := coreWithBudget(t, 18, 0)
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
	routes := testRoutes()
	relaxed := *routes["long"]
	relaxed.GapObjective = 3 * time.Second
	routes["relaxed"] = &relaxed
	for kind, r := range routes {
		callerLeaves := max(2*time.Second, 4*r.Objective, 8*r.GapObjective)
		timeout := (&request{in: Arrival{Route: r}}).gapTimeout()
		if r.Resumable && (timeout < minSilenceTimeout || timeout > callerLeaves-resumeTime) {
			t.Errorf("%s: gap timeout %v, want at least %v and %v before %v", kind, timeout, minSilenceTimeout, resumeTime, callerLeaves)
		}
		if r.Resumable && timeout < r.GapObjective {
			t.Errorf("%s: gap timeout %v, want none within the objective of %v", kind, timeout, r.GapObjective)
		}
		if !r.Resumable && timeout != 0 {
			t.Errorf("%s: gap timeout %v, want none for a route that can't be resumed", kind, timeout)
		}
	}
}

// TestReservedMemoryIsNotHeldForALostEngine places prompts that exceed the memory of one engine while
// only some engines are free, so that few would take long parts. If the answering engine vanishes
// before its first event, the memory that the others hold must be released early enough.
func TestReservedMemoryIsNotHeldForALostEngine(t *testing.T) {
	reserved := 0
	for free := 3; free <= 18; free++ {
		for _, prompt := range []int64{500_000, 700_000, 1_000_000} {
			c := newTestCore(t, 0, 1)
			occupyEngines(c, time.Second, 30*time.Second)
			n := 0
			for p := range c.peers.Values() {
				for id, w := range p.workItems {
					if n < free {
						delete(p.workItems, id)
						c.removeWork(w)
						n++
					}
				}
			}
			d := longPrompt(c, time.Second, 1, prompt, 4*time.Second)
			for now := time.Second; d == nil && now < 1500*time.Millisecond; now += placeInterval { // held until others know of it
				d = dispatchOf(c.Tick(now))
			}
			if d == nil || !slices.ContainsFunc(d.Helpers, func(h Helper) bool { return h.Tokens > 0 }) {
				continue
			}
			reserved++
			if d.SilenceTimeout > maxReservedSilence {
				t.Errorf("%d tokens on %d of %d free engines: memory is held for %v, want at most %v",
					prompt, 1+len(d.Helpers), free, d.SilenceTimeout, maxReservedSilence)
			}
		}
	}
	if reserved < 20 {
		t.Errorf("%d prompts are placed with reserved memory, want at least 20", reserved)
	}
}

// TestSilentLastAttemptLetsReservedMemoryGo guards against memory that is held at other engines for a
// lost one until the deadline, because no further attempt is allowed.
func TestSilentLastAttemptLetsReservedMemoryGo(t *testing.T) {
	c := coreWithBudget(t, 18, 1)
	r := testRoutes()["long"]
	d := dispatchOf(c.Tick(time.Second, Input{Arrive: &Arrival{
		ID: 1, RequestID: "l", Route: r, Service: engineService, PromptTokens: 520_000, MaxOutputTokens: 500, Deadline: time.Second + r.Timeout,
	}}))
	if d == nil {
		t.Fatal("no dispatch")
	}
	d = dispatchOf(answer(c, time.Second, 1, d, ResultFull, 503))
	if d == nil || !slices.ContainsFunc(d.Helpers, func(h Helper) bool { return h.Tokens > 0 }) {
		t.Fatalf("dispatch %+v after a refusal, want one with reserved memory", d)
	}
	c.Tick(time.Second, Input{Sent: &Sent{ID: 1, Attempt: d.Attempt}})
	for now := time.Second; now <= time.Second+maxReservedSilence+silenceRecheck; now += 50 * time.Millisecond {
		if slices.ContainsFunc(c.Tick(now), func(o Output) bool { return o.Cancel != nil && o.Cancel.Attempt == d.Attempt }) {
			return
		}
	}
	t.Errorf("not given up after %v, want the reserved memory to be freed", maxReservedSilence+silenceRecheck)
}
