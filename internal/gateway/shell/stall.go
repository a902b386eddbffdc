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
	now     func() time.Duration
	timeout time.Duration // 0: nothing is reported
	report  func(silence time.Duration)
	lastAt  atomic.Int64 // when an event was relayed last; 0: none yet
	stopped atomic.Bool
}

// watchStalls returns a watch that reports pauses of an attempt's stream to the core, from its
// first event on.
func (x *exchange) watchStalls(d *gateway.Dispatch) *stallWatch {
	return &stallWatch{now: x.g.now, timeout: d.GapTimeout, report: func(silence time.Duration) {
		x.g.tick(gateway.Input{Stalled: &gateway.Stalled{ID: x.id, Attempt: d.Attempt, Silence: silence}})
	}}
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
	case now-due > lateTimer:
		time.AfterFunc(lateTimer, func() { w.check(w.now()) }) // not late again
	default:
		w.report(silence)
		w.checkAfter(stallReportInterval)
	}
}
