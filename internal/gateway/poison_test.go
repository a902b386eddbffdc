package gateway

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"trefoilpath.org/trefoilpath/internal/poison"
	"trefoilpath.org/trefoilpath/internal/retrybudget"
)

// maxLateArrivals is the number of prompts with a part that crashes engines that may reach one
// from three seconds after the fifth crash on, at all gateways together.
const maxLateArrivals = 3

// sendMixedPrompts sends sound prompts and, every fourth time, one with each of the parts bad,
// at all gateways until end.
func (s *crashSim) sendMixedPrompts(end time.Duration, bad ...string) {
	for n := 0; s.now < end; n++ {
		neighbour := fmt.Sprintf("c%d", n%5)
		if n%4 == 0 {
			for i, part := range bad {
				s.prompt((n+i)%len(s.cores), [][]string{{"aa", part}, {part, "aa", neighbour}, {"aa", part, neighbour}}[n/4%3]...)
			}
		}
		s.prompt(n%len(s.cores), "aa", neighbour)
		s.run(s.now + 20*time.Millisecond)
	}
}

// checkSoundAnswered checks that the prompts without a crashing part that were sent from a time
// on were answered by their first engine.
func (s *crashSim) checkSoundAnswered(from time.Duration) {
	s.t.Helper()
	sound, failed := 0, 0
	for _, p := range s.all {
		if p.at < from || slices.ContainsFunc(p.parts, func(part string) bool { return s.crashOn[part] }) {
			continue
		}
		sound++
		if p.finish == nil || p.finish.Verdict != VerdictDone || p.attempts != 1 {
			failed++
			s.t.Logf("sound prompt of %v: %d attempts, %+v", p.at, p.attempts, p.finish)
		}
	}
	if sound < 100 || failed > 0 {
		s.t.Errorf("%d of %d sound prompts were not answered by their first engine, want all of at least 100", failed, sound)
	}
}

// TestPartThatCrashesEnginesReachesFewMore checks that a part that crashes engines is soon kept
// from them at all gateways, also two such parts at once, while sound prompts are answered.
func TestPartThatCrashesEnginesReachesFewMore(t *testing.T) {
	for _, bad := range [][]string{{"bad"}, {"bad", "evil"}} {
		s := newCrashSim(t, 5, 18, bad...)
		s.sendMixedPrompts(12*time.Second, bad...)
		s.run(s.now + 5*time.Second)
		t.Logf("%v: %d crashes, %d arrivals", bad, len(s.crashes), len(s.arrivals))
		if n := s.lateArrivals(); n > maxLateArrivals {
			t.Errorf("%v: %d prompts reached engines later than three seconds after the fifth crash, want at most %d", bad, n, maxLateArrivals)
		}
		for i := range s.cores {
			if got := s.quarantined(i); !slices.Equal(got, bad) {
				t.Errorf("gateway %d has %v in quarantine, want %v", i, got, bad)
			}
		}
		s.checkSoundAnswered(s.crashes[len(s.crashes)-1] + 100*time.Millisecond)
	}
}

// TestLostFailureDomainCondemnsNoPart checks that parts of prompts that ran in a failure domain
// when it was lost are used on.
func TestLostFailureDomainCondemnsNoPart(t *testing.T) {
	s := newCrashSim(t, 3, 18)
	rare := func(n int) []string { return []string{"aa", fmt.Sprintf("rare%d", n%4)} }
	for n := range 60 {
		s.prompt(n%3, rare(n)...)
	}
	s.run(s.now + 20*time.Millisecond)
	lost, ended := 0, 0
	for _, r := range slices.Clone(s.rows) {
		if e := s.engines[r.ID]; len(e.running) > 0 {
			lost += len(e.running)
			ended++
			s.crash(e)
		}
	}
	if lost < 40 || ended < 3 {
		t.Fatalf("%d answers fell with %d engines, want at least 40 with 3", lost, ended)
	}
	s.run(s.now + 5*time.Millisecond)
	most := 0
	for _, d := range s.cores[0].Dump().Parts {
		most = max(most, d.Crashes)
	}
	if most < 3 {
		t.Fatalf("at most %d ended engines are known of a part, want at least 3", most)
	}
	var later []*crashPrompt
	for n := range 40 {
		later = append(later, s.prompt(n%3, rare(n)...))
		s.run(s.now + 30*time.Millisecond)
	}
	s.run(s.now + 10*time.Second)
	for _, p := range later {
		if p.finish == nil || p.finish.Verdict != VerdictDone {
			t.Errorf("prompt with %v: %+v, want an answer", p.parts, p.finish)
		}
	}
	for i := range s.cores {
		if got := s.quarantined(i); len(got) > 0 {
			t.Errorf("gateway %d has %v in quarantine, want none", i, got)
		}
	}
}

