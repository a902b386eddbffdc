// Package storetest connects deterministic machines under test to the model of
// the platform's key-value service by links that refuse, lose and delay
// operations and answers on a virtual clock.
package storetest

import (
	"slices"
	"time"

	"trefoilpath.org/trefoilpath/internal/standin/storemodel"
	"trefoilpath.org/trefoilpath/internal/store"
)

// Fate says what becomes of one operation.
type Fate uint8

// The fates of an operation.
const (
	Deliver  Fate = iota // executed and answered
	Refuse               // not executed, answered StatusUnavailable
	LoseOp               // not executed, answered StatusUnknown (reads: StatusUnavailable)
	LoseBack             // executed, answered like LoseOp
	Late                 // answered like LoseOp, executed Link.LateBy afterwards
)

// Link carries operations between a machine and a model of the store. Watches
// are answered at once.
type Link struct {
	Model  *storemodel.Model
	Delay  time.Duration             // each way
	LateBy time.Duration             // for Late
	Choose func(op store.Op) Fate    // nil: Deliver
	Seen   func(op store.Op, f Fate) // nil: ignored
	events []event
}

type event struct {
	at     time.Duration
	op     *store.Op
	fate   Fate
	result store.Result
}

// Send takes operations at now.
func (l *Link) Send(now time.Duration, ops []store.Op) {
	for _, op := range ops {
		fate := Deliver
		if l.Choose != nil {
			fate = l.Choose(op)
		}
		if l.Seen != nil {
			l.Seen(op, fate)
		}
		at := now + l.Delay
		switch fate {
		case Refuse:
			l.add(event{at: at, result: store.Result{ID: op.ID, Status: store.StatusUnavailable}})
		case LoseOp:
			l.add(event{at: at, result: lost(op)})
		case Late:
			l.add(event{at: at, result: lost(op)})
			l.add(event{at: at + l.LateBy, op: &op, fate: Late})
		default:
			l.add(event{at: at, op: &op, fate: fate})
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

// Next returns the time of the next event, or the largest duration.
func (l *Link) Next() time.Duration {
	if len(l.events) == 0 {
		return 1<<63 - 1
	}
	return l.events[0].at
}

// Receive executes what has arrived at the store by now and returns the answers
// that have arrived back.
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
		switch e.fate {
		case LoseBack:
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
		l.Model.Abandon(watch)
		return store.Result{ID: op.ID, Status: store.StatusTimeout}
	}
	return r
}
