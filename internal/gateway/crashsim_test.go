package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// crashSim runs gateways and engines that crash on parts of prompts on a virtual clock.
type crashSim struct {
	*simulation
	crashOn  map[string]bool
	engines  map[wire.EndpointID]*crashEngine
	rows     []Registration
	prompts  map[RequestID]*crashPrompt
	all      []*crashPrompt
	starts   int             // of engines
	arrivals []time.Duration // at engines, of prompts that crash them
	crashes  []time.Duration // under such prompts
	byPart   map[string]*partHistory
	events   []Event // of all gateways, in order

	crashOnRequest map[uint64]bool         // fingerprints
	byRequest      map[uint64]*partHistory // of crashOnRequest
	restartAfter   time.Duration           // from a crash to the next instance
}

// partHistory is when prompts with a crashing part, or repetitions of a crashing request, reached engines and crashed them.
type partHistory struct{ arrivals, crashes []time.Duration }

// crashEngine is one life of an engine.
type crashEngine struct {
	registration Registration
	down         bool
	running      []crashRun
}

type crashRun struct {
	gateway int
	Dispatch
}

// crashPrompt is a request and its outcome.
type crashPrompt struct {
	gateway  int
	parts    []string
	request  uint64 // fingerprint; 0: a prompt
	at       time.Duration
	attempts int // that reached an engine
	finish   *Finish
	endedAt  time.Duration
}

// Times of the engines: from the dispatch to the answer's begin, from there to its end or to
// the crash, and from the crash to the next instance.
const (
	crashSimFirst   = 6 * time.Millisecond
	crashSimAnswer  = 40 * time.Millisecond
	crashSimCrash   = 20 * time.Millisecond
	crashSimRestart = 300 * time.Millisecond
)

func newCrashSim(t testing.TB, gateways, engines int, crashOn ...string) *crashSim {
	s := &crashSim{
		simulation: newSimulationWith(t, gateways, engines),
		crashOn:    make(map[string]bool), engines: make(map[wire.EndpointID]*crashEngine), prompts: make(map[RequestID]*crashPrompt),
		byPart: make(map[string]*partHistory), crashOnRequest: make(map[uint64]bool), byRequest: make(map[uint64]*partHistory),
		restartAfter: crashSimRestart,
	}
	for _, p := range crashOn {
		s.crashOn[p] = true
	}
	s.rows = testEndpoints(engines, 3).Rows
	for _, r := range s.rows {
		s.engines[r.ID] = &crashEngine{registration: r}
	}
	s.onOutput = s.output
	s.run(time.Second)
	return s
}

// prompt submits a request whose prompt has these shared parts.
func (s *crashSim) prompt(gateway int, parts ...string) *crashPrompt {
	s.lastID++
	r := testRoutes()["short"]
	p := &crashPrompt{gateway: gateway, parts: parts, at: s.now}
	s.prompts[s.lastID] = p
	s.all = append(s.all, p)
	s.tick(gateway, Input{Arrive: &Arrival{
		ID: s.lastID, RequestID: fmt.Sprint(s.lastID), Route: r, Service: engineService,
		PromptTokens: 400, MaxOutputTokens: 100, SharedParts: parts, Deadline: s.now + r.Timeout,
	}})
	return p
}

// request submits a request with a fingerprint to the plain service.
func (s *crashSim) request(gateway int, kind string, fingerprint uint64) *crashPrompt {
	s.lastID++
	r := testRoutes()[kind]
	p := &crashPrompt{gateway: gateway, request: fingerprint, at: s.now}
	s.prompts[s.lastID] = p
	s.all = append(s.all, p)
	s.tick(gateway, Input{Arrive: &Arrival{
		ID: s.lastID, RequestID: fmt.Sprint(s.lastID), Route: r, Service: plainService, Fingerprint: fingerprint, Deadline: s.now + r.Timeout,
	}})
	return p
}

func (s *crashSim) output(gateway int, out Output) bool {
	switch {
	case out.Dispatch != nil:
		d := *out.Dispatch
		s.schedule(time.Millisecond, func() { s.arrive(gateway, d) })
	case out.Finish != nil:
		p := s.prompts[out.Finish.ID]
		p.finish, p.endedAt = out.Finish, s.now
	case out.Check != nil:
		s.schedule(time.Millisecond, func() { s.check(gateway, *out.Check) })
	case out.Log != nil:
		s.events = append(s.events, *out.Log)
	default:
		return false
	}
	return true
}

