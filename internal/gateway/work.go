package gateway

import (
	"slices"
	"time"
)

const (
	// transit is the time from a dispatch to its arrival at an engine, with the
	// gateway's own work: two hops in a failure domain and some processor time.
	transit = 2 * time.Millisecond
	// overdueRead is the read time that is assumed to be left of a prompt whose
	// predicted end has passed without a first event.
	overdueRead = 20 * time.Millisecond
	// overduePart of its read time, and overdueLeast at least, is how long after
	// its predicted end a part is taken for unread without a first event. All parts
	// of a prompt end at about the same time, so a missing first event means that
	// the engine may be reading still.
	overduePart  = 0.25
	overdueLeast = 150 * time.Millisecond
	// idleMemory is the part of an engine's memory that placing leaves free, for
	// prompts whose count was rounded up to blocks.
	idleMemory = 0.02
)

// addWork puts w at its endpoints.
func (c *Core) addWork(w *work) {
	for _, e := range w.at {
		i := len(e.works)
		for i > 0 && e.works[i-1].sent > w.sent {
			i--
		}
		e.works = slices.Insert(e.works, i, w)
		e.summed = false
	}
}

// removeWork takes w off its endpoints.
func (c *Core) removeWork(w *work) {
	for _, e := range w.at {
		e.removeWork(w)
	}
	c.place = true
}

// occupancy is what runs at an engine, from the view of one gateway.
type occupancy struct {
	streams int           // requests that the engine answers
	writers int           // of these, those past their first event
	context int64         // tokens of the writers
	memory  int64         // tokens
	pause   time.Duration // shortest pause objective of those answered; 0: none
	queue   time.Duration // read time that waits
	strides time.Duration // token steps of one pass
}

// occupancy returns what runs at e. It is summed once for a tick that changes
// nothing there, however many requests wait for a place.
func (c *Core) occupancy(e *endpoint) occupancy {
	if !e.summed || e.summedAt != c.now {
		e.sum, e.summed, e.summedAt = c.sumWork(e), true, c.now
	}
	return e.sum
}

// sumWork sums the work at e.
func (c *Core) sumWork(e *endpoint) occupancy {
	var o occupancy
	var end time.Duration
	overdue := time.Duration(0)
	for _, w := range e.works {
		i := slices.Index(w.at, e)
		if w.held != nil && i > 0 {
			o.memory += w.memory(i)
		}
		if w.answering() == e {
			o.streams++
			o.memory += w.memory(0)
			if w.pause > 0 && (o.pause == 0 || w.pause < o.pause) {
				o.pause = w.pause
			}
		}
		if w.phase == workWriting {
			if w.answering() == e {
				o.writers++
				o.context += w.prompt / int64(len(w.at))
			}
			continue
		}
		part := e.scale(w.part)
		end = max(end, w.sent+transit) + part
		if w.behind != nil {
			end += w.behind[i]
		}
		grace := max(overdueLeast, time.Duration(overduePart*float64(part)))
		if end <= c.now && (i == 0 || c.now < end+grace) {
			overdue = overdueRead
		}
	}
	o.queue = max(end-c.now, 0) + overdue
	if o.writers > 0 {
		o.strides = e.scale(e.engine.Strides(o.writers, o.context))
	}
	return o
}

// begin notes that w has its first event: each of its parts, which came later
// than other prompts at its engines, was read before them.
func (w *work) begin() {
	w.phase = workWriting
	for _, e := range w.at {
		e.summed = false
		if len(w.at) == 1 {
			return
		}
		for _, o := range e.works {
			if o == w || o.phase != workReading || o.sent > w.sent {
				continue
			}
			if o.behind == nil {
				o.behind = make([]time.Duration, len(o.at))
			}
			o.behind[slices.Index(o.at, e)] += e.scale(w.part)
		}
	}
}

// scale corrects a predicted time by how the endpoint has kept to predictions.
func (e *endpoint) scale(d time.Duration) time.Duration {
	return time.Duration(float64(d) * max(e.slow, e.pace))
}

// first predicts when an engine gives the first event of a prompt whose part it
// reads after what waits there, counted from now. A new read begins with the
// next pass, on average half a pass of token steps away.
func (o *occupancy) first(e *endpoint, part time.Duration) time.Duration {
	return transit + o.strides/2 + o.queue + e.scale(part) + o.strides
}

// room returns the read time that the engine can take now without stretching a
// pause there beyond its objective, or beyond open where nothing is written.
func (o *occupancy) room(margin, open time.Duration) time.Duration {
	return o.roomUnread(margin, open) - o.queue
}

// roomUnread is the same once the engine has read what waits there.
func (o *occupancy) roomUnread(margin, open time.Duration) time.Duration {
	if o.pause == 0 {
		return open
	}
	return o.pause - margin - o.strides
}

// tightStreams reports whether streams run there that accept short pauses only.
func (c *Core) tightStreams(o *occupancy) bool {
	return o.pause > 0 && o.pause <= c.cfg.Place.TightPause
}