// TestBystandersOfACrashAreRepeated checks that prompts that fell with an engine are answered by
// another one, while one with a part under which an engine has ended before is not sent again.
func TestBystandersOfACrashAreRepeated(t *testing.T) {
	s := newCrashSim(t, 2, 18, "bad")
	s.prompt(0, "aa", "bad")
	s.run(s.now + 2*time.Second)
	earlier := len(s.arrivals)
	if earlier == 0 {
		t.Fatal("the first prompt reached no engine")
	}
	var bystanders []*crashPrompt
	var bad *crashPrompt
	for n := range 60 {
		bystanders = append(bystanders, s.prompt(n%2, "aa", fmt.Sprintf("c%d", n%5)))
		s.run(s.now + 2*time.Millisecond)
		if n == 30 {
			bad = s.prompt(0, "bad", "aa")
		}
	}
	s.run(s.now + 5*time.Second)
	repeated := 0
	for _, p := range bystanders {
		repeated += bit(p.attempts > 1)
		if p.finish == nil || p.finish.Verdict != VerdictDone {
			t.Errorf("bystander: %+v after %d attempts, want an answer", p.finish, p.attempts)
		}
	}
	if repeated == 0 {
		t.Error("no bystander was repeated, want some to fall with the engine")
	}
	if bad.attempts != 1 || bad.finish == nil || bad.finish.Verdict != VerdictUnknown || bad.finish.Reason != ReasonCrashesEngines {
		t.Errorf("prompt with the crashing part: %+v after %d attempts, want it to fail after one", bad.finish, bad.attempts)
	}
}

// TestGatewayThatWasCutOffLearnsOfAQuarantine checks that a gateway that was cut off from the
// others sends no prompt with a part in quarantine on, soon after it is back.
func TestGatewayThatWasCutOffLearnsOfAQuarantine(t *testing.T) {
	s := newCrashSim(t, 4, 18, "bad")
	s.dropMessage = func(from, to int) bool { return from == 3 || to == 3 }
	for s.now < 9*time.Second {
		s.prompt(int(s.now/time.Millisecond)%3, "aa", "bad")
		s.prompt(3, "aa")
		s.run(s.now + 50*time.Millisecond)
	}
	if !slices.Equal(s.quarantined(0), []string{"bad"}) {
		t.Fatalf("quarantine %v at a gateway that sees the crashes, want the part", s.quarantined(0))
	}
	s.dropMessage = nil
	s.run(s.now + 600*time.Millisecond) // two full messages
	before := len(s.arrivals)
	for range 20 {
		s.prompt(3, "aa", "bad")
		s.run(s.now + 50*time.Millisecond)
	}
	if n := len(s.arrivals) - before; n != 0 {
		t.Errorf("%d prompts reached engines after the gateway was back, want none", n)
	}
}

// quarantineRow returns a row of a part in quarantine.
func quarantineRow(id string) poison.Row {
	r := poison.Row{Part: uint64(hashParts([]string{id})[0]), Quarantined: true, SinceMS: 1000, NextMS: 50_000, AskedMS: 100}
	for life := range uint64(5) {
		r.Crashes = append(r.Crashes, poison.CrashRow{Life: life + 1, AgeMS: 1000 + 700*int64(life)})
	}
	return r
}

