package soak

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/agent"
	"trefoilpath.org/trefoilpath/internal/answer"
	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/simnet"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// agentNode is the VM of an agent: its process, if one has started, and a
// simulation of the shell around its core.
type agentNode struct {
	world       *World
	name        simnet.Node
	endpoint    wire.EndpointID
	domain      wire.FailureDomain
	kind        wire.Kind
	index       int
	incarnation wire.Incarnation
	proc        *process[agent.Input, agent.Output]
	streams     []*stream // one for each entry
	engine      *engineNode
	service     *serviceNode
	work        map[wire.AttemptID]*agentWork
	bySequence  map[engine.SequenceID]*agentWork
	leavingAt   time.Duration // start of graceful shutdown; notLeaving otherwise
	revision    uint64        // latest that this incarnation has reported
}

// agentWork is the shell's state of one attempt.
type agentWork struct {
	attempt      wire.AttemptID
	entry        *entryNode
	call         *call
	framer       *answer.Framer
	frames       []wire.Frame
	sequence     engine.SequenceID
	resumeFrom   int64 // output tokens that the caller had from earlier attempts
	framedTokens int64 // output tokens framed so far, including resumeFrom
	dropped      bool
}

// notLeaving is the leavingAt of a process that is not shutting down.
const notLeaving = -1

// start starts a new incarnation of the agent.
func (a *agentNode) start() {
	w := a.world
	a.incarnation++
	a.work = make(map[wire.AttemptID]*agentWork)
	a.bySequence = make(map[engine.SequenceID]*agentWork)
	a.leavingAt = notLeaving
	a.revision = 0
	w.disturb(a.name)
	w.record(a.name, "agent-start", "", "", int64(a.incarnation))
	c, err := w.newAgentCore(a)
	if err != nil {
		w.fail(violation{Promise: promiseConfig, Detail: err.Error()})
		return
	}
	a.proc = newProcess(w.clock, w.clockOffset(), c, a.output)
	for _, s := range a.streams {
		s.dialSoon()
	}
	if a.engine != nil {
		a.engine.attach()
	}
}

func (a *agentNode) running() bool {
	return a.proc != nil && !a.proc.stopped && !a.proc.paused
}

func (a *agentNode) alive() bool { return a.proc != nil && !a.proc.stopped }

// kill ends the process. If silent, its sockets are not closed, as when the
// whole VM is lost, and peers notice only by the ping timeout.
func (a *agentNode) kill(silent bool) {
	if !a.alive() {
		return
	}
	a.world.record(a.name, "agent-kill", "", "", int64(a.incarnation))
	a.proc.stop()
	delay := resetDelay
	if silent {
		delay = pingTimeout
	}
	for _, s := range a.streams {
		s.breakAfter(delay, func() bool { return true })
	}
	if a.service != nil {
		a.service.forget()
	}
}

// pause suspends the process for d. late is meant to hold the outputs of its next
// tick until it resumes, but has no effect, as the core does not tick meanwhile.
func (a *agentNode) pause(d time.Duration, late bool) {
	if !a.running() {
		return
	}
	w := a.world
	w.record(a.name, "agent-pause", "", "", int64(d))
	p := a.proc
	if late {
		p.startHolding()
	}
	p.pause()
	for _, s := range a.streams {
		s.breakAfter(pingTimeout, func() bool { return p.paused && !p.stopped })
	}
	w.clock.After(d, func() {
		w.record(a.name, "agent-resume", "", "", 0)
		p.resume()
	})
}

// leave asks the process to shut down gracefully.
func (a *agentNode) leave() {
	if !a.running() || a.leavingAt != notLeaving {
		return
	}
	a.world.record(a.name, "agent-leave", "", "", 0)
	a.leavingAt = a.world.clock.Now()
	a.proc.input(agent.Input{Leaving: &agent.Leaving{}})
}

