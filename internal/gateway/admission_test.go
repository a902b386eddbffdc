package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

// arriveLong submits a long prompt with a fingerprint.
func arriveLong(c *Core, now time.Duration, id RequestID, prompt int64, timeLeft time.Duration) []Output {
	return slices.Clone(c.Tick(now, Input{Arrive: &Arrival{
		ID: id, RequestID: fmt.Sprint(id), Route: testRoutes()["long"], Service: engineService,
		PromptTokens: prompt, MaxOutputTokens: 500, Fingerprint: uint64(prompt), Deadline: now + timeLeft,
	}}))
}

// occupyEngines lets another gateway's prompts prefill for a time at all engines of c.
func occupyEngines(c *Core, now, prefill time.Duration) {
	m := &PeerMessage{From: gatewayAddr(9), Incarnation: 10}
	for e := range c.endpoints.Values() {
		if e.engine != nil {
			m.Rows = append(m.Rows, PeerRow{
				Request: uint64(len(m.Rows)+1) << 8, Prompt: 200_000, Output: 500, PartUS: prefill.Microseconds(), At: []uint64{e.idHash}, GapLimitMS: 800,
			})
		}
	}
	c.Tick(now, Input{Peer: m})
}

// slowEngines lets all work at c's engines have begun just now.
func slowEngines(c *Core) {
	for e := range c.endpoints.Values() {
		for _, w := range e.workItems {
			w.dispatchedAt, w.lastSeen = c.now, c.now
		}
		e.occupancyValid = false
	}
}

// TestHopelessPromptIsRefusedAtOnce checks that a prompt is refused on its arrival if the work
// at the engines takes longer than its caller waits, and told to come back when that is done;
// and that it waits if the work ends in time.
func TestHopelessPromptIsRefusedAtOnce(t *testing.T) {
	for _, busy := range []time.Duration{6 * time.Second, 14 * time.Second} {
		c := newTestCore(t, 0, 2)
		occupyEngines(c, time.Second, busy)
		f := finishOf(arriveLong(c, time.Second+10*time.Millisecond, 1, 300_000, 10*time.Second))
		if refused := f != nil && f.Verdict == VerdictRefused; refused != (busy > 10*time.Second) {
			t.Errorf("engines busy for %v: %+v", busy, f)
		} else if refused && f.RetryAfter < 5*time.Second {
			t.Errorf("told to come back after %v, want some seconds", f.RetryAfter)
		}
	}
}

// TestAssuredPromptIsNotRefusedForThoseThatYield guards against a prompt that keeps its place once
// it is late and is refused on its arrival for the work of others that yield to it before they begin.
func TestAssuredPromptIsNotRefusedForThoseThatYield(t *testing.T) {
	for id, refused := range map[RequestID]bool{assuredID: false, assuredID + 1: true} {
		c := newTestCore(t, 0, 2)
		occupyEngines(c, time.Second, 4*time.Second)
		now := time.Second + 10*time.Millisecond
		for i := range RequestID(25) {
			arriveLong(c, now, 1000+16*i+1, 300_000, 14*time.Second)
		}
		f := finishOf(arriveLong(c, now, id, 440_000, 14*time.Second))
		if got := f != nil && f.Verdict == VerdictRefused; got != refused {
			t.Errorf("request %d refused: %v, want %v", id, got, refused)
		}
	}
}

// assuredID is the ID of an assured request.
const assuredID = RequestID(1 << 20)

