package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/examples"
	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/invariant"
	"trefoilpath.org/trefoilpath/internal/simnet"
	"trefoilpath.org/trefoilpath/internal/standin/enginemodel"
	"trefoilpath.org/trefoilpath/internal/wire"
	"trefoilpath.org/trefoilpath/internal/workload"
)

// storeName is the network node of the platform's store.
const storeName simnet.Node = "store"

// Delays and time limits of a run.
const (
	warmUp          = 10 * time.Second       // before the first arrival
	restartDelay    = 3 * time.Second        // between a graceful exit and the next start
	peerTimeout     = 2 * time.Second        // of a call to an unreachable entry
	sameDomainDelay = 100 * time.Microsecond // one-way delay within a failure domain
	maxClockOffset  = 10 * 24 * time.Hour    // of a process's monotonic clock
	settleTime      = 90 * time.Second       // after the last call, before the final audit
	settleStep      = 5 * time.Second        // between checks for open calls
	maxSettle       = 40 * time.Minute       // bound on waiting for open calls
)

// World is one run of a deployment. It is not safe for concurrent use.
type World struct {
	opts          Options
	clock         *simnet.Clock
	rnd           *rand.Rand
	net           *simnet.Network
	journal       *journal
	audit         *audit
	store         *storeNode
	vms           *vmList
	callers       *callers
	entries       []*entryNode
	agents        []*agentNode
	lists         *declaration.Lists
	snapshot      *declaration.Snapshot
	exchange      *enginemodel.Exchange
	faults        *faults
	violation     *Violation
	lastDisturbed map[simnet.Node]time.Duration // time of the last change to a node or its links
}

// worldStream is the stream of a run's PCG random generator, to which Shuffle is
// added.
const worldStream = 10

// New prepares a run. It returns an error for options that name an unknown
// deployment, mechanism or fault.
func New(opts Options) (*World, error) {
	if err := checkMechanisms(opts.DisabledMechanisms); err != nil {
		return nil, err
	}
	example, ok := examples.Find(opts.Deployment.Name)
	if !ok {
		return nil, errors.Errorf("deployment %q has no example lists", opts.Deployment.Name)
	}
	lists, err := example.Lists()
	if err != nil {
		return nil, errors.Wrap(err, "example lists")
	}
	var limited wire.AccountID
	if !opts.Measure {
		limited = setLowLimits(lists)
	}
	w := &World{
		opts:          opts,
		clock:         new(simnet.Clock),
		rnd:           rand.New(rand.NewPCG(opts.Seed, worldStream+opts.Shuffle)),
		journal:       newJournal(),
		lists:         lists,
		snapshot:      declaration.Resolve(lists, 1),
		exchange:      enginemodel.NewExchange(),
		lastDisturbed: make(map[simnet.Node]time.Duration),
	}
	w.net = simnet.NewNetwork(w.clock, w.rnd, w.baseLink)
	w.audit = newAudit(w)
	if limited != "" {
		w.audit.limits = newLimitAudit(w.snapshot.Accounts[limited])
	}
	w.store = newStoreNode(w)
	w.vms = &vmList{world: w}
	if err := w.addCallers(); err != nil {
		return nil, err
	}
	w.addNodes()
	w.faults, err = newFaults(w, opts.Faults)
	return w, err
}

func (w *World) addCallers() error {
	ids := make([]wire.AccountID, 0, len(w.lists.Plans.Accounts))
	for _, a := range w.lists.Plans.Accounts {
		ids = append(ids, wire.AccountID(a.ID))
	}
	cfg := workload.Config{
		Deployment: w.opts.Deployment,
		Burst:      w.opts.Burst,
		Mix:        w.opts.Mix,
		Accounts:   workload.SnapshotAccounts(w.snapshot, ids, w.opts.Deployment),
		Seed:       w.opts.Seed,
	}
	capacity, err := fullCapacity(cfg)
	if err != nil {
		return err
	}
	cfg.Rate = capacity.RequestsPerSecond * w.opts.Load
	g, err := workload.New(cfg)
	if err != nil {
		return err
	}
	w.callers = newCallers(w, g, warmUp+w.opts.VirtualTime)
	return nil
}