func tellParts(from int, rows ...poison.Row) Input {
	return Input{Peer: &PeerMessage{From: gatewayAddr(from), Incarnation: 9, Parts: rows, PartsService: xxhash.Sum64String(engineService)}}
}

// TestWaitingPromptIsRefusedWithItsPart checks that a prompt that waits when its part is put in
// quarantine is refused with the time of the next trial, and one that shares its other parts
// waits on.
func TestWaitingPromptIsRefusedWithItsPart(t *testing.T) {
	c := newTestCore(t, 0, 2)
	for e := range c.endpoints.Values() {
		e.fullUntil = time.Minute
		e.load, e.loadAt = EndpointLoad{Running: 99, Waiting: 99}, time.Second
		for range 16 {
			e.workItems = append(e.workItems, &workItem{phase: workDecoding, prompt: 1, output: 1 << 20, endpoints: []*endpoint{e}, key: workKey{gatewayAddr(1), 1}, lastSeen: time.Hour})
		}
		e.occupancyValid = false
	}
	for id, parts := range [][]string{{"aa", "bad"}, {"aa", "cc"}} {
		if out := submitParts(c, time.Second, RequestID(id+1), parts...); dispatchOf(out) != nil || finishOf(out) != nil {
			t.Fatalf("outputs %+v, want the prompt to wait", out)
		}
	}
	out := slices.Clone(c.Tick(1010*time.Millisecond, tellParts(1, quarantineRow("bad"))))
	f := finishOf(out)
	if f == nil || f.ID != 1 || f.Verdict != VerdictRefused || f.Reason != ReasonCrashesEngines || f.RetryAfter < 40*time.Second {
		t.Errorf("%+v, want a refusal until the next trial", f)
	}
	if c.requests.Get(2) == nil {
		t.Error("the prompt without the part has ended, want it to wait on")
	}
	if e := logged(out, "prompt-part-quarantined"); len(e) != 1 {
		t.Errorf("events %+v, want one quarantine", e)
	}
}

// TestPromptThatMayHaveRunIsNotRefused checks that a prompt whose answer broke off is not told
// to have not run, is not repeated and takes no retry, once its part is in quarantine.
func TestPromptThatMayHaveRunIsNotRefused(t *testing.T) {
	c, fresh := newTestCore(t, 0, 1), newTestCore(t, 0, 1)
	submitParts(fresh, time.Second, 1, "aa", "bad")
	d := dispatchOf(submitParts(c, time.Second, 1, "aa", "bad"))
	c.Tick(time.Second, tellParts(1, quarantineRow("bad")))
	out := breakOff(c, time.Second, d)
	if f := finishOf(out); f == nil || f.Verdict != VerdictUnknown || f.Reason != ReasonCrashesEngines || dispatchOf(out) != nil {
		t.Errorf("outputs %+v, want the request to fail without another attempt", out)
	}
	usable := func(c *Core) int {
		n := 0
		for c.service(engineService).budget.TakeRetry(time.Second, 2) {
			n++
		}
		return n
	}
	if got, want := usable(c), usable(fresh); got != want || want == 0 {
		t.Errorf("%d retries are left, want %d, since none was made", got, want)
	}
}

