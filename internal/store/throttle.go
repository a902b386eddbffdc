package store

import (
	"math/rand/v2"
	"time"

	"trefoilpath.org/trefoilpath/internal/option"
)

// ThrottleConfig sets the call budget of one process at the platform's store. Zero
// fields take the defaults, with which up to fullShareProcesses processes together
// stay within 1,200 reads and 200 writes per second; with more processes the same
// holds if SetProcesses is kept current.
type ThrottleConfig struct {
	ReadsPerSecond  float64       // shrinks if more than fullShareProcesses share the store
	WritesPerSecond float64       // as for reads
	Burst           float64       // reads, or writes, that may be sent back to back
	MaxWaiting      int           // reads and writes together that may be queued
	MaxWait         time.Duration // an operation queued for longer is refused
	MaxWatches      int           // watches in flight at a time

	FailureThreshold int           // consecutive failures that open the breaker
	MinBackoff       time.Duration // wait before the first probe, without jitter
	MaxBackoff       time.Duration // longest wait before a probe, without jitter
	Ramp             time.Duration // time from the first success to the full budget

	Rand *rand.Rand // jitter; nil: a fixed sequence, the same in every process, for tests only
}

// The defaults of ThrottleConfig.
const (
	defaultReadsPerSecond   = 300
	defaultWritesPerSecond  = 50
	defaultBurst            = 20
	defaultMaxWaiting       = 1024
	defaultMaxWait          = 2 * time.Second
	defaultMaxWatches       = 8
	defaultFailureThreshold = 3
	defaultMinBackoff       = 200 * time.Millisecond
	defaultMaxBackoff       = 5 * time.Second
	defaultRamp             = 10 * time.Second
)

// fullShareProcesses is the largest number of processes that each get the whole
// configured budget. With more processes the budgets shrink in proportion.
const fullShareProcesses = 4

// never is the time of a timer that is not set.
const never = time.Duration(1<<63 - 1)

func (c ThrottleConfig) withDefaults() ThrottleConfig {
	option.Default(&c.ReadsPerSecond, defaultReadsPerSecond)
	option.Default(&c.WritesPerSecond, defaultWritesPerSecond)
	option.Default(&c.Burst, defaultBurst)
	option.Default(&c.MaxWaiting, defaultMaxWaiting)
	option.Default(&c.MaxWait, defaultMaxWait)
	option.Default(&c.MaxWatches, defaultMaxWatches)
	option.Default(&c.FailureThreshold, defaultFailureThreshold)
	option.Default(&c.MinBackoff, defaultMinBackoff)
	option.Default(&c.MaxBackoff, defaultMaxBackoff)
	option.Default(&c.Ramp, defaultRamp)
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(1, 1))
	}
	return c
}

// Throttle keeps the calls of one process to the store within its budget. A watch in
// flight counts as one read per second. Identical queued reads are sent once. A
// circuit breaker refuses calls during an outage and probes with one call at a
// jittered time; after the first success the budget ramps up.
//
// Throttle is deterministic and not safe for concurrent use. The caller sends what
// TakeReady returns and passes every answer to Result.
type Throttle struct {
	cfg       ThrottleConfig
	rateScale float64 // factor on the configured rates
	breaker   breaker
	reads     opQueue
	writes    opQueue
	sent      map[uint64]sentOp // in flight, by ID
	watches   int               // in flight
	ready     []Op              // to send
	refused   []Result
}

type sentOp struct {
	op        Op
	coalesced []uint64 // IDs of identical reads that get the same answer
}

// NewThrottle returns a Throttle with a full budget and a closed breaker.
func NewThrottle(cfg ThrottleConfig) *Throttle {
	cfg = cfg.withDefaults()
	return &Throttle{
		cfg:       cfg,
		rateScale: 1,
		breaker:   newBreaker(cfg),
		reads:     newOpQueue(cfg.Burst),
		writes:    newOpQueue(cfg.Burst),
		sent:      make(map[uint64]sentOp),
	}
}

// SetProcesses sets how many processes share the store, including this one.
func (g *Throttle) SetProcesses(n int) {
	g.rateScale = min(1, float64(fullShareProcesses)/float64(max(n, 1)))
}

// Submit attaches op to an identical read, or queues it unless MaxWaiting
// operations are queued already. It refuses op at once while the breaker refuses
// calls, and a watch unless the breaker is closed.
func (g *Throttle) Submit(now time.Duration, op Op) {
	if !g.breaker.accepts(now) || (op.Kind == OpWatch && !g.breaker.closed()) {
		g.refuse(op.ID)
		return
	}
	if !op.Writes() && g.coalesce(op) {
		return
	}
	if g.reads.len()+g.writes.len() >= g.cfg.MaxWaiting {
		g.refuse(op.ID)
		return
	}
	g.queueFor(op).push(queuedOp{op: op, queuedAt: now}, op.Kind == OpRenew)
	g.dispatch(now)
}

// coalesce attaches op to an identical queued read or to an identical watch,
// queued or in flight, and reports whether there is one. It never attaches op to
// another kind of read in flight: that may have been answered before an event that
// the caller of op already knows of.
func (g *Throttle) coalesce(op Op) bool {
	if w := g.reads.findIdentical(op); w != nil {
		w.coalesced = append(w.coalesced, op.ID)
		return true
	}
	if op.Kind != OpWatch {
		return false
	}
	for id, s := range g.sent { // at most one watch in flight is identical
		if sameRead(s.op, op) {
			s.coalesced = append(s.coalesced, op.ID)
			g.sent[id] = s
			return true
		}
	}
	return false
}

