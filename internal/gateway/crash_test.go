package gateway

import (
	"slices"
	"strings"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// submitParts gives a core a short request whose prompt shares parts and returns the outputs.
func submitParts(c *Core, now time.Duration, id RequestID, parts ...string) []Output {
	r := testRoutes()["short"]
	return slices.Clone(c.Tick(now, Input{Arrive: &Arrival{
		ID: id, RequestID: "r", Route: r, Service: engineService, PromptTokens: 4000, MaxOutputTokens: 1000,
		SharedParts: parts, Deadline: now + r.Timeout,
	}}))
}

// breakOff begins and breaks off the answer of a request that has been dispatched, and returns
// the outputs.
func breakOff(c *Core, now time.Duration, d *Dispatch) []Output {
	c.Tick(now, Input{Sent: &Sent{ID: d.ID, Attempt: d.Attempt}}, Input{First: &FirstEvent{ID: d.ID, Attempt: d.Attempt}})
	return slices.Clone(c.Tick(now, Input{Ended: &AttemptEnded{
		ID: d.ID, Attempt: d.Attempt, Result: ResultBroken, Status: 200, PartlyDelivered: true, Resumable: true,
	}}))
}

func checkOf(out []Output) *InstanceCheck {
	for _, o := range out {
		if o.Check != nil {
			return o.Check
		}
	}
	return nil
}

// logged returns the log events of a name.
func logged(out []Output, name string) []Event {
	var events []Event
	for _, o := range out {
		if o.Log != nil && o.Log.Name == name {
			events = append(events, *o.Log)
		}
	}
	return events
}

// TestEndedEngineIsToldFromBrokenConnection checks that an engine whose answer broke off is
// checked, and that only an engine that has ended is logged as such, with the parts of the
// prompts that it answered.
func TestEndedEngineIsToldFromBrokenConnection(t *testing.T) {
	for _, test := range []struct {
		name  string
		state InstanceState
		ended bool
	}{
		{"runs on", InstanceState{Runs: true}, false},
		{"refuses connections", InstanceState{Ended: true}, true},
		{"is silent", InstanceState{}, false},
	} {
		c := newTestCore(t, 0, 1)
		out := breakOff(c, time.Second, dispatchOf(submitParts(c, time.Second, 1, "ab", "cd")))
		check := checkOf(out)
		if check == nil {
			t.Fatalf("%s: outputs %+v, want a check of the engine", test.name, out)
		}
		test.state.Endpoint, test.state.Addr = check.Endpoint, check.Addr
		events := logged(c.Tick(time.Second, Input{Instance: &test.state}), "endpoint-ended")
		if (len(events) == 1) != test.ended || test.ended && !strings.Contains(events[0].Detail, "parts=ab/cd") {
			t.Errorf("%s: events %+v, want one with both parts: %v", test.name, events, test.ended)
		}
		if again := checkOf(c.Tick(1200 * time.Millisecond)); (again != nil) != (test.name == "is silent") {
			t.Errorf("%s: checked again: %v, want so only without an answer", test.name, again != nil)
		}
	}
}

// TestLapsedRegistrationEndsABrokenEngine checks that an engine that can't be reached for a
// check counts as ended once its registration has lapsed or another instance has its ID, and
// one that was leaving never does.
func TestLapsedRegistrationEndsABrokenEngine(t *testing.T) {
	lapse := func(c *Core, id wire.EndpointID) *Endpoints {
		in := testEndpoints(18, 3)
		in.Rows = slices.DeleteFunc(in.Rows, func(r Registration) bool { return r.ID == id })
		return in
	}
	restart := func(c *Core, id wire.EndpointID) *Endpoints {
		in := testEndpoints(18, 3)
		i := slices.IndexFunc(in.Rows, func(r Registration) bool { return r.ID == id })
		in.Rows[i].Born = 7
		return in
	}
	for name, change := range map[string]func(*Core, wire.EndpointID) *Endpoints{"lapsed": lapse, "restarted": restart} {
		for _, leaving := range []bool{false, true} {
			c := newTestCore(t, 0, 1)
			d := dispatchOf(submitParts(c, time.Second, 1, "ab"))
			c.endpoints.Get(d.Endpoint).registration.Leaving = leaving
			out := breakOff(c, time.Second, d)
			if (checkOf(out) != nil) == leaving {
				t.Errorf("%s: leaving %v, checked %v", name, leaving, checkOf(out) != nil)
			}
			ended := logged(c.Tick(3*time.Second, Input{Endpoints: change(c, d.Endpoint)}), "endpoint-ended")
			if (len(ended) == 1) == leaving {
				t.Errorf("%s: leaving %v, events %+v", name, leaving, ended)
			}
		}
	}
}

// TestBrokenEnginesAreBounded checks that the table of engines whose answers broke off neither
// grows with their number nor keeps them.
func TestBrokenEnginesAreBounded(t *testing.T) {
	c := newTestCore(t, 0, 1)
	c.Tick(0, Input{Endpoints: testEndpoints(250, 0)})
	for id := RequestID(1); id < 500; id++ {
		if d := dispatchOf(submitParts(c, time.Second, id, "ab")); d != nil {
			c.endpoints.Get(d.Endpoint).health.ejectedUntil = time.Minute
			breakOff(c, time.Second, d)
		}
	}
	if n := c.broken.Len(); n == 0 || n > maxBrokenInstances {
		t.Errorf("%d engines are kept, want 1 to %d", n, maxBrokenInstances)
	}
	for now := time.Second; now < 10*time.Second; now += 50 * time.Millisecond {
		c.Tick(now)
	}
	if n := c.broken.Len(); n != 0 {
		t.Errorf("%d engines are kept after nine seconds, want none", n)
	}
}
