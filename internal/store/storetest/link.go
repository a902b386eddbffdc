// Package storetest connects deterministic state machines under test to the
// model of the platform's key-value service by links that refuse, lose and delay
// operations and answers on a virtual clock.
package storetest

import (
	"slices"
	"time"

	"trefoilpath.org/trefoilpath/internal/standin/storemodel"
	"trefoilpath.org/trefoilpath/internal/store"
)

// Outcome says what a Link does with one operation.
type Outcome uint8

// The outcomes of an operation.
const (
	Deliver     Outcome = iota // executed and answered
	Refuse                     // not executed, answered StatusUnavailable
	LoseRequest                // not executed, answered StatusUnknown (reads: StatusUnavailable)
	LoseAnswer                 // executed, answered like LoseRequest
	ExecuteLate                // answered like LoseRequest, executed Link.LateBy after that answer
)

// Link carries operations between a state machine and a model of the store. A watch
// that would have to wait times out at once.
type Link struct {
	Model  *storemodel.Model
	Delay  time.Duration                // in each direction
	LateBy time.Duration                // for ExecuteLate
	Choose func(op store.Op) Outcome    // chooses the outcome of an operation; nil: Deliver
	OnSend func(op store.Op, o Outcome) // called for each operation sent, if not nil
	events []event                      // sorted by time
}

// event is the arrival of an operation at the store or of its answer.
type event struct {
	at      time.Duration
	op      *store.Op // nil: result has arrived
	outcome Outcome
	result  store.Result
}

// Send sends operations at now.
func (l *Link) Send(now time.Duration, ops []store.Op) {
	for _, op := range ops {
		outcome := Deliver
		if l.Choose != nil {
			outcome = l.Choose(op)
		}
		if l.OnSend != nil {
			l.OnSend(op, outcome)
		}
		at := now + l.Delay
		switch outcome {
		case Refuse:
			l.add(event{at: at, result: store.Result{ID: op.ID, Status: store.StatusUnavailable}})
		case LoseRequest:
			l.add(event{at: at, result: lost(op)})
		case ExecuteLate:
			l.add(event{at: at, result: lost(op)})
			l.add(event{at: at + l.LateBy, op: &op, outcome: ExecuteLate})
		default:
			l.add(event{at: at, op: &op, outcome: outcome})
		}
	}
}

func (l *Link) add(e event) {
	i := len(l.events)
	for i > 0 && l.events[i-1].at > e.at {
		i--
	}
	l.events = slices.Insert(l.events, i, e)
}

func lost(op store.Op) store.Result {
	if op.Writes() {
		return store.Result{ID: op.ID, Status: store.StatusUnknown}
	}
	return store.Result{ID: op.ID, Status: store.StatusUnavailable}
}

// Next returns the time of the next event, or the largest duration if there
// is none.
func (l *Link) Next() time.Duration {
	if len(l.events) == 0 {
		return 1<<63 - 1
	}
	return l.events[0].at
}

// Receive executes the operations that have arrived at the store by now and
// returns the answers that have arrived back.
func (l *Link) Receive(now time.Duration) []store.Result {
	var results []store.Result
	for len(l.events) > 0 && l.events[0].at <= now {
		e := l.events[0]
		l.events = slices.Delete(l.events, 0, 1)
		if e.op == nil {
			results = append(results, e.result)
			continue
		}
		r := l.execute(e.at, *e.op)
		switch e.outcome {
		case LoseAnswer:
			l.add(event{at: e.at + l.Delay, result: lost(*e.op)})
		case Deliver:
			l.add(event{at: e.at + l.Delay, result: r})
		}
	}
	return results
}

func (l *Link) execute(at time.Duration, op store.Op) store.Result {
	r, watch := l.Model.Do(at, op)
	if watch != nil {
		l.Model.RemoveWatch(watch)
		return store.Result{ID: op.ID, Status: store.StatusTimeout}
	}
	return r
}
