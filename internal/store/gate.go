package store

import (
	"math/rand/v2"
	"time"

	"trefoilpath.org/trefoilpath/internal/option"
)

// GateConfig sets the share of the platform's store that one process may use.
// Zero fields take the defaults, which leave a fleet of up to fullShareProcesses
// processes within 1,200 reads and 200 writes a second.
type GateConfig struct {
	ReadsPerSecond  float64       // of a process among up to fullShareProcesses
	WritesPerSecond float64       // likewise
	Burst           float64       // calls of each kind that may follow each other at once
	MaxWaiting      int           // operations that wait for the budget
	MaxWait         time.Duration // an operation that waits longer is refused
	MaxWatches      int           // watches that wait at the store at a time

	BreakAfter int           // consecutive failures that open the breaker
	MinBackoff time.Duration // first pause of the open breaker, before jitter
	MaxBackoff time.Duration // longest pause, before jitter
	Ramp       time.Duration // time from the first success to the whole budget

	Rand *rand.Rand // jitter
}

// The defaults of GateConfig.
const (
	defaultReadsPerSecond  = 300
	defaultWritesPerSecond = 50
	defaultBurst           = 20
	defaultMaxWaiting      = 1024
	defaultMaxWait         = 2 * time.Second
	defaultMaxWatches      = 8
	defaultBreakAfter      = 3
	defaultMinBackoff      = 200 * time.Millisecond
	defaultMaxBackoff      = 5 * time.Second
	defaultRamp            = 10 * time.Second
)

// fullShareProcesses is the number of processes up to which each has the whole
// configured share. The shares of more processes shrink in proportion.
const fullShareProcesses = 4

// never is the time of a timer that is not set.
const never = time.Duration(1<<63 - 1)

func (c GateConfig) withDefaults() GateConfig {
	option.Default(&c.ReadsPerSecond, defaultReadsPerSecond)
	option.Default(&c.WritesPerSecond, defaultWritesPerSecond)
	option.Default(&c.Burst, defaultBurst)
	option.Default(&c.MaxWaiting, defaultMaxWaiting)
	option.Default(&c.MaxWait, defaultMaxWait)
	option.Default(&c.MaxWatches, defaultMaxWatches)
	option.Default(&c.BreakAfter, defaultBreakAfter)
	option.Default(&c.MinBackoff, defaultMinBackoff)
	option.Default(&c.MaxBackoff, defaultMaxBackoff)
	option.Default(&c.Ramp, defaultRamp)
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(1, 1))
	}
	return c
}

// Gate holds the calls of one process to the store within its budget. Waiting
// watches count as one read a second each. Identical reads that wait are sent
// once. A breaker refuses calls during an outage, probes with one call at a
// jittered time, and lets the budget grow slowly after the first success.
//
// Gate is deterministic and not safe for concurrent use. The caller sends what
// TakeReady returns and passes every answer to Result.
type Gate struct {
	cfg     GateConfig
	scale   float64 // of the configured rates
	breaker breaker
	reads   lane
	writes  lane
	sent    map[uint64]sentOp
	watches int
	ready   []Op
	failed  []Result
}

type sentOp struct {
	op      Op
	sharing []uint64 // IDs of identical reads that take the same answer
}

// NewGate returns a Gate with a full budget and a closed breaker.
func NewGate(cfg GateConfig) *Gate {
	cfg = cfg.withDefaults()
	return &Gate{
		cfg:     cfg,
		scale:   1,
		breaker: newBreaker(cfg),
		reads:   newLane(cfg.Burst),
		writes:  newLane(cfg.Burst),
		sent:    make(map[uint64]sentOp),
	}
}

// SetProcesses says how many processes share the store, this one included.
func (g *Gate) SetProcesses(n int) {
	g.scale = min(1, float64(fullShareProcesses)/float64(max(n, 1)))
}

// Submit queues op. It is refused at once while the breaker is open or the
// queue is full.
func (g *Gate) Submit(now time.Duration, op Op) {
	if !g.breaker.accepts(now) || (op.Kind == OpWatch && !g.breaker.closed()) {
		g.refuse(op.ID)
		return
	}
	if !op.Writes() && g.share(op) {
		return
	}
	if g.reads.len()+g.writes.len() >= g.cfg.MaxWaiting {
		g.refuse(op.ID)
		return
	}
	g.lane(op).push(waitingOp{op: op, since: now}, op.Kind == OpRenew)
	g.pump(now)
}

// share lets op take the answer of an identical read that has not been sent, or
// of an identical watch. A read that was sent earlier may have been answered
// before an event that the caller of op already knows of.
func (g *Gate) share(op Op) bool {
	if w := g.reads.find(op); w != nil {
		w.sharing = append(w.sharing, op.ID)
		return true
	}
	if op.Kind != OpWatch {
		return false
	}
	for id, s := range g.sent { // at most one sent watch is identical
		if sameRead(s.op, op) {
			s.sharing = append(s.sharing, op.ID)
			g.sent[id] = s
			return true
		}
	}
	return false
}

