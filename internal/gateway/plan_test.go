package gateway

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
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

// TestPlansWhileLongPromptsWait plays a burst of long prompts at a gateway that gets a
// message from each of 24 others every few milliseconds. Each message may let a prompt be
// placed, but a small VM can't compute a plan for each. A prompt that comes is still
// placed or refused at once, and the prompts get engines as they become free.
func TestPlansWhileLongPromptsWait(t *testing.T) {
	const gateways, length = 25, 2 * time.Second
	s := newSimulationWith(t, gateways, 40)
	s.run(time.Second)
	before, dispatched := s.cores[0].Counts(), 0
	end := s.now + length
	for n := 0; s.now < end; n++ {
		s.submit(n%gateways, "long", 300_000, 8)
		for i := 1 + n%3; i < gateways; i += 3 {
			s.submit(i, "short", 3000, 4)
		}
		s.run(s.now + 20*time.Millisecond)
	}
	for _, j := range s.allJobs {
		if j.kind == "long" && j.dispatchedAt > 0 {
			dispatched++
		}
	}
	after := s.cores[0].Counts()
	own := after.Arrived - before.Arrived
	if plans, most := after.Placements-before.Placements, uint64(length/minPlaceInterval)+2*own; plans > most {
		t.Errorf("%d plans in %v with %d requests of its own, want at most %d", plans, length, own, most)
	}
	// Forty engines prefill a prompt of 5.3 engine seconds about every 130 ms.
	if dispatched < 10 {
		t.Errorf("%d long prompts dispatched in %v, want at least 10", dispatched, length)
	}
}

// TestPlanDoesNotAllocate bounds the allocations of one plan for sixteen long prompts,
// whose collection would cost a small VM more than the plan.
func TestPlanDoesNotAllocate(t *testing.T) {
	c := newTestCore(t, 0, 1)
	c.Tick(0, Input{Endpoints: testEndpoints(60, 0)})
	for id := RequestID(1); len(c.service(engineService).waiting) < maxPlanJobs; id++ {
		c.Tick(time.Second, Input{Arrive: &Arrival{
			ID: id, RequestID: "l", Route: testRoutes()["long"], Service: engineService,
			PromptTokens: 300_000, MaxOutputTokens: 500, Deadline: 16 * time.Second,
		}})
	}
	if n := testing.AllocsPerRun(50, func() { c.placeLong(c.service(engineService)) }); n > 40 {
		t.Errorf("%.0f allocations for one plan, want at most 40", n)
	}
}

// TestLongPromptsShareNoEngine submits pairs of long prompts to different gateways within
// some milliseconds, over messages that small VMs handle late. An engine that prefills
// two of them makes both late, and where its memory holds only one, the other waits for
// seconds. Found on a calm day of 25 gateways before 78 engines.
func TestLongPromptsShareNoEngine(t *testing.T) {
	const gateways, pairs = 25, 40
	rng := rand.New(rand.NewPCG(5, 1))
	shared := 0
	for range pairs {
		s := newSimulationWith(t, gateways, 78)
		s.run(time.Second)
		s.peerDelay = time.Duration(2+rng.IntN(7)) * time.Millisecond
		s.submit(rng.IntN(12), "long", drawPromptTokens(rng, 300_000, 0.3, 440_000), 8)
		s.run(s.now + time.Duration(rng.IntN(9))*time.Millisecond)
		s.submit(12+rng.IntN(12), "long", drawPromptTokens(rng, 300_000, 0.3, 440_000), 8)
		s.run(s.now + 60*time.Millisecond)
		for _, e := range s.engineList {
			if len(e.prefills) > 1 {
				shared++
				break
			}
		}
	}
	if shared > 0 {
		t.Errorf("%d of %d pairs of prompts share an engine, want none", shared, pairs)
	}
}

// TestWaitingPromptsOfQuietGatewaysCount checks that a long prompt that waits at another
// gateway keeps its place in the plan between that gateway's full messages, which are rarer
// in larger cells. Found on a calm day of 31 gateways: of two prompts that needed the same
// three engines, each gateway took its own for the only one.
func TestWaitingPromptsOfQuietGatewaysCount(t *testing.T) {
	for _, gateways := range []int{5, 31} {
		c := newTestCore(t, 0, gateways)
		c.Tick(0, Input{Endpoints: testEndpoints(3, 0)})
		now := time.Second
		for i := 1; i < gateways; i++ {
			m := &PeerMessage{From: gatewayAddr(i), Incarnation: uint64(i + 1)}
			if i == 1 {
				m.Waiting = []WaitingRow{{
					Request: 7, Service: xxhash.Sum64String(engineService), DueUS: 2_900_000, Prompt: 300_000, Output: 500,
				}}
			}
			c.Tick(now, Input{Peer: m})
		}
		now += c.fullMessageInterval() - 60*time.Millisecond
		r := testRoutes()["long"]
		out := slices.Clone(c.Tick(now, Input{Arrive: &Arrival{
			ID: 1, RequestID: "l", Route: r, Service: engineService, PromptTokens: 300_000, MaxOutputTokens: 500, Deadline: now + r.Timeout,
		}}))
		out = append(out, c.Tick(now+maxAnnounceDelay)...)
		if d := dispatchOf(out); d != nil {
			t.Errorf("%d gateways: sent to %s, which the prompt of another gateway takes first", gateways, d.Endpoint)
		}
	}
}
