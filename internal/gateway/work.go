package gateway

import (
	"slices"
	"time"
)

const (
	// transitTime is the time from a dispatch to its arrival at an engine, with the
	// gateway's own work: two hops in a failure domain and some processor time.
	transitTime = 2 * time.Millisecond
	// overduePrefill is the read time that is assumed to be left of a prompt whose
	// predicted end has passed without a first event.
	overduePrefill = 20 * time.Millisecond
	// overdueGraceRatio of its read time, and overdueLeast at least, is how long after
	// its predicted end a part is taken for unread without a first event. All parts
	// of a prompt end at about the same time, so a missing first event means that
	// the engine may be reading still.
	overdueGraceRatio = 0.25
	minOverdueGrace   = 150 * time.Millisecond
	// unusedMemoryRatio is the part of an engine's memory that placing leaves free, for
	// prompts whose count was rounded up to blocks.
	unusedMemoryRatio = 0.02
)

// addWork puts w at its endpoints.
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

// removeWork takes w off its endpoints.
func (c *Core) removeWork(w *workItem) {
	for _, e := range w.endpoints {
		e.removeWork(w)
	}
	c.placementDue = true
}

// occupancy is what runs at an engine, from the view of one gateway.
type occupancy struct {
	streams       int           // requests that the engine answers
	decoding      int           // of these, those past their first event
	contextTokens int64         // tokens of the writers
	memoryTokens  int64         // tokens
	gapObjective  time.Duration // shortest pause objective of those answered; 0: none
	queuedPrefill time.Duration // read time that waits
	decodePass    time.Duration // token steps of one pass
}

// occupancy returns what runs at e. It is summed once for a tick that changes
// nothing there, however many requests wait for a place.
func (c *Core) occupancy(e *endpoint) occupancy {
	if !e.occupancyValid || e.occupancyAt != c.now {
		e.cachedOccupancy, e.occupancyValid, e.occupancyAt = c.computeOccupancy(e), true, c.now
	}
	return e.cachedOccupancy
}

// computeOccupancy sums the work at e.
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
			if w.gapLimit > 0 && (o.gapObjective == 0 || w.gapLimit < o.gapObjective) {
				o.gapObjective = w.gapLimit
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

// startDecode notes that w has its first event: each of its parts, which came later
// than other prompts at its engines, was read before them.
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

// scaleByPace corrects a predicted time by how the endpoint has kept to predictions.
func (e *endpoint) scaleByPace(d time.Duration) time.Duration {
	return time.Duration(float64(d) * max(e.observedPace, e.reportedPace))
}

// untilFirst predicts when an engine gives the first event of a prompt whose part it
// reads after what waits there, counted from now. A new read begins with the
// next pass, on average half a pass of token steps away.
func (o *occupancy) untilFirst(e *endpoint, partTime time.Duration) time.Duration {
	return transitTime + o.decodePass/2 + o.queuedPrefill + e.scaleByPace(partTime) + o.decodePass
}

// freePrefill returns the read time that the engine can take now without stretching a
// pause there beyond its objective, or beyond open where nothing is written.
func (o *occupancy) freePrefill(margin, noStreamLimit time.Duration) time.Duration {
	return o.freePrefillAfterQueue(margin, noStreamLimit) - o.queuedPrefill
}

// freePrefillAfterQueue is the same once the engine has read what waits there.
func (o *occupancy) freePrefillAfterQueue(margin, noStreamLimit time.Duration) time.Duration {
	if o.gapObjective == 0 {
		return noStreamLimit
	}
	return o.gapObjective - margin - o.decodePass
}

// hasLatencySensitive reports whether streams run there that accept short pauses only.
func (c *Core) hasLatencySensitive(o *occupancy) bool {
	return o.gapObjective > 0 && o.gapObjective <= c.cfg.Place.LatencySensitiveGap
}
