package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/storecopy"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// testDomains are the failure domains of the endpoints of endpointsInDomains, in turn.
var testDomains = []wire.FailureDomain{"a", "b", "c"}

// endpointsInDomains is testEndpoints with the endpoints of each service in failure domains.
func endpointsInDomains(engines, plain int) *Endpoints {
	in := testEndpoints(engines, plain)
	for i := range in.Rows {
		n := i
		if i >= engines {
			n = i - engines
		}
		in.Rows[i].FailureDomain = testDomains[n%len(testDomains)]
	}
	return in
}

func evacuations(revision uint64, domains ...wire.FailureDomain) Input {
	return Input{Evacuations: &Evacuations{Domains: domains, Revision: revision, Source: "watch"}}
}

// newEvacuableCore returns a gateway with endpoints in three failure domains, all in use.
func newEvacuableCore(t testing.TB, engines, plain int) *Core {
	t.Helper()
	c := newTestCore(t, 0, 1)
	c.cfg.Evacuations = true
	c.Tick(0, Input{Endpoints: &Endpoints{}}, Input{Endpoints: endpointsInDomains(engines, plain)}, evacuations(1))
	return c
}

// domainsReached returns the failure domains that an output begins something at.
func domainsReached(c *Core, o *Output) []wire.FailureDomain {
	var ids []wire.EndpointID
	switch {
	case o.Dispatch != nil:
		ids = append(ids, o.Dispatch.Endpoint)
		for _, h := range o.Dispatch.Helpers {
			ids = append(ids, h.Endpoint)
		}
	case o.Probe != nil:
		ids = append(ids, o.Probe.Endpoint)
	case o.Check != nil:
		ids = append(ids, o.Check.Endpoint)
	}
	var out []wire.FailureDomain
	for _, id := range ids {
		out = append(out, c.endpoints.Get(id).registration.FailureDomain)
	}
	return out
}

// wantNothingAt fails the test if an output begins something at an endpoint of a domain.
func wantNothingAt(t *testing.T, c *Core, out []Output, domain wire.FailureDomain) {
	t.Helper()
	for i := range out {
		if slices.Contains(domainsReached(c, &out[i]), domain) {
			t.Errorf("%v: %+v begins in the evacuated domain %s", c.now, out[i], domain)
		}
	}
}

// TestNothingBeginsInAnEvacuatedDomainUnderLoad plays three gateways under the mixed load of a
// calm day. Two failure domains are taken out of use, overlapping, and return; the gateways learn
// each change up to a second apart. A domain must get nothing from a gateway that knows, and
// work again once it has returned.
func TestNothingBeginsInAnEvacuatedDomainUnderLoad(t *testing.T) {
	const gateways, engines = 3, 18
	s := newSimulationWith(t, gateways, engines)
	for _, c := range s.cores {
		c.cfg.Evacuations = true
		c.Tick(0, Input{Endpoints: &Endpoints{}}, Input{Endpoints: endpointsInDomains(engines, 3)}, evacuations(1))
	}
	out := make([]map[wire.FailureDomain]bool, gateways)
	begun := make(map[wire.FailureDomain]int)
	s.onOutput = func(i int, o Output) bool {
		for _, d := range domainsReached(s.cores[i], &o) {
			begun[d]++
			if out[i][d] {
				t.Errorf("%v: gateway %d: %+v begins in the evacuated domain %s", s.now, i, o, d)
			}
		}
		return o.Probe != nil || o.Check != nil
	}
	set := func(revision uint64, domains ...wire.FailureDomain) {
		for i := range s.cores {
			s.schedule(time.Duration(i)*500*time.Millisecond, func() {
				out[i] = make(map[wire.FailureDomain]bool)
				for _, d := range domains {
					out[i][d] = true
				}
				s.tick(i, evacuations(revision, domains...))
			})
		}
	}
	rng := rand.New(rand.NewPCG(7, 1))
	load := requestRates{short: 40, medium: 0.6, long: 0.3}
	s.offerLoad(rng, load, 2*time.Second)
	for i, domains := range [][]wire.FailureDomain{{"a"}, {"a", "b"}, {"b"}, {}} {
		set(uint64(i+2), domains...)
		s.offerLoad(rng, load, 3*time.Second)
	}
	clear(begun)
	s.offerLoad(rng, load, 3*time.Second)
	s.run(s.now + 15*time.Second)
	for _, d := range testDomains {
		if begun[d] == 0 {
			t.Errorf("nothing begins in domain %s after the evacuations", d)
		}
	}
	for _, j := range s.allJobs {
		if !j.done && !j.refused {
			t.Errorf("request %d of %v has no answer", j.id, j.arrived)
		}
	}
	if _, served := s.shareInTime("short"); served < 0.99 {
		t.Errorf("%.3f of the short requests were served, want nearly all: a third of the fleet carries them", served)
	}
}