func (a *agentNode) entryUp(e *entryNode) {
	a.world.record(a.name, "stream-up", string(e.name), "", 0)
	a.proc.input(agent.Input{EntryUp: &agent.EntryUp{Entry: e.id}})
	for _, id := range a.liveFor(e) {
		for _, f := range a.work[id].frames {
			a.sendFrame(a.work[id], f)
		}
	}
}

// liveFor lists the attempts of an entry whose frames are kept, in order.
func (a *agentNode) liveFor(e *entryNode) []wire.AttemptID {
	var ids []wire.AttemptID
	for id, k := range a.work {
		if k.entry == e && !k.dropped && len(k.frames) > 0 {
			ids = append(ids, id)
		}
	}
	sortAttempts(ids)
	return ids
}

func (a *agentNode) entryDown(e *entryNode) {
	a.world.record(a.name, "stream-down", string(e.name), "", 0)
	if a.alive() {
		a.proc.input(agent.Input{EntryDown: &agent.EntryDown{Entry: e.id}})
	}
}

// receive handles a message from an entry. For a Dispatch, c is the call, whose
// body follows.
func (a *agentNode) receive(e *entryNode, msg wire.ToAgent, c *call) {
	if !a.alive() {
		return
	}
	if d := msg.Dispatch; d != nil {
		a.world.record(a.name, "dispatch", d.Attempt.String(), d.RequestID, d.PromptTokens)
		a.world.audit.recordDispatch(a, d)
		a.trackAttempt(e, d, c)
	}
	a.proc.input(agent.Input{FromEntry: &agent.FromEntry{Entry: e.id, Msg: msg}})
}

func (a *agentNode) trackAttempt(e *entryNode, d *wire.Dispatch, c *call) {
	if a.work[d.Attempt] != nil {
		return
	}
	a.work[d.Attempt] = &agentWork{
		attempt:      d.Attempt,
		entry:        e,
		call:         c,
		framer:       answer.NewFramer(d.Attempt),
		framedTokens: d.ResumeFrom,
	}
}

// bodyArrived notifies the core that the body of an attempt is complete.
func (a *agentNode) bodyArrived(id wire.AttemptID) {
	if a.alive() && a.work[id] != nil {
		a.proc.input(agent.Input{BodyReady: &agent.BodyReady{Attempt: id}})
	}
}

func (a *agentNode) output(o agent.Output) {
	switch {
	case o.ToEntry != nil:
		a.sendEntry(o.ToEntry)
	case o.Engine != nil:
		a.command(o.Engine)
	case o.Service != nil:
		a.callService(o.Service)
	case o.Drop != nil:
		a.drop(o.Drop.Attempt)
	case o.Drained:
		a.drained()
	case o.Log != nil:
		a.log(o.Log)
	}
}

func (a *agentNode) log(e *agent.Event) {
	detail := e.Request
	if e.Reason != "" {
		detail += " " + e.Reason
	}
	a.world.record(a.name, string(e.Kind), e.Attempt.String(), detail, e.Tokens)
	a.world.audit.checkAgentEvent(a, e)
}

func (a *agentNode) sendEntry(m *agent.ToEntry) {
	s := a.streamTo(m.Entry)
	if s == nil {
		return
	}
	if r := m.Msg.Report; r != nil {
		a.world.audit.checkAgentRevision(a, r.Revision)
		a.world.audit.reportedFree[a] = r.FreeTokens
	}
	if r := m.Msg.Reserved; r != nil {
		a.world.audit.recordReservation(a, r)
	}
	msg := m.Msg
	s.send(a.name, s.entry.name, 0, func() { s.entry.receive(a, s, msg) })
}

func (a *agentNode) streamTo(id wire.NodeID) *stream {
	for _, s := range a.streams {
		if s.entry.id == id {
			return s
		}
	}
	return nil
}

func (a *agentNode) command(c *agent.EngineCommand) {
	if s := c.Command.Submit; s != nil {
		a.world.record(a.name, "submit", c.Attempt.String(), string(s.ID), s.ResumeFrom)
		k := a.work[c.Attempt]
		if k == nil {
			a.world.fail(violation{Promise: promiseWhole, Detail: "submit without a body: " + c.Attempt.String()})
			return
		}
		k.sequence = s.ID
		k.resumeFrom = s.ResumeFrom
		k.framedTokens = s.ResumeFrom
		a.engine.submit(s, k.call)
		a.bySequence[s.ID] = k
		a.world.audit.checkEngineStart(a, k)
	}
	a.engine.command(c.Command)
}

