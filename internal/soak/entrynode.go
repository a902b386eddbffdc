package soak

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/answer"
	"trefoilpath.org/trefoilpath/internal/entry"
	"trefoilpath.org/trefoilpath/internal/idempotency"
	"trefoilpath.org/trefoilpath/internal/simnet"
	"trefoilpath.org/trefoilpath/internal/store"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// entryNode is the VM of an entry: its process, if one has started, and a
// simulation of the shell around its core.
type entryNode struct {
	world       *World
	name        simnet.Node
	id          wire.NodeID
	domain      wire.FailureDomain
	index       int
	incarnation wire.Incarnation
	proc        *process[entry.Input, entry.Output]
	streams     []*stream // one for each agent
	calls       map[entry.RequestID]*call
	byAttempt   map[wire.AttemptID]*call
	byExternal  map[string]*call
	nextID      entry.RequestID
	ready       bool
	leavingAt   time.Duration // start of graceful shutdown; notLeaving otherwise
	revision    uint64        // in effect in this incarnation; 0 if none
	inForceAt   time.Duration // when revision took effect
}

// start starts a new incarnation of the entry.
func (e *entryNode) start() {
	w := e.world
	e.incarnation++
	e.calls = make(map[entry.RequestID]*call)
	e.byAttempt = make(map[wire.AttemptID]*call)
	e.byExternal = make(map[string]*call)
	e.ready = false
	e.leavingAt = notLeaving
	e.revision = 0
	w.disturb(e.name)
	w.record(e.name, "entry-start", "", "", int64(e.incarnation))
	c, err := w.newEntryCore(e)
	if err != nil {
		w.fail(violation{Promise: promiseConfig, Detail: err.Error()})
		return
	}
	e.proc = newProcess(w.clock, w.clockOffset(), c, e.output)
	e.refreshVMs()
}

func (e *entryNode) running() bool {
	return e.proc != nil && !e.proc.stopped && !e.proc.paused
}

func (e *entryNode) alive() bool { return e.proc != nil && !e.proc.stopped }

// kill ends the process. If silent, its sockets are not closed, as when the
// whole VM is lost, and peers notice only by the ping timeout.
func (e *entryNode) kill(silent bool) {
	if !e.alive() {
		return
	}
	w := e.world
	w.record(e.name, "entry-kill", "", "", int64(e.incarnation))
	e.proc.stop()
	e.setReady(false)
	delay := resetDelay
	if silent {
		delay = pingTimeout
	}
	for _, s := range e.streams {
		s.breakAfter(delay, func() bool { return true })
	}
	w.store.drop(e.name)
	for _, c := range e.callsInOrder() {
		w.callers.connectionLost(c, delay)
	}
}

// pause suspends the process for d. late is meant to hold the outputs of its next
// tick until it resumes, but has no effect, as the core does not tick meanwhile.
func (e *entryNode) pause(d time.Duration, late bool) {
	if !e.running() {
		return
	}
	w := e.world
	w.record(e.name, "entry-pause", "", "", int64(d))
	w.audit.recordPause(e, d)
	p := e.proc
	if late {
		p.startHolding()
	}
	p.pause()
	for _, s := range e.streams {
		s.breakAfter(pingTimeout, func() bool { return p.paused && !p.stopped })
	}
	w.clock.After(d, func() {
		w.record(e.name, "entry-resume", "", "", 0)
		p.resume()
	})
}

// leave asks the process to shut down gracefully.
func (e *entryNode) leave() {
	if !e.running() || e.leavingAt != notLeaving {
		return
	}
	e.world.record(e.name, "entry-leave", "", "", 0)
	e.leavingAt = e.world.clock.Now()
	e.proc.input(entry.Input{Shutdown: &entry.Shutdown{}})
}

// accept assigns an ID to a caller's request and passes it to the core.
func (e *entryNode) accept(c *call) {
	e.nextID++
	c.entry = e
	c.id = e.nextID
	c.incarnation = e.incarnation
	e.calls[c.id] = c
	e.byExternal[c.externalID] = c
	e.proc.input(entry.Input{Request: c.coreRequest()})
}

