package gateway

import (
	"slices"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// answer lets the attempt of a dispatch end with a result.
func answer(c *Core, now time.Duration, id RequestID, d *Dispatch, result Result, status int) []Output {
	c.Tick(now, Input{Sent: &Sent{ID: id, Attempt: d.Attempt}})
	return slices.Clone(c.Tick(now, Input{Ended: &AttemptEnded{ID: id, Attempt: d.Attempt, Result: result, Status: status}}))
}

// reached submits short requests and returns how many of them, with those that they are
// retried as, were sent to an endpoint.
func reached(c *Core, now time.Duration, from RequestID, endpoint wire.EndpointID) int {
	n := 0
	for id := from; id < from+40; id++ {
		if d := dispatchOf(submit(c, now, id, "short")); d != nil {
			if d.Endpoint == endpoint || slices.ContainsFunc(d.Helpers, func(h Helper) bool { return h.Endpoint == endpoint }) {
				n++
			}
			answer(c, now, id, d, ResultDone, 200)
		}
	}
	return n
}

func TestAnnouncedLeavingOutlastsTheRegistration(t *testing.T) {
	const leaving = wire.EndpointID("e-01")
	c := newTestCore(t, 0, 1)
	rows := testEndpoints(3, 0)
	for i := range rows.Rows {
		rows.Rows[i].Born = 1000
	}
	c.Tick(0, Input{Endpoints: rows})
	addr := c.endpoints.Get(leaving).registration.Addr
	c.Tick(time.Second, Input{Announced: &EndpointAnnouncement{Endpoint: leaving, Addr: addr, Leaving: true}})
	without := &Endpoints{Rows: slices.DeleteFunc(slices.Clone(rows.Rows), func(r Registration) bool { return r.ID == leaving })}
	for i, in := range []*Endpoints{rows, without, rows} { // still ready, lapsed, and back
		now := time.Duration(2+i) * time.Second
		c.Tick(now, Input{Endpoints: in})
		if n := reached(c, now, RequestID(100*i+1), leaving); n > 0 {
			t.Errorf("step %d: %d requests for an endpoint that announced its leaving", i, n)
		}
	}
	restarted := &Endpoints{Rows: slices.Clone(rows.Rows)}
	for i := range restarted.Rows {
		if restarted.Rows[i].ID == leaving {
			restarted.Rows[i].Born = 2000
		} else {
			restarted.Rows[i].Leaving = true
		}
	}
	c.Tick(10*time.Second, Input{Endpoints: restarted})
	if reached(c, 10*time.Second, 1001, leaving) == 0 {
		t.Error("no request for the endpoint after its restart")
	}
}

func TestAnnouncementOfAnotherAddressIsIgnored(t *testing.T) {
	c := newTestCore(t, 0, 1)
	c.Tick(0, Input{Endpoints: testEndpoints(1, 0)}, Input{Announced: &EndpointAnnouncement{Endpoint: "e-00", Addr: "10.9.9.9:1", Leaving: true}})
	if reached(c, time.Second, 1, "e-00") == 0 {
		t.Error("no request for an endpoint at whose former address another one is leaving")
	}
}

// TestNothingIsSentDuringABackoff plays a service under load of which all endpoints ask this
// gateway to wait, one after the other, for times that overlap.
func TestNothingIsSentDuringABackoff(t *testing.T) {
	c := newTestCore(t, 0, 1)
	rows := testEndpoints(3, 0)
	c.Tick(0, Input{Endpoints: rows})
	backoffUntil := make(map[wire.EndpointID]time.Duration)
	id := RequestID(0)
	sent := 0
	for now := time.Second; now < 20*time.Second; now += 5 * time.Millisecond {
		if step := int(now / (5 * time.Millisecond)); step%300 == 0 {
			e := rows.Rows[step/300%len(rows.Rows)]
			backoff := time.Duration(1+step/300%4) * time.Second
			c.Tick(now, Input{Announced: &EndpointAnnouncement{Endpoint: e.ID, Addr: e.Addr, Backoff: backoff}})
			backoffUntil[e.ID] = max(backoffUntil[e.ID], now+backoff)
		}
		id++
		out := slices.Clone(submit(c, now, id, "short"))
		for _, o := range out {
			if o.Probe != nil && now < backoffUntil[o.Probe.Endpoint] {
				t.Errorf("%v: %s is queried although it asked to wait", now, o.Probe.Endpoint)
			}
			if o.Dispatch == nil {
				continue
			}
			sent++
			if now < backoffUntil[o.Dispatch.Endpoint] {
				t.Errorf("%v: a request for %s, which asked to wait until %v", now, o.Dispatch.Endpoint, backoffUntil[o.Dispatch.Endpoint])
			}
			answer(c, now, o.Dispatch.ID, o.Dispatch, ResultDone, 200)
		}
	}
	if sent < int(id)/2 {
		t.Errorf("%d of %d requests were sent, want most: some endpoint nearly always accepts them", sent, id)
	}
}

func TestAttemptNotYetSentGoesElsewhereAtABackoff(t *testing.T) {
	c := newTestCore(t, 0, 1)
	c.Tick(0, Input{Endpoints: testEndpoints(2, 0)})
	d := dispatchOf(submit(c, time.Second, 1, "short"))
	c.Tick(time.Second, Input{Announced: &EndpointAnnouncement{Endpoint: d.Endpoint, Addr: d.Addr, Backoff: time.Second}})
	cancelled := false
	for _, o := range c.Tick(time.Second, Input{Sent: &Sent{ID: 1, Attempt: d.Attempt}}) {
		cancelled = cancelled || o.Cancel != nil
	}
	if !cancelled {
		t.Fatal("the attempt is not cancelled before its first byte")
	}
	retry := dispatchOf(c.Tick(time.Second, Input{Ended: &AttemptEnded{ID: 1, Attempt: d.Attempt, Result: ResultFull}}))
	if retry == nil || retry.Endpoint == d.Endpoint {
		t.Errorf("dispatched to %+v, want the other endpoint", retry)
	}
}

func TestRequestWaitsForAShortBackoffAndIsRefusedForALongOne(t *testing.T) {
	for backoff, want := range map[time.Duration]Verdict{500 * time.Millisecond: 0, 9 * time.Second: VerdictRefused} {
		c := newTestCore(t, 0, 1)
		rows := testEndpoints(1, 0)
		c.Tick(0, Input{Endpoints: rows}, Input{Announced: &EndpointAnnouncement{Endpoint: "e-00", Addr: rows.Rows[0].Addr, Backoff: backoff}})
		f := finishOf(submit(c, 0, 1, "short"))
		if want == 0 {
			if f != nil {
				t.Errorf("backoff %v: %+v, want the request to wait", backoff, f)
			}
			if dispatchOf(c.Tick(backoff+placeInterval, Input{})) == nil {
				t.Errorf("backoff %v: not dispatched after it", backoff)
			}
		} else if f == nil || f.Verdict != want || f.RetryAfter < maxRetryAfter {
			t.Errorf("backoff %v: %+v, want a refusal at once with the longest Retry-After", backoff, f)
		}
	}
}

// TestLateRegistrationDoesNotEndLeaving guards against a draining endpoint that gets requests again
// because an earlier registration of it is written late.
func TestLateRegistrationDoesNotEndLeaving(t *testing.T) {
	const leaving = wire.EndpointID("e-01")
	c := newTestCore(t, 0, 1)
	rows := func(born int64, drains bool) *Endpoints {
		in := testEndpoints(3, 0)
		for i := range in.Rows {
			in.Rows[i].Born = 1000
			if in.Rows[i].ID == leaving {
				in.Rows[i].Born, in.Rows[i].Leaving = born, drains
			}
		}
		return in
	}
	without := rows(1000, false)
	without.Rows = slices.DeleteFunc(without.Rows, func(r Registration) bool { return r.ID == leaving })
	for i, step := range []struct {
		name string
		in   *Endpoints
		used bool
	}{
		{"ready", rows(1000, false), true},
		{"draining", rows(1000, true), false},
		{"earlier registration", rows(1000, false), false},
		{"lapsed", without, false},
		{"earlier registration after it lapsed", rows(1000, false), false},
		{"restarted", rows(2000, false), true},
	} {
		now := time.Duration(i+1) * 5 * time.Second
		c.Tick(now, Input{Endpoints: step.in})
		for e := range c.endpoints.Values() { // no other engine is free
			e.health.ejectedUntil = 0
			if e.registration.ID != leaving {
				e.health.ejectedUntil = time.Hour
			}
		}
		if n := reached(c, now, RequestID(1000*i+1), leaving); (n > 0) != step.used {
			t.Errorf("%s: %d requests for the endpoint, want some: %t", step.name, n, step.used)
		}
	}
}

// TestEndOfARequestKeepsTheEndpointThatHasRestarted guards against the loss of an endpoint's row when
// a request ends that its earlier instance ran.
func TestEndOfARequestKeepsTheEndpointThatHasRestarted(t *testing.T) {
	c := newTestCore(t, 0, 1)
	d := dispatchOf(submit(c, time.Second, 1, "short"))
	if d == nil {
		t.Fatal("no dispatch")
	}
	rows := testEndpoints(18, 3)
	without := &Endpoints{Rows: slices.DeleteFunc(slices.Clone(rows.Rows), func(r Registration) bool { return r.ID == d.Endpoint })}
	for i := range rows.Rows {
		rows.Rows[i].Born = 2000
	}
	c.Tick(2*time.Second, Input{Endpoints: without})
	c.Tick(3*time.Second, Input{Endpoints: rows})
	answer(c, 4*time.Second, 1, d, ResultDone, 200)
	e := c.endpoints.Get(d.Endpoint)
	if e == nil || e.registration.Born != 2000 || c.endpointsByHash[e.idHash] != e {
		t.Errorf("endpoint %+v after the end of a request of its earlier instance, want it registered", e)
	}
}
