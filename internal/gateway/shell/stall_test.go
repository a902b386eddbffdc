package shell

import (
	"testing"
	"time"
)

// TestPauseOfTheProcessIsNoSilenceOfTheEndpoint checks that a check that runs late reports
// nothing, since events may have arrived while the process stood still, and that the next does.
func TestPauseOfTheProcessIsNoSilenceOfTheEndpoint(t *testing.T) {
	start := time.Now()
	reports := make(chan time.Duration, 1)
	w := &stallWatch{
		now: func() time.Duration { return time.Since(start) + time.Second }, timeout: 10 * time.Millisecond,
		report: func(silence time.Duration) {
			select {
			case reports <- silence:
			default:
			}
		},
	}
	defer w.stop()
	w.reading.Store(true)
	w.lastAt.Store(int64(w.now()))
	time.Sleep(20 * time.Millisecond)
	w.check(w.now() - 2*lateTimer)
	if len(reports) > 0 {
		t.Error("a silence was reported right after a pause of the process")
	}
	select {
	case silence := <-reports:
		if silence < lateTimer {
			t.Errorf("a silence of %v was reported, want at least %v", silence, lateTimer)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("no silence was reported within 5 s after the pause")
	}
}

// TestEventsEndAStall checks that a stream is silent since its last event, and that a stopped
// watch reports nothing.
func TestEventsEndAStall(t *testing.T) {
	clock, reports := time.Second, 0
	w := &stallWatch{now: func() time.Duration { return clock }, timeout: time.Hour, report: func(time.Duration) { reports++ }}
	w.reading.Store(true)
	w.eventRelayed()
	for range 3 {
		clock += 50 * time.Minute
		w.check(clock)
		w.eventRelayed()
	}
	if reports > 0 {
		t.Errorf("%d reports of a stream with an event each 50 minutes and a timeout of an hour", reports)
	}
	clock += time.Hour
	w.check(clock)
	w.stop()
	w.check(clock)
	if reports != 1 {
		t.Errorf("%d reports of a pause of an hour, want one, before the watch was stopped", reports)
	}
}

// TestSlowCallerIsNoSilenceOfTheEndpoint checks that nothing is reported while events are
// relayed to a caller that is slow to read them.
func TestSlowCallerIsNoSilenceOfTheEndpoint(t *testing.T) {
	clock, reports := time.Second, 0
	w := &stallWatch{now: func() time.Duration { return clock }, timeout: time.Hour, report: func(time.Duration) { reports++ }}
	defer w.stop()
	w.eventRelayed()
	clock += 3 * time.Hour
	w.check(clock)
	if reports > 0 {
		t.Errorf("%d reports while events are relayed", reports)
	}
	w.eventRelayed()
	w.reading.Store(true)
	clock += time.Minute
	w.check(clock)
	if reports > 0 {
		t.Errorf("%d reports a minute after an event was relayed, with a timeout of an hour", reports)
	}
}
