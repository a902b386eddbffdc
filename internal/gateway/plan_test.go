package gateway

import (
	"testing"
	"time"
)

// longPrompt submits a long prompt with the given objective for its first event, and
// returns the dispatch, if any.
func longPrompt(c *Core, now time.Duration, id RequestID, prompt int64, objective time.Duration) *Dispatch {
	r := *testRoutes()["long"]
	r.Objective = objective
	return dispatchOf(c.Tick(now, Input{Arrive: &Arrival{
		ID: id, RequestID: "l", Route: &r, Service: engineService, PromptTokens: prompt, MaxOutputTokens: 500, Deadline: now + r.Timeout,
	}}))
}

// TestLongPromptWaitsForMoreEngines simulates the end of a phase of short prompts: one
// engine is free, the others still decode short streams. A prompt that one engine would
// prefill too late waits until several can prefill it in time.
func TestLongPromptWaitsForMoreEngines(t *testing.T) {
	c := newTestCore(t, 0, 1)
	id, now := RequestID(0), time.Second
	streams := make(map[RequestID]bool)
	for range 17 * 16 {
		id++
		now += 40 * time.Millisecond
		d := dispatchOf(submit(c, now, id, "short"))
		if d == nil {
			t.Fatalf("prompt %d waits", id)
		}
		streams[id] = true
		c.Tick(now+20*time.Millisecond, Input{First: &FirstEvent{ID: id, Attempt: 1}})
	}
	const prompt, objective = 300_000, 4 * time.Second // one engine prefills it in 5.3 s
	now += 40 * time.Millisecond
	if d := longPrompt(c, now, id+1, prompt, objective); d != nil {
		t.Fatalf("sent at once to %d engines, which are too few for its objective", 1+len(d.Helpers))
	}
	var d *Dispatch
	for n := RequestID(1); n <= id && d == nil; n++ { // the streams end
		now += 5 * time.Millisecond
		d = dispatchOf(c.Tick(now, Input{Ended: &AttemptEnded{ID: n, Attempt: 1, Result: ResultDone, Status: 200}}))
	}
	if d == nil {
		t.Fatal("not sent when engines became free")
	}
	if w := c.requests.Get(id + 1); w.predictedFirstAt > w.due() {
		t.Errorf("sent %v late to %d engines", w.predictedFirstAt-w.due(), 1+len(d.Helpers))
	}
}

// TestLatePromptLeavesEnginesFree submits a very long prompt that is late from the start
// when only few engines are without streams. It must not occupy all of them for longer
// than the usual limit, since prompts that can still be in time need them.
func TestLatePromptLeavesEnginesFree(t *testing.T) {
	c, id, now := newBusyCore(t, 14)
	for n := RequestID(1); n < id; n++ { // the streams of eight engines end
		if w := c.requests.Get(n).work; w.answering().registration.ID < "e-08" {
			c.Tick(now, Input{Ended: &AttemptEnded{ID: n, Attempt: 1, Result: ResultDone, Status: 200}})
		}
	}
	if d := longPrompt(c, now, id, 720_000, 10*time.Millisecond); d != nil {
		t.Errorf("%d engines prefill for %v each, want the late prompt to wait", 1+len(d.Helpers), c.requests.Get(id).work.partTime)
	}
}
