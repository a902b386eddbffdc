package standin

import (
	"sync"
	"time"

	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/standin/enginemodel"
)

// Times and sizes of an engine stand-in. The store stand-in uses maxTimerWait too.
const (
	endedRetention = time.Minute // how long the answer of an ended sequence can be read again
	cacheBacklog   = 4096        // cache events kept for slow readers
	maxTimerWait   = time.Hour   // maximum time between ticks of an idle model
)

// Engine is a stand-in for a model engine: an enginemodel.Model on the real clock. It is
// safe for concurrent use.
type Engine struct {
	*server
	start time.Time
	wake  chan struct{} // makes run advance the model at once
	done  chan struct{}
	stop  sync.Once

	mu      sync.Mutex
	model   *enginemodel.Model
	streams map[engine.SequenceID]*answerStream
	ended   []endedStream                   // in the order of their end
	queries []chan engine.State             // state calls that wait, oldest first
	loads   map[uint64][]chan engine.Loaded // load calls that wait, by order ID
	cache   *broadcast
	killed  chan struct{} // closed by Kill
}

// endedStream records when a sequence ended, in time since the engine's start.
type endedStream struct {
	id     engine.SequenceID
	stream *answerStream
	at     time.Duration
}

// NewEngine starts an engine. Progress is reported for every step unless cfg
// says otherwise.
func NewEngine(cfg enginemodel.Config) (*Engine, error) {
	if cfg.ProgressSteps == 0 {
		cfg.ProgressSteps = 1
	}
	e := &Engine{
		start:   time.Now(),
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
		streams: make(map[engine.SequenceID]*answerStream),
		loads:   make(map[uint64][]chan engine.Loaded),
		cache:   newBroadcast(cacheBacklog),
		killed:  make(chan struct{}),
	}
	e.model = enginemodel.New(cfg)
	srv, err := listen(e.routes())
	if err != nil {
		return nil, err
	}
	e.server = srv
	go e.run()
	return e, nil
}

// Close stops the engine.
func (e *Engine) Close() error {
	e.stop.Do(func() { close(e.done) })
	return e.server.Close()
}

func (e *Engine) now() time.Duration { return time.Since(e.start) }

// run advances the model whenever its next event is due or a call has changed it.
func (e *Engine) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-e.done:
			return
		case <-e.wake:
		case <-timer.C:
		}
		timer.Reset(e.advance())
	}
}

// advance ticks the model and returns the time until it is due again.
func (e *Engine) advance() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	e.model.Tick(now)
	e.deliver()
	e.dropEnded(now)
	return min(max(e.model.Next()-now, 0), maxTimerWait)
}

// withModel changes the model under the lock and makes run reschedule its timer.
func (e *Engine) withModel(change func(now time.Duration)) {
	e.mu.Lock()
	change(e.now())
	e.deliver()
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) do(c engine.Command) {
	e.withModel(func(now time.Duration) { e.model.Do(now, c) })
}

// deliver passes the model's events to the calls that wait for them.
func (e *Engine) deliver() {
	for _, ev := range e.model.TakeEvents() {
		switch {
		case ev.State != nil:
			e.answerQuery(*ev.State)
		case ev.Loaded != nil:
			e.answerLoad(*ev.Loaded)
		case ev.Cache != nil:
			e.cache.publish(*ev.Cache)
		default:
			e.update(ev)
		}
	}
}

func (e *Engine) answerQuery(st engine.State) {
	if len(e.queries) == 0 {
		return
	}
	e.queries[0] <- st
	e.queries = e.queries[1:]
}

func (e *Engine) answerLoad(l engine.Loaded) {
	for _, waiter := range e.loads[l.OrderID] {
		waiter <- l
	}
	delete(e.loads, l.OrderID)
}

// update records an event of a sequence in its answer stream.
func (e *Engine) update(ev engine.Event) {
	id := sequenceOf(ev)
	s := e.streams[id]
	if s == nil {
		return
	}
	if s.apply(ev) {
		e.ended = append(e.ended, endedStream{id: id, stream: s, at: e.now()})
	}
}

func sequenceOf(ev engine.Event) engine.SequenceID {
	switch {
	case ev.Accepted != nil:
		return ev.Accepted.ID
	case ev.First != nil:
		return ev.First.ID
	case ev.Progress != nil:
		return ev.Progress.ID
	case ev.Finished != nil:
		return ev.Finished.ID
	case ev.Failed != nil:
		return ev.Failed.ID
	}
	return ""
}

// dropEnded drops the answers of sequences that ended more than endedRetention ago.
func (e *Engine) dropEnded(now time.Duration) {
	for len(e.ended) > 0 && now-e.ended[0].at > endedRetention {
		if e.streams[e.ended[0].id] == e.ended[0].stream {
			delete(e.streams, e.ended[0].id)
		}
		e.ended = e.ended[1:]
	}
}

// Kill stops the engine, discards its memory and breaks its connections. Calls fail
// until Restart.
func (e *Engine) Kill() {
	e.down.Store(true)
	e.withModel(func(time.Duration) {
		if e.model.Dead() {
			return
		}
		e.model.Kill()
		clear(e.streams)
		clear(e.loads)
		e.ended = nil
		e.queries = nil
		close(e.killed)
	})
}

// Restart starts a killed engine with empty memory.
func (e *Engine) Restart() {
	e.withModel(func(now time.Duration) {
		if !e.model.Dead() {
			return
		}
		e.killed = make(chan struct{})
		e.model.Restart(now)
	})
	e.down.Store(false)
}

// Hang suspends the model for d. The engine still accepts connections.
func (e *Engine) Hang(d time.Duration) {
	e.withModel(func(now time.Duration) { e.model.Hang(now, now+d) })
}

// SlowBy makes each step take factor times as long; 1 ends the fault.
func (e *Engine) SlowBy(factor float64) {
	e.withModel(func(now time.Duration) { e.model.SlowBy(now, factor) })
}

// Misreport makes the engine report factor times its actual prefill backlog.
func (e *Engine) Misreport(factor float64) {
	e.withModel(func(time.Duration) { e.model.Misreport(factor) })
}

// Ledger returns the actual counts and memory of the engine, which no fault distorts.
func (e *Engine) Ledger() enginemodel.Ledger {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.Tick(e.now())
	e.deliver()
	return e.model.Ledger()
}
