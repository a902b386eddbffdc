package entry

import (
	"testing"

	"trefoilpath.org/trefoilpath/internal/invariant"
)

func TestRequestWithoutADeadlineTimerBreaksAnInvariant(t *testing.T) {
	b := newBench(t, nil)
	b.engineUp("e1")
	b.request(1, 1000)
	b.core.timers.Stop(timerKey{kind: timerDeadline, id: 1})
	defer func() {
		if v := invariant.Recover(recover()); v == nil || v.Name != "a request in flight has a deadline timer" {
			t.Errorf("violation %v, want that of the deadline timer", v)
		}
	}()
	b.tick()
}
