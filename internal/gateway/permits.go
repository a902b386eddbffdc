package gateway

import (
	"net/netip"
	"slices"
	"time"

	"trefoilpath.org/trefoilpath/internal/endpointlimit"
)

const (
	// demandInterval is the time between two demands for permits of an endpoint that have not
	// changed, minDemandInterval between any two.
	demandInterval    = 40 * time.Millisecond
	minDemandInterval = 5 * time.Millisecond
	// A keeper is silent once minUnanswered demands and keeperTimeout have passed without an
	// answer. It is asked every silentKeeperInterval then, beside the one that takes its place.
	minUnanswered        = 5
	keeperTimeout        = 250 * time.Millisecond
	silentKeeperInterval = 500 * time.Millisecond
	// redirectTTL is how long a gateway is taken as the keeper because another one named it.
	redirectTTL = 2 * time.Second
	// maxPermitCount bounds the permits in a message.
	maxPermitCount = 1000
	// idleDue is how long requests of unknown urgency may wait.
	idleDue = time.Hour
)

// One gateway, the keeper, gives out the permits of a limited endpoint, each for one request.
// All gateways that know each other agree on it by rendezvous hashing. A gateway that is asked
// and takes another for the keeper names that one, and asks it itself, so that a keeper that
// has ended is noticed wherever views differ. A new keeper begins without permits.

// permits is this gateway's part in keeping the limit of an instance, which is named by itself or
// that of a cold one.
type permits struct {
	limit  endpointlimit.Limit
	held   []time.Duration // when each permit that this gateway holds lapses, in order
	usedAt time.Duration   // when one was last used
	wanted int             // by the requests that wait now
	due    time.Duration   // when the most urgent of these is due
	wait   time.Duration   // from waitAt until the next permit, as the keeper has said
	waitAt time.Duration   // 0: it has said nothing yet

	asked           netip.AddrPort // the keeper that was asked last
	askedAt         time.Duration
	askedCount      int
	askedDue        time.Duration
	unanswered      int           // demands since its last answer
	unansweredSince time.Duration // when the first of these was sent

	redirect      netip.AddrPort // the keeper that another gateway has named
	redirectUntil time.Duration

	keeper *endpointlimit.Keeper // nil if this gateway is not the keeper

	shares shares
}

// PermitDemand asks the keeper for permits. It replaces the sender's earlier one.
type PermitDemand struct {
	Endpoint uint64 `cbor:"1,keyasint"`           // hash of the endpoint's ID
	Born     int64  `cbor:"2,keyasint,omitempty"` // of the instance
	Count    int    `cbor:"3,keyasint,omitempty"` // permits wanted
	DueMS    int64  `cbor:"4,keyasint,omitempty"` // until the most urgent request is due; negative once late
}

// PermitGrant answers a PermitDemand.
type PermitGrant struct {
	Endpoint uint64          `cbor:"1,keyasint"`           // hash of the endpoint's ID
	Born     int64           `cbor:"2,keyasint,omitempty"` // of the instance
	Count    int             `cbor:"3,keyasint,omitempty"` // permits given
	WaitMS   int64           `cbor:"4,keyasint,omitempty"` // until the next one
	Keeper   *netip.AddrPort `cbor:"5,keyasint,omitempty"` // the gateway that gives them, if not the sender
}

// limitChanged applies another limit. Permits of a higher one are void.
func (l *permits) limitChanged(now time.Duration, limit endpointlimit.Limit) {
	l.held, l.limit = nil, limit
	if l.keeper != nil {
		l.keeper.SetLimit(now, limit.Rate)
	}
}

// permitted reports whether a request may be sent to e now as far as its limit goes.
func (c *Core) permitted(e *endpoint) bool {
	return !e.limited() || c.permitsHeld(e) > 0
}

// permitsHeld returns the number of permits for e, shares included, that can be used now.
func (c *Core) permitsHeld(e *endpoint) int {
	l := e.announced.permits
	l.held = slices.DeleteFunc(l.held, func(lapses time.Duration) bool { return lapses <= c.now })
	return len(l.held) + c.sharesLeft(e)
}

// takePermit uses a permit for e, and reports whether a request may be sent there.
func (c *Core) takePermit(e *endpoint) bool {
	if !e.limited() {
		return true
	}
	if c.permitsHeld(e) == 0 {
		return false
	}
	l := e.announced.permits
	if len(l.held) > 0 {
		l.held = l.held[1:]
	} else {
		l.shares.used = append(l.shares.used, c.now)
	}
	l.usedAt = c.now
	if e.cold() {
		c.counts.ColdSends++
	}
	return true
}

