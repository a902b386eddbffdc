package gateway

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/enginecost"
	"trefoilpath.org/trefoilpath/internal/retrybudget"
	"trefoilpath.org/trefoilpath/internal/route"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// testEngine are the constants that the platform publishes for its engines.
func testEngine() *enginecost.Params {
	return &enginecost.Params{
		Slots: 16, MemoryTokens: 450_000, Stride: 46,
		Step: 925 * time.Microsecond, StepPerSequence: 4830 * time.Nanosecond, StepPerContext: 2540 * time.Nanosecond,
		ReadPerSecond: 256_000, PairsPerMillion: 91_700 * time.Nanosecond, Chunk: 2048, MaxHelpers: 16,
	}
}

const (
	engineService = "engine"
	plainService  = "plain"
)

func testRoutes() map[string]*route.Route {
	stream := func(name string, objective, pause time.Duration) *route.Route {
		return &route.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: route.KindStream, Resumable: true,
			Timeout: 15 * time.Second, Objective: objective, PauseObjective: pause, Attempts: 2,
			Targets: []route.Target{{Service: engineService, Weight: 1}},
		}
	}
	plain := func(name string, kind route.Kind, attempts int) *route.Route {
		return &route.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: 600 * time.Millisecond,
			Objective: 100 * time.Millisecond, Attempts: attempts,
			Targets: []route.Target{{Service: plainService, Weight: 1}},
		}
	}
	return map[string]*route.Route{
		"short":  stream("short", 300*time.Millisecond, 200*time.Millisecond),
		"medium": stream("medium", 1500*time.Millisecond, 500*time.Millisecond),
		"long":   stream("long", 3*time.Second, 800*time.Millisecond),
		"safe":   plain("safe", route.KindSafe, 2),
		"unsafe": plain("unsafe", route.KindUnsafe, 1),
	}
}

func testTable(t testing.TB) *route.Table {
	t.Helper()
	cfg := &route.Config{Version: 1, Services: []route.Service{
		{Name: engineService, Engine: testEngine()}, {Name: plainService},
	}}
	for _, name := range []string{"short", "medium", "long", "safe", "unsafe"} {
		cfg.Routes = append(cfg.Routes, *testRoutes()[name])
	}
	table, err := route.Compile(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func testEndpoints(engines, plain int) *Endpoints {
	in := &Endpoints{Revision: 1}
	for i := range engines {
		in.Rows = append(in.Rows, Registration{
			ID: wire.EndpointID(fmt.Sprintf("e-%02d", i)), Service: engineService, Addr: fmt.Sprintf("10.0.1.%d:80", i+1), Slots: 16,
		})
	}
	for i := range plain {
		in.Rows = append(in.Rows, Registration{
			ID: wire.EndpointID(fmt.Sprintf("p-%02d", i)), Service: plainService, Addr: fmt.Sprintf("10.0.2.%d:80", i+1), Slots: 6,
		})
	}
	return in
}

func gatewayAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000)
}

func newTestCore(t testing.TB, i, gateways int) *Core {
	t.Helper()
	var seeds []netip.AddrPort
	for j := range gateways {
		if j != i {
			seeds = append(seeds, gatewayAddr(j))
		}
	}
	c := New(Config{
		Incarnation: uint64(i + 1), Addr: gatewayAddr(i), Seeds: seeds,
		Retry: retrybudget.Config{Ratio: 0.2, Slack: 100, Window: 10 * time.Second},
		Place: DefaultPlace(),
	})
	c.Tick(0, Input{Config: testTable(t)}, Input{Endpoints: testEndpoints(18, 3)})
	return c
}

// simRead is a prompt, or a part of one, that a simulated engine reads.
type simRead struct {
	job   *simJob
	left  time.Duration
	joint bool
}

// simJob is a request in the simulation.
type simJob struct {
	gateway int
	id      RequestID
	attempt int
	kind    string
	from    caller
	arrived time.Duration
	parts   int // still being read
	events  int // still to be written
	at      *simEngine
	first   time.Duration
	last    time.Duration
	pause   time.Duration // longest
	done    bool
	refused bool
	n       int           // engines that read it
	sent    time.Duration // to its engines
	pred    time.Duration // time to its first event, as predicted
}

// simEngine works in passes: the newest joint parts first, then other reads in
// order, a chunk a step; writers get an event at the end of a pass.
type simEngine struct {
	id      wire.EndpointID
	p       *enginecost.Params
	reads   []*simRead
	writers []*simJob
	busy    time.Duration // end of the current pass
	inPass  []*simRead
	wrote   bool

	readTime time.Duration // spent on prompts
}

