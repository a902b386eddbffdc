package shell

import (
	"sync/atomic"
	"time"

	"trefoilpath.org/trefoilpath/internal/gateway"
)

const (
	// stallReportInterval is the time between two reports of a stream that stays stalled.
	stallReportInterval = 200 * time.Millisecond
	// lateTimer is how late a timer may run. One that is later shows that this process stood
	// still; events may then have arrived that have not been read yet.
	lateTimer = 100 * time.Millisecond
)

// stallWatch reports that a stream has paused for longer than a timeout.
type stallWatch struct {
	now      func() time.Duration
	timeout  time.Duration // 0: nothing is reported
	report   func(silence time.Duration)
	lastAt   atomic.Int64 // when an event was relayed last; 0: none yet
	reading  atomic.Bool  // the stream is read; false: events are relayed, and the caller may be slow
	reported atomic.Bool  // a pause was reported, and no event has come since
	stopped  atomic.Bool
}

// watchStalls returns a watch that reports pauses of an attempt's stream to the core, from its
// first event on. A stream whose events have no IDs can't be resumed, so that its pauses are
// not reported.
func (x *exchange) watchStalls(a *attempt) *stallWatch {
	w := &stallWatch{now: x.g.now, timeout: a.GapTimeout}
	w.report = func(silence time.Duration) {
		if x.resumable() {
			w.reported.Store(true)
			x.g.tick(gateway.Input{Stalled: &gateway.Stalled{ID: x.id, Attempt: a.Attempt, Silence: silence}})
		}
	}
	return w
}

// resumable reports whether another attempt can go on after the last event.
func (x *exchange) resumable() bool {
	x.delivery.Lock()
	defer x.delivery.Unlock()
	return x.lastEventID != ""
}

// eventRelayed records that an event has been relayed now.
func (w *stallWatch) eventRelayed() {
	if w.lastAt.Swap(int64(w.now())) == 0 && w.timeout > 0 {
		w.checkAfter(w.timeout)
	}
}

func (w *stallWatch) stop() { w.stopped.Store(true) }

func (w *stallWatch) checkAfter(d time.Duration) {
	due := w.now() + d
	time.AfterFunc(d, func() { w.check(due) })
}

// check reports the pause if it is too long, and schedules the next check. due is when it
// was to run.
func (w *stallWatch) check(due time.Duration) {
	if w.stopped.Load() {
		return
	}
	now := w.now()
	silence := now - time.Duration(w.lastAt.Load())
	switch {
	case silence < w.timeout:
		w.checkAfter(w.timeout - silence)
	case !w.reading.Load():
		w.checkAfter(stallReportInterval)
	case now-due > lateTimer:
		time.AfterFunc(lateTimer, func() { w.check(w.now()) }) // not late again
	default:
		w.report(silence)
		w.checkAfter(stallReportInterval)
	}
}
