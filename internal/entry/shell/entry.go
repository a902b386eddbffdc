package shell

import (
	"context"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/bytebudget"
	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/entry"
	"trefoilpath.org/trefoilpath/internal/httpconn"
	"trefoilpath.org/trefoilpath/internal/invariant"
	"trefoilpath.org/trefoilpath/internal/membership"
	"trefoilpath.org/trefoilpath/internal/store"
	"trefoilpath.org/trefoilpath/internal/transport"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	inboxLen      = 8192 // inputs that wait for the core
	maxBatchLen   = 1024 // inputs of one tick
	maxStoreCalls = 64   // concurrent store operations, including waiting watches

	storeTimeout = 5 * time.Second
)

// ErrStopped reports that the entry has stopped.
var ErrStopped = errors.New("entry has stopped")

// Entry runs one entry core. Its HTTP handlers may be used as soon as Run has
// been started.
type Entry struct {
	cfg     Config
	core    *entry.Core
	start   time.Time
	inbox   chan entry.Input
	queries chan func(*entry.Core)
	stopped chan struct{}

	lastRequest atomic.Uint64
	snapshot    atomic.Pointer[declaration.Snapshot]
	ready       atomic.Pointer[entry.Ready]

	exchanges    *exchanges
	agents       *agentStreams
	peers        *peerMessenger
	client       *http.Client
	store        *store.HTTPClient
	vms          *membership.VMListClient
	requestLimit *requestLimit
	memory       *bytebudget.Account // of request bodies
	backlogs     *bytebudget.Account // of answers that callers have not taken
	meters       *meters
	drained      chan struct{}  // closed when the core has drained
	background   sync.WaitGroup // goroutines that end before Run returns
	servers      sync.WaitGroup // HTTP servers, which end after Run has returned
	storeSlots   chan struct{}  // holds one value per store operation in progress
}

// New returns an entry that does nothing until Run.
func New(cfg Config) (*Entry, error) {
	core, err := entry.New(cfg.Core)
	if err != nil {
		return nil, err
	}
	e := &Entry{
		cfg:          cfg,
		core:         core,
		start:        time.Now(),
		inbox:        make(chan entry.Input, inboxLen),
		queries:      make(chan func(*entry.Core)),
		stopped:      make(chan struct{}),
		exchanges:    newExchanges(),
		client:       transport.NewHTTPClient(cfg.TLS),
		requestLimit: newRequestLimit(cfg.Limits.MaxStreams, cfg.Limits.MaxStreamsPerAccount),
		meters:       newMeters(),
		drained:      make(chan struct{}),
		storeSlots:   make(chan struct{}, maxStoreCalls),
	}
	e.memory = bytebudget.New(bytebudget.Capacity(cfg.Limits.MemoryBytes))
	e.backlogs = newBacklogs(cfg.Limits.MemoryBytes)
	e.agents = newAgentStreams(e)
	e.peers, err = newPeerMessenger(e)
	if err != nil {
		return nil, err
	}
	if cfg.StoreURL != "" {
		e.store = store.NewHTTPClient(cfg.StoreURL, plainClient())
	}
	if cfg.VMListURL != "" {
		e.vms = membership.NewVMListClient(cfg.VMListURL, plainClient())
	}
	e.ready.Store(&entry.Ready{Reason: "starting"})
	return e, nil
}

// plainClient returns a client for the platform's services, without the TLS
// settings for entries and agents.
func plainClient() *http.Client {
	return &http.Client{Transport: httpconn.NewStrict(http.DefaultTransport.(*http.Transport).Clone())}
}

// PeerHandler returns the handler for agents and other entries.
func (e *Entry) PeerHandler() (http.Handler, error) {
	return transport.Handler(e.agents, e.peers, e.cfg.TLS != nil)
}

// Run runs the entry until it has drained after Shutdown, or until ctx ends. An
// invariant violation is returned as *invariant.Violation.
func (e *Entry) Run(ctx context.Context) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer e.background.Wait()
	defer e.exchanges.closeAll()
	defer e.agents.closeAll()
	defer e.client.CloseIdleConnections()
	defer close(e.stopped)
	defer cancel()
	defer func() {
		if v := invariant.Recover(recover()); v != nil {
			e.reportViolation(v)
			err = v
		}
	}()
	if e.cfg.Declarations != nil {
		e.executeOutputs(ctx, e.core.Tick(e.now(), []entry.Input{{LocalDeclarations: e.cfg.Declarations}}))
	}
	e.watchVMs(ctx)
	return e.loop(ctx)
}

func (e *Entry) now() time.Duration { return time.Since(e.start) }