// TestPromptIsToldInTimeToComeBack checks that a prompt that finds no engine for long is refused
// while its caller can still come back and be served within its objective, and that it is not
// refused again for that reason when it has come back.
func TestPromptIsToldInTimeToComeBack(t *testing.T) {
	c := newTestCore(t, 0, 2)
	now := time.Second
	occupyEngines(c, now, time.Second)
	now += 10 * time.Millisecond
	r := testRoutes()["long"]
	var f *Finish
	left := 14 * time.Second
	deadline := now + left
	for out := arriveLong(c, now, 1, 300_000, left); f == nil && now < deadline; out = slices.Clone(c.Tick(now)) {
		f = finishOf(out)
		now += 100 * time.Millisecond
		slowEngines(c) // the work ends later than predicted, time after time
	}
	if f == nil || f.Verdict != VerdictRefused || deadline-now < r.Objective || deadline-now > left/2 {
		t.Fatalf("%+v with %v left, want a refusal with little more than the objective of %v left", f, deadline-now, r.Objective)
	}
	now += f.RetryAfter
	if f := finishOf(arriveLong(c, now, 2, 300_000, deadline-now)); f != nil {
		t.Errorf("%+v when it came back, want a wait", f)
	}
	if !c.requests.Get(2).returned {
		t.Error("not recognized when it came back")
	}
}

// TestReturnedPromptKeepsItsPlaceAtAnotherGateway checks that a prompt that one gateway has
// refused comes before new ones of its kind at another, and that its repetitions don't.
func TestReturnedPromptKeepsItsPlaceAtAnotherGateway(t *testing.T) {
	c := newTestCore(t, 0, 2)
	occupyEngines(c, time.Second, 5*time.Second)
	c.Tick(time.Second, Input{Peer: &PeerMessage{
		From: gatewayAddr(9), Incarnation: 10, Refusals: []RefusalRow{{Fingerprint: 300_000, AgeMS: 4000, FromMS: 500, LeftMS: 9000}},
	}})
	arriveLong(c, time.Second+200*time.Millisecond, 17, 300_000, 8*time.Second) // earlier than it was told
	arriveLong(c, time.Second+500*time.Millisecond, 18, 300_001, 8*time.Second)
	arriveLong(c, time.Second+600*time.Millisecond, 19, 300_000, 8*time.Second)
	arriveLong(c, time.Second+650*time.Millisecond, 20, 300_000, 8*time.Second)
	var order []uint64
	for _, j := range c.jobs(c.service(engineService)) {
		order = append(order, j.order.request)
	}
	if want := []uint64{19, 17, 18, 20}; !slices.Equal(order, want) {
		t.Errorf("order %v, want %v", order, want)
	}
}

// TestGatewaysAgreeOnTheOrder lets prompts of many sizes, priorities, accounts and ages wait at
// four gateways, and checks that all have them in the same order once they have exchanged full
// messages, also those that are late.
func TestGatewaysAgreeOnTheOrder(t *testing.T) {
	s := newSimulation(t, 4)
	s.peerDelay = 0
	s.run(time.Second)
	for _, c := range s.cores {
		occupyEngines(c, s.now, 2*time.Second)
	}
	rng := rand.New(rand.NewPCG(2, 1))
	for i := range 14 {
		from := caller{account: string(rune('a' + rng.IntN(3))), priority: rng.IntN(3)}
		s.submitFrom(i%4, from, "long", 200_000+20_000*int64(rng.IntN(20)), 8)
		s.run(s.now + time.Duration(50+rng.IntN(200))*time.Millisecond)
		for _, c := range s.cores {
			slowEngines(c)
		}
	}
	for end := s.now + 2*time.Second; s.now < end; {
		s.run(s.now + 200*time.Millisecond)
		for _, c := range s.cores {
			slowEngines(c)
		}
	}
	var first []string
	late := 0
	for i, c := range s.cores {
		c.Tick(s.now) // lateness depends on the time of the tick
		var order []string
		for _, j := range c.jobs(c.service(engineService)) {
			order = append(order, j.order.gateway.String()+"/"+fmt.Sprint(j.order.request))
			late += bit(j.late)
		}
		if i == 0 {
			first = order
		} else if !slices.Equal(order, first) {
			t.Errorf("gateway %d has %v\ngateway 0 has %v", i, order, first)
		}
	}
	if len(first) < 10 || late == 0 {
		t.Errorf("%d prompts wait and %d are late, want more", len(first), late)
	}
}