// addPermits adds permits that the keeper has given.
func (c *Core) addPermits(e *endpoint, count int) {
	l := e.announced.permits
	for range min(count, maxPermitCount) {
		l.held = append(l.held, c.now+l.limit.Lifetime)
	}
	c.placementDue = c.placementDue || count > 0
}

// limitedEndpoints returns the endpoints of s that have a limit and may be sent requests
// otherwise, and whether all of those that may be are among them.
func (c *Core) limitedEndpoints(s *service) (limited []*endpoint, all bool) {
	if !c.limitsKnown {
		return nil, false
	}
	usable := c.usable(s, nil)
	for _, e := range usable {
		if e.limited() {
			limited = append(limited, e)
		}
	}
	return limited, len(limited) == len(usable)
}

// demandRechecks asks for a permit for each endpoint from which no answer has come for long,
// unless all endpoints name limits, so that all permits are wanted anyhow.
func (c *Core) demandRechecks(s *service) {
	limited, all := c.limitedEndpoints(s)
	if all {
		return
	}
	for _, e := range limited {
		l := e.announced.permits
		if l.wanted == 0 && c.recheckDue(e) {
			l.wanted, l.due = 1, c.now+idleDue
			c.demandPermits(e, false)
			l.wanted = 0
		}
	}
}

// demandForWaiting asks for permits for the requests that wait, and refuses those that can't
// get one in time. It reports whether this gateway holds permits that it didn't hold before.
func (c *Core) demandForWaiting(s *service) bool {
	limited, all := c.limitedEndpoints(s)
	if len(limited) == 0 {
		return false
	}
	held := 0
	for _, e := range limited {
		e.announced.permits.wanted, e.announced.permits.due = 0, c.now+idleDue
		held += c.permitsHeld(e)
	}
	open := slices.DeleteFunc(slices.Clone(limited), c.coldAndFull)
	openToLong := open
	if !all {
		openToLong = c.coldIfNoneAnswers(s, open)
	}
	for _, r := range s.waiting {
		if r.phase != phaseWaiting || r.held {
			continue
		}
		from := open
		if r.divisible {
			from = openToLong
		}
		e, wait, known := c.nextPermit(from, r)
		switch {
		case e == nil:
		case all && known && c.now+wait > r.placedBefore():
			r.permitWait = wait
			c.endUnserved(r, ReasonLimit)
		default:
			l := e.announced.permits
			l.wanted++
			l.due = min(l.due, r.demand.Key(c.now))
		}
	}
	for _, e := range limited {
		c.demandPermits(e, false)
		held -= c.permitsHeld(e)
	}
	return held < 0
}

// nextPermit returns the limited endpoint for which r gets a permit first, after the requests
// that have been counted in wanted, and the time until then. known is false if that keeper has
// said nothing yet. Of several, it is the one with the least work. The endpoint is nil if r avoids
// all.
func (c *Core) nextPermit(limited []*endpoint, r *request) (best *endpoint, wait time.Duration, known bool) {
	for _, e := range limited {
		if !r.mayGoTo(e) {
			continue
		}
		if w := c.permitWait(e); best == nil || w < wait || w == wait && c.lessWork(e, best) {
			best, wait, known = e, w, e.announced.permits.waitAt > 0
		}
	}
	return best, wait, known
}

// lessWork reports whether fewer attempts run at a than at b. Gateways order those with as many
// each in its own way, so that they don't all ask for permits of the same endpoint.
func (c *Core) lessWork(a, b *endpoint) bool {
	if x, y := len(a.workItems), len(b.workItems); x != y {
		return x < y
	}
	return c.perGatewayRank(a) < c.perGatewayRank(b)
}

// permitWait returns the time until a permit for e that no counted request wants.
func (c *Core) permitWait(e *endpoint) time.Duration {
	l := e.announced.permits
	missing := l.wanted - c.permitsHeld(e)
	if missing < 0 {
		return 0
	}
	return max(l.wait-(c.now-l.waitAt), 0) + time.Duration(float64(missing)/l.limit.Rate*float64(time.Second))
}

