package gateway

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var (
	requestSeeds     = flag.Int("request.seeds", 1, "seeds of each simulated fleet with crashing requests")
	firstRequestSeed = flag.Uint64("request.first", 0, "first of these seeds")
)

const (
	// At most maxLateRepetitions of a request may reach endpoints later than three seconds after
	// the third crash under it.
	maxLateRepetitions = 3

	popularRequest = 5000
)

// lateRepetitions returns how many repetitions of one crashing request reached an endpoint later
// than three seconds after the third crash under it: the most of any.
func (s *crashSim) lateRepetitions() int {
	most := 0
	for _, h := range s.byRequest {
		if len(h.crashes) < 3 {
			continue
		}
		n := 0
		for _, at := range h.arrivals {
			n += bit(at > h.crashes[2]+3*time.Second)
		}
		most = max(most, n)
	}
	return most
}

// requestCase is a fleet before a plain service, and requests that crash its endpoints.
type requestCase struct {
	name            string
	gateways, plain int
	kind            string
	crashing        int           // requests that crash endpoints
	interval        time.Duration // between repetitions
	trouble         func(s *crashSim, rng *rand.Rand)
}

var requestCases = []requestCase{
	{"safe, three endpoints", 5, 3, "safe", 1, 500 * time.Millisecond, nil},
	{"unsafe, three endpoints", 5, 3, "unsafe", 1, 500 * time.Millisecond, nil},
	{"safe, ten endpoints", 3, 10, "safe", 1, 150 * time.Millisecond, nil},
	{"unsafe, ten endpoints", 3, 10, "unsafe", 1, 150 * time.Millisecond, nil},
	{"two at once", 5, 10, "safe", 2, 300 * time.Millisecond, nil},
	{"seldom", 5, 5, "safe", 1, 3 * time.Second, nil},
	{"68 gateways", 68, 5, "safe", 1, 200 * time.Millisecond, nil},
	{"gateways that restart", 5, 5, "safe", 1, 200 * time.Millisecond, func(s *crashSim, rng *rand.Rand) {
		for at := 2 * time.Second; at < 25*time.Second; at += 1500 * time.Millisecond {
			s.schedule(at, func() { s.restartGateway(rng.IntN(len(s.cores))) })
		}
	}},
	{"lost messages", 5, 5, "safe", 1, 200 * time.Millisecond, func(s *crashSim, rng *rand.Rand) {
		s.dropMessage = func(int, int) bool { return rng.IntN(10) == 0 }
	}},
	{"endpoints that also end for other reasons", 5, 10, "safe", 1, 300 * time.Millisecond, func(s *crashSim, rng *rand.Rand) {
		s.crashAtRandom(rng, 2*time.Second, 25*time.Second)
	}},
}

// restartGateway replaces a gateway by one that has just started.
func (s *crashSim) restartGateway(i int) {
	s.starts++
	c := newTestCore(s.t, i, min(len(s.cores), testSeeds))
	c.cfg.Incarnation = uint64(1000 + s.starts)
	for id, p := range s.prompts {
		if p.gateway == i && p.finish == nil {
			delete(s.prompts, id)
		}
	}
	for _, e := range s.engines {
		e.running = slices.DeleteFunc(e.running, func(r crashRun) bool { return r.gateway == i })
	}
	s.cores[i] = c
	s.tick(i, Input{Endpoints: &Endpoints{Rows: s.rows, Revision: 1}})
}

// crashAtRandom lets an endpoint of the plain service end about every interval.
func (s *crashSim) crashAtRandom(rng *rand.Rand, interval, until time.Duration) {
	s.schedule(time.Duration((0.5+rng.Float64())*float64(interval)), func() {
		if s.now >= until {
			return
		}
		var up []*crashEngine
		for _, r := range s.rows {
			if e := s.engines[r.ID]; r.Service == plainService && !e.down {
				up = append(up, e)
			}
		}
		if len(up) > 1 {
			s.crash(up[rng.IntN(len(up))])
		}
		s.crashAtRandom(rng, interval, until)
	})
}

// newRequestSim returns a simulation with a number of endpoints of the plain service, which are
// back three seconds after a crash.
func newRequestSim(t testing.TB, gateways, plain int) *crashSim {
	s := newCrashSim(t, gateways, 2)
	s.restartAfter = 3 * time.Second
	s.rows = testEndpoints(2, plain).Rows
	for _, r := range s.rows {
		if s.engines[r.ID] == nil {
			s.engines[r.ID] = &crashEngine{registration: r}
		}
	}
	for i := range s.cores {
		s.tick(i, Input{Endpoints: &Endpoints{Rows: s.rows, Revision: 1}})
	}
	return s
}