// TestEachKindOfSendSkipsAnEvacuatedDomain begins a request at one of two endpoints, takes the
// domain of the other out of use and brings about each reason for another send.
func TestEachKindOfSendSkipsAnEvacuatedDomain(t *testing.T) {
	sent := func(c *Core, d *Dispatch) {
		c.Tick(c.now, Input{Sent: &Sent{ID: 1, Attempt: d.Attempt}})
	}
	first := func(c *Core, d *Dispatch) {
		sent(c, d)
		c.Tick(c.now, Input{First: &FirstEvent{ID: 1, Attempt: d.Attempt}})
	}
	ended := func(c *Core, d *Dispatch, end AttemptEnded) []Output {
		end.ID, end.Attempt = 1, d.Attempt
		return c.Tick(c.now+10*time.Millisecond, Input{Ended: &end})
	}
	submitMany := func(c *Core) []Output {
		var out []Output
		for id := RequestID(2); id < 20; id++ {
			out = append(out, submit(c, c.now+100*time.Millisecond, id, "short")...)
		}
		return out
	}
	for name, send := range map[string]func(c *Core, d *Dispatch) []Output{
		"first attempt": func(c *Core, d *Dispatch) []Output { return submitMany(c) },
		"repeat": func(c *Core, d *Dispatch) []Output {
			sent(c, d)
			return ended(c, d, AttemptEnded{Result: ResultFull, Status: 503})
		},
		"repeat without a connection": func(c *Core, d *Dispatch) []Output {
			return ended(c, d, AttemptEnded{Result: ResultUnreachable})
		},
		"rest of a stream": func(c *Core, d *Dispatch) []Output {
			first(c, d)
			return ended(c, d, AttemptEnded{Result: ResultBroken, Status: 200, PartlyDelivered: true, Resumable: true})
		},
		"replacement of a silent attempt": func(c *Core, d *Dispatch) []Output {
			sent(c, d)
			var out []Output
			for range 40 {
				out = append(out, c.Tick(c.now+100*time.Millisecond)...)
			}
			return out
		},
		"replacement of a stalled stream": func(c *Core, d *Dispatch) []Output {
			first(c, d)
			return c.Tick(c.now+d.GapTimeout, Input{Stalled: &Stalled{ID: 1, Attempt: d.Attempt, Silence: d.GapTimeout}})
		},
		"trial of an ejected endpoint": func(c *Core, d *Dispatch) []Output {
			for e := range c.endpoints.Values() {
				c.eject(e, "test", time.Minute)
			}
			return submitMany(c)
		},
		"trial of a limited endpoint": func(c *Core, d *Dispatch) []Output {
			for e := range c.endpoints.Values() {
				if e.registration.ID != d.Endpoint {
					limitAt(c, c.now, e.registration.ID, 10)
				}
			}
			return submitMany(c)
		},
		"check of an instance": func(c *Core, d *Dispatch) []Output {
			first(c, d)
			c.Tick(c.now, evacuations(3, "a", "b"))
			return ended(c, d, AttemptEnded{Result: ResultBroken, Status: 200, PartlyDelivered: true, Resumable: true})
		},
	} {
		c := newEvacuableCore(t, 2, 0)
		d := dispatchOf(submit(c, time.Second, 1, "short"))
		other := testDomains[0]
		if c.endpoints.Get(d.Endpoint).registration.FailureDomain == other {
			other = testDomains[1]
		}
		c.Tick(time.Second, evacuations(2, other))
		t.Run(name, func(t *testing.T) {
			out := slices.Clone(send(c, d))
			for _, domain := range c.evacuated.domains {
				wantNothingAt(t, c, out, domain)
			}
		})
	}
}

// submitLong gives a core a prompt that takes several engines.
func submitLong(c *Core, now time.Duration, id RequestID, prompt int64) []Output {
	r := testRoutes()["long"]
	return slices.Clone(c.Tick(now, Input{Arrive: &Arrival{
		ID: id, RequestID: fmt.Sprint(id), Route: r, Service: engineService, PromptTokens: prompt, MaxOutputTokens: 500, Deadline: now + r.Timeout,
	}}))
}