// keeperOf returns the gateway that gives out the permits of e; nil: this one. With silent, a
// keeper that does not answer is returned too.
func (c *Core) keeperOf(e *endpoint, silent bool) *peer {
	l := e.announced.permits
	if c.now < l.redirectUntil {
		if p := c.peers.Get(l.redirect); p != nil && (silent || !p.keeperSilent) {
			return p
		}
	}
	life := rendezvousHash(e.idHash, uint64(e.registration.Born))
	var best *peer
	bestRank := uint64(0)
	if !c.leaving {
		bestRank = rendezvousHash(c.addrHash, life)
	}
	for p := range c.peers.Values() {
		if !p.live || p.leaving || p.keeperSilent && !silent {
			continue
		}
		if rank := rendezvousHash(p.addrHash, life); rank > bestRank {
			best, bestRank = p, rank
		}
	}
	return best
}

// demandPermits asks e's keeper for the permits that are wanted and not held. With confirm it
// asks in any case, to learn whether that gateway still answers.
func (c *Core) demandPermits(e *endpoint, confirm bool) {
	l := e.announced.permits
	missing := max(l.wanted-c.permitsHeld(e), 0)
	c.askSilentKeeper(e, missing > 0 || confirm)
	keeper := c.keeperOf(e, false)
	if keeper == nil {
		c.ownKeeper(e).Demand(c.now, endpointlimit.Demand{Gateway: c.addrHash, Count: missing, Due: l.due})
		c.grantPermits(e)
		return
	}
	l.keeper = nil
	if missing == 0 && !confirm {
		c.withdrawDemand(e, keeper)
		return
	}
	if !l.askAgain(c.now, keeper.addr, missing) {
		return
	}
	if l.asked != keeper.addr {
		l.unanswered = 0
	}
	if l.unanswered >= minUnanswered && c.now >= l.unansweredSince+keeperTimeout {
		l.unanswered, keeper.keeperSilent, keeper.keeperAskedAt = 0, true, c.now
		c.log(Event{Name: "keeper-silent", Endpoint: string(e.registration.ID), Detail: "addr=" + keeper.addr.String()})
		c.demandPermits(e, confirm)
		return
	}
	if l.unanswered == 0 {
		l.unansweredSince = c.now
	}
	l.unanswered++
	l.asked, l.askedAt, l.askedCount, l.askedDue = keeper.addr, c.now, missing, l.due
	c.sendDemand(e, keeper, missing)
}

// withdrawDemand tells the keeper that permits are not wanted any more, as long as it may still
// give them.
func (c *Core) withdrawDemand(e *endpoint, keeper *peer) {
	l := e.announced.permits
	if l.askedCount > 0 && l.asked == keeper.addr && c.now < l.askedAt+endpointlimit.DemandTTL {
		c.sendDemand(e, keeper, 0)
	}
	l.askedCount = 0
}

// askAgain reports whether the keeper is to be asked now for a number of permits.
func (l *permits) askAgain(now time.Duration, keeper netip.AddrPort, missing int) bool {
	if l.asked != keeper || now >= l.askedAt+demandInterval {
		return true
	}
	return (missing > l.askedCount || l.due < l.askedDue) && now >= l.askedAt+minDemandInterval
}

// askSilentKeeper asks the gateway that would be the keeper if it answered, now and then.
func (c *Core) askSilentKeeper(e *endpoint, demanded bool) {
	p := c.keeperOf(e, true)
	if demanded && p != nil && p.keeperSilent && c.now >= p.keeperAskedAt+silentKeeperInterval {
		p.keeperAskedAt = c.now
		c.sendDemand(e, p, 0)
	}
}

func (c *Core) sendDemand(e *endpoint, keeper *peer, count int) {
	m := c.message()
	if e.announced.limit.Limit() > 0 {
		m.Limits = []LimitRow{c.limitRow(e)}
	}
	m.Cold = c.coldRows(e)
	m.Demands = []PermitDemand{{
		Endpoint: e.idHash, Born: e.registration.Born, Count: count, DueMS: (e.announced.permits.due - c.now).Milliseconds(),
	}}
	c.emit(Output{ToPeer: &ToPeer{Addr: keeper.addr, Msg: m}})
}

// ownKeeper returns the keeper of e's permits at this gateway.
func (c *Core) ownKeeper(e *endpoint) *endpointlimit.Keeper {
	l := e.announced.permits
	if l.keeper == nil {
		l.keeper = endpointlimit.NewKeeper(c.now, l.limit.Rate)
	}
	return l.keeper
}