// startPass begins a pass at now and returns whether there is work.
func (e *simEngine) startPass(now time.Duration) bool {
	if len(e.reads) == 0 && len(e.writers) == 0 {
		return false
	}
	e.wrote = len(e.writers) > 0
	limit := e.p.Step * 9      // one chunk
	length := time.Duration(0) // the step of a chunk is part of its read time
	if e.wrote {
		limit = time.Duration(e.p.Stride) * 9 * e.p.Step
		length = e.p.Strides(len(e.writers), 0)
	}
	e.inPass = e.inPass[:0]
	for _, joint := range []bool{true, false} {
		for n := range e.reads {
			r := e.reads[n]
			if joint {
				r = e.reads[len(e.reads)-1-n]
			}
			if r.joint != joint || limit <= 0 {
				continue
			}
			d := min(r.left, limit)
			r.left -= d
			e.readTime += d
			limit -= d
			length += d
			if r.left == 0 {
				e.inPass = append(e.inPass, r)
			}
		}
	}
	e.busy = now + length
	return true
}

// simulation runs gateways and engines on a virtual clock.
type simulation struct {
	t        testing.TB
	now      time.Duration
	cores    []*Core
	engines  map[wire.EndpointID]*simEngine
	byAddr   map[string]*simEngine
	order    []*simEngine
	events   []simEvent
	sequence int
	jobs     map[[2]uint64]*simJob
	all      []*simJob
	delay    time.Duration           // of a message between gateways
	cut      func(from, to int) bool // loses messages between gateways
	sent     func(*PeerMessage)
	newer    map[int]bool // gateways that have heard of a newer version
	prompts  map[*simJob]int64
	lastID   RequestID
}

type simEvent struct {
	at       time.Duration
	sequence int
	do       func()
}

func newSimulation(t testing.TB, gateways int) *simulation { return newFleet(t, gateways, 18) }

// testSeeds is the number of gateways that each one is told of at its start.
const testSeeds = 3

// newFleet returns gateways that know the first few of them, before engines.
func newFleet(t testing.TB, gateways, engines int) *simulation {
	s := &simulation{
		newer: make(map[int]bool),
		t:     t, engines: make(map[wire.EndpointID]*simEngine), byAddr: make(map[string]*simEngine),
		jobs: make(map[[2]uint64]*simJob), delay: time.Millisecond,
		prompts: make(map[*simJob]int64),
	}
	for _, reg := range testEndpoints(engines, 0).Rows {
		e := &simEngine{id: reg.ID, p: testEngine()}
		s.engines[reg.ID], s.byAddr[reg.Addr] = e, e
		s.order = append(s.order, e)
	}
	for i := range gateways {
		c := newTestCore(t, i, min(gateways, testSeeds))
		c.Tick(0, Input{Endpoints: testEndpoints(engines, 3)})
		s.cores = append(s.cores, c)
	}
	return s
}

func (s *simulation) after(d time.Duration, do func()) {
	s.sequence++
	e := simEvent{s.now + d, s.sequence, do}
	i, _ := slices.BinarySearchFunc(s.events, e, func(a, b simEvent) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.sequence, b.sequence))
	})
	s.events = slices.Insert(s.events, i, e)
}

// run advances the clock to end.
func (s *simulation) run(end time.Duration) {
	for {
		next := end
		if len(s.events) > 0 {
			next = min(next, s.events[0].at)
		}
		for _, c := range s.cores {
			next = min(next, max(c.Next(), s.now))
		}
		if next >= end {
			s.now = end
			return
		}
		s.now = next
		for len(s.events) > 0 && s.events[0].at <= s.now {
			e := s.events[0]
			s.events = s.events[1:]
			e.do()
		}
		for i, c := range s.cores {
			if c.Next() <= s.now {
				s.tick(i)
			}
		}
	}
}

func (s *simulation) tick(i int, in ...Input) {
	for _, out := range slices.Clone(s.cores[i].Tick(s.now, in...)) {
		switch {
		case out.Dispatch != nil:
			s.dispatch(i, out.Dispatch)
		case out.Finish != nil:
			if j := s.jobs[[2]uint64{uint64(i), uint64(out.Finish.ID)}]; out.Finish.Verdict == VerdictRefused {
				j.refused = true
			}
		case out.Newer != nil:
			s.newer[i] = true
		case out.ToPeer != nil:
			to := s.at(out.ToPeer.Addr)
			if to < 0 || s.cut != nil && s.cut(i, to) {
				continue
			}
			if s.sent != nil {
				s.sent(out.ToPeer.Msg)
			}
			m := *out.ToPeer.Msg
			m.From = gatewayAddr(i)
			s.after(s.delay, func() { s.tick(to, Input{Peer: &m}) })
		}
	}
}

