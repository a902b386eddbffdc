package gateway

import "time"

const (
	// firstEventReportDelay is how long the report of a first event may take from the engine
	// to this gateway, by way of another gateway.
	firstEventReportDelay = 30 * time.Millisecond
	// overduePrefill is the remaining time that is assumed for a pass whose predicted end
	// has passed without the first events that it gives.
	overduePrefill = 20 * time.Millisecond
)

// passForecast predicts the passes of an engine. A pass prefills all prompts that are at
// the engine when it begins and, if streams decode there, executes a number of token
// steps. Its events all come when it ends. Without a decoding stream, prompts are prefilled
// one after the other and each gives its first event at its own end.
type passForecast struct {
	engine    *endpoint
	now       time.Duration
	decoding  int           // streams that decode in the next pass
	context   int64         // prompt tokens of the decoding streams
	boundary  time.Duration // when the running pass ends and the next one begins
	queued    time.Duration // prefill time of the prompts that wait for the next pass
	streams   int           // of these prompts, those that decode afterwards
	tokens    int64         // prompt tokens of these
	busyUntil time.Duration // end of the last pass so far that prefills
	// expectedUntil is until when missing first events of these prompts show that they
	// are still in prefill.
	expectedUntil time.Duration
}

// decodePass returns the time of the token steps of the next pass.
func (f *passForecast) decodePass() time.Duration {
	if f.decoding == 0 {
		return 0
	}
	return f.engine.scaleByPace(f.engine.engine.DecodePassTime(f.decoding, f.context))
}

// advance runs passes until one begins at or after arrival, the next that a prompt that
// arrives then can join.
func (f *passForecast) advance(arrival time.Duration) {
	for f.boundary < arrival || f.decoding == 0 && f.streams > 0 {
		pass := f.decodePass()
		switch {
		case f.queued > 0 || f.streams > 0:
			f.runPrefills(pass)
		case pass == 0:
			f.boundary = arrival
		default:
			f.boundary += (arrival - f.boundary + pass - 1) / pass * pass
		}
	}
}

// runPrefills runs the next pass, which prefills the queued prompts.
func (f *passForecast) runPrefills(tokenSteps time.Duration) {
	f.boundary += f.queued + tokenSteps
	if f.boundary <= f.now && f.now < f.expectedUntil {
		f.boundary = f.now + overduePrefill
	}
	f.busyUntil = f.boundary
	f.decoding += f.streams
	f.context += f.tokens
	f.queued, f.streams, f.tokens, f.expectedUntil = 0, 0, 0, 0
}

// add adds a prompt, or the i-th part of one, that is in prefill. Those that arrived
// before the last prompt that is known to have ended its prefill have ended theirs as well.
func (f *passForecast) add(w *workItem, i int) {
	e := f.engine
	arrival := w.dispatchedAt + transitTime
	if arrival <= e.prefilledBefore && (i > 0 || f.now < e.passEnd+firstEventReportDelay) {
		f.addStream(w, i, &f.decoding, &f.context)
		return
	}
	f.advance(arrival)
	partTime := e.scaleByPace(w.partTime)
	if w.overtakenBy != nil {
		partTime += w.overtakenBy[i]
	}
	f.queued += partTime
	f.addStream(w, i, &f.streams, &f.tokens)
	switch {
	case i == 0 && f.boundary+f.queued+firstEventReportDelay <= f.now:
		f.expectedUntil = f.now + 1
	case i > 0:
		grace := max(minOverdueGrace, time.Duration(overdueGraceRatio*float64(partTime)))
		f.expectedUntil = max(f.expectedUntil, f.boundary+f.queued+grace)
	}
}

// addStream counts w as a stream if the engine answers it.
func (f *passForecast) addStream(w *workItem, i int, streams *int, tokens *int64) {
	if i == 0 {
		*streams++
		*tokens += w.prompt / int64(len(w.endpoints))
	}
}

// observeFirst records the end of the pass that gave the first event of w. Divided prompts
// are ignored: their parts overtake other prompts and end on several engines.
func (e *endpoint) observeFirst(w *workItem, at time.Duration) {
	if len(w.endpoints) > 1 {
		return
	}
	e.prefilledBefore = max(e.prefilledBefore, w.dispatchedAt+transitTime)
	e.observePassEnd(at)
}

// observePassEnd records that a pass ended, since the engine sent an event.
func (e *endpoint) observePassEnd(at time.Duration) {
	e.passEnd = max(e.passEnd, at)
	e.occupancyValid = false
}