// play sends the crashing requests, requests that occur once, and one that is always the same.
func (c *requestCase) play(t *testing.T, seed uint64) *crashSim {
	rng := rand.New(rand.NewPCG(seed, 2))
	s := newRequestSim(t, c.gateways, c.plain)
	for i := range c.crashing {
		s.crashOnRequest[uint64(i+1)] = true
	}
	if c.trouble != nil {
		c.trouble(s, rng)
	}
	const end = 30 * time.Second
	next := time.Duration(0)
	for n := uint64(10_000); s.now < end; n++ {
		if s.now >= next {
			next = s.now + time.Duration((0.5+rng.Float64())*float64(c.interval))
			for i := range c.crashing {
				s.request(rng.IntN(c.gateways), c.kind, uint64(i+1))
			}
		}
		s.request(rng.IntN(c.gateways), []string{"safe", "unsafe"}[n%2], n)
		s.request(rng.IntN(c.gateways), "safe", popularRequest)
		s.run(s.now + time.Duration(10+rng.IntN(40))*time.Millisecond)
	}
	s.run(s.now + time.Second)
	return s
}

// refused returns how many sound requests of a time were refused although endpoints were up, and
// how many there were.
func (s *crashSim) refusedSound(from time.Duration) (refused, all int) {
	for _, p := range s.all {
		if s.crashOnRequest[p.request] || p.at < from {
			continue
		}
		all++
		refused += bit(p.finish != nil && p.finish.Verdict == VerdictRefused)
	}
	return refused, all
}

func TestRequestThatCrashesEndpointsReachesFewMore(t *testing.T) {
	for _, c := range requestCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := *firstRequestSeed; seed < *firstRequestSeed+uint64(*requestSeeds); seed++ {
				s := c.play(t, seed)
				if len(s.crashes) == 0 {
					t.Fatalf("seed %d: no endpoint has crashed", seed)
				}
				if n := s.lateRepetitions(); n > maxLateRepetitions {
					t.Errorf("seed %d: %d repetitions reached endpoints later than three seconds after the third crash, want at most %d", seed, n, maxLateRepetitions)
				}
				if refused, all := s.refusedSound(15 * time.Second); refused > all/50 {
					t.Errorf("seed %d: %d of %d sound requests were refused in the second half", seed, refused, all)
				}
			}
		})
	}
}

// TestUnrelatedCrashesCondemnNoRequest plays endpoints that end one by one or all at once while a
// request that is always the same runs on them.
func TestUnrelatedCrashesCondemnNoRequest(t *testing.T) {
	for seed := *firstRequestSeed; seed < *firstRequestSeed+uint64(*requestSeeds); seed++ {
		for _, interval := range []time.Duration{0, 100 * time.Millisecond, 700 * time.Millisecond} {
			rng := rand.New(rand.NewPCG(seed, 3))
			s := newRequestSim(t, 5, 12)
			s.restartAfter = time.Second
			if interval > 0 {
				s.crashAtRandom(rng, interval, 20*time.Second)
			}
			for n := uint64(10_000); s.now < 20*time.Second; n++ {
				for range 3 {
					s.request(rng.IntN(5), "safe", popularRequest)
				}
				s.request(rng.IntN(5), "safe", 6000+n%7)
				if interval == 0 && n%100 == 99 {
					for _, e := range s.endpointsOf(plainService)[:8] {
						s.crash(e)
					}
				}
				s.run(s.now + time.Duration(5+rng.IntN(20))*time.Millisecond)
			}
			s.run(s.now + time.Second)
			for _, p := range s.all {
				if p.finish != nil && p.finish.Verdict == VerdictRefused && p.finish.Reason != ReasonUnreachable && p.finish.Reason != ReasonNoEndpoint {
					t.Errorf("seed %d, interval %v: request %d of %v was refused: %+v", seed, interval, p.request, p.at, p.finish)
					break
				}
			}
		}
	}
}

// endpointsOf returns the endpoints of a service that are up, in order of their registration.
func (s *crashSim) endpointsOf(service string) []*crashEngine {
	var up []*crashEngine
	for _, r := range s.rows {
		if e := s.engines[r.ID]; r.Service == service && !e.down {
			up = append(up, e)
		}
	}
	return up
}
