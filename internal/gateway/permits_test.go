package gateway

import (
	"slices"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// limitAt lets an endpoint name a limit in an answer.
func limitAt(c *Core, now time.Duration, id wire.EndpointID, limit float64) []Output {
	addr := c.endpoints.Get(id).registration.Addr
	return slices.Clone(c.Tick(now, Input{Limit: &EndpointLimit{Endpoint: id, Addr: addr, Limit: limit, Sent: now - 10*time.Millisecond}}))
}

// grantsTo returns the grants in messages to a gateway.
func grantsTo(out []Output, gateway int) []PermitGrant {
	var grants []PermitGrant
	for _, o := range out {
		if o.ToPeer != nil && o.ToPeer.Addr == gatewayAddr(gateway) {
			grants = append(grants, o.ToPeer.Msg.Grants...)
		}
	}
	return grants
}

// keptBy returns a plain endpoint whose permits the gateway with an index gives out among three.
func keptBy(t *testing.T, c *Core, gateway int) *endpoint {
	t.Helper()
	for e := range c.endpoints.Values() {
		limitAt(c, c.now, e.registration.ID, 10)
		if p := c.keeperOf(e, false); p != nil && p.addr == gatewayAddr(gateway) {
			return e
		}
	}
	t.Fatal("no endpoint has that keeper")
	return nil
}

// TestAskedGatewayGivesNoPermitsBesideTheKeeper checks that a gateway that another one takes for
// the keeper names the one that it knows, and gives out permits only once that one is silent.
func TestAskedGatewayGivesNoPermitsBesideTheKeeper(t *testing.T) {
	c := newTestCore(t, 0, 3)
	now := time.Second
	for i := 1; i <= 2; i++ {
		c.Tick(now, Input{Peer: &PeerMessage{From: gatewayAddr(i), Incarnation: 1, Versions: &Versions{}}})
	}
	e := keptBy(t, c, 2)
	demand := Input{Peer: &PeerMessage{From: gatewayAddr(1), Incarnation: 1, Demands: []PermitDemand{{Endpoint: e.idHash, Count: 1}}}}
	for range 5 {
		now += 50 * time.Millisecond
		out := slices.Clone(c.Tick(now, demand))
		if g := grantsTo(out, 1); len(g) != 1 || g[0].Count != 0 || g[0].Keeper == nil || *g[0].Keeper != gatewayAddr(2) {
			t.Fatalf("answered %+v, want the address of the keeper", g)
		}
		if !slices.ContainsFunc(out, func(o Output) bool {
			return o.ToPeer != nil && o.ToPeer.Addr == gatewayAddr(2) && len(o.ToPeer.Msg.Demands) == 1
		}) {
			t.Error("the keeper was not asked whether it answers")
		}
	}
	granted := 0
	for end := now + time.Second; now < end; now += 50 * time.Millisecond {
		for _, g := range grantsTo(slices.Clone(c.Tick(now, demand)), 1) {
			granted += g.Count
		}
	}
	if granted < 5 {
		t.Errorf("%d permits given in a second after the keeper fell silent, want about 8 at 10 a second", granted)
	}
	now += time.Second
	c.Tick(now, demand)
	c.Tick(now, Input{Peer: &PeerMessage{From: gatewayAddr(2), Incarnation: 1, Grants: []PermitGrant{{Endpoint: e.idHash}}}})
	if g := grantsTo(slices.Clone(c.Tick(now+50*time.Millisecond, demand)), 1); len(g) != 1 || g[0].Keeper == nil {
		t.Errorf("answered %+v once the keeper is back, want its address", g)
	}
}

// TestAttemptFromBeforeTheLimitIsNotSentWithoutPermit checks that an attempt that is already on
// its way to the connection is withdrawn, and that neither the endpoint nor the caller pays for it.
func TestAttemptFromBeforeTheLimitIsNotSentWithoutPermit(t *testing.T) {
	c := newTestCore(t, 0, 1)
	d := dispatchOf(submit(c, time.Second, 1, "safe"))
	limitAt(c, time.Second, d.Endpoint, 1)
	out := slices.Clone(c.Tick(time.Second, Input{Sent: &Sent{ID: 1, Attempt: 1}}))
	if !slices.ContainsFunc(out, func(o Output) bool { return o.Cancel != nil && o.Cancel.Attempt == 1 }) {
		t.Fatal("the attempt was not cancelled")
	}
	retries := c.service(plainService).budget
	before := *retries
	next := dispatchOf(c.Tick(time.Second, Input{Ended: &AttemptEnded{ID: 1, Attempt: 1, Result: ResultFull}}))
	if next == nil || next.Endpoint == d.Endpoint {
		t.Errorf("dispatch %+v, want one to another endpoint than %s", next, d.Endpoint)
	}
	if *retries != before || c.endpoints.Get(d.Endpoint).health.ejected(c.now) {
		t.Error("the limit took a retry from the budget or ejected the endpoint")
	}
}

func TestRestartedInstanceHasNoLimitOfItsPredecessor(t *testing.T) {
	c := newTestCore(t, 0, 1)
	limitAt(c, time.Second, "p-00", 1)
	rows := testEndpoints(18, 3)
	for i := range rows.Rows {
		rows.Rows[i].Born = 2000
	}
	c.Tick(time.Second, Input{Endpoints: rows})
	if e := c.endpoints.Get("p-00"); e.limited() {
		t.Error("the next instance is limited")
	}
}

func TestLapsedPermitIsNotUsed(t *testing.T) {
	c := newTestCore(t, 0, 1)
	limitAt(c, time.Second, "p-00", 1)
	e := c.endpoints.Get("p-00")
	c.addPermits(e, 1)
	c.now += time.Second
	if c.permitted(e) || c.takePermit(e) {
		t.Error("a permit was used after permitTTL")
	}
}

// TestJustStartedGatewayTakesLimitsFromBeforeItsStart checks that what others heard before this
// process started is not taken for older than its own empty knowledge.
func TestJustStartedGatewayTakesLimitsFromBeforeItsStart(t *testing.T) {
	c := newTestCore(t, 0, 2)
	e := c.endpoints.Get("p-00")
	c.Tick(100*time.Millisecond, Input{Peer: &PeerMessage{
		From: gatewayAddr(1), Incarnation: 1, Limits: []LimitRow{{Endpoint: e.idHash, Limit: 2, SentMS: 9000, ReceivedMS: 8900}},
	}})
	if !e.limited() {
		t.Error("the limit is not known")
	}
}