// callerGone notifies the core that the caller has closed its connection.
func (e *entryNode) callerGone(c *call) {
	if e.alive() && e.calls[c.id] == c {
		e.proc.input(entry.Input{CallerGone: &entry.CallerGone{ID: c.id}})
	}
}

// receive handles a control message from an agent. Before Hello it drops any
// other.
func (e *entryNode) receive(a *agentNode, s *stream, msg wire.ToEntry) {
	if !e.alive() {
		return
	}
	if h := msg.Hello; h != nil {
		s.helloReceived = true
		e.proc.input(entry.Input{AgentUp: &entry.AgentUp{Hello: *h}})
		return
	}
	if s.helloReceived {
		e.proc.input(entry.Input{FromAgent: &entry.FromAgent{Endpoint: a.endpoint, Msg: msg}})
	}
}

func (e *entryNode) agentDown(a *agentNode) {
	if e.alive() {
		e.world.record(e.name, "agent-stream-down", string(a.endpoint), "", 0)
		e.proc.input(entry.Input{AgentDown: &entry.AgentDown{Endpoint: a.endpoint, Incarnation: a.incarnation}})
	}
}

// frame handles a frame of an answer as the shell does: it passes on what is next
// in order for the current attempt. Frames that arrive while the entry is
// suspended are held until the next frame after it resumes.
func (e *entryNode) frame(f wire.Frame) {
	c := e.byAttempt[f.Attempt]
	if !e.alive() || c == nil || c.ended {
		return
	}
	if e.proc.paused {
		c.heldFrames = append(c.heldFrames, f)
		return
	}
	for _, earlier := range c.heldFrames {
		e.pass(c, earlier)
	}
	c.heldFrames = nil
	e.pass(c, f)
}

func (e *entryNode) pass(c *call, f wire.Frame) {
	data, tokens, event := c.answer.Accept(f)
	switch event {
	case answer.EventFirst:
		c.deliver(data, tokens)
		e.progress(c, f.Attempt, entry.StreamFirst, wire.FrameTotal{})
	case answer.EventMore:
		c.deliver(data, tokens)
	case answer.EventDone:
		e.progress(c, f.Attempt, entry.StreamDone, *f.Last)
	case answer.EventBroken:
		e.progress(c, f.Attempt, entry.StreamBroken, wire.FrameTotal{})
	}
}

func (e *entryNode) progress(c *call, id wire.AttemptID, event entry.StreamEvent, total wire.FrameTotal) {
	delivered, _ := c.answer.Delivered()
	s := &entry.StreamProgress{ID: c.id, Attempt: id, Event: event, Delivered: delivered, Total: total}
	if event == entry.StreamDone && c.req.Kind == wire.KindService {
		s.Reply = &idempotency.Stored{Status: serviceStatusOK, Body: c.body}
	}
	e.proc.input(entry.Input{StreamProgress: s})
}

func (e *entryNode) output(o entry.Output) {
	switch {
	case o.ToAgent != nil:
		e.sendAgent(o.ToAgent)
	case o.ToPeer != nil:
		e.sendPeer(o.ToPeer)
	case o.Store != nil:
		e.world.store.do(e, *o.Store)
	case o.SelectAttempt != nil:
		e.setAttempt(o.SelectAttempt)
	case o.Answer != nil:
		e.answered(o.Answer)
	case o.Snapshot != nil:
		e.world.audit.checkEntryRevision(e, o.Snapshot.Revision)
	case o.Ready != nil:
		e.world.record(e.name, "ready", o.Ready.Reason, "", boolValue(o.Ready.OK))
		e.setReady(o.Ready.OK)
	case o.Drained:
		e.drained()
	case o.Log != nil:
		e.log(o.Log)
	}
}

func (e *entryNode) log(ev *entry.Event) {
	subject := ev.Request
	if subject == "" {
		subject = string(ev.Endpoint)
	}
	detail := ev.Detail
	if !ev.Attempt.IsZero() {
		detail = ev.Attempt.String() + " " + detail
	}
	e.world.record(e.name, string(ev.Kind), subject, detail, int64(ev.Code))
	e.world.audit.checkEntryEvent(e, ev)
}

