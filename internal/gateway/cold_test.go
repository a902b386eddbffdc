package gateway

import (
	"slices"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/endpointlimit"
	"trefoilpath.org/trefoilpath/internal/route"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	testColdRate = 28 // requests a second
	testWarmup   = 3 * time.Second
)

// testColdBounds allow 47 requests in any one second at testColdRate.
var testColdBounds = ColdBounds{Ratio: 1.5, Slack: 5}

// coldTable returns a configuration whose services have a cold rate.
func coldTable(t testing.TB, rate float64) *route.Table {
	t.Helper()
	cfg := &route.Config{Version: 2, Services: []route.Service{
		{Name: engineService, Engine: testEngine(), Warmup: testWarmup, ColdRate: rate},
		{Name: plainService, Warmup: testWarmup, ColdRate: rate},
	}}
	for _, name := range []string{"short", "medium", "long", "safe", "unsafe"} {
		cfg.Routes = append(cfg.Routes, *testRoutes()[name])
	}
	table, err := route.Compile(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// newColdCore returns the first of a number of gateways, with a configuration that has cold rates.
func newColdCore(t *testing.T, gateways int) *Core {
	t.Helper()
	c := newTestCore(t, 0, gateways)
	c.cfg.Cold = testColdBounds
	c.Tick(0, Input{Config: coldTable(t, testColdRate)})
	return c
}

// rowsSaying returns the rows of testEndpoints in which one says in a revision how much longer
// it is cold.
func rowsSaying(id wire.EndpointID, revision uint64, left time.Duration) *Endpoints {
	in := testEndpoints(18, 3)
	in.Revision = revision
	for i := range in.Rows {
		if in.Rows[i].ID == id {
			in.Rows[i].HasColdLeft, in.Rows[i].ColdLeft, in.Rows[i].Revision = true, left, revision
		}
	}
	return in
}

// coldAt returns whether an endpoint is cold at a time, after the timers that are due.
func coldAt(c *Core, now time.Duration, id wire.EndpointID) bool {
	c.Tick(now)
	return c.endpoints.Get(id).cold()
}

func TestOldStatementDoesNotMakeAnEndpointColdAnew(t *testing.T) {
	c := newColdCore(t, 1)
	c.Tick(time.Second, Input{Endpoints: rowsSaying("e-00", 10, 2*time.Second)})
	c.Tick(2500*time.Millisecond, Input{Endpoints: rowsSaying("e-00", 10, 2*time.Second)})
	if !coldAt(c, 2900*time.Millisecond, "e-00") || coldAt(c, 3*time.Second, "e-00") {
		t.Error("the endpoint is not cold for two seconds from the first arrival of its registration")
	}
	c.Tick(3500*time.Millisecond, Input{Endpoints: rowsSaying("e-00", 10, 2*time.Second)})
	if coldAt(c, 3600*time.Millisecond, "e-00") {
		t.Error("the same registration made the endpoint cold again")
	}
	c.Tick(4*time.Second, Input{Endpoints: rowsSaying("e-00", 11, 2*time.Second)})
	if !coldAt(c, 5*time.Second, "e-00") {
		t.Error("the endpoint did not become cold again, without a restart, by a newer registration")
	}
	c.Tick(5*time.Second, Input{Endpoints: rowsSaying("e-00", 12, 0)})
	if coldAt(c, 5*time.Second, "e-00") {
		t.Error("a newer registration did not end it")
	}
}

func TestColdnessOutlivesALapseOfTheRegistration(t *testing.T) {
	c := newColdCore(t, 1)
	c.Tick(time.Second, Input{Endpoints: rowsSaying("e-00", 10, 2*time.Second)})
	without := rowsSaying("e-00", 10, 2*time.Second)
	without.Rows = without.Rows[1:]
	c.Tick(1500*time.Millisecond, Input{Endpoints: without})
	c.Tick(2*time.Second, Input{Endpoints: rowsSaying("e-00", 10, 2*time.Second)})
	if !coldAt(c, 2900*time.Millisecond, "e-00") || coldAt(c, 3*time.Second, "e-00") {
		t.Error("the endpoint is not cold for two seconds from the first arrival of its registration")
	}
}

func TestStartedEndpointThatSaysNothingCountsAsCold(t *testing.T) {
	c := newColdCore(t, 1)
	rows := testEndpoints(19, 3)
	c.Tick(time.Second, Input{Endpoints: rows})
	if !coldAt(c, time.Second+testWarmup-1, "e-18") || coldAt(c, time.Second+testWarmup, "e-18") {
		t.Errorf("an endpoint that registered after this gateway's start is not cold for %v", testWarmup)
	}
	if coldAt(c, 5*time.Second, "e-00") {
		t.Error("an endpoint of the first list is cold")
	}
	c.Tick(5*time.Second, Input{Endpoints: testEndpoints(18, 3)})
	c.Tick(6*time.Second, Input{Endpoints: rows})
	if coldAt(c, 6*time.Second, "e-18") {
		t.Error("the same instance is cold again because its registration had lapsed")
	}
}

func TestPresumedColdEndpointIsLimitedWhateverItSays(t *testing.T) {
	c := newColdCore(t, 1)
	c.Tick(time.Second, Input{Endpoints: rowsSaying("e-00", 10, 0)})
	e := c.endpoints.Get("e-00")
	c.presumeCold(e)
	c.Tick(2*time.Second, Input{Endpoints: rowsSaying("e-00", 11, 0)})
	if !e.limited() || !coldAt(c, time.Second+testWarmup-1, "e-00") {
		t.Error("the endpoint was limited for less than its service's warmup")
	}
	out := slices.Clone(c.Tick(time.Second + testWarmup))
	if e.cold() || e.limited() {
		t.Error("the endpoint is still limited after its service's warmup")
	}
	if !slices.ContainsFunc(out, func(o Output) bool { return o.Log != nil && o.Log.Name == "endpoint-warm" && o.Log.Took == testWarmup }) {
		t.Errorf("logged %v, want the end of the coldness", out)
	}
}

func TestServiceWithoutColdRateHasNoColdEndpoints(t *testing.T) {
	c := newTestCore(t, 0, 1)
	c.Tick(time.Second, Input{Endpoints: rowsSaying("e-00", 10, 2*time.Second)})
	e := c.endpoints.Get("e-00")
	c.presumeCold(e)
	if e.cold() || e.limited() {
		t.Error("the endpoint is limited though its service has no cold rate")
	}
	c.Tick(1500*time.Millisecond, Input{Config: coldTable(t, testColdRate)})
	if !e.cold() {
		t.Error("the endpoint is not cold once a configuration with a cold rate is in force")
	}
}

func TestColdEndpointThatNamesALimitGetsTheLowerRate(t *testing.T) {
	c := newColdCore(t, 1)
	cold := endpointlimit.ColdLimit(testColdRate, testColdBounds.Ratio, testColdBounds.Slack)
	limitAt(c, time.Second, "p-00", 2)
	e := c.endpoints.Get("p-00")
	c.presumeCold(e)
	if got := e.announced.permits.limit; got.Rate != 2 || got.Lifetime != cold.Lifetime {
		t.Errorf("permits of %+v, want 2 a second that lapse as those of a cold endpoint", got)
	}
	limitAt(c, 2*time.Second, "p-00", 0)
	if got := e.announced.permits.limit; got != cold {
		t.Errorf("permits of %+v once it names no limit, want %+v", got, cold)
	}
	limitAt(c, 3*time.Second, "p-00", 100)
	if got := e.announced.permits.limit; got.Rate != cold.Rate || got.Lifetime != cold.Lifetime {
		t.Errorf("permits of %+v at a named limit of 100, want %+v", got, cold)
	}
	c.Tick(time.Second + testWarmup)
	if got := e.announced.permits.limit; got != endpointlimit.NamedLimit(100) {
		t.Errorf("permits of %+v once it is warm, want the limit that it names", got)
	}
}

// TestPermitOfAColdEndpointLapsesSoon checks that permits of one second can't be used in the next.
func TestPermitOfAColdEndpointLapsesSoon(t *testing.T) {
	c := newColdCore(t, 1)
	e := c.endpoints.Get("p-00")
	c.Tick(time.Second)
	c.presumeCold(e)
	c.addPermits(e, 1)
	if !c.permitted(e) {
		t.Fatal("the permit can't be used")
	}
	c.now += 100 * time.Millisecond
	if c.permitted(e) {
		t.Error("the permit can be used after 100 ms")
	}
}

// TestGatewaysHearOfColdEndpointsOnlyAtFirstHand checks that an answer is passed on, and that a
// gateway does not pass on what it was told, so that two can't prolong it for each other.
func TestGatewaysHearOfColdEndpointsOnlyAtFirstHand(t *testing.T) {
	c := newColdCore(t, 2)
	c.Tick(time.Second, Input{Peer: &PeerMessage{From: gatewayAddr(1), Incarnation: 1, Versions: &Versions{}}})
	sentCold := func(now time.Duration, in ...Input) []ColdRow {
		var rows []ColdRow
		for _, o := range c.Tick(now, in...) {
			if o.ToPeer != nil {
				rows = append(rows, o.ToPeer.Msg.Cold...)
			}
		}
		return rows
	}
	a, b := c.endpoints.Get("e-00"), c.endpoints.Get("e-01")
	rows := sentCold(1100*time.Millisecond, Input{Announced: &EndpointAnnouncement{Endpoint: "e-00", Addr: a.registration.Addr, ColdLeft: 2 * time.Second}})
	if len(rows) != 1 || rows[0] != (ColdRow{Endpoint: a.idHash, LeftMS: 2000}) {
		t.Errorf("told %+v at once, want what the endpoint said in its answer", rows)
	}
	sentCold(1200*time.Millisecond, Input{Peer: &PeerMessage{From: gatewayAddr(1), Incarnation: 1, Cold: []ColdRow{{Endpoint: b.idHash, LeftMS: 2500}}}})
	if !b.cold() {
		t.Fatal("the endpoint is not cold though another gateway says so")
	}
	for now := 1210 * time.Millisecond; now < 3*time.Second; now += 10 * time.Millisecond {
		for _, row := range sentCold(now) {
			if row.Endpoint == b.idHash {
				t.Fatalf("told %+v, which this gateway has only been told", row)
			}
		}
	}
}

// TestLongPromptIsAnsweredByAColdEngineIfNoOtherCan checks the end of an outage of all engines.
func TestLongPromptIsAnsweredByAColdEngineIfNoOtherCan(t *testing.T) {
	c := newColdCore(t, 1)
	c.Tick(time.Second, Input{Endpoints: testEndpoints(2, 0)})
	cold, warm := c.endpoints.Get("e-00"), c.endpoints.Get("e-01")
	c.presumeCold(cold)
	r := testRoutes()["long"]
	long := func(now time.Duration, id RequestID) *Dispatch {
		out := slices.Clone(c.Tick(now, Input{Arrive: &Arrival{
			ID: id, RequestID: "l", Route: r, Service: engineService, PromptTokens: 20_000, MaxOutputTokens: 500, Deadline: now + r.Timeout,
		}}))
		for end := now + 200*time.Millisecond; dispatchOf(out) == nil && now < end; now += 10 * time.Millisecond {
			out = slices.Clone(c.Tick(now))
		}
		return dispatchOf(out)
	}
	if d := long(1100*time.Millisecond, 1); d == nil || d.Endpoint != warm.registration.ID {
		t.Fatalf("dispatch %+v, want one to the warm engine", d)
	}
	for i := range 40 { // all of its slots
		id := RequestID(100 + i)
		c.addWork(&workItem{key: workKey{gatewayAddr(5), uint64(id)}, phase: workDecoding, endpoints: []*endpoint{warm}, gapLimit: time.Second})
	}
	if d := long(1500*time.Millisecond, 2); d == nil || d.Endpoint != cold.registration.ID {
		t.Fatalf("dispatch %+v, want one to the cold engine", d)
	}
}

// TestReturnedFailureDomainCountsAsCold plays the end of an evacuation, after which endpoints may
// be cold before they have said so.
func TestReturnedFailureDomainCountsAsCold(t *testing.T) {
	c := newEvacuableCore(t, 18, 3)
	c.cfg.Cold = testColdBounds
	c.Tick(0, Input{Config: coldTable(t, testColdRate)})
	c.Tick(time.Second, evacuations(2, "a", "b"))
	c.Tick(2*time.Second, evacuations(3, "b"))
	for e := range c.endpoints.Values() {
		if want := e.registration.FailureDomain == "a"; e.cold() != want {
			t.Errorf("endpoint %s of domain %s: cold is %v, want %v", e.registration.ID, e.registration.FailureDomain, e.cold(), want)
		}
	}
	c.Tick(2*time.Second + testWarmup)
	for e := range c.endpoints.Values() {
		if e.cold() {
			t.Errorf("endpoint %s is still cold after its service's warmup", e.registration.ID)
		}
	}
}
