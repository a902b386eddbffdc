package poison

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// simulation is a fleet of gateways and engines in virtual time. Its gateways exchange
// rows by messages that are delayed and lost.
type simulation struct {
	cfg      simConfig
	rng      *rand.Rand
	now      time.Duration
	queue    simQueue
	seq      int
	gateways []*simGateway
	engines  []*simEngine
	nextLife Life

	crashes       []time.Duration // of all engines
	deadlyCrashes []time.Duration // under a guilty part
	guiltySent    []time.Duration // requests with a deadly part that reached an engine
	quarantined   map[Part]int    // quarantines, counted at each gateway
	condemned     map[Part]int    // looks at a gateway that refuses the part by itself
	sound         map[Part]*tally // sound requests, by first part
	trials        int
}

// simConfig is what differs between scenarios.
type simConfig struct {
	seed        uint64
	duration    time.Duration
	guilty      []simSource
	crashEngine func(s *simulation)
	harmlessAt  time.Duration // from when on guilty parts crash nothing; zero: never
}

// simSource makes requests with these parts.
type simSource struct {
	rate     float64 // a second
	burst    int     // requests that come together
	parts    func(s *simulation) []Part
	deadly   bool
	answer   time.Duration
	gateway  int // at this gateway only, counted from one; zero: at any
	from, to time.Duration
}

type tally struct{ arrived, begun, completed int }

type simGateway struct {
	index    int
	table    *Table
	cutUntil time.Duration
}

type simEngine struct {
	life    Life
	up      bool
	running []*simAttempt
}

type simRequest struct {
	parts    []Part
	deadly   bool
	answer   time.Duration
	gateway  int // zero: any
	retried  bool
	attempts int
	waited   time.Duration
	tally    *tally
	begun    bool
}

type simAttempt struct {
	r      *simRequest
	g      *simGateway
	e      *simEngine
	life   Life
	begun  bool
	ended  bool
	broken bool
}

const (
	simGateways = 5
	simEngines  = 18
	simShared   = 60
	simLoss     = 0.1
	simRows     = 4 // in a full message
)

const (
	sharedBase = Part(1000)
	rareBase   = Part(2000)
	guiltyPart = Part(7)
	guiltyTwo  = Part(9)
)

func newSimulation(cfg simConfig) *simulation {
	s := &simulation{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.seed, 1)),
		condemned: make(map[Part]int), quarantined: make(map[Part]int), sound: make(map[Part]*tally), nextLife: 100,
	}
	for i := range simGateways {
		s.gateways = append(s.gateways, &simGateway{index: i, table: New(Config{Gateway: uint64(i + 1)})})
	}
	for range simEngines {
		s.nextLife++
		s.engines = append(s.engines, &simEngine{life: s.nextLife, up: true})
	}
	return s
}

func (s *simulation) run() {
	popular := simSource{rate: 40, answer: 1500 * time.Millisecond, parts: func(s *simulation) []Part { return []Part{s.shared()} }}
	rare := simSource{rate: 1.2, answer: 4 * time.Second, parts: func(s *simulation) []Part { return []Part{rareBase + Part(s.rng.IntN(simShared))} }}
	for _, src := range slices.Concat([]simSource{popular, rare}, s.cfg.guilty) {
		s.after(src.from+s.between(0, time.Second), func() { s.arrive(src) })
	}
	for _, g := range s.gateways {
		s.after(s.between(0, 250*time.Millisecond), func() { s.sendFull(g) })
		s.after(s.between(0, 5*time.Millisecond), func() { s.sendChanged(g) })
	}
	if s.cfg.crashEngine != nil {
		s.cfg.crashEngine(s)
	}
	for len(s.queue) > 0 {
		next := heap.Pop(&s.queue).(simEvent)
		if next.at > s.cfg.duration {
			return
		}
		s.now = next.at
		next.do()
	}
}

// shared returns a shared part; a few of them are in most requests.
func (s *simulation) shared() Part {
	x := s.rng.Float64()
	return sharedBase + Part(x*x*x*simShared)
}

func (s *simulation) between(from, to time.Duration) time.Duration {
	return from + time.Duration(s.rng.Int64N(int64(to-from)))
}

func (s *simulation) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{at: s.now + d, seq: s.seq, do: do})
}

func (s *simulation) arrive(src simSource) {
	if src.to > 0 && s.now > src.to {
		return
	}
	n := max(src.burst, 1)
	for range n {
		r := &simRequest{parts: src.parts(s), deadly: src.deadly, answer: src.answer, gateway: src.gateway}
		if r.tally = s.sound[r.parts[0]]; r.tally == nil || src.deadly {
			r.tally = &tally{}
		}
		if !src.deadly {
			s.sound[r.parts[0]] = r.tally
		}
		r.tally.arrived++
		s.after(s.between(0, 20*time.Millisecond), func() { s.receive(r) })
	}
	gap := time.Duration(s.rng.ExpFloat64() * float64(n) / src.rate * float64(time.Second))
	s.after(gap, func() { s.arrive(src) })
}

// receive brings a request to a gateway, at first or by the client's retry.
func (s *simulation) receive(r *simRequest) {
	i := s.rng.IntN(simGateways)
	if r.gateway > 0 {
		i = r.gateway - 1
	}
	r.attempts, r.waited = 0, 0
	s.place(s.gateways[i], r)
}

func (s *simulation) fail(r *simRequest) {
	if !r.retried {
		r.retried = true
		s.after(50*time.Millisecond, func() { s.receive(r) })
	}
}

// wait places a request again later, for a limited time.
func (s *simulation) wait(g *simGateway, r *simRequest, d time.Duration) {
	if r.waited += d; r.waited > 3*time.Second {
		s.fail(r)
		return
	}
	s.after(d, func() { s.place(g, r) })
}

func (s *simulation) place(g *simGateway, r *simRequest) {
	var up []*simEngine
	for _, e := range s.engines {
		if e.up {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		s.wait(g, r, 100*time.Millisecond)
		return
	}
	switch d := g.table.Decide(s.now, r.parts, s.live(g)); d.Verdict {
	case Held:
		s.wait(g, r, d.RetryAfter)
		return
	case Refused:
		s.fail(r)
		return
	case Trial:
		s.trials++
	}
	s.send(g, r, up[s.rng.IntN(len(up))])
}

// live returns the gateways that g hears.
func (s *simulation) live(g *simGateway) []uint64 {
	var live []uint64
	for _, p := range s.gateways {
		if p == g || s.connected(g, p) {
			live = append(live, p.table.cfg.Gateway)
		}
	}
	return live
}

func (s *simulation) connected(a, b *simGateway) bool {
	return s.now >= a.cutUntil && s.now >= b.cutUntil
}

type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}