// TestHeldPromptBlocksNoOther checks that a prompt that waits because its part is under suspicion
// is in no plan, delays no other prompt of its account, and goes on once the part is cleared.
func TestHeldPromptBlocksNoOther(t *testing.T) {
	c := newTestCore(t, 0, 2)
	row := poison.Row{Part: uint64(hashParts([]string{"bad"})[0])}
	for life := range uint64(4) {
		row.Crashes = append(row.Crashes, poison.CrashRow{Life: life + 1, AgeMS: 100})
	}
	c.Tick(time.Second, tellParts(1, row))
	long := testRoutes()["long"]
	arrive := func(id RequestID, parts ...string) []Output {
		return slices.Clone(c.Tick(time.Second, Input{Arrive: &Arrival{
			ID: id, RequestID: "r", Route: long, Service: engineService, PromptTokens: 100_000, MaxOutputTokens: 500,
			SharedParts: parts, Deadline: time.Second + long.Timeout,
		}}))
	}
	held := 0
	for id := RequestID(1); id <= 8; id++ {
		for _, o := range arrive(id, "bad", "aa") {
			if o.ToPeer != nil && len(o.ToPeer.Msg.Waiting) > 0 && c.requests.Get(id).held {
				t.Errorf("prompt %d is announced, want it in no plan", id)
			}
		}
		held += bit(c.requests.Get(id) != nil && c.requests.Get(id).held)
	}
	if held < 7 {
		t.Fatalf("%d of 8 prompts are held, want all but one", held)
	}
	s := c.service(engineService)
	if n := len(c.jobs(s)); n > 1 {
		t.Errorf("%d prompts are in the plan, want at most the one that is not held", n)
	}
	arrive(9, "aa")
	if r := c.requests.Get(9); r.demand.Penalty > 0 {
		t.Errorf("a sound prompt is ordered %v later, want no penalty for those that are held", r.demand.Penalty)
	}
	row = poison.Row{Part: row.Part, Cleared: true, Crashes: nil}
	c.Tick(1010*time.Millisecond, tellParts(1, row))
	for id := RequestID(1); id <= 8; id++ {
		if r := c.requests.Get(id); r == nil || r.held {
			t.Errorf("prompt %d is held or has ended after the part was cleared", id)
		}
	}
}

// TestTrialOfAPartIsNotRepeated checks that one prompt tries a part in quarantine once its pause
// is over, that it is not repeated, and that others are refused.
func TestTrialOfAPartIsNotRepeated(t *testing.T) {
	c := newTestCore(t, 0, 1)
	due := quarantineRow("bad")
	due.NextMS = -10
	c.partsKnown = true
	c.partTable(xxhash.Sum64String(engineService)).Merge(time.Second, []poison.Row{due})
	d := dispatchOf(submitParts(c, time.Second, 1, "aa", "bad"))
	if d == nil {
		t.Fatal("no trial was sent")
	}
	if f := finishOf(submitParts(c, time.Second, 2, "aa", "bad")); f == nil || f.Reason != ReasonCrashesEngines {
		t.Errorf("%+v, want a second prompt to be refused", f)
	}
	c.Tick(time.Second, Input{Sent: &Sent{ID: 1, Attempt: d.Attempt}})
	out := c.Tick(time.Second, Input{Ended: &AttemptEnded{ID: 1, Attempt: d.Attempt, Result: ResultBroken}})
	if f := finishOf(out); f == nil || f.Verdict != VerdictUnknown || dispatchOf(out) != nil {
		t.Errorf("outputs %+v, want the trial to fail without another attempt", out)
	}
}

// TestCompleteAnswerEndsAQuarantine checks that a part is used on after a trial that was answered.
func TestCompleteAnswerEndsAQuarantine(t *testing.T) {
	c := newTestCore(t, 0, 1)
	due := quarantineRow("bad")
	due.NextMS = -10
	c.partsKnown = true
	c.partTable(xxhash.Sum64String(engineService)).Merge(time.Second, []poison.Row{due})
	d := dispatchOf(submitParts(c, time.Second, 1, "aa", "bad"))
	c.Tick(time.Second, Input{Sent: &Sent{ID: 1, Attempt: d.Attempt}}, Input{First: &FirstEvent{ID: 1, Attempt: d.Attempt}})
	out := c.Tick(2*time.Second, Input{Ended: &AttemptEnded{ID: 1, Attempt: d.Attempt, Result: ResultDone, Status: 200}})
	if e := logged(out, "prompt-part-cleared"); len(e) != 1 {
		t.Errorf("events %+v, want the part to be cleared", e)
	}
	if dispatchOf(submitParts(c, 2*time.Second, 2, "aa", "bad")) == nil {
		t.Error("not dispatched after a complete answer")
	}
}

