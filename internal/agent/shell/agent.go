package shell

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"trefoilpath.org/trefoilpath/internal/agent"
	"trefoilpath.org/trefoilpath/internal/bytebudget"
	"trefoilpath.org/trefoilpath/internal/engine/enginehttp"
	"trefoilpath.org/trefoilpath/internal/invariant"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	inputQueueLen = 8192 // inputs that wait for the core
	maxBatchLen   = 512  // inputs of one tick
	// flushWait is the time for streams to deliver a drained agent's last messages.
	flushWait = 300 * time.Millisecond
)

// Agent is a running agent. Its methods are safe for concurrent use.
type Agent struct {
	cfg          Config
	core         *agent.Core
	start        time.Time
	inbox        chan agent.Input
	dumpRequests chan chan agent.Dump
	drainEnded   chan struct{} // closed when the core has drained or DrainWait has passed

	drainOnce sync.Once
	leaveOnce sync.Once
	metrics   *meters

	mu  sync.Mutex
	ctx context.Context // of Run; Background before

	links   *links
	bodies  *bodies
	answers *answers
	engine  *enginehttp.Client
	calls   *calls
}

// New returns an agent that does nothing until Run.
func New(cfg Config) (*Agent, error) {
	cfg.setDefaults()
	core, err := agent.New(cfg.Core)
	if err != nil {
		return nil, err
	}
	if cfg.EndpointClient == nil {
		cfg.EndpointClient = enginehttp.NewHTTPClient()
	}
	a := &Agent{
		cfg:          cfg,
		core:         core,
		start:        time.Now(),
		inbox:        make(chan agent.Input, inputQueueLen),
		dumpRequests: make(chan chan agent.Dump),
		drainEnded:   make(chan struct{}),
		ctx:          context.Background(),
		metrics:      newMeters(),
	}
	a.links = newLinks(a)
	memory := bytebudget.New(bytebudget.Capacity(cfg.MemoryBytes))
	a.bodies = newBodies(cfg.MaxBodyBytes, cfg.MaxBodies, memory)
	a.answers = newAnswers(a.links, memory)
	if cfg.Core.Kind == wire.KindService {
		a.calls = newCalls(a, cfg.EndpointURL, cfg.EndpointClient)
		return a, nil
	}
	a.engine = enginehttp.New(cfg.EndpointURL, &engineHandler{agent: a}, cfg.EndpointClient)
	return a, nil
}

// Run runs the agent until ctx ends, or until it has drained after Leave. It
// returns an error that wraps *invariant.Violation if an invariant is violated.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	a.setContext(ctx)
	g.Go(func() error { return a.loop(ctx) })
	g.Go(func() error { return a.links.run(ctx) })
	g.Go(func() error { return a.expireAnswers(ctx) })
	if a.engine != nil {
		g.Go(func() error { return a.watchEngine(ctx) })
	}
	if a.cfg.ListenOperators != "" {
		g.Go(func() error { return a.serveOperators(ctx) })
	}
	g.Go(func() error {
		defer cancel()
		return a.awaitDrained(ctx)
	})
	err := g.Wait()
	a.closeIdle()
	return err
}

func (a *Agent) closeIdle() {
	if a.calls != nil {
		a.calls.wait()
	}
	a.cfg.EndpointClient.CloseIdleConnections()
}

func (a *Agent) setContext(ctx context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ctx = ctx
}

// runContext returns the context of Run, for work that the endpoint's events
// start.
func (a *Agent) runContext() context.Context {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ctx
}

// awaitDrained returns flushWait after drainEnded is closed, or when ctx ends.
func (a *Agent) awaitDrained(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-a.drainEnded:
	}
	select {
	case <-ctx.Done():
	case <-time.After(flushWait):
	}
	return nil
}

// Leave starts to drain the agent and returns without waiting for it. Run returns
// when no work is in flight any more, or after Config.DrainWait.
func (a *Agent) Leave() {
	a.leaveOnce.Do(func() {
		a.enqueue(a.runContext(), agent.Input{Leaving: &agent.Leaving{}})
		time.AfterFunc(a.cfg.DrainWait, a.endDrain)
	})
}

