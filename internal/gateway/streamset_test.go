package gateway

import (
	"math/rand/v2"
	"testing"
	"time"
)

// streamSetOf returns the set for short streams in the view of a gateway.
func streamSetOf(c *Core) (streamSet, []candidate) {
	s := c.service(engineService)
	in := Arrival{Route: testRoutes()["short"], Service: engineService, PromptTokens: 4000}
	list := c.candidates(s, &request{in: in})
	set := c.computeStreamSet(s, list)
	set.mark(list)
	return set, list
}

// playFleet returns a simulation of 60 engines whose gateways have heard of each other.
func playFleet(t *testing.T, gateways int) *simulation {
	s := newSimulationWith(t, gateways, 60)
	s.run(2 * time.Second)
	return s
}

// TestShortPromptsWaitBehindOneAnotherWhileEnginesIdle plays a burst of short prompts
// without any long prompt: engines that no long prompt needs must take their share.
func TestShortPromptsWaitBehindOneAnotherWhileEnginesIdle(t *testing.T) {
	s := playFleet(t, 12)
	rng := rand.New(rand.NewPCG(11, 1))
	s.offerLoad(rng, requestRates{short: 300, medium: 0.01, long: 0.01}, time.Second)
	used := 0
	for _, e := range s.engineList {
		used += bit(len(e.prefills)+len(e.decoding) > 0)
	}
	if used < 30 {
		t.Errorf("%d of 60 engines have short streams, want at least 30", used)
	}
	s.run(s.now + 10*time.Second)
	if got, _ := s.shareInTime("short"); got < 0.97 {
		t.Errorf("%.3f of the short prompts in time, want 0.97", got)
	}
}

// TestShortStreamsTakeEnginesOfLongPrompts plays short prompts among many long ones: they
// must leave engines to these.
func TestShortStreamsTakeEnginesOfLongPrompts(t *testing.T) {
	s := playFleet(t, 12)
	rng := rand.New(rand.NewPCG(12, 1))
	s.offerLoad(rng, longPhase.scaled(3), 4*time.Second)
	set, _ := streamSetOf(s.cores[0])
	if set.size > 30 {
		t.Errorf("%d of 60 engines are for %d short streams, want at most 30", set.size, set.streams)
	}
	s.run(s.now + 15*time.Second)
	if got, _ := s.shareInTime("long"); got < 0.85 {
		t.Errorf("%.3f of the long prompts in time, want 0.85", got)
	}
}

// TestSetOutlivesTheDemand plays swings between short and long prompts: the set must
// follow both within two seconds.
func TestSetOutlivesTheDemand(t *testing.T) {
	s := playFleet(t, 12)
	rng := rand.New(rand.NewPCG(13, 1))
	for range 2 {
		s.offerLoad(rng, longPhase.scaled(3), 5*time.Second)
		long, _ := streamSetOf(s.cores[0])
		s.offerLoad(rng, requestRates{short: 300, medium: 0.01, long: 0.01}, 5*time.Second)
		short, _ := streamSetOf(s.cores[0])
		if long.size > 30 || short.size < 40 {
			t.Errorf("%d engines for short streams among long prompts and %d without, want at most 30 and at least 40", long.size, short.size)
		}
	}
	s.run(s.now + 15*time.Second)
	for _, kind := range []string{"short", "long"} {
		if got, _ := s.shareInTime(kind); got < 0.85 {
			t.Errorf("%.3f of the %s prompts in time, want 0.85", got, kind)
		}
	}
}

// TestGatewaysDisagreeOnTheSet plays a mixed load with messages that take 1 to 12 ms. The
// sets of all gateways must nearly be the same soon after the last request.
func TestGatewaysDisagreeOnTheSet(t *testing.T) {
	s := playFleet(t, 12)
	rng := rand.New(rand.NewPCG(14, 1))
	s.dropMessage = func(int, int) bool { // drops none, but delays each differently
		s.peerDelay = time.Duration(1+rng.IntN(12)) * time.Millisecond
		return false
	}
	for round := range 10 {
		rates := shortPhase.scaled(2)
		if round%2 == 1 {
			rates = longPhase.scaled(2)
		}
		s.offerLoad(rng, rates, 500*time.Millisecond)
		s.run(s.now + 30*time.Millisecond) // messages of the last requests arrive
		least, most := 60, 0
		for _, c := range s.cores {
			set, _ := streamSetOf(c)
			least, most = min(least, set.size), max(most, set.size)
		}
		if most-least > 4 { // ends of the last milliseconds are on their way
			t.Errorf("round %d: sets of %d to %d engines", round, least, most)
		}
	}
}