// grantPermits gives out the permits of e that this gateway may give out now.
func (c *Core) grantPermits(e *endpoint) {
	l := e.announced.permits
	if l == nil || l.keeper == nil {
		return
	}
	for _, g := range l.keeper.Grant(c.now) {
		if g.Gateway == c.addrHash {
			c.addPermits(e, g.Count)
		} else if p := c.peerByHash(g.Gateway); p != nil {
			c.sendGrant(e, p, PermitGrant{Count: g.Count, WaitMS: l.keeper.Wait(g.Gateway).Milliseconds()})
		}
	}
	l.wait, l.waitAt = l.keeper.Wait(c.addrHash), c.now
	key := timerKey{kind: timerPermits, endpoint: e.registration.ID}
	if next := l.keeper.Next(); next == endpointlimit.Never {
		c.timers.Stop(key)
	} else {
		c.timers.Set(key, next)
	}
}

// grantByTimer gives out permits of an endpoint for which gateways wait.
func (c *Core) grantByTimer(e *endpoint) {
	if e != nil {
		c.grantPermits(e)
	}
}

func (c *Core) peerByHash(addrHash uint64) *peer {
	for p := range c.peers.Values() {
		if p.addrHash == addrHash {
			return p
		}
	}
	return nil
}

func (c *Core) sendGrant(e *endpoint, p *peer, g PermitGrant) {
	g.Endpoint, g.Born = e.idHash, e.registration.Born
	m := c.message()
	m.Grants = []PermitGrant{g}
	c.emit(Output{ToPeer: &ToPeer{Addr: p.addr, Msg: m}})
}

// permitsDemanded answers another gateway's demand.
func (c *Core) permitsDemanded(p *peer, d *PermitDemand) {
	e := c.instanceByHash(d.Endpoint, d.Born)
	if e == nil {
		return
	}
	if !e.limited() { // the limit has ended; the sender learns it from the endpoint's answer, or by time
		c.sendGrant(e, p, PermitGrant{Count: d.Count})
		return
	}
	if keeper := c.keeperOf(e, false); keeper != nil && keeper != p {
		c.demandPermits(e, true)
		c.sendGrant(e, p, PermitGrant{Keeper: &keeper.addr})
		return
	}
	c.askSilentKeeper(e, true)
	k := c.ownKeeper(e)
	k.Demand(c.now, endpointlimit.Demand{Gateway: p.addrHash, Count: min(max(d.Count, 0), maxPermitCount), Due: c.now + milliseconds(d.DueMS)})
	granted := len(c.outputs)
	c.grantPermits(e)
	if !c.sentGrantTo(p, granted) {
		c.sendGrant(e, p, PermitGrant{WaitMS: k.Wait(p.addrHash).Milliseconds()})
	}
}

// sentGrantTo reports whether one of the outputs from the given one on is a grant for p.
func (c *Core) sentGrantTo(p *peer, from int) bool {
	return slices.ContainsFunc(c.outputs[from:], func(o Output) bool {
		return o.ToPeer != nil && o.ToPeer.Addr == p.addr && len(o.ToPeer.Msg.Grants) > 0
	})
}

// permitsGranted applies a keeper's answer to a demand.
func (c *Core) permitsGranted(p *peer, g *PermitGrant) {
	p.keeperSilent = false
	e := c.instanceByHash(g.Endpoint, g.Born)
	if e == nil || !e.limited() {
		return
	}
	l := e.announced.permits
	if p.addr == l.asked {
		l.unanswered = 0
	}
	if g.Keeper != nil {
		c.redirectPermits(e, *g.Keeper)
		return
	}
	c.addPermits(e, g.Count)
	l.askedCount = max(l.askedCount-g.Count, 0)
	l.wait, l.waitAt = max(milliseconds(g.WaitMS), 0), c.now
	c.placementDue = true
}

// redirectPermits asks the keeper that another gateway has named from now on.
func (c *Core) redirectPermits(e *endpoint, keeper netip.AddrPort) {
	if keeper == c.cfg.Addr || !keeper.IsValid() {
		return
	}
	c.peer(keeper)
	l := e.announced.permits
	l.redirect, l.redirectUntil = keeper, c.now+redirectTTL
	c.placementDue = true
}
