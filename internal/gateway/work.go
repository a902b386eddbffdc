package gateway

import (
	"slices"
	"time"
)

const (
	// transitTime is the time from a dispatch to its arrival at an engine, including the
	// gateway's processing: two hops in a failure domain and some processor time.
	transitTime = 2 * time.Millisecond
	// A helper's part counts as unfinished without a first event for the larger of
	// minOverdueGrace and overdueGraceRatio times the part's prefill time after its predicted
	// end. All parts of a prompt end at about the same time, so a missing first event means
	// that the helper may still be busy. The answering engine counts as busy until the
	// first event.
	overdueGraceRatio = 0.25
	minOverdueGrace   = 150 * time.Millisecond
	// unusedMemoryRatio is the part of an engine's memory that placement leaves free, for
	// prompts whose token count the engine rounds up to blocks.
	unusedMemoryRatio = 0.02
)

// addWork adds w to its endpoints.
func (c *Core) addWork(w *workItem) {
	for _, e := range w.endpoints {
		i := len(e.workItems)
		for i > 0 && e.workItems[i-1].dispatchedAt > w.dispatchedAt {
			i--
		}
		e.workItems = slices.Insert(e.workItems, i, w)
		e.occupancyValid = false
	}
}

// removeWork removes w from its endpoints.
func (c *Core) removeWork(w *workItem) {
	for _, e := range w.endpoints {
		e.removeWork(w)
	}
	c.placementDue = true
}

// occupancy is the work at an engine in the view of one gateway.
type occupancy struct {
	streams       int           // requests that the engine answers
	memoryTokens  int64         // in use or reserved
	minGapLimit   time.Duration // shortest gap limit of the streams; 0: none
	queuedPrefill time.Duration // prefill time until the queue is empty
	nextPass      time.Duration // until the pass begins that a prompt joins if it is sent now
	nextPrefill   time.Duration // prefill time that is queued for that pass
	decodePass    time.Duration // token steps of that pass
	longDemand    bool          // it prefills a long prompt or did lately
}

// occupancy returns the work at e. The result is cached for a tick in which nothing
// changes there, since many waiting requests query it.
func (c *Core) occupancy(e *endpoint) occupancy {
	if !e.occupancyValid || e.occupancyAt != c.now {
		e.cachedOccupancy, e.occupancyValid, e.occupancyAt = c.computeOccupancy(e), true, c.now
	}
	return e.cachedOccupancy
}

// computeOccupancy sums the work items at e and forecasts its passes.
func (c *Core) computeOccupancy(e *endpoint) occupancy {
	var o occupancy
	f := passForecast{engine: e, now: c.now, boundary: e.passEnd}
	prefilling := 0
	for _, w := range e.workItems {
		prefilling += bit(w.phase == workPrefilling)
		o.longDemand = o.longDemand || c.demandsLong(w)
		if w.answering() != e {
			if w.reserved != nil {
				o.memoryTokens += w.memory(slices.Index(w.endpoints, e))
			}
			continue
		}
		o.streams++
		o.memoryTokens += w.memory(0)
		if w.gapLimit > 0 && (o.minGapLimit == 0 || w.gapLimit < o.minGapLimit) {
			o.minGapLimit = w.gapLimit
		}
		if w.phase == workDecoding {
			f.addStream(w, 0, &f.decoding, &f.context)
		}
	}
	if e.engine == nil {
		return o
	}
	for i := 0; prefilling > 0; i++ {
		if w := e.workItems[i]; w.phase == workPrefilling {
			f.add(w, slices.Index(w.endpoints, e))
			prefilling--
		}
	}
	f.advance(c.now + transitTime)
	o.nextPass, o.nextPrefill, o.decodePass = f.boundary-c.now, f.queued, f.decodePass()
	o.queuedPrefill = max(f.busyUntil-c.now, 0) + f.queued
	return o
}

// startDecode records that w has its first event. If several engines prefilled w, its
// parts have overtaken the prompts that were dispatched before it and are still in
// prefill: engines prefill parts of divided prompts first, the newest before the others.
func (w *workItem) startDecode() {
	w.phase = workDecoding
	for _, e := range w.endpoints {
		e.occupancyValid = false
		if len(w.endpoints) == 1 {
			return
		}
		for _, o := range e.workItems {
			if o == w || o.phase != workPrefilling || o.dispatchedAt > w.dispatchedAt {
				continue
			}
			if o.overtakenBy == nil {
				o.overtakenBy = make([]time.Duration, len(o.endpoints))
			}
			o.overtakenBy[slices.Index(o.endpoints, e)] += e.scaleByPace(w.partTime)
		}
	}
}

// scaleByPace corrects a predicted time by the endpoint's observed or reported pace,
// whichever is slower.
func (e *endpoint) scaleByPace(d time.Duration) time.Duration {
	return time.Duration(float64(d) * max(e.observedPace, e.reportedPace, e.presumedPace()))
}

// knownSlow reports whether the engine is slower than published, as all gateways know it.
func (e *endpoint) knownSlow() bool { return max(e.reportedPace, e.presumedPace()) > 1 }

// untilFirst predicts the time from now to the first event of a prompt whose part the
// engine prefills in the next pass that it can join. The event comes when that pass ends.
func (o *occupancy) untilFirst(e *endpoint, partTime time.Duration) time.Duration {
	return o.nextPass + o.nextPrefill + e.scaleByPace(partTime) + o.decodePass
}

// freePrefill returns the prefill time that the engine can take now without a gap beyond
// the objective of a stream there, or beyond noStreamLimit if it has no streams.
func (o *occupancy) freePrefill(margin, noStreamLimit time.Duration) time.Duration {
	if o.minGapLimit == 0 {
		return noStreamLimit - o.queuedPrefill
	}
	return o.freePrefillAfterQueue(margin, noStreamLimit) - o.nextPrefill
}

// freePrefillAfterQueue returns the same for the time when the queue is empty.
func (o *occupancy) freePrefillAfterQueue(margin, noStreamLimit time.Duration) time.Duration {
	if o.minGapLimit == 0 {
		return noStreamLimit
	}
	return o.minGapLimit - margin - o.decodePass
}

// hasLatencySensitive reports whether a stream runs there whose gap limit is at most
// LatencySensitiveGap.
func (c *Core) hasLatencySensitive(o *occupancy) bool {
	return o.minGapLimit > 0 && o.minGapLimit <= c.cfg.Placement.LatencySensitiveGap
}
