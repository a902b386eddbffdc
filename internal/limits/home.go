package limits

import (
	"math"
	"slices"
	"time"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/invariant"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// homeAccount is one account whose home is this entry.
type homeAccount struct {
	limits  declaration.Limits
	holders []holder

	// Grants made under earlier limits may be in use until earlierUntil.
	earlier      declaration.Limits
	earlierUntil time.Duration
}

// holder is one entry that uses the account.
type holder struct {
	node             wire.NodeID
	demand           wire.AccountDemand
	demandReceivedAt time.Duration
	grants           []issuedGrant // ascending by sequence
}

// issuedGrant is one grant that the holder may use until it expires, or until
// the holder has received a later one.
type issuedGrant struct {
	sequence uint64 // Sequence of the reply that carries it
	allowance
}

// backedFraction is the fraction of every limit that this home may grant for a
// term.
type backedFraction struct {
	allAccounts     float64 // for every account, whatever its earlier home
	unmovedAccounts float64 // in addition, for accounts that kept their home
}

// backingUntil sums, as fractions of the limits, this entry's share and the
// shares that are promised to it at least until the given time.
func (m *Core) backingUntil(now, until time.Duration) backedFraction {
	var b backedFraction
	if !m.canShare(now) || now < m.waitUntil {
		return b
	}
	own := 1 / float64(len(m.view.members))
	if now >= m.frozenUntil {
		b.allAccounts = own
	} else {
		b.unmovedAccounts = own
	}
	m.peers.Each(func(_ wire.NodeID, p *peer) bool {
		l := &p.lending
		if l.until < until || l.entries == 0 {
			return true
		}
		share := 1 / float64(l.entries)
		switch {
		case l.homes == m.view.homes.digest && l.unmovedSince == 0:
			b.allAccounts += share
		case m.prevHomes == nil:
		case l.homes == m.view.homes.digest && l.unmovedSince == m.prevHomes.digest,
			l.homes == m.prevHomes.digest && l.unmovedSince == 0:
			b.unmovedAccounts += share
		}
		return true
	})
	return b
}

// fractionFor returns the fraction of an account's limits that may be granted.
func (b backedFraction) fractionFor(m *Core, id wire.AccountID) float64 {
	part := b.allAccounts
	if b.unmovedAccounts > 0 && m.keptHome(id) {
		part += b.unmovedAccounts
	}
	if part > 1-roundingSlack {
		return 1
	}
	return part
}

func (m *Core) homeAccount(now time.Duration, id wire.AccountID) *homeAccount {
	if h := m.homeAccounts.Get(id); h != nil {
		return h
	}
	m.homeTimers.Set(id, now+m.cfg.IdleTimeout)
	return m.homeAccounts.Put(id, homeAccount{limits: m.limitsOf(id)})
}

// expireHome drops a home account without holders.
func (m *Core) expireHome(now time.Duration, id wire.AccountID) {
	h := m.homeAccounts.Get(id)
	if h == nil {
		return
	}
	h.expire(now, demandPeriods*m.period())
	if len(h.holders) == 0 {
		m.homeAccounts.Delete(id)
		return
	}
	m.homeTimers.Set(id, now+m.cfg.IdleTimeout)
}

// setLimits changes the limits. Grants under the old limits may be in use until
// the given time.
func (h *homeAccount) setLimits(l declaration.Limits, now, until time.Duration) {
	if l == h.limits {
		return
	}
	if now >= h.earlierUntil {
		h.earlier = declaration.Limits{}
	}
	h.earlier = higherLimits(h.earlier, h.limits)
	h.earlierUntil = until
	h.limits = l
}

func higherLimits(a, b declaration.Limits) declaration.Limits {
	a.RequestsPerSecond = max(a.RequestsPerSecond, b.RequestsPerSecond)
	a.TokensPerSecond = max(a.TokensPerSecond, b.TokensPerSecond)
	a.Concurrency = max(a.Concurrency, b.Concurrency)
	return a
}

func (h *homeAccount) holder(node wire.NodeID) *holder {
	for i := range h.holders {
		if h.holders[i].node == node {
			return &h.holders[i]
		}
	}
	h.holders = append(h.holders, holder{node: node})
	return &h.holders[len(h.holders)-1]
}

// remove drops a holder.
func (h *homeAccount) remove(node wire.NodeID) {
	h.holders = slices.DeleteFunc(h.holders, func(x holder) bool { return x.node == node })
}

// expire drops expired grants, demands that were not repeated within
// wantTTL, and holders that have neither.
func (h *homeAccount) expire(now, wantTTL time.Duration) {
	for i := range h.holders {
		x := &h.holders[i]
		x.grants = slices.DeleteFunc(x.grants, func(g issuedGrant) bool { return now >= g.expires })
		if now-x.demandReceivedAt > wantTTL {
			x.demand = wire.AccountDemand{}
		}
	}
	h.holders = slices.DeleteFunc(h.holders, func(x holder) bool {
		return len(x.grants) == 0 && now-x.demandReceivedAt > wantTTL
	})
}

// confirm drops the grants that the holder has replaced by a later one. The
// holder has received the replies with a lease up to the sequence acked.
func (x *holder) confirm(acked uint64) {
	latest := -1
	for i := range x.grants {
		if x.grants[i].sequence <= acked {
			latest = i
		}
	}
	if latest > 0 {
		x.grants = slices.Delete(x.grants, 0, latest)
	}
}

// maxHeld returns the most that the holder may use under any grant that it may
// hold.
func (x *holder) maxHeld() allowance {
	var most allowance
	for _, g := range x.grants {
		most.requests = max(most.requests, g.requests)
		most.tokens = max(most.tokens, g.tokens)
		most.concurrency = max(most.concurrency, g.concurrency)
	}
	return most
}

// totals sums what holders of an account may use.
type totals struct {
	requests, tokens float64
	concurrency      int64
}

func (h *homeAccount) heldByOthers(node wire.NodeID) totals {
	var s totals
	for i := range h.holders {
		if h.holders[i].node == node {
			continue
		}
		held := h.holders[i].maxHeld()
		s.requests += held.requests
		s.tokens += held.tokens
		s.concurrency += held.concurrency
	}
	return s
}

// inFlightBeyondGrants returns how many requests entries other than x have in
// flight in excess of the grants that they may hold. Grants expire and shrink
// while requests go on.
func (m *Core) inFlightBeyondGrants(h *homeAccount, x *holder) int64 {
	var beyond, own int64
	for i := range h.holders {
		other := &h.holders[i]
		switch other.node {
		case m.cfg.Self:
			own = other.maxHeld().concurrency
		case x.node:
		default:
			beyond += max(other.demand.InUse-other.maxHeld().concurrency, 0)
		}
	}
	if x.node != m.cfg.Self {
		beyond += max(m.inUse(x.demand.Account)-own, 0)
	}
	return beyond
}

// inUse returns the requests of an account that this entry has in flight.
func (m *Core) inUse(id wire.AccountID) int64 {
	if a := m.accounts.Get(id); a != nil {
		return a.inUse
	}
	return 0
}

// fairShare divides part, the backed fraction of the limits, by demand and
// returns the share of one holder.
func (m *Core) fairShare(h *homeAccount, part float64, node wire.NodeID) allowance {
	s := &m.divider
	index := 0
	pick := func(value func(*wire.AccountDemand) float64) []float64 {
		s.demands = s.demands[:0]
		for i := range h.holders {
			if h.holders[i].node == node {
				index = i
			}
			s.demands = append(s.demands, value(&h.holders[i].demand))
		}
		return s.demands
	}
	var share allowance
	demands := pick(func(w *wire.AccountDemand) float64 { return float64(w.MilliRequests) / milli })
	share.requests = s.divide(h.limits.RequestsPerSecond*part, demands)[index]
	demands = pick(func(w *wire.AccountDemand) float64 { return float64(w.Tokens) })
	share.tokens = s.divide(h.limits.TokensPerSecond*part, demands)[index]
	demands = pick(func(w *wire.AccountDemand) float64 { return float64(max(w.Concurrency, w.InUse)) })
	share.concurrency = int64(s.divideWhole(float64(h.limits.Concurrency)*part, demands)[index])
	return share
}

// allocate returns what one holder gets: its fair share, but no less
// concurrency than it has in use, and no more than free, which the other
// holders leave of part, the backed fraction of the limits.
func (m *Core) allocate(h *homeAccount, part float64, x *holder) (share, free allowance) {
	others := h.heldByOthers(x.node)
	others.concurrency += m.inFlightBeyondGrants(h, x)
	whole := int64(math.Floor(float64(h.limits.Concurrency)*part + roundingSlack))
	free.requests = max(h.limits.RequestsPerSecond*part-others.requests, 0)
	free.tokens = max(h.limits.TokensPerSecond*part-others.tokens, 0)
	free.concurrency = max(whole-others.concurrency, 0)
	share = m.fairShare(h, part, x.node)
	share.requests = min(share.requests, free.requests)
	share.tokens = min(share.tokens, free.tokens)
	share.concurrency = min(max(share.concurrency, x.demand.InUse), free.concurrency)
	return share, free
}

// grantSelf grants part of an account to this entry, its home. The grant lasts
// for one period only, so that a peer soon gets its part.
func (m *Core) grantSelf(now time.Duration, a *account) {
	h := m.homeAccount(now, a.id)
	h.expire(now, demandPeriods*m.period())
	x := h.holder(m.cfg.Self)
	x.demand = a.measureDemand(now, m.period())
	x.demand.InUse = a.inUse
	x.demand.Concurrency = max(x.demand.Concurrency, a.peak, a.inUse+1)
	x.demand.MilliRequests = max(x.demand.MilliRequests, milli)
	x.demandReceivedAt = now
	share, _ := m.allocate(h, m.backingUntil(now, now+m.period()).fractionFor(m, a.id), x)
	m.setSelfGrant(now, a, x, share)
	m.checkTotals(now, a.id, h)
}

func (m *Core) setSelfGrant(now time.Duration, a *account, x *holder, share allowance) {
	share.expires = now + m.period()
	x.grants = append(x.grants[:0], issuedGrant{allowance: share})
	a.grant = share
	a.grantedBy = nil
	a.hasGrant = true
}

// checkTotals asserts that the grants of an account stay within its limits.
func (m *Core) checkTotals(now time.Duration, id wire.AccountID, h *homeAccount) {
	limit := h.limits
	if now < h.earlierUntil {
		limit = higherLimits(limit, h.earlier)
	}
	total := h.heldByOthers("") // all holders: no node has an empty name
	if total.requests <= limit.RequestsPerSecond*(1+roundingSlack) &&
		total.tokens <= limit.TokensPerSecond*(1+roundingSlack) &&
		total.concurrency <= limit.Concurrency {
		return
	}
	invariant.Fail("limits-grants", "account", id,
		"requests", total.requests, "tokens", total.tokens, "concurrency", total.concurrency,
		"limit", limit)
}
