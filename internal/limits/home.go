package limits

import (
	"math"
	"slices"
	"time"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/invariant"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// homeAccount is one account that is at home here.
type homeAccount struct {
	limits  declaration.Limits
	holders []holder

	// Grants made under earlier limits may be in use until earlierUntil.
	earlier      declaration.Limits
	earlierUntil time.Duration
}

// holder is one entry that uses the account.
type holder struct {
	node   wire.NodeID
	want   wire.GrantWant
	wanted time.Duration // when
	given  []given       // ascending by sequence
}

// given is one grant that the holder may use until it lapses, or until the
// holder has taken a later one.
type given struct {
	sequence uint64
	allowance
}

// backing is the part of every limit that this home may grant for a term.
type backing struct {
	all    float64 // of accounts whatever their earlier home
	stayed float64 // in addition, of accounts that kept their home
}

// backingUntil sums the shares that are promised to this home until the given
// time at least.
func (m *Core) backingUntil(now, until time.Duration) backing {
	var b backing
	if !m.sharing(now) || now < m.joinWait {
		return b
	}
	own := 1 / float64(len(m.view.members))
	if now >= m.frozenUntil {
		b.all = own
	} else {
		b.stayed = own
	}
	m.peers.Each(func(_ wire.NodeID, p *peer) bool {
		l := &p.lend
		if l.until < until || l.count == 0 {
			return true
		}
		share := 1 / float64(l.count)
		switch {
		case l.homes == m.view.homes.digest && l.moved == 0:
			b.all += share
		case m.prevHomes == nil:
		case l.homes == m.view.homes.digest && l.moved == m.prevHomes.digest,
			l.homes == m.prevHomes.digest && l.moved == 0:
			b.stayed += share
		}
		return true
	})
	return b
}

// of returns the part of an account's limits that may be granted.
func (b backing) of(m *Core, id wire.AccountID) float64 {
	part := b.all
	if b.stayed > 0 && m.stayed(id) {
		part += b.stayed
	}
	if part > 1-roundingSlack {
		return 1
	}
	return part
}

func (m *Core) homeAccount(now time.Duration, id wire.AccountID) *homeAccount {
	if h := m.homes.Get(id); h != nil {
		return h
	}
	m.unheld.Set(id, now+m.cfg.Idle)
	return m.homes.Put(id, homeAccount{limits: m.limitsOf(id)})
}

// expireHome drops a home account that nobody holds.
func (m *Core) expireHome(now time.Duration, id wire.AccountID) {
	h := m.homes.Get(id)
	if h == nil {
		return
	}
	h.expire(now, wantPeriods*m.period())
	if len(h.holders) == 0 {
		m.homes.Delete(id)
		return
	}
	m.unheld.Set(id, now+m.cfg.Idle)
}

// setLimits changes the limits; grants made under the old ones last until until.
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

// remove forgets a holder.
func (h *homeAccount) remove(node wire.NodeID) {
	h.holders = slices.DeleteFunc(h.holders, func(x holder) bool { return x.node == node })
}

// expire drops grants that have lapsed, wants that were not repeated, and
// holders that have neither.
func (h *homeAccount) expire(now, memory time.Duration) {
	for i := range h.holders {
		x := &h.holders[i]
		x.given = slices.DeleteFunc(x.given, func(g given) bool { return now >= g.until })
		if now-x.wanted > memory {
			x.want = wire.GrantWant{}
		}
	}
	h.holders = slices.DeleteFunc(h.holders, func(x holder) bool {
		return len(x.given) == 0 && now-x.wanted > memory
	})
}

// confirm drops grants that the holder has replaced by the latest one up to echo.
func (x *holder) confirm(echo uint64) {
	latest := -1
	for i := range x.given {
		if x.given[i].sequence <= echo {
			latest = i
		}
	}
	if latest > 0 {
		x.given = slices.Delete(x.given, 0, latest)
	}
}

// held returns the most that the holder may use under the grants that it may have.
func (x *holder) held() allowance {
	var most allowance
	for _, g := range x.given {
		most.requests = max(most.requests, g.requests)
		most.tokens = max(most.tokens, g.tokens)
		most.concurrency = max(most.concurrency, g.concurrency)
	}
	return most
}

// sums is the use of an account by its holders.
type sums struct {
	requests, tokens float64
	concurrency      int64
}

func (h *homeAccount) heldByOthers(node wire.NodeID) sums {
	var s sums
	for i := range h.holders {
		if h.holders[i].node == node {
			continue
		}
		held := h.holders[i].held()
		s.requests += held.requests
		s.tokens += held.tokens
		s.concurrency += held.concurrency
	}
	return s
}

// inFlightBeyond returns how many requests entries other than x have in flight
// beyond what the grants that they may have allow. Grants lapse and shrink
// while requests go on.
func (m *Core) inFlightBeyond(h *homeAccount, x *holder) int64 {
	var beyond, own int64
	for i := range h.holders {
		other := &h.holders[i]
		switch other.node {
		case m.cfg.Self:
			own = other.held().concurrency
		case x.node:
		default:
			beyond += max(other.want.InUse-other.held().concurrency, 0)
		}
	}
	if x.node != m.cfg.Self {
		beyond += max(m.inUse(x.want.Account)-own, 0)
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

// fairShare divides the backed part of the limits by demand and returns the
// share of one holder.
func (m *Core) fairShare(h *homeAccount, part float64, node wire.NodeID) allowance {
	s := &m.shares
	index := 0
	pick := func(value func(*wire.GrantWant) float64) []float64 {
		s.wants = s.wants[:0]
		for i := range h.holders {
			if h.holders[i].node == node {
				index = i
			}
			s.wants = append(s.wants, value(&h.holders[i].want))
		}
		return s.wants
	}
	var share allowance
	wants := pick(func(w *wire.GrantWant) float64 { return float64(w.MilliRequests) / milli })
	share.requests = s.divide(h.limits.RequestsPerSecond*part, wants)[index]
	wants = pick(func(w *wire.GrantWant) float64 { return float64(w.Tokens) })
	share.tokens = s.divide(h.limits.TokensPerSecond*part, wants)[index]
	wants = pick(func(w *wire.GrantWant) float64 { return float64(max(w.Concurrency, w.InUse)) })
	share.concurrency = int64(s.divideWhole(float64(h.limits.Concurrency)*part, wants)[index])
	return share
}

// allot returns what one holder gets: its fair share, but not less than it has
// in use, and not more than room, which the others leave of the backed part.
func (m *Core) allot(h *homeAccount, part float64, x *holder) (share, room allowance) {
	others := h.heldByOthers(x.node)
	others.concurrency += m.inFlightBeyond(h, x)
	whole := int64(math.Floor(float64(h.limits.Concurrency)*part + roundingSlack))
	room.requests = max(h.limits.RequestsPerSecond*part-others.requests, 0)
	room.tokens = max(h.limits.TokensPerSecond*part-others.tokens, 0)
	room.concurrency = max(whole-others.concurrency, 0)
	share = m.fairShare(h, part, x.node)
	share.requests = min(share.requests, room.requests)
	share.tokens = min(share.tokens, room.tokens)
	share.concurrency = min(max(share.concurrency, x.want.InUse), room.concurrency)
	return share, room
}

// grantSelf decides on the use of an account by this entry, its home. The grant
// lasts for a period only, so that a peer soon gets its part.
func (m *Core) grantSelf(now time.Duration, a *account) {
	h := m.homeAccount(now, a.id)
	h.expire(now, wantPeriods*m.period())
	x := h.holder(m.cfg.Self)
	x.want = a.measure(now, m.period())
	x.want.InUse = a.inUse
	x.want.Concurrency = max(x.want.Concurrency, a.peak, a.inUse+1)
	x.want.MilliRequests = max(x.want.MilliRequests, milli)
	x.wanted = now
	share, _ := m.allot(h, m.backingUntil(now, now+m.period()).of(m, a.id), x)
	m.setSelf(now, a, x, share)
	m.checkSums(now, a.id, h)
}

func (m *Core) setSelf(now time.Duration, a *account, x *holder, share allowance) {
	share.until = now + m.period()
	x.given = append(x.given[:0], given{allowance: share})
	a.grant = share
	a.grantedBy = nil
	a.granted = true
}

// checkSums asserts that the grants of an account stay within its limits.
func (m *Core) checkSums(now time.Duration, id wire.AccountID, h *homeAccount) {
	limit := h.limits
	if now < h.earlierUntil {
		limit = higherLimits(limit, h.earlier)
	}
	total := h.heldByOthers("")
	if total.requests <= limit.RequestsPerSecond*(1+roundingSlack) &&
		total.tokens <= limit.TokensPerSecond*(1+roundingSlack) &&
		total.concurrency <= limit.Concurrency {
		return
	}
	invariant.Fail("limits-grants", "account", id,
		"requests", total.requests, "tokens", total.tokens, "concurrency", total.concurrency,
		"limit", limit)
}