func sameRead(a, b Op) bool {
	return a.Kind == b.Kind && a.Key == b.Key && a.Expect == b.Expect && a.TTL == b.TTL
}

// Result records the answer to a sent operation. It returns r and a copy
// of it for each identical read that was attached to the operation, or nil for an
// operation that is not in flight.
func (g *Throttle) Result(now time.Duration, r Result) []Result {
	s, ok := g.sent[r.ID]
	if !ok {
		return nil
	}
	delete(g.sent, r.ID)
	if s.op.Kind == OpWatch {
		g.watches--
	}
	if r.Status == StatusUnavailable || r.Status == StatusUnknown {
		g.breaker.recordFailure(now)
		if !g.breaker.closed() {
			g.refuseQueued()
		}
	} else {
		g.recordSuccess(now)
	}
	results := make([]Result, 0, 1+len(s.coalesced))
	results = append(results, r)
	for _, id := range s.coalesced {
		shared := r
		shared.ID = id
		results = append(results, shared)
	}
	g.dispatch(now)
	return results
}

// recordSuccess records an answer. After an outage the first one cuts the saved
// tokens to one, so that no burst follows.
func (g *Throttle) recordSuccess(now time.Duration) {
	if !g.breaker.closed() {
		g.reads.tokens = min(g.reads.tokens, 1)
		g.writes.tokens = min(g.writes.tokens, 1)
	}
	g.breaker.recordSuccess(now)
}

// Tick sends the operations that the budget allows and refuses those that have
// been queued for MaxWait.
func (g *Throttle) Tick(now time.Duration) {
	g.expire(now, &g.reads)
	g.expire(now, &g.writes)
	g.dispatch(now)
}

// Next returns the time at which Tick is due.
func (g *Throttle) Next() time.Duration {
	return min(g.queueDue(&g.reads, g.readRate), g.queueDue(&g.writes, g.writeRate))
}

func (g *Throttle) queueDue(q *opQueue, rate func(time.Duration) float64) time.Duration {
	if q.len() == 0 {
		return never
	}
	due := q.oldest() + g.cfg.MaxWait
	if !g.breaker.canSend(q.refilledAt) {
		return due
	}
	return min(due, q.readyAt(rate(q.refilledAt)))
}

// TakeReady returns the operations to send now.
func (g *Throttle) TakeReady() []Op {
	ready := g.ready
	g.ready = nil
	return ready
}

// TakeRefused returns the results of operations that were refused without being
// sent. Their status is StatusUnavailable.
func (g *Throttle) TakeRefused() []Result {
	failed := g.refused
	g.refused = nil
	return failed
}

// Open reports whether the breaker refuses calls at now.
func (g *Throttle) Open(now time.Duration) bool { return !g.breaker.accepts(now) }

func (g *Throttle) queueFor(op Op) *opQueue {
	if op.Writes() {
		return &g.writes
	}
	return &g.reads
}

func (g *Throttle) readRate(now time.Duration) float64 {
	share := g.cfg.ReadsPerSecond * g.rateScale
	return max(share*g.breaker.fraction(now)-float64(g.watches), share*minBudgetFraction)
}

func (g *Throttle) writeRate(now time.Duration) float64 {
	return g.cfg.WritesPerSecond * g.rateScale * g.breaker.fraction(now)
}

func (g *Throttle) dispatch(now time.Duration) {
	g.dispatchFrom(now, &g.writes, g.writeRate(now))
	g.dispatchFrom(now, &g.reads, g.readRate(now))
}

func (g *Throttle) dispatchFrom(now time.Duration, q *opQueue, rate float64) {
	q.refill(now, rate, g.cfg.Burst)
	for q.len() > 0 && q.tokens >= 1 && g.breaker.canSend(now) {
		w := q.front()
		q.pop()
		if w.op.Kind == OpWatch && g.watches >= g.cfg.MaxWatches {
			g.refuse(w.op.ID)
			g.refuseAll(w.coalesced)
			continue
		}
		q.tokens--
		g.send(w)
	}
}

func (g *Throttle) send(w queuedOp) {
	if w.op.Kind == OpWatch {
		g.watches++
	}
	g.breaker.recordSend()
	g.sent[w.op.ID] = sentOp{op: w.op, coalesced: w.coalesced}
	g.ready = append(g.ready, w.op)
}

func (g *Throttle) expire(now time.Duration, q *opQueue) {
	for q.len() > 0 && now-q.oldest() >= g.cfg.MaxWait {
		w := q.popOldest()
		g.refuse(w.op.ID)
		g.refuseAll(w.coalesced)
	}
}

func (g *Throttle) refuseQueued() {
	for _, q := range []*opQueue{&g.reads, &g.writes} {
		for q.len() > 0 {
			w := q.front()
			q.pop()
			g.refuse(w.op.ID)
			g.refuseAll(w.coalesced)
		}
	}
}

func (g *Throttle) refuse(id uint64) {
	g.refused = append(g.refused, Result{ID: id, Status: StatusUnavailable})
}

func (g *Throttle) refuseAll(ids []uint64) {
	for _, id := range ids {
		g.refuse(id)
	}
}