// submitPatient submits a long prompt whose caller waits for a minute.
func submitPatient(c *Core, now time.Duration, id RequestID, prompt int64) []Output {
	r := *testRoutes()["long"]
	r.Objective, r.Timeout = 20*time.Second, time.Minute
	return slices.Clone(c.Tick(now, Input{Arrive: &Arrival{
		ID: id, RequestID: fmt.Sprint(id), Route: &r, Service: engineService, PromptTokens: prompt, MaxOutputTokens: 500, Deadline: now + r.Timeout,
	}}))
}

// TestAttemptNotYetSentIsWithdrawnAtAnEvacuation checks that an attempt that was dispatched
// before its failure domain, or that of a helper, was taken out of use is not sent, and that its
// request is placed elsewhere at once.
func TestAttemptNotYetSentIsWithdrawnAtAnEvacuation(t *testing.T) {
	for name, endpointOf := range map[string]func(*Dispatch) wire.EndpointID{
		"answering engine": func(d *Dispatch) wire.EndpointID { return d.Endpoint },
		"helper":           func(d *Dispatch) wire.EndpointID { return d.Helpers[len(d.Helpers)-1].Endpoint },
	} {
		c := newEvacuableCore(t, 18, 0)
		d := dispatchOf(submitLong(c, time.Second, 1, 500_000))
		domain := c.endpoints.Get(endpointOf(d)).registration.FailureDomain
		c.Tick(time.Second, evacuations(2, domain))
		if out := c.Tick(time.Second, Input{Sent: &Sent{ID: 1, Attempt: d.Attempt}}); !slices.ContainsFunc(out, func(o Output) bool { return o.Cancel != nil }) {
			t.Errorf("%s: outputs %+v at the first byte, want the attempt to be cancelled", name, out)
		}
		out := slices.Clone(c.Tick(time.Second, Input{Ended: &AttemptEnded{ID: 1, Attempt: d.Attempt, Result: ResultFull}}))
		if dispatchOf(out) == nil {
			t.Errorf("%s: not placed again at once: %+v", name, out)
		}
		wantNothingAt(t, c, out, domain)
		if r := c.requests.Get(1); r.sends != 0 || r.retryTaken {
			t.Errorf("%s: %d sends, retry taken %v, want none: nothing was sent", name, r.sends, r.retryTaken)
		}
		if e := c.endpoints.Get(d.Endpoint); !e.outOfUse && (e.fullUntil > 0 || c.requests.Get(1).avoids(d.Endpoint)) {
			t.Errorf("%s: the engine that was to answer is left out, want it to be free for the prompt", name)
		}
	}
}

// TestRunningRequestsOutliveAnEvacuation checks that nothing that was sent is cancelled.
func TestRunningRequestsOutliveAnEvacuation(t *testing.T) {
	c := newEvacuableCore(t, 3, 3)
	for id, kind := range []string{"", "short", "unsafe", "safe"} {
		if id == 0 {
			continue
		}
		d := dispatchOf(submit(c, time.Second, RequestID(id), kind))
		c.Tick(time.Second, Input{Sent: &Sent{ID: RequestID(id), Attempt: d.Attempt}})
	}
	for _, o := range c.Tick(time.Second, evacuations(2, "a", "b", "c")) {
		if o.Cancel != nil || o.Finish != nil {
			t.Errorf("%+v, want the requests to go on", o)
		}
	}
	for id := RequestID(1); id <= 3; id++ {
		if f := finishOf(c.Tick(1100*time.Millisecond, Input{Ended: &AttemptEnded{ID: id, Attempt: 1, Result: ResultDone, Status: 200}})); f == nil || f.Verdict != VerdictDone {
			t.Errorf("request %d: %+v, want it done", id, f)
		}
	}
}

// TestServiceOutOfUseIsRefusedAtOnce checks that requests of a service that has no endpoint left
// in use are refused truly and at once, those that wait too, and not told to come back within
// milliseconds.
func TestServiceOutOfUseIsRefusedAtOnce(t *testing.T) {
	c := newEvacuableCore(t, 1, 0)
	id := RequestID(1)
	for dispatchOf(submit(c, time.Second, id, "short")) != nil {
		id++
	}
	check := func(when string, f *Finish) {
		if f == nil || f.Verdict != VerdictRefused || f.Reason != ReasonEvacuated || f.RetryAfter < time.Second {
			t.Errorf("%s: %+v, want a refusal for the evacuation with a Retry-After of seconds", when, f)
		}
	}
	check("waiting", finishOf(c.Tick(time.Second, evacuations(2, "a"))))
	check("arriving", finishOf(submit(c, time.Second, id+1, "short")))
	c.Tick(2*time.Second, evacuations(3))
	if f := finishOf(submit(c, 2*time.Second, id+2, "short")); f != nil {
		t.Errorf("%+v after the evacuation, want the request to be served", f)
	}
}