// at returns the number of the gateway with an address, or -1.
func (s *simulation) at(addr netip.AddrPort) int {
	return slices.IndexFunc(s.cores, func(c *Core) bool { return c.cfg.Addr == addr })
}

// arrive gives a request to a gateway.
func (s *simulation) arrive(gateway int, kind string, prompt int64, events int) {
	s.arriveFrom(gateway, caller{}, kind, prompt, events)
}

// caller is the client account of a request and its rank.
type caller struct {
	account  string
	priority int
}

func (s *simulation) arriveFrom(gateway int, from caller, kind string, prompt int64, events int) {
	s.lastID++
	r := testRoutes()[kind]
	j := &simJob{gateway: gateway, id: s.lastID, kind: kind, from: from, arrived: s.now, events: events}
	s.jobs[[2]uint64{uint64(gateway), uint64(j.id)}] = j
	s.all = append(s.all, j)
	s.prompts[j] = prompt
	s.tick(gateway, Input{Arrive: &Arrive{
		ID: j.id, RequestID: fmt.Sprint(j.id), Route: r, Service: engineService,
		Account: from.account, Priority: from.priority,
		Prompt: prompt, Output: int64(events * 46), Deadline: s.now + r.Timeout,
	}})
}

func (s *simulation) dispatch(gateway int, d *Dispatch) {
	j := s.jobs[[2]uint64{uint64(gateway), uint64(d.ID)}]
	j.attempt = d.Attempt
	core := s.cores[gateway]
	w := core.requests.Get(d.ID).work
	part, n := w.partTime, len(w.endpoints)
	j.n, j.sent, j.pred = n, s.now, core.requests.Get(d.ID).predictedFirst-s.now
	engines := []*simEngine{s.engines[d.Endpoint]}
	for _, h := range d.Helpers {
		engines = append(engines, s.byAddr[h.Addr])
	}
	s.after(time.Millisecond, func() {
		j.at = engines[0]
		j.parts = n
		for _, e := range engines {
			e.reads = append(e.reads, &simRead{job: j, left: part, joint: n > 1})
			s.wake(e)
		}
	})
}

func (s *simulation) wake(e *simEngine) {
	if e.busy > s.now {
		return
	}
	if e.startPass(s.now) {
		s.after(e.busy-s.now, func() { s.endPass(e) })
	}
}

func (s *simulation) endPass(e *simEngine) {
	if e.wrote {
		e.writers = slices.DeleteFunc(e.writers, func(j *simJob) bool { return s.event(j) })
	}
	for _, r := range e.inPass {
		e.reads = slices.DeleteFunc(e.reads, func(x *simRead) bool { return x == r })
		r.job.parts--
		if r.job.parts == 0 {
			j := r.job
			j.at.writers = append(j.at.writers, j)
			s.event(j)
			s.wake(j.at)
		}
	}
	s.wake(e)
}

// event delivers an event of j and reports whether it was the last.
func (s *simulation) event(j *simJob) bool {
	if j.first == 0 {
		j.first = s.now
		s.after(time.Millisecond, func() { s.tick(j.gateway, Input{First: &FirstEvent{ID: j.id, Attempt: j.attempt}}) })
	} else {
		j.pause = max(j.pause, s.now-j.last)
	}
	j.last = s.now
	j.events--
	if j.events > 0 {
		return false
	}
	j.done = true
	s.after(time.Millisecond, func() {
		s.tick(j.gateway, Input{Ended: &Ended{ID: j.id, Attempt: j.attempt, Result: ResultDone, Status: 200}})
	})
	return true
}

// inTime returns the share of a kind's requests whose first event and pauses
// kept to the objectives, and the share that was served at all.
func (s *simulation) inTime(kind string) (inTime, served float64) {
	return s.inTimeOf(func(j *simJob) bool { return j.kind == kind })
}

func (s *simulation) inTimeOf(which func(*simJob) bool) (inTime, served float64) {
	all, good, done := 0, 0, 0
	for _, j := range s.all {
		if !which(j) {
			continue
		}
		r := testRoutes()[j.kind]
		all++
		if j.done {
			done++
			if j.first-j.arrived <= r.Objective && j.pause <= r.PauseObjective {
				good++
			}
		}
	}
	return float64(good) / float64(max(all, 1)), float64(done) / float64(max(all, 1))
}