func (a *Agent) endDrain() { a.drainOnce.Do(func() { close(a.drainEnded) }) }

// Dump returns the state of the core, or an error once the agent has stopped.
func (a *Agent) Dump(ctx context.Context) (agent.Dump, error) {
	reply := make(chan agent.Dump, 1)
	select {
	case a.dumpRequests <- reply:
		return <-reply, nil
	case <-ctx.Done():
		return agent.Dump{}, ctx.Err()
	case <-a.runContext().Done():
		return agent.Dump{}, errors.New("the agent has stopped")
	}
}

// enqueue queues an input for the core. It drops the input if ctx ends first.
func (a *Agent) enqueue(ctx context.Context, in agent.Input) {
	select {
	case a.inbox <- in:
	case <-ctx.Done():
	}
}

// loop owns the core: it ticks when an input waits or a timer is due.
func (a *Agent) loop(ctx context.Context) (err error) {
	defer func() {
		if v := invariant.Recover(recover()); v != nil {
			a.cfg.Log.Error().Str("event", "invariant").Err(v).Interface("dump", a.core.Dump()).Send()
			err = errors.WithStack(v)
		}
	}()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var batch []agent.Input
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			return nil
		case reply := <-a.dumpRequests:
			reply <- a.core.Dump()
			continue
		case in := <-a.inbox:
			batch = a.fillBatch(append(batch, in))
		case <-timer.C:
		}
		a.tick(ctx, batch)
		timer.Reset(a.untilNext())
	}
}

func (a *Agent) fillBatch(batch []agent.Input) []agent.Input {
	for len(batch) < maxBatchLen {
		select {
		case in := <-a.inbox:
			batch = append(batch, in)
		default:
			return batch
		}
	}
	return batch
}

func (a *Agent) tick(ctx context.Context, batch []agent.Input) {
	begin := time.Now()
	for _, out := range a.core.Tick(begin.Sub(a.start), batch) {
		a.executeOutput(ctx, out)
	}
	a.metrics.tick(len(batch), time.Since(begin))
}

// maxSleep bounds the time between two ticks.
const maxSleep = time.Minute

func (a *Agent) untilNext() time.Duration {
	next := a.core.Next() - time.Since(a.start)
	return min(max(next, 0), maxSleep)
}

// executeOutput executes one output. It does not wait for I/O.
func (a *Agent) executeOutput(ctx context.Context, out agent.Output) {
	switch {
	case out.ToEntry != nil:
		a.links.send(out.ToEntry.Entry, out.ToEntry.Msg)
	case out.Engine != nil:
		a.commandEngine(ctx, out.Engine)
	case out.Service != nil:
		a.startCall(ctx, out.Service)
	case out.Drop != nil:
		a.bodies.drop(out.Drop.Attempt)
		a.answers.markEnded(out.Drop.Attempt)
		if a.calls != nil {
			a.calls.stop(out.Drop.Attempt)
		}
	case out.Drained:
		a.endDrain()
	case out.Log != nil:
		a.logEvent(out.Log)
	}
}

// expireAnswers removes expired answers every sweepInterval until ctx ends.
func (a *Agent) expireAnswers(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			a.answers.expire(now)
		}
	}
}

func (a *Agent) receive(ctx context.Context, from wire.NodeID, msg *wire.ToAgent) {
	if msg.Body != nil {
		if a.bodies.add(msg.Body) {
			a.enqueue(ctx, agent.Input{BodyReady: &agent.BodyReady{Attempt: msg.Body.Attempt}})
		}
		return
	}
	in := &agent.FromEntry{Entry: from, Msg: *msg}
	if d := msg.Dispatch; d != nil && d.BodyBytes > 0 && !a.bodies.expect(d.Attempt, d.BodyBytes) {
		in.NoRoom = true
		a.metrics.bodiesRefused.Inc(1)
		a.cfg.Log.Warn().Str("event", "body-refused").Stringer("attempt", d.Attempt).Str("request", d.RequestID).Int64("bytes", d.BodyBytes).Send()
	}
	a.enqueue(ctx, agent.Input{FromEntry: in})
}
