package gateway

import "time"

// ingest applies one input.
func (c *Core) ingest(in *Input) {
	switch {
	case in.Arrive != nil:
		c.arrive(in.Arrive)
	case in.Gone != nil:
		c.callerGone(in.Gone.ID)
	case in.Sent != nil:
		c.sent(in.Sent)
	case in.First != nil:
		c.firstEvent(in.First)
	case in.Stalled != nil:
		c.stalled(in.Stalled)
	case in.Resumed != nil:
		c.resumed(in.Resumed)
	case in.HelperFailed != nil:
		c.helperFailed(in.HelperFailed)
	case in.Ended != nil:
		c.ended(in.Ended)
	case in.Load != nil:
		c.loadReported(in.Load)
	case in.Announced != nil:
		c.endpointAnnounced(in.Announced)
	case in.Limit != nil:
		c.limitStated(in.Limit)
	case in.Report != nil:
		c.reportReceived(in.Report)
	case in.Instance != nil:
		c.instanceChecked(in.Instance)
	case in.Config != nil:
		c.configure(in.Config)
	case in.Endpoints != nil:
		c.register(in.Endpoints)
	case in.Evacuations != nil:
		c.evacuate(in.Evacuations)
	case in.Peer != nil:
		c.receivePeerMessage(in.Peer)
	case in.Versions != nil:
		c.versions = *in.Versions
		c.outbox.versionsChanged(c)
	case in.Confirmed != nil:
		c.copyConfirmed(in.Confirmed)
	case in.Seeds != nil:
		c.addSeeds(in.Seeds)
	case in.Shutdown != nil:
		c.leaving = true
		c.outbox.fullDue = true
	case in.Draining != nil:
		c.refuseBeyond(in.Draining.ExitAt)
	case in.Exit != nil:
		c.exit()
	}
}

func (c *Core) arrive(a *Arrival) {
	c.counts.Arrived++
	r := c.requests.Put(a.ID, request{in: *a, arrived: c.now, phase: phaseWaiting})
	r.regions = regionsOf(a.Regions)
	r.parts = c.partsOf(a)
	c.recognizeReturn(r)
	s := c.service(a.Service)
	s.budget.CountRequest(c.now)
	c.timers.Set(timerKey{kind: timerDeadline, request: a.ID}, a.Deadline)
	c.enqueue(r)
}

// sent records that the first byte of the attempt is about to be written. It cancels an
// attempt whose endpoint has meanwhile asked this gateway to wait or named a limit that leaves
// no room for it, or of which an endpoint is out of use; nothing is written then.
func (c *Core) sent(in *Sent) {
	r := c.running(in.ID, in.Attempt)
	if r == nil || r.sent || r.cancelled {
		return // nothing is written for a cancelled attempt
	}
	e := r.work.answering()
	if !r.work.permitted {
		r.work.permitted = c.takePermit(e) // the limit was not known when r was dispatched
	}
	evacuated := r.work.lostToEvacuation()
	if evacuated && !e.outOfUse {
		r.helperFailed = true // the endpoint that was to answer may get r again
	}
	if evacuated || c.now < e.announced.backoffUntil || !r.work.permitted {
		c.emit(Output{Cancel: &Cancel{ID: in.ID, Attempt: in.Attempt}})
		return
	}
	r.sent = true
	r.sends++
}

func (c *Core) firstEvent(in *FirstEvent) {
	c.standbyAnswers(in.ID, in.Attempt)
	r := c.running(in.ID, in.Attempt)
	if r == nil || r.work == nil || r.work.phase == workDecoding {
		return
	}
	if r.standby != nil {
		c.dropStandby(r)
	}
	w := r.work
	w.startDecode()
	e := w.answering()
	for _, helper := range w.endpoints[1:] {
		helper.health.helpFailures = 0
	}
	e.observeFirst(w, c.now-transitTime)
	c.updateObservedPace(r, e)
	c.recordPredictionError(r, e)
	c.checkFirstEvent(r)
	c.outbox.workChanged(c, w)
	c.placementDue = true
	c.logRequest("first-event", r, Event{Endpoint: string(e.registration.ID), Took: c.now - w.dispatchedAt, Detail: predictedDetail(r, w)})
}

// predictedDetail returns the predicted time to the first event for the log.
func predictedDetail(r *request, w *workItem) string {
	return "predicted=" + (r.predictedFirstAt - w.dispatchedAt).Round(time.Millisecond).String()
}

func (c *Core) loadReported(in *EndpointLoad) {
	if e := c.endpoints.Get(in.Endpoint); e != nil {
		e.load, e.loadAt = *in, c.now
	}
}

// running returns the request if the given attempt is its current one and runs.
func (c *Core) running(id RequestID, attempt int) *request {
	r := c.requests.Get(id)
	if r == nil || r.phase != phaseRunning || r.attempt != attempt {
		return nil
	}
	return r
}
