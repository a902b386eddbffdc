package gateway

import (
	"testing"
	"time"
)

// TestMarginFollowsOldErrors records large errors and then small ones: the margin must
// cover the first and not outlast them.
func TestMarginFollowsOldErrors(t *testing.T) {
	var p predictionErrors
	now := time.Second
	record := func(err time.Duration) {
		now += 50 * time.Millisecond
		p.record(now, err)
	}
	for i := range 20 {
		record(time.Duration(i%5) * 20 * time.Millisecond)
	}
	if p.margin < 60*time.Millisecond || p.margin > 80*time.Millisecond {
		t.Errorf("margin %v after errors of 0 to 80 ms", p.margin)
	}
	now += errorRetention
	record(-10 * time.Millisecond)
	if p.margin != 0 {
		t.Errorf("margin %v, want none after the large errors have aged", p.margin)
	}
	for range 2 * errorSamples {
		record(30 * time.Millisecond)
	}
	if p.margin != 30*time.Millisecond {
		t.Errorf("margin %v after errors of 30 ms", p.margin)
	}
}

// TestPromisesWithinTheErrorAreNotRelied lets first events come late at an engine with
// streams. A short prompt whose objective that engine would only meet without an error must
// then go to an idle engine, and to the engine with streams if errors are small. Of two
// engines, one is kept for long prompts.
func TestPromisesWithinTheErrorAreNotRelied(t *testing.T) {
	for _, test := range []struct {
		err      time.Duration
		wantIdle bool
	}{{0, false}, {90 * time.Millisecond, true}} {
		c := newTestCore(t, 0, 1)
		c.Tick(0, Input{Endpoints: testEndpoints(2, 0)})
		first := dispatchOf(submit(c, time.Second, 1, "short"))
		c.Tick(time.Second+20*time.Millisecond, Input{First: &FirstEvent{ID: 1, Attempt: 1}})
		now := 2 * time.Second
		for range errorSamples {
			c.predictions.record(now, test.err)
		}
		// Two prompts in the running pass and two for the next one leave a promise near the
		// objective of 300 ms.
		for id, age := range []int64{50, 50, 0, 0} {
			row := PeerRow{
				Request: uint64(id), At: []uint64{c.endpoints.Get(first.Endpoint).idHash}, AgeMS: age,
				Prompt: 4000, Output: 100, PartUS: 39_000, GapLimitMS: 200,
			}
			c.Tick(now, Input{Peer: &PeerMessage{From: gatewayAddr(1), Incarnation: 1, Rows: []PeerRow{row}}})
		}
		d := dispatchOf(submit(c, now, 4, "short"))
		if d == nil {
			t.Fatal("the prompt waits")
		}
		if idle := d.Endpoint != first.Endpoint; idle != test.wantIdle {
			t.Errorf("errors of %v: sent to an idle engine %v, want %v", test.err, idle, test.wantIdle)
		}
	}
}

// TestFirstEventErrorIsMeasured checks the error that the metric is made of.
func TestFirstEventErrorIsMeasured(t *testing.T) {
	c := newTestCore(t, 0, 1)
	submit(c, time.Second, 1, "short")
	predicted := c.requests.Get(1).predictedFirstAt
	for _, out := range c.Tick(predicted+70*time.Millisecond, Input{First: &FirstEvent{ID: 1, Attempt: 1}}) {
		if out.Measured != nil {
			if out.Measured.Error != 70*time.Millisecond {
				t.Errorf("error %v, want 70ms", out.Measured.Error)
			}
			return
		}
	}
	t.Error("no error was measured")
}
