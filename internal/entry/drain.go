package entry

// drainState is the progress of a graceful shutdown.
type drainState struct {
	started  bool
	refusing bool // new requests are refused: the load balancer has had time to stop sending
	done     bool
}

// readiness is the readiness that the entry last reported.
type readiness struct {
	known  bool // false until the first report
	ok     bool
	reason string
}

// startDrain fails readiness at once and goes on accepting requests for
// BalancerLag, until the load balancer has noticed.
func (c *Core) startDrain() {
	if c.drain.started {
		return
	}
	c.drain.started = true
	if c.cfg.disabled(mechanismGrace) {
		c.drain.refusing = true
		c.drain.done = true
		c.emit(Output{Drained: true})
		return
	}
	c.timers.Set(timerKey{kind: timerDrain}, c.now+c.cfg.BalancerLag)
	c.fleet.updatePlacementWanted()
}

// finishDrain reports Drained once no request is in flight and no record is
// pending.
func (c *Core) finishDrain() {
	if !c.drain.refusing || c.drain.done || c.requests.Len() > 0 || c.records.Pending() > 0 {
		return
	}
	c.drain.done = true
	c.emit(Output{Drained: true})
}

// updateReady reports a change of readiness.
func (c *Core) updateReady() {
	next := readiness{known: true, ok: true}
	switch {
	case c.drain.started:
		next = readiness{known: true, reason: "shutting down"}
	case c.snapshot == nil:
		next = readiness{known: true, reason: "no declarations yet"}
	case !c.fleet.joined():
		next = readiness{known: true, reason: "not yet sure to be on the VM list"}
	case !c.fleet.reachable():
		next = readiness{known: true, reason: "neither the store nor any peer can be reached"}
	}
	if next == c.ready {
		return
	}
	c.ready = next
	c.emit(Output{Ready: &Ready{OK: next.ok, Reason: next.reason}})
	c.log(Event{Kind: EventReady, Detail: next.reason})
}

// Ready returns whether the entry should get requests, and why not.
func (c *Core) Ready() (bool, string) { return c.ready.ok, c.ready.reason }