// setReady reports readiness to the load balancer, which applies it after
// balancerLag.
func (e *entryNode) setReady(ok bool) {
	e.ready = ok
	incarnation := e.incarnation
	e.world.clock.After(balancerLag, func() {
		if e.incarnation == incarnation && e.ready == ok {
			e.world.callers.setReady(e, ok)
		}
	})
}

func (e *entryNode) sendAgent(m *entry.ToAgent) {
	s := e.streamTo(m.Endpoint)
	if s == nil {
		return
	}
	msg := m.Msg
	c := e.calls[m.Request]
	if msg.Dispatch != nil {
		e.world.audit.checkDispatch(e, s, msg.Dispatch)
	}
	s.send(e.name, s.agent.name, 0, func() {
		s.agent.receive(e, msg, c)
		if msg.Dispatch != nil {
			s.receiveBody(msg.Dispatch)
		}
	})
}

func (e *entryNode) streamTo(id wire.EndpointID) *stream {
	for _, s := range e.streams {
		if s.agent.endpoint == id {
			return s
		}
	}
	return nil
}

// sendPeer sends a message to another entry and notifies the sender of a failed
// call.
func (e *entryNode) sendPeer(m *entry.ToPeer) {
	w := e.world
	to := w.entryByID(m.Peer)
	if to == nil {
		return
	}
	incarnation := e.incarnation
	failed := func(after time.Duration) {
		w.clock.After(after, func() {
			if e.alive() && e.incarnation == incarnation {
				e.proc.input(entry.Input{PeerDown: &entry.PeerDown{Peer: m.Peer}})
			}
		})
	}
	switch {
	case !w.net.Connected(e.name, to.name):
		failed(peerTimeout)
		return
	case !to.alive():
		failed(resetDelay)
		return
	}
	msg := m.Msg
	w.net.Send(e.name, to.name, 0, func() {
		if to.alive() {
			to.proc.input(entry.Input{FromPeer: &entry.FromPeer{Peer: e.id, Msg: msg}})
		}
	})
}

// setAttempt makes an attempt the one whose frames go to the caller.
func (e *entryNode) setAttempt(m *entry.SelectAttempt) {
	c := e.calls[m.ID]
	if c == nil {
		return
	}
	e.byAttempt[m.Attempt] = c
	c.attempts = append(c.attempts, m.Attempt)
	if !c.answer.SetAttempt(m.Attempt, m.ResumeFrom) {
		e.progress(c, m.Attempt, entry.StreamBroken, wire.FrameTotal{})
	}
}

// answered ends a request and passes the answer to its caller.
func (e *entryNode) answered(m *entry.Answer) {
	c := e.calls[m.ID]
	if c == nil {
		return
	}
	e.forget(c)
	if m.Replay != nil {
		c.body = append(c.body, m.Replay.Body...)
	}
	e.world.callers.answered(c, m)
}

func (e *entryNode) forget(c *call) {
	delete(e.calls, c.id)
	delete(e.byExternal, c.externalID)
	for _, id := range c.attempts {
		delete(e.byAttempt, id)
	}
}

// storeResult passes the result of a store operation to the core.
func (e *entryNode) storeResult(r store.Result) {
	e.proc.input(entry.Input{StoreResult: &r})
}

// refreshVMs passes the platform's VM list to the core, now and every
// vmListInterval.
func (e *entryNode) refreshVMs() {
	incarnation := e.incarnation
	e.proc.input(entry.Input{VMList: e.world.vms.list()})
	e.world.clock.After(vmListInterval, func() {
		if e.alive() && e.incarnation == incarnation {
			e.refreshVMs()
		}
	})
}

// drained completes a graceful shutdown and schedules the next start.
func (e *entryNode) drained() {
	w := e.world
	w.record(e.name, "entry-drained", "", "", int64(len(e.calls)))
	w.audit.checkEntryDrained(e)
	e.kill(false)
	w.clock.After(restartDelay, func() {
		if !e.alive() {
			e.start()
		}
	})
}

func (e *entryNode) callsInOrder() []*call {
	out := make([]*call, 0, len(e.calls))
	for id := entry.RequestID(1); id <= e.nextID && len(out) < len(e.calls); id++ {
		if c := e.calls[id]; c != nil {
			out = append(out, c)
		}
	}
	return out
}