func sameRead(a, b Op) bool {
	return a.Kind == b.Kind && a.Key == b.Key && a.Expect == b.Expect && a.TTL == b.TTL
}

// Result records the answer to a sent operation. It returns the results to hand
// out: r itself and copies for the identical reads that shared the call. It
// returns nothing for an operation that is not in flight.
func (g *Gate) Result(now time.Duration, r Result) []Result {
	s, ok := g.sent[r.ID]
	if !ok {
		return nil
	}
	delete(g.sent, r.ID)
	if s.op.Kind == OpWatch {
		g.watches--
	}
	if r.Status == StatusUnavailable || r.Status == StatusUnknown {
		g.breaker.failure(now)
		if !g.breaker.closed() {
			g.refuseWaiting()
		}
	} else {
		g.recovered(now)
	}
	results := make([]Result, 0, 1+len(s.sharing))
	results = append(results, r)
	for _, id := range s.sharing {
		shared := r
		shared.ID = id
		results = append(results, shared)
	}
	g.pump(now)
	return results
}

// recovered records an answer. The first one after an outage leaves no burst.
func (g *Gate) recovered(now time.Duration) {
	if !g.breaker.closed() {
		g.reads.tokens = min(g.reads.tokens, 1)
		g.writes.tokens = min(g.writes.tokens, 1)
	}
	g.breaker.success(now)
}

// Tick sends what the budget allows and refuses what has waited too long.
func (g *Gate) Tick(now time.Duration) {
	g.expire(now, &g.reads)
	g.expire(now, &g.writes)
	g.pump(now)
}

// Next returns the time at which Tick is due.
func (g *Gate) Next() time.Duration {
	return min(g.laneNext(&g.reads, g.readRate), g.laneNext(&g.writes, g.writeRate))
}

func (g *Gate) laneNext(l *lane, rate func(time.Duration) float64) time.Duration {
	if l.len() == 0 {
		return never
	}
	due := l.oldest() + g.cfg.MaxWait
	if !g.breaker.sends(l.at) {
		return due
	}
	return min(due, l.readyAt(rate(l.at)))
}

// TakeReady returns the operations to send now.
func (g *Gate) TakeReady() []Op {
	ready := g.ready
	g.ready = nil
	return ready
}

// TakeFailed returns the results of operations that were refused without being
// sent. Their status is StatusUnavailable.
func (g *Gate) TakeFailed() []Result {
	failed := g.failed
	g.failed = nil
	return failed
}

// Open reports whether the breaker refuses calls at now.
func (g *Gate) Open(now time.Duration) bool { return !g.breaker.accepts(now) }

func (g *Gate) lane(op Op) *lane {
	if op.Writes() {
		return &g.writes
	}
	return &g.reads
}

func (g *Gate) readRate(now time.Duration) float64 {
	share := g.cfg.ReadsPerSecond * g.scale
	return max(share*g.breaker.fraction(now)-float64(g.watches), share*minBudgetFraction)
}

func (g *Gate) writeRate(now time.Duration) float64 {
	return g.cfg.WritesPerSecond * g.scale * g.breaker.fraction(now)
}

func (g *Gate) pump(now time.Duration) {
	g.pumpLane(now, &g.writes, g.writeRate(now))
	g.pumpLane(now, &g.reads, g.readRate(now))
}

func (g *Gate) pumpLane(now time.Duration, l *lane, rate float64) {
	l.refill(now, rate, g.cfg.Burst)
	for l.len() > 0 && l.tokens >= 1 && g.breaker.sends(now) {
		w := l.front()
		l.pop()
		if w.op.Kind == OpWatch && g.watches >= g.cfg.MaxWatches {
			g.refuse(w.op.ID)
			g.refuseShared(w.sharing)
			continue
		}
		l.tokens--
		g.send(w)
	}
}

func (g *Gate) send(w waitingOp) {
	if w.op.Kind == OpWatch {
		g.watches++
	}
	g.breaker.sending()
	g.sent[w.op.ID] = sentOp{op: w.op, sharing: w.sharing}
	g.ready = append(g.ready, w.op)
}

func (g *Gate) expire(now time.Duration, l *lane) {
	for l.len() > 0 && now-l.oldest() >= g.cfg.MaxWait {
		w := l.popOldest()
		g.refuse(w.op.ID)
		g.refuseShared(w.sharing)
	}
}

func (g *Gate) refuseWaiting() {
	for _, l := range []*lane{&g.reads, &g.writes} {
		for l.len() > 0 {
			w := l.front()
			l.pop()
			g.refuse(w.op.ID)
			g.refuseShared(w.sharing)
		}
	}
}

func (g *Gate) refuse(id uint64) {
	g.failed = append(g.failed, Result{ID: id, Status: StatusUnavailable})
}

func (g *Gate) refuseShared(ids []uint64) {
	for _, id := range ids {
		g.refuse(id)
	}
}