// TestBrokenAttemptWithoutHeadProvesNothing checks that an attempt that broke before its answer
// began leaves its parts unsuspected.
func TestBrokenAttemptWithoutHeadProvesNothing(t *testing.T) {
	c := newTestCore(t, 0, 1)
	for id := RequestID(1); id < 10; id++ {
		now := time.Duration(id) * time.Second
		d := dispatchOf(submitParts(c, now, id, "bad"))
		if d == nil {
			t.Fatalf("prompt %d was not dispatched", id)
		}
		c.Tick(now, Input{Sent: &Sent{ID: id, Attempt: d.Attempt}})
		out := c.Tick(now, Input{Ended: &AttemptEnded{ID: id, Attempt: d.Attempt, Result: ResultBroken}})
		if checkOf(out) != nil {
			t.Errorf("outputs %+v, want no check", out)
		}
		c.Tick(now, Input{Gone: &CallerGone{ID: id}})
	}
	if parts := c.Dump().Parts; len(parts) != 0 {
		t.Errorf("parts %+v under suspicion, want none", parts)
	}
}

// TestStartingGatewayWaitsForQuarantines checks that a gateway that has just started sends no
// prompt on until it knows the parts in quarantine, and doesn't wait long for seeds that are gone.
func TestStartingGatewayWaitsForQuarantines(t *testing.T) {
	c := newTestCore(t, 0, 2)
	c.Tick(time.Millisecond, tellParts(1, quarantineRow("bad")))
	if out := submitParts(c, 10*time.Millisecond, 1, "aa"); dispatchOf(out) != nil || finishOf(out) != nil {
		t.Errorf("outputs %+v before a full message, want the prompt to wait", out)
	}
	out := slices.Clone(c.Tick(30*time.Millisecond, Input{Peer: &PeerMessage{From: gatewayAddr(1), Incarnation: 9, Versions: &Versions{}}}))
	if d := dispatchOf(out); d == nil || d.ID != 1 {
		t.Errorf("outputs %+v after a full message, want the prompt to be dispatched", out)
	}
	alone := newTestCore(t, 0, 2)
	submitParts(alone, 10*time.Millisecond, 1, "aa")
	var d *Dispatch
	for now := 20 * time.Millisecond; d == nil && now < time.Second; now += 10 * time.Millisecond {
		d = dispatchOf(alone.Tick(now))
		if d != nil && now < learnTimeout || d == nil && now > learnTimeout+20*time.Millisecond {
			t.Errorf("dispatched at %v: %v, want it at %v", now, d != nil, learnTimeout)
		}
	}
	starved := New(Config{
		Incarnation: 1, Addr: gatewayAddr(0), Seeds: []netip.AddrPort{gatewayAddr(1), gatewayAddr(2)},
		Retry: retrybudget.Config{Window: 10 * time.Second}, Placement: DefaultPlacement(),
	})
	starved.Tick(time.Second, Input{Config: testTable(t)}, Input{Endpoints: testEndpoints(18, 0)})
	if dispatchOf(submitParts(starved, 1010*time.Millisecond, 1, "aa")) != nil {
		t.Error("a gateway that has handled no message yet doesn't hold prompts")
	}
	out = slices.Clone(starved.Tick(1100*time.Millisecond, Input{Peer: &PeerMessage{From: gatewayAddr(1), Incarnation: 9, Versions: &Versions{}}}))
	if dispatchOf(out) == nil {
		t.Error("a gateway waits for a second seed long after its start")
	}
	noSeeds := newTestCore(t, 0, 1)
	if dispatchOf(submitParts(noSeeds, 10*time.Millisecond, 1, "aa")) == nil {
		t.Error("a gateway without seeds holds prompts")
	}
}