// TestRowOfAnEarlierBuildIsUnderstood checks that a waiting prompt whose gateway tells neither
// patience nor objective has its place in the plan, also once it is late.
func TestRowOfAnEarlierBuildIsUnderstood(t *testing.T) {
	c := newTestCore(t, 0, 2)
	for _, due := range []int64{2_900_000, -500_000} {
		c.Tick(time.Second, Input{Peer: &PeerMessage{From: gatewayAddr(1), Incarnation: 2, Waiting: []WaitingRow{{
			Request: 7, Service: xxhash.Sum64String(engineService), DueUS: due, Prompt: 300_000, Output: 500,
		}}}})
		jobs := c.jobs(c.service(engineService))
		if len(jobs) != 1 || jobs[0].untilGiveUp < time.Second || jobs[0].late != (due < 0) {
			t.Errorf("due in %d us: %+v, want a job with time left", due, jobs)
		}
	}
}

// servedShare returns the share of the jobs that were served.
func servedShare(jobs []*simJob) float64 {
	n := 0
	for _, j := range jobs {
		n += bit(j.done)
	}
	return float64(n) / float64(len(jobs))
}

// TestLargestPromptsDoNotStarveUnderOverload plays four times the long prompts of the heaviest
// days. The largest tenth, and the fifth below it, are served at least half as often as all; and
// no prompt is refused after its caller has given up.
func TestLargestPromptsDoNotStarveUnderOverload(t *testing.T) {
	const seeds = 5
	var all, tenth, fifth float64
	for seed := range uint64(seeds) {
		s := newSimulation(t, 5)
		s.onOutput = func(i int, out Output) bool {
			if out.Finish == nil || out.Finish.Verdict != VerdictRefused {
				return false
			}
			j := s.jobs[[2]uint64{uint64(i), uint64(out.Finish.ID)}]
			if after := s.now - j.arrived; after > callerPatience(testRoutes()[j.kind]) {
				t.Errorf("a %s prompt is refused after %v, when its caller has left", j.kind, after)
			}
			return false
		}
		s.offerLoad(rand.New(rand.NewPCG(seed, 1)), longPhase.scaled(4), 10*time.Second)
		s.run(s.now + 15*time.Second)
		long := s.largestFirst("long")
		n := len(long) / 10
		inTime, _ := s.shareInTime("long")
		t.Logf("seed %d: %d long prompts, %.2f in time, %.2f served, %.2f of the largest tenth, %.2f of the fifth below",
			seed, len(long), inTime, servedShare(long), servedShare(long[:n]), servedShare(long[n:3*n]))
		all, tenth, fifth = all+servedShare(long)/seeds, tenth+servedShare(long[:n])/seeds, fifth+servedShare(long[n:3*n])/seeds
	}
	if tenth < all/2 || fifth < all/2 {
		t.Errorf("%.2f of the largest tenth and %.2f of the fifth below served, want half of %.2f at least", tenth, fifth, all)
	}
}

// TestShortPromptsAreRefusedBeforeTheirCallersLeave plays an account that sends twice what the
// fleet can serve, and checks that no short prompt is held for longer than its caller waits.
func TestShortPromptsAreRefusedBeforeTheirCallersLeave(t *testing.T) {
	s := simulateLargeAccount(t, 1, caller{account: "large", priority: 1})
	patience, refused := callerPatience(testRoutes()["short"]), 0
	for _, j := range s.allJobs {
		refused += bit(j.refused)
		if j.dispatchedAt-j.arrived > patience {
			t.Errorf("dispatched %v after its arrival, when its caller has left", j.dispatchedAt-j.arrived)
		}
	}
	if refused == 0 {
		t.Error("none is refused at twice the load that can be served")
	}
}