// arrive begins an attempt at its engine.
func (s *crashSim) arrive(gateway int, d Dispatch) {
	e, p := s.engines[d.Endpoint], s.prompts[d.ID]
	if p == nil {
		return // its gateway has been restarted
	}
	if e == nil || e.down {
		s.tick(gateway, Input{Ended: &AttemptEnded{ID: d.ID, Attempt: d.Attempt, Result: ResultUnreachable}})
		return
	}
	p.attempts++
	crashing := s.crashOnRequest[p.request] || slices.ContainsFunc(p.parts, func(part string) bool { return s.crashOn[part] })
	if crashing {
		s.arrivals = append(s.arrivals, s.now)
		for _, h := range s.histories(p) {
			h.arrivals = append(h.arrivals, s.now)
		}
	}
	s.tick(gateway, Input{Sent: &Sent{ID: d.ID, Attempt: d.Attempt}})
	run := crashRun{gateway, d}
	if e.registration.Service == plainService {
		s.runPlain(e, run, p, crashing)
		return
	}
	s.schedule(crashSimFirst, func() {
		if e.down {
			s.tick(gateway, Input{Ended: &AttemptEnded{ID: d.ID, Attempt: d.Attempt, Result: ResultBroken}})
			return
		}
		e.running = append(e.running, run)
		s.tick(gateway, Input{First: &FirstEvent{ID: d.ID, Attempt: d.Attempt}})
		if crashing {
			s.schedule(crashSimCrash, func() {
				if !e.down {
					s.crashes = append(s.crashes, s.now)
					for _, h := range s.histories(p) {
						h.crashes = append(h.crashes, s.now)
					}
				}
				s.crash(e)
			})
			return
		}
		s.schedule(crashSimAnswer, func() { s.complete(e, run) })
	})
}

// runPlain runs a request at the endpoint of a plain service, which answers only at the end.
func (s *crashSim) runPlain(e *crashEngine, run crashRun, p *crashPrompt, crashing bool) {
	e.running = append(e.running, run)
	if !crashing {
		s.schedule(crashSimAnswer, func() { s.complete(e, run) })
		return
	}
	s.schedule(crashSimCrash, func() {
		if !e.down {
			s.crashes = append(s.crashes, s.now)
			for _, h := range s.histories(p) {
				h.crashes = append(h.crashes, s.now)
			}
		}
		s.crash(e)
	})
}

func (s *crashSim) complete(e *crashEngine, run crashRun) {
	if e.down {
		return
	}
	e.running = slices.DeleteFunc(e.running, func(r crashRun) bool { return r.ID == run.ID && r.gateway == run.gateway })
	s.tick(run.gateway, Input{Ended: &AttemptEnded{ID: run.ID, Attempt: run.Attempt, Result: ResultDone, Status: 200}})
}

// crash ends an engine and the answers that it had begun. Its next instance has another ID.
func (s *crashSim) crash(e *crashEngine) {
	if e.down {
		return
	}
	e.down = true
	for _, r := range e.running {
		end := AttemptEnded{ID: r.ID, Attempt: r.Attempt, Result: ResultBroken, Resumable: true}
		if e.registration.Service == engineService {
			end.Status, end.PartlyDelivered = 200, true
		}
		s.tick(r.gateway, Input{Ended: &end})
	}
	s.schedule(s.restartAfter, func() { s.restart(e) })
}

func (s *crashSim) restart(e *crashEngine) {
	s.starts++
	r := e.registration
	s.rows = slices.DeleteFunc(slices.Clone(s.rows), func(x Registration) bool { return x.ID == r.ID })
	r.ID, r.Born = wire.EndpointID(fmt.Sprintf("n-%03d", s.starts)), int64(s.starts)
	s.engines[r.ID] = &crashEngine{registration: r}
	s.rows = append(s.rows, r)
	for i := range s.cores {
		s.tick(i, Input{Endpoints: &Endpoints{Rows: s.rows, Revision: uint64(s.starts + 1)}})
	}
}

func (s *crashSim) check(gateway int, c InstanceCheck) {
	e := s.engines[c.Endpoint]
	s.tick(gateway, Input{Instance: &InstanceState{Endpoint: c.Endpoint, Addr: c.Addr, Runs: !e.down, Ended: e.down}})
}

// histories returns those of the crashing parts of a prompt.
func (s *crashSim) histories(p *crashPrompt) []*partHistory {
	var out []*partHistory
	if s.crashOnRequest[p.request] {
		if s.byRequest[p.request] == nil {
			s.byRequest[p.request] = new(partHistory)
		}
		out = append(out, s.byRequest[p.request])
	}
	for _, part := range p.parts {
		if !s.crashOn[part] {
			continue
		}
		if s.byPart[part] == nil {
			s.byPart[part] = new(partHistory)
		}
		out = append(out, s.byPart[part])
	}
	return out
}

// lateArrivals returns how many prompts with one crashing part reached an engine later than
// three seconds after the fifth crash under it, or after the last if there were fewer: the most
// of any part.
func (s *crashSim) lateArrivals() int {
	if len(s.crashes) == 0 {
		s.t.Fatal("no engine has crashed")
	}
	most := 0
	for _, h := range s.byPart {
		if len(h.crashes) == 0 {
			continue
		}
		from := h.crashes[min(len(h.crashes), 5)-1] + 3*time.Second
		n := 0
		for _, at := range h.arrivals {
			n += bit(at > from)
		}
		most = max(most, n)
	}
	return most
}

// quarantined returns the parts that a gateway has in quarantine.
func (s *crashSim) quarantined(gateway int) []string {
	var parts []string
	for _, d := range s.cores[gateway].Dump().Parts {
		if d.Quarantined {
			parts = append(parts, d.Part)
		}
	}
	slices.Sort(parts)
	return parts
}
