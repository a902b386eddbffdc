package enginemodel

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/table"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Model is one engine. It is not safe for concurrent use.
type Model struct {
	cfg Config
	rng *rand.Rand
	now time.Duration

	events []engine.Event
	spare  []engine.Event // slice returned by the last TakeEvents, reused after the next

	seqs       map[engine.SequenceID]*sequence
	handles    *table.Table[string, int64] // KV cache tokens by exported handle
	arrivals   uint64
	handleSeq  uint64
	waiting    []*sequence // by priority, then arrival
	prefilling []*sequence // by priority, then arrival
	decoding   []*sequence
	importing  int         // sequences in phaseImporting
	importers  []*sequence // running sequences that read other engines' handles
	ends       endHeap     // the sequences in decoding

	step     int64 // steps done
	reported int64 // step of the last Progress events
	used     int64 // KV cache tokens held by sequences and handles
	run      stepRun

	timers   timerHeap
	timerSeq uint64

	cache       *prefixCache
	cacheSeq    uint64
	flushQueued bool

	have           wire.Assignment
	loading        *load
	maxFence       uint64
	maxIncarnation wire.Incarnation

	prefillRate float64 // smoothed tokens per second
	decodeRate  float64 // smoothed tokens per second per sequence

	dead            bool
	hungSince       time.Duration
	hungUntil       time.Duration    // end of the hang; 0: none
	inbox           []engine.Command // commands that arrived while hung
	slowFactor      float64          // of the duration of a step
	misreportFactor float64          // of the reported prefill backlog
	failLoads       bool

	ledger  Ledger
	records []SequenceRecord
}

// New returns a running engine.
func New(cfg Config) *Model {
	cfg = cfg.withDefaults()
	m := &Model{
		cfg:             cfg,
		rng:             rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^splitmixIncrement)),
		slowFactor:      noFault,
		misreportFactor: noFault,
	}
	m.reset()
	return m
}

// reset puts the engine into its state after a start.
func (m *Model) reset() {
	m.seqs = make(map[engine.SequenceID]*sequence)
	m.handles = table.New[string, int64]()
	m.waiting = nil
	m.prefilling = nil
	m.decoding = nil
	m.importing = 0
	m.importers = nil
	m.ends = nil
	m.used = 0
	m.run = stepRun{}
	m.timers = nil
	m.cache = newPrefixCache(m.cfg.CacheTokens / m.cfg.BlockTokens)
	m.flushQueued = false
	m.have = m.cfg.Have
	m.loading = nil
	m.maxFence = 0
	m.maxIncarnation = 0
	m.inbox = nil
	m.hungUntil = 0
	m.prefillRate = perSecond(m.cfg.PrefillPerToken)
	m.decodeRate = perSecond(m.cfg.StepBase)
}

func perSecond(d time.Duration) float64 { return float64(time.Second) / float64(d) }

// Do executes a command. A killed engine ignores it; a hung engine executes it when it
// resumes.
func (m *Model) Do(now time.Duration, c engine.Command) {
	if m.dead {
		return
	}
	m.Tick(now)
	if now < m.hungUntil {
		m.inbox = append(m.inbox, c)
		return
	}
	m.execute(now, c)
}

func (m *Model) execute(now time.Duration, c engine.Command) {
	m.now = now
	switch {
	case c.Submit != nil:
		m.accept(*c.Submit)
	case c.Cancel != nil:
		m.cancel(*c.Cancel)
	case c.Load != nil:
		m.startLoad(now, *c.Load)
	case c.Drop != nil:
		m.dropHandle(*c.Drop)
	case c.Query:
		m.query(now)
	}
	m.interrupt(now)
}

// Tick advances the engine to now.
func (m *Model) Tick(now time.Duration) {
	if m.dead || now < m.hungUntil {
		return
	}
	m.resumeAfterHang()
	for {
		at, isTimer := m.due()
		if at > now {
			return
		}
		if isTimer {
			t := heap.Pop(&m.timers).(timer)
			m.now = at
			m.fire(t)
			m.interrupt(at)
			continue
		}
		m.finishRun()
		m.startRun(at)
	}
}

// due returns the time of the next timer or end of a run of steps, and whether it is a
// timer.
func (m *Model) due() (time.Duration, bool) {
	at := maxDuration
	if m.run.active {
		at = m.run.end()
	}
	if len(m.timers) > 0 && m.timers[0].at <= at {
		return m.timers[0].at, true
	}
	return at, false
}

// Next returns the time at which Tick is due, or the largest duration for never.
func (m *Model) Next() time.Duration {
	if m.dead {
		return maxDuration
	}
	at, _ := m.due()
	if m.hungUntil > 0 && (len(m.inbox) > 0 || at < maxDuration) {
		return m.hungUntil
	}
	return at
}

// TakeEvents returns the events since the last call. The slice is valid until the
// next call.
func (m *Model) TakeEvents() []engine.Event {
	taken := m.events
	m.events = m.spare[:0]
	m.spare = taken
	return taken
}

func (m *Model) emit(e engine.Event) { m.events = append(m.events, e) }