// fullCapacity returns the capacity for the mix including long prompts, so that
// omitting them does not change the arrivals of the other requests.
func fullCapacity(cfg workload.Config) (workload.Capacity, error) {
	cfg.Mix.OmitLong = false
	return workload.CapacityOf(cfg, workload.StandinRates())
}

func (w *World) addNodes() {
	d := w.opts.Deployment
	for i := range d.Entries {
		w.addEntry(i)
	}
	for i := range d.Engines {
		w.addEngine(i)
	}
	for i := range d.Services {
		w.addService(i)
	}
	for _, a := range w.agents {
		for _, e := range w.entries {
			s := &stream{world: w, agent: a, entry: e}
			a.streams = append(a.streams, s)
			e.streams = append(e.streams, s)
		}
	}
}

func (w *World) addEntry(i int) {
	name := fmt.Sprintf("entry-%d", i+1)
	w.entries = append(w.entries, &entryNode{
		world:     w,
		name:      simnet.Node(name),
		id:        wire.NodeID(name),
		domain:    w.opts.Deployment.DomainOf(i),
		index:     i,
		leavingAt: notLeaving,
	})
}

func (w *World) addAgent(name string, i int, kind wire.Kind) *agentNode {
	a := &agentNode{
		world:     w,
		name:      simnet.Node("agent/" + name),
		endpoint:  wire.EndpointID(name),
		domain:    w.opts.Deployment.DomainOf(i),
		kind:      kind,
		index:     i,
		leavingAt: notLeaving,
	}
	w.agents = append(w.agents, a)
	return a
}

func (w *World) addEngine(i int) {
	a := w.addAgent(fmt.Sprintf("%s-%02d", w.opts.Deployment.Model, i+1), i, wire.KindEngine)
	n := newEngineNode(w, a)
	n.checksFence = i%2 == 0
	n.model = enginemodel.New(enginemodel.Config{
		Name:         string(a.endpoint),
		Seed:         w.opts.Seed<<8 + uint64(i),
		Have:         w.assignment(),
		Exchange:     w.exchange,
		CheckFence:   n.checksFence,
		OutputTokens: n.outputTokens,
	})
	a.engine = n
}

func (w *World) addService(i int) {
	a := w.addAgent(fmt.Sprintf("%s-%02d", w.opts.Deployment.Service, i+1), i, wire.KindService)
	a.service = newServiceNode(w, a.endpoint)
}

// assignment returns the initial assignment of every engine.
func (w *World) assignment() wire.Assignment {
	for _, m := range w.snapshot.Models {
		if m.Name == w.opts.Deployment.Model {
			return wire.Assignment{Model: m.Name, Version: m.Version, Adapters: m.Adapters, Role: wire.RoleServe}
		}
	}
	return wire.Assignment{Model: w.opts.Deployment.Model, Role: wire.RoleServe}
}

// baseLink returns the fault-free state of the link between two nodes.
func (w *World) baseLink(from, to simnet.Node) simnet.Link {
	delay := sameDomainDelay
	if w.domainOf(from) != w.domainOf(to) {
		delay = w.opts.Deployment.DomainDelay
	}
	return simnet.Link{Delay: delay, Jitter: delay / 4}
}

func (w *World) domainOf(n simnet.Node) wire.FailureDomain {
	name, _ := strings.CutSuffix(string(n), "/bulk")
	for _, e := range w.entries {
		if string(e.name) == name {
			return e.domain
		}
	}
	for _, a := range w.agents {
		if string(a.name) == name {
			return a.domain
		}
	}
	return ""
}

func (w *World) entryByID(id wire.NodeID) *entryNode {
	for _, e := range w.entries {
		if e.id == id {
			return e
		}
	}
	return nil
}