// TestPromptTooLargeForWhatIsLeftIsRefusedAtOnce checks that a prompt that needs the memory of
// more engines than an evacuation leaves does not wait until its time is up.
func TestPromptTooLargeForWhatIsLeftIsRefusedAtOnce(t *testing.T) {
	c := newEvacuableCore(t, 3, 0)
	c.Tick(time.Second, evacuations(2, "a", "b"))
	if f := finishOf(submitLong(c, time.Second, 1, 600_000)); f == nil || f.Reason != ReasonEvacuated || f.RetryAfter < time.Second {
		t.Errorf("%+v for a prompt of 600,000 tokens on one engine of 450,000, want a refusal for the evacuation", f)
	}
	c.Tick(time.Second, evacuations(3))
	submitPatient(c, time.Second, 3, 900_000)
	if out := submitPatient(c, time.Second, 4, 900_000); dispatchOf(out) != nil || finishOf(out) != nil {
		t.Fatalf("outputs %+v, want the second of two such prompts to wait", out)
	}
	if f := finishOf(c.Tick(time.Second, evacuations(4, "b"), Input{})); f == nil || f.Reason != ReasonEvacuated {
		t.Errorf("%+v for a waiting prompt, want a refusal for the evacuation", f)
	}
	if f := finishOf(submitLong(c, time.Second, 2, 2_000_000)); f == nil || f.Reason != ReasonTooLarge {
		t.Errorf("%+v for a prompt that the whole fleet has no memory for, want it to be too large", f)
	}
}

// TestRequestThatAvoidsWhatIsLeftIsTriedThere checks that a request that waits, after a failure
// at the only endpoint that an evacuation leaves, is not refused for it.
func TestRequestThatAvoidsWhatIsLeftIsTriedThere(t *testing.T) {
	c := newEvacuableCore(t, 2, 0)
	id := RequestID(2)
	for dispatchOf(submit(c, time.Second, id, "short")) != nil {
		id++
	}
	r := c.requests.Get(id)
	r.avoidEndpoint("e-01")
	for _, o := range c.Tick(time.Second, evacuations(2, "a")) {
		if o.Finish != nil {
			t.Errorf("%+v, want the request to wait for e-01", o.Finish)
		}
	}
}

// TestGatewayServesNothingBeforeItKnowsTheEvacuations plays the start of a gateway that has
// everything but the evacuations.
func TestGatewayServesNothingBeforeItKnowsTheEvacuations(t *testing.T) {
	cfg := newTestCore(t, 0, 1).cfg
	cfg.Evacuations = true
	c := New(cfg)
	out := slices.Clone(c.Tick(0, Input{Config: testTable(t)}, Input{Endpoints: endpointsInDomains(3, 3)}))
	out = append(out, submit(c, time.Second, 1, "short")...)
	if c.ready.OK || dispatchOf(out) != nil {
		t.Errorf("ready %+v, outputs %+v, want neither readiness nor a dispatch", c.ready, out)
	}
	c.Tick(2*time.Second, evacuations(5, "b"))
	if !c.ready.OK || dispatchOf(submit(c, 2*time.Second, 2, "short")) == nil {
		t.Errorf("ready %+v, want the gateway to serve once it knows the evacuations", c.ready)
	}
}

// TestEvacuationOfAnotherGatewayIsFetched checks that the announcement of a newer copy of the
// evacuations triggers a fetch, also of one without any to a gateway that has none, and that an
// older copy does not.
func TestEvacuationOfAnotherGatewayIsFetched(t *testing.T) {
	newer := func(own, other storecopy.Version) bool {
		c := newEvacuableCore(t, 3, 0)
		versions := Versions{Evacuations: own}
		c.Tick(0, Input{Versions: &versions})
		out := c.Tick(0, Input{Peer: &PeerMessage{From: gatewayAddr(1), Incarnation: 1, Versions: &Versions{Evacuations: other}}})
		return slices.ContainsFunc(out, func(o Output) bool { return o.Newer != nil })
	}
	none, begun, ended := storecopy.Version{Revision: 10, Era: 1}, storecopy.Version{Revision: 20, Digest: 7, Era: 1}, storecopy.Version{Revision: 30, Era: 1}
	for _, test := range []struct {
		name       string
		own, other storecopy.Version
		want       bool
	}{
		{"begun", none, begun, true}, {"ended", begun, ended, true}, {"of a frozen gateway", ended, begun, false},
		{"of a gateway without", begun, storecopy.Version{}, false}, {"at the start", storecopy.Version{}, storecopy.Version{Revision: 10}, true},
		{"of an earlier era", storecopy.Version{Revision: 5, Era: 2}, begun, false}, {"of a later era", begun, storecopy.Version{Revision: 5, Era: 2}, true},
	} {
		if got := newer(test.own, test.other); got != test.want {
			t.Errorf("%s: fetched %v, want %v", test.name, got, test.want)
		}
	}
}