// TestRestartedGatewayIsToldAtOnce checks that a gateway that restarts before the others have
// missed it gets their full messages within joinDelay, with the parts before them.
func TestRestartedGatewayIsToldAtOnce(t *testing.T) {
	c := newTestCore(t, 0, 2)
	hello := func(incarnation uint64) Input {
		return Input{Peer: &PeerMessage{From: gatewayAddr(1), Incarnation: incarnation, Versions: &Versions{}}}
	}
	c.Tick(time.Second, hello(1), tellParts(1, quarantineRow("bad")))
	for now := time.Second; now < 1100*time.Millisecond; now += time.Millisecond {
		c.Tick(now)
	}
	c.Tick(1100*time.Millisecond, hello(2))
	told := false
	for now := 1100 * time.Millisecond; now <= 1100*time.Millisecond+joinDelay; now += time.Millisecond {
		for _, o := range c.Tick(now) {
			if o.ToPeer == nil {
				continue
			}
			told = told || len(o.ToPeer.Msg.Parts) > 0
			if o.ToPeer.Msg.Versions != nil && !told {
				t.Error("the full message came before the parts")
			}
		}
	}
	if !told {
		t.Errorf("the parts were not sent within %v", joinDelay)
	}
}

// TestQuarantineReachesAllCells checks that the gateways of all cells soon know a quarantine.
func TestQuarantineReachesAllCells(t *testing.T) {
	s := newSimulationWith(t, 100, 200)
	s.run(5 * time.Second)
	s.tick(0, tellParts(1, quarantineRow("bad")))
	s.run(s.now + time.Second)
	missing := 0
	for _, c := range s.cores {
		missing += bit(!slices.ContainsFunc(c.Dump().Parts, func(d PartDump) bool { return d.Quarantined }))
	}
	if missing > 0 {
		t.Errorf("%d of %d gateways don't know the quarantine after a second, want none", missing, len(s.cores))
	}
}

// TestCrashesInSeveralCellsAreOneEvidence checks that a part that crashes engines is soon kept
// from them in a fleet of several cells, of which each sees few of the crashes.
func TestCrashesInSeveralCellsAreOneEvidence(t *testing.T) {
	s := newCrashSim(t, 100, 200, "bad")
	s.run(4 * time.Second)
	for n := 0; s.now < 14*time.Second; n++ {
		s.prompt(n*37%100, "aa", "bad")
		s.prompt(n*53%100, "aa")
		s.run(s.now + 150*time.Millisecond)
	}
	t.Logf("%d cells, %d crashes, %d arrivals", s.cores[0].cells, len(s.crashes), len(s.arrivals))
	if n := s.lateArrivals(); n > maxLateArrivals {
		t.Errorf("%d prompts reached engines later than three seconds after the fifth crash, want at most %d", n, maxLateArrivals)
	}
	for i := range s.cores {
		if got := s.quarantined(i); len(got) != 1 {
			t.Errorf("gateway %d has %v in quarantine, want the part", i, got)
		}
	}
}

// TestMessagesAboutPartsFitDatagrams checks the size of messages while engine after engine ends
// under many parts.
func TestMessagesAboutPartsFitDatagrams(t *testing.T) {
	const maxBytes = 4000
	s := newCrashSim(t, 3, 18, "bad")
	largest := 0
	s.onPeerMessage = func(m *PeerMessage) {
		raw, err := cbor.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		largest = max(largest, len(raw))
	}
	for n := 0; s.now < 8*time.Second; n++ {
		parts := []string{"bad"}
		for i := range 20 {
			parts = append(parts, fmt.Sprintf("p%d-%d", n%7, i))
		}
		s.prompt(n%3, parts...)
		s.run(s.now + 20*time.Millisecond)
	}
	for _, e := range slices.Clone(s.rows) {
		if engine := s.engines[e.ID]; engine != nil {
			s.crash(engine)
		}
	}
	s.run(s.now + 2*time.Second)
	t.Logf("largest message %d bytes", largest)
	if largest > maxBytes || len(s.crashes) == 0 {
		t.Errorf("%d crashes, the largest message has %d bytes, want at most %d", len(s.crashes), largest, maxBytes)
	}
}