// clockOffset draws the initial reading of a new process's clock.
func (w *World) clockOffset() time.Duration {
	return time.Duration(w.rnd.Int64N(int64(maxClockOffset)))
}

// timeLimit returns the time within which a request must end.
func (w *World) timeLimit(r *workload.Request) time.Duration {
	a := w.snapshot.Accounts[r.Account]
	limit := a.ServiceDeadline
	if r.Kind == wire.KindEngine {
		limit = a.Deadlines[r.Band()]
	}
	if r.Deadline > 0 {
		limit = min(limit, r.Deadline)
	}
	return limit
}

// record adds one event to the journal.
func (w *World) record(node simnet.Node, kind, subject, detail string, value int64) {
	w.journal.add(line{at: w.clock.Now(), node: node, kind: kind, subject: subject, detail: detail, value: value})
}

// fail records the first violation and, unless the run measures, halts it.
func (w *World) fail(v violation) {
	if w.violation != nil {
		return
	}
	w.record("audit", "violation", v.Subject, string(v.Promise)+": "+v.Detail, 0)
	w.violation = &Violation{Promise: v.Promise, Subject: v.Subject, Detail: v.Detail, At: w.clock.Now()}
	w.violation.Trace = w.traceOf(v.Subject)
	if !w.opts.Measure {
		w.clock.Halt()
	}
}

// Maximum numbers of events in the trace of a violation.
const (
	subjectTrace = 120
	recentTrace  = 60
)

// traceOf returns the latest events of the subject, then those of all nodes.
func (w *World) traceOf(subject string) []string {
	about := func(l line) bool {
		return subject != "" && (l.subject == subject || strings.Contains(l.detail, subject) || string(l.node) == subject)
	}
	lines := w.journal.trace(subjectTrace, about)
	lines = append(lines, "--- latest events of all nodes")
	return append(lines, w.journal.trace(recentTrace, func(line) bool { return true })...)
}

// Run executes the run and returns its result.
func (w *World) Run() *Result {
	w.recoverInvariant(w.start)
	w.runUntil(warmUp + w.opts.VirtualTime)
	w.recoverInvariant(w.faults.end)
	w.settle()
	if !w.stopped() {
		w.recoverInvariant(w.audit.checkIdle)
	}
	return w.result()
}

func (w *World) start() {
	w.vms.start()
	w.publishLists()
	for _, e := range w.entries {
		e.start()
	}
	for _, a := range w.agents {
		a.start()
	}
	w.callers.start(warmUp)
	w.faults.start(warmUp)
	w.clock.After(warmUp, w.audit.checkConvergence)
}

// settle waits until every call has ended, at most maxSettle, and then for
// settleTime.
func (w *World) settle() {
	end := w.clock.Now() + maxSettle
	for w.clock.Now() < end && len(w.callers.open) > 0 && !w.stopped() {
		w.runUntil(w.clock.Now() + settleStep)
	}
	w.runUntil(w.clock.Now() + settleTime)
}

// stopped reports whether a violation has ended the run.
func (w *World) stopped() bool { return w.violation != nil && !w.opts.Measure }

// runUntil runs the clock up to time t unless a violation has ended the run.
func (w *World) runUntil(t time.Duration) {
	if !w.stopped() {
		w.recoverInvariant(func() { w.clock.RunUntil(t) })
	}
}

// recoverInvariant runs f and turns a failed program invariant into a violation.
func (w *World) recoverInvariant(f func()) {
	defer func() {
		if v := invariant.Recover(recover()); v != nil {
			w.fail(violation{Promise: promiseInvariant, Subject: v.Name, Detail: v.Detail})
		}
	}()
	f()
}

func (w *World) result() *Result {
	return &Result{
		Options:   w.opts,
		Digest:    w.journal.sum(),
		Events:    w.journal.count,
		Calls:     summarise(w.callers.results),
		Refused:   w.callers.refused,
		Violation: w.violation,
		Faults:    w.faults.counts,
		Elapsed:   w.clock.Now(),
	}
}