// engineEvent turns output into frames and passes the event to the core.
func (a *agentNode) engineEvent(e engine.Event) {
	if !a.alive() {
		return
	}
	switch {
	case e.First != nil:
		a.frameOutput(e.First.ID, 1)
	case e.Progress != nil:
		a.frameOutput(e.Progress.ID, e.Progress.Output)
	case e.Finished != nil:
		a.frameEnd(e.Finished)
	}
	a.proc.input(agent.Input{Engine: &e})
}

// frameOutput frames the tokens generated since the last frame; generated counts
// from the start of the sequence.
func (a *agentNode) frameOutput(id engine.SequenceID, generated int64) {
	k := a.bySequence[id]
	if k == nil {
		return
	}
	// An engine that resumes with all tokens delivered generates only the end of
	// the answer, no token.
	output := min(k.resumeFrom+generated, k.call.expectedTokens())
	if output <= k.framedTokens {
		return
	}
	data := tokenText(k.call.req.BodyDigest, k.framedTokens, output)
	a.addFrame(k, k.framer.Data(data, int32(output-k.framedTokens)))
	k.framedTokens = output
}

func (a *agentNode) frameEnd(f *engine.Finished) {
	k := a.bySequence[f.ID]
	if k == nil || f.Handle != "" {
		return
	}
	a.frameOutput(f.ID, f.Output)
	a.addFrame(k, k.framer.Close(wire.FrameTotal{
		FinishReason: "stop",
		PromptTokens: f.PromptTokens,
		CachedTokens: f.CachedTokens,
		OutputTokens: k.resumeFrom + f.Output,
	}))
}

func (a *agentNode) addFrame(k *agentWork, f wire.Frame) {
	if k.dropped {
		return
	}
	k.frames = append(k.frames, f)
	a.sendFrame(k, f)
}

func (a *agentNode) sendFrame(k *agentWork, f wire.Frame) {
	s := a.streamTo(k.entry.id)
	extra := time.Duration(len(f.Data)) * perByte
	s.send(bulk(a.name), bulk(s.entry.name), extra, func() { s.entry.frame(f) })
}

func (a *agentNode) drop(id wire.AttemptID) {
	k := a.work[id]
	if k == nil {
		return
	}
	k.dropped = true
	k.frames = nil
	delete(a.work, id)
	delete(a.bySequence, k.sequence)
	if a.service != nil {
		a.service.abandon(id)
	}
}

func (a *agentNode) callService(s *agent.ServiceStart) {
	k := a.work[s.Attempt]
	if k == nil {
		a.world.fail(violation{Promise: promiseWhole, Detail: "service call without a body: " + s.Attempt.String()})
		return
	}
	a.service.call(a, k, s)
}

// serviceDone frames the answer of a service and notifies the core. sent means
// that the request may have run.
func (a *agentNode) serviceDone(k *agentWork, data []byte, sent, ok bool) {
	if !a.alive() {
		return
	}
	if ok {
		a.addFrame(k, k.framer.Head(wire.ReplyHead{Status: serviceStatusOK}))
		a.addFrame(k, k.framer.Data(data, 0))
		a.addFrame(k, k.framer.Close(wire.FrameTotal{}))
	}
	a.proc.input(agent.Input{ServiceDone: &agent.ServiceDone{Attempt: k.attempt, RequestSent: sent, AnswerComplete: ok}})
}

// drained completes a graceful shutdown and schedules the next start.
func (a *agentNode) drained() {
	w := a.world
	w.record(a.name, "agent-drained", "", "", 0)
	w.audit.checkAgentDrained(a)
	a.kill(false)
	w.clock.After(restartDelay, func() {
		if !a.alive() {
			a.start()
		}
	})
}
