package gateway

import (
	"slices"
	"time"
)

const (
	// transitTime is the time from a dispatch to its arrival at an engine, including the
	// gateway's processing: two hops in a failure domain and some processor time.
	transitTime = 2 * time.Millisecond
	// overduePrefill is the remaining prefill time that is assumed for a prompt whose
	// predicted end has passed without a first event.
	overduePrefill = 20 * time.Millisecond
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
	decoding      int           // of streams, those past their first event
	contextTokens int64         // prompt tokens of the decoding streams, each divided by the number of its engines; output is left out
	memoryTokens  int64         // in use or reserved
	minGapLimit   time.Duration // shortest gap limit of the streams; 0: none
	queuedPrefill time.Duration // prefill time until the queue is empty
	decodePass    time.Duration // token steps of one pass
}

// occupancy returns the work at e. The result is cached for a tick in which nothing
// changes there, since many waiting requests query it.
func (c *Core) occupancy(e *endpoint) occupancy {
	if !e.occupancyValid || e.occupancyAt != c.now {
		e.cachedOccupancy, e.occupancyValid, e.occupancyAt = c.computeOccupancy(e), true, c.now
	}
	return e.cachedOccupancy
}

// computeOccupancy sums the work items at e.
func (c *Core) computeOccupancy(e *endpoint) occupancy {
	var o occupancy
	var prefillEnd time.Duration
	overdue := time.Duration(0)
	for _, w := range e.workItems {
		i := slices.Index(w.endpoints, e)
		if w.reserved != nil && i > 0 {
			o.memoryTokens += w.memory(i)
		}
		if w.answering() == e {
			o.streams++
			o.memoryTokens += w.memory(0)
			if w.gapLimit > 0 && (o.minGapLimit == 0 || w.gapLimit < o.minGapLimit) {
				o.minGapLimit = w.gapLimit
			}
		}
		if w.phase == workDecoding {
			if w.answering() == e {
				o.decoding++
				o.contextTokens += w.prompt / int64(len(w.endpoints))
			}
			continue
		}
		partTime := e.scaleByPace(w.partTime)
		prefillEnd = max(prefillEnd, w.dispatchedAt+transitTime) + partTime
		if w.overtakenBy != nil {
			prefillEnd += w.overtakenBy[i]
		}
		grace := max(minOverdueGrace, time.Duration(overdueGraceRatio*float64(partTime)))
		if prefillEnd <= c.now && (i == 0 || c.now < prefillEnd+grace) {
			overdue = overduePrefill
		}
	}
	o.queuedPrefill = max(prefillEnd-c.now, 0) + overdue
	if o.decoding > 0 {
		o.decodePass = e.scaleByPace(e.engine.DecodePassTime(o.decoding, o.contextTokens))
	}
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

// untilFirst predicts the time from now to the first event of a prompt whose part the
// engine prefills after its queue. A new prefill begins with the next pass, on average
// after half a pass of token steps.
func (o *occupancy) untilFirst(e *endpoint, partTime time.Duration) time.Duration {
	return transitTime + o.decodePass/2 + o.queuedPrefill + e.scaleByPace(partTime) + o.decodePass
}

// freePrefill returns the prefill time that the engine can take now without a gap beyond
// the objective of a stream there, or beyond noStreamLimit if it has no streams.
func (o *occupancy) freePrefill(margin, noStreamLimit time.Duration) time.Duration {
	return o.freePrefillAfterQueue(margin, noStreamLimit) - o.queuedPrefill
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
