package entry

import (
	"trefoilpath.org/trefoilpath/internal/wire"
)

// ingest applies one input to the state.
func (c *Core) ingest(in *Input) {
	switch {
	case in.Request != nil:
		c.admit(in.Request)
	case in.CallerGone != nil:
		c.callerGone(in.CallerGone.ID)
	case in.StreamProgress != nil:
		c.streamProgress(in.StreamProgress)
	case in.FromAgent != nil:
		c.fromAgent(in.FromAgent.Endpoint, &in.FromAgent.Msg)
	case in.AgentUp != nil:
		c.agentUp(in.AgentUp.Hello)
	case in.AgentDown != nil:
		c.agentDown(in.AgentDown)
	case in.StoreResult != nil:
		c.storeResult(*in.StoreResult)
	case in.FromPeer != nil:
		c.fleet.fromPeer(in.FromPeer.Peer, in.FromPeer.Msg)
	case in.PeerDown != nil:
		c.fleet.peerDown(in.PeerDown.Peer)
	case in.VMList != nil:
		c.fleet.setVMList(in.VMList.VMs)
	case in.LocalDeclarations != nil:
		c.fleet.declareLocal(in.LocalDeclarations)
	case in.Shutdown != nil:
		c.startDrain()
	}
}

// fromAgent applies one message of an agent.
func (c *Core) fromAgent(id wire.EndpointID, m *wire.ToEntry) {
	e := c.endpoints.Get(id)
	if e == nil || !e.up {
		return
	}
	switch {
	case m.Report != nil:
		c.reportArrived(e, *m.Report)
	case m.Started != nil:
		c.started(m.Started.Attempt)
	case m.Refused != nil:
		c.refused(m.Refused)
	case m.Finished != nil:
		c.finished(m.Finished)
	case m.Failed != nil:
		c.failed(m.Failed)
	case m.Cancelled != nil:
		c.cancelled(m.Cancelled)
	case m.CacheDelta != nil:
		e.prefixes.apply(m.CacheDelta, c.cfg.MaxPrefixHashes)
	case m.Reserved != nil:
		c.reserved(m.Reserved)
	case m.OrderResult != nil:
		c.fleet.orderResult(id, *m.OrderResult)
	}
}

// attemptOf returns the attempt with the given ID, or nil if it has been deleted
// or is of another entry or incarnation.
func (c *Core) attemptOf(id wire.AttemptID) *attempt {
	if id.Entry != c.cfg.Self || id.Incarnation != c.cfg.Incarnation {
		return nil
	}
	return c.attempts.Get(id.Sequence)
}

// streamProgress handles an event of the answer stream.
func (c *Core) streamProgress(s *StreamProgress) {
	r := c.requests.Get(s.ID)
	if r == nil {
		return
	}
	r.delivered = max(r.delivered, s.Delivered)
	switch s.Event {
	case StreamFirst:
		c.firstToken(r)
	case StreamDone:
		r.answerComplete = true
		c.complete(r, s)
	case StreamBroken:
		c.streamBroken(r, s.Attempt)
	}
}

// firstToken records the time of the first token and checks it against the
// prediction.
func (c *Core) firstToken(r *request) {
	if r.firstTokenAt != 0 {
		return
	}
	r.firstTokenAt = c.now
	if a := c.attempts.Get(r.currentAttempt); a != nil {
		c.observeTTFT(a)
	}
}

// callerGone ends a request whose caller has disconnected. A running call that
// must not run twice goes on, so that its record gets the true outcome.
func (c *Core) callerGone(id RequestID) {
	r := c.requests.Get(id)
	if r == nil {
		return
	}
	if r.in.Kind == wire.KindService && !r.repeatable && r.phase == phaseRunning {
		return
	}
	c.fail(r, failure{code: CodeCallerGone})
}