// loop ticks the core whenever an input waits or a timer is due.
func (e *Entry) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	batch := make([]entry.Input, 0, maxBatchLen)
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			return nil
		case <-e.drained:
			return nil
		case query := <-e.queries:
			query(e.core)
			continue
		case in := <-e.inbox:
			batch = e.fillBatch(append(batch, in))
		case <-timer.C:
		}
		began := time.Now()
		out := e.core.Tick(e.now(), batch)
		e.meters.tick(len(batch), time.Since(began))
		e.executeOutputs(ctx, out)
		timer.Reset(max(e.core.Next()-e.now(), 0))
	}
}

// fillBatch appends waiting inputs, up to maxBatchLen in all.
func (e *Entry) fillBatch(batch []entry.Input) []entry.Input {
	for len(batch) < maxBatchLen {
		select {
		case in := <-e.inbox:
			batch = append(batch, in)
		default:
			return batch
		}
	}
	return batch
}

// input queues an input for the core. It reports false once the entry has
// stopped.
func (e *Entry) input(in entry.Input) bool {
	select {
	case e.inbox <- in:
		return true
	case <-e.stopped:
		return false
	}
}

// query runs f on the core between two ticks.
func (e *Entry) query(ctx context.Context, f func(*entry.Core)) error {
	done := make(chan struct{})
	q := func(c *entry.Core) {
		f(c)
		close(done)
	}
	select {
	case e.queries <- q:
	case <-e.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	<-done
	return nil
}

// Dump returns the state of the core.
func (e *Entry) Dump(ctx context.Context) (entry.Dump, error) {
	var d entry.Dump
	err := e.query(ctx, func(c *entry.Core) { d = c.Dump() })
	return d, err
}

// Shutdown starts a graceful shutdown; Run returns when it is complete.
func (e *Entry) Shutdown() { e.input(entry.Input{Shutdown: &entry.Shutdown{}}) }

// Ready reports whether the entry should get requests and, if not, the reason.
func (e *Entry) Ready() (bool, string) {
	r := e.ready.Load()
	return r.OK, r.Reason
}

func (e *Entry) reportViolation(v *invariant.Violation) {
	e.cfg.Log.Error().Str("event", "invariant").Str("name", v.Name).Str("detail", v.Detail).
		Str("stack", string(debug.Stack())).Interface("dump", e.core.Dump()).Send()
}

// executeOutputs executes the outputs of one tick in order.
func (e *Entry) executeOutputs(ctx context.Context, out []entry.Output) {
	for i := range out {
		e.executeOutput(ctx, &out[i])
	}
	e.peers.flush(ctx)
}

func (e *Entry) executeOutput(ctx context.Context, o *entry.Output) {
	switch {
	case o.ToAgent != nil:
		e.agents.send(o.ToAgent)
	case o.ToPeer != nil:
		e.peers.add(o.ToPeer)
	case o.Store != nil:
		e.storeCall(ctx, *o.Store)
	case o.SelectAttempt != nil:
		e.exchanges.setAttempt(o.SelectAttempt)
	case o.Answer != nil:
		e.exchanges.end(o.Answer)
	case o.Snapshot != nil:
		e.snapshot.Store(o.Snapshot)
	case o.Ready != nil:
		e.ready.Store(o.Ready)
	case o.Drained:
		close(e.drained)
	case o.Log != nil:
		e.meters.count(o.Log)
		e.logEvent(o.Log)
	}
}

// storeCall executes one operation of the platform's store in the background. The
// result is StatusUnavailable without a store, or with maxStoreCalls in progress.
func (e *Entry) storeCall(ctx context.Context, op store.Op) {
	if e.store == nil {
		e.queueStoreResult(store.Result{ID: op.ID, Status: store.StatusUnavailable})
		return
	}
	select {
	case e.storeSlots <- struct{}{}:
	default:
		e.queueStoreResult(store.Result{ID: op.ID, Status: store.StatusUnavailable})
		return
	}
	e.background.Add(1)
	go func() {
		defer e.background.Done()
		r := e.runStoreOp(ctx, op)
		<-e.storeSlots
		e.input(entry.Input{StoreResult: &r})
	}()
}

// runStoreOp executes an operation with a timeout, so that a store that hangs does
// not hold slots. A watch gets op.TTL, its wait time, in addition.
func (e *Entry) runStoreOp(ctx context.Context, op store.Op) store.Result {
	limit := storeTimeout
	if op.Kind == store.OpWatch {
		limit += op.TTL
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return e.store.Do(ctx, op)
}

// queueStoreResult queues a result from a new goroutine, since the loop calls it
// and must not wait for its own inbox.
func (e *Entry) queueStoreResult(r store.Result) {
	e.background.Add(1)
	go func() {
		defer e.background.Done()
		e.input(entry.Input{StoreResult: &r})
	}()
}

// nextRequest returns a new ID for the core.
func (e *Entry) nextRequest() entry.RequestID { return entry.RequestID(e.lastRequest.Add(1)) }

// self returns the name of this entry.
func (e *Entry) self() wire.NodeID { return e.cfg.Core.Self }