// TestOtherCellsKeepToEvacuations checks that a gateway whose cell has no usable engine sends
// requests to other cells, but not into an evacuated domain.
func TestOtherCellsKeepToEvacuations(t *testing.T) {
	s := newSimulationWith(t, 64, 200)
	s.run(5 * time.Second)
	c := s.cores[0]
	c.cfg.Evacuations = true
	c.Tick(s.now, Input{Endpoints: endpointsInDomains(200, 3)}, evacuations(2, "b"))
	for e := range c.endpoints.Values() {
		if e.inCell && e.engine != nil {
			c.eject(e, "test", time.Minute)
		}
	}
	for id := RequestID(1 << 20); id < 1<<20+50; id++ {
		out := submit(c, s.now, id, "short")
		if dispatchOf(out) == nil {
			t.Fatalf("request %d is not dispatched", id)
		}
		wantNothingAt(t, c, out, "b")
	}
}

// TestCapacityOutOfUseIsNotCounted checks that Retry-After and the number of endpoints that may
// be ejected are computed from what is left in use.
func TestCapacityOutOfUseIsNotCounted(t *testing.T) {
	c := newEvacuableCore(t, 6, 0)
	s := c.service(engineService)
	c.Tick(time.Second, evacuations(2, "a", "b"))
	c.eject(s.endpoints[slices.IndexFunc(s.endpoints, func(e *endpoint) bool { return !e.outOfUse })], "test", time.Minute)
	if c.canEject(s) {
		t.Error("the last of two engines in use may be ejected")
	}
	backlog := func(domains ...wire.FailureDomain) time.Duration {
		c := newEvacuableCore(t, 6, 0)
		c.Tick(time.Second, evacuations(2, domains...))
		for id := RequestID(1); id <= 35; id++ {
			submitLong(c, time.Second, id, 20_000)
		}
		for r := range c.requests.Values() {
			if r.phase == phaseWaiting {
				return c.retryAfter(r, ReasonOverload)
			}
		}
		t.Fatal("no request waits")
		return 0
	}
	if all, third := backlog(), backlog("a", "b"); third < 2*all {
		t.Errorf("Retry-After %v with a third of the engines and %v with all, want it to grow with the queue of each", third, all)
	}
}

// TestLossOfAFailureDomainLeavesRequestsToOthers lets no connection be made to the endpoints of
// one of three failure domains, which have the least work. A request must reach one of the others.
func TestLossOfAFailureDomainLeavesRequestsToOthers(t *testing.T) {
	const perDomain = 5
	endpoints := perDomain * len(testDomains)
	c := newTestCore(t, 0, 1)
	c.Tick(0, Input{Endpoints: endpointsInDomains(0, endpoints)})
	domain := func(d *Dispatch) wire.FailureDomain { return c.endpoints.Get(d.Endpoint).registration.FailureDomain }
	now := time.Second
	for id := range RequestID(endpoints) {
		if d := dispatchOf(submit(c, now, id, "safe")); domain(d) == testDomains[0] {
			c.Tick(now, Input{Gone: &CallerGone{ID: id}})
			c.endpoints.Get(d.Endpoint).health.ejectedUntil = now + 1 // so that the next request goes elsewhere
		}
	}
	now++
	out := submit(c, now, 100, "safe")
	for tried := 0; ; tried++ {
		d := dispatchOf(out)
		if d == nil {
			t.Fatalf("%+v, want an endpoint that can be reached", finishOf(out))
		}
		if domain(d) != testDomains[0] {
			if tried < perDomain {
				t.Errorf("only %d endpoints of the lost domain were tried, want all %d", tried, perDomain)
			}
			return
		}
		now += time.Millisecond
		out = slices.Clone(c.Tick(now, Input{Ended: &AttemptEnded{ID: 100, Attempt: d.Attempt, Result: ResultUnreachable}}))
	}
}
