package limits

import (
	"slices"
	"time"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Parts of a rate that count as a change worth a message.
const (
	changeOfValue = 0.25 // of the larger value
	changeOfLimit = 0.05 // of the account's limit
)

// validUntil returns when the account's grant lapses.
func (a *account) validUntil() time.Duration {
	if a.grantedBy != nil {
		return a.grantedBy.until
	}
	return a.grant.until
}

// detach takes the grant out of its session: it is not renewed any more, and the
// want is sent again to whoever is home next.
func (a *account) detach() {
	a.grant.until = a.validUntil()
	a.grantedBy = nil
	a.granted = false
	a.sentIn = 0
}

// dropSession voids the grants of the present session with a home, which does
// not know of them any more.
func (m *Core) dropSession(now time.Duration, p *peer) {
	for _, a := range p.accounts {
		if a.grantedBy == p {
			a.grant = allowance{}
			a.grantedBy = nil
			a.granted = false
		}
		a.sentIn = 0
	}
	if len(p.accounts) > 0 {
		m.requestSoon(now, p, askAgain)
	}
}

// mustList reports whether a want has to be sent: the home may not have heard it,
// it has changed, or more is in use than the grant allows.
func (a *account) mustList(p *peer, w wire.GrantWant) bool {
	return a.sentIn == 0 || a.sentIn > p.taken ||
		w.InUse > a.grant.concurrency || a.sent.InUse > a.grant.concurrency ||
		changed(float64(w.MilliRequests), float64(a.sent.MilliRequests), a.limits.RequestsPerSecond*milli) ||
		changed(float64(w.Tokens), float64(a.sent.Tokens), a.limits.TokensPerSecond) ||
		changed(float64(w.Concurrency), float64(a.sent.Concurrency), float64(a.limits.Concurrency)) ||
		changed(float64(w.InUse), float64(a.sent.InUse), float64(a.limits.Concurrency))
}

// changed reports whether two values differ enough to be worth a message.
func changed(a, b, limit float64) bool {
	if (a == 0) != (b == 0) {
		return true
	}
	return max(a-b, b-a) > max(changeOfValue*max(a, b), changeOfLimit*limit)
}

// endSession forgets that the peer holds grants: they have lapsed.
func (m *Core) endSession(p *peer) {
	for _, id := range p.holds {
		if h := m.homes.Get(id); h != nil {
			h.remove(p.node)
		}
	}
	p.holds = nil
	p.given++
}

// takeWant records what a peer wants of one account.
func (m *Core) takeWant(now time.Duration, p *peer, w wire.GrantWant) {
	h := m.homeAccount(now, w.Account)
	x := h.holder(p.node)
	x.want, x.wanted = w, now
	if !slices.Contains(p.holds, w.Account) {
		p.holds = append(p.holds, w.Account)
	}
}

// renew decides on all grants of a peer, and lists those that it has asked for
// or may not have heard of.
func (m *Core) renew(now time.Duration, p *peer, wants []wire.GrantWant, reply *wire.GrantReply) {
	b := m.backingUntil(now, p.ends)
	kept := p.holds[:0]
	for _, id := range p.holds {
		h := m.homeAccount(now, id)
		h.expire(now, wantPeriods*m.period())
		x := h.holder(p.node)
		x.confirm(p.echo)
		if x.released(p.echo) {
			h.remove(p.node)
			continue
		}
		kept = append(kept, id)
		m.renewGrant(now, p, h, x, b.of(m, id), reply.Sequence)
		m.checkSums(now, id, h)
		g := &x.given[len(x.given)-1]
		asked := slices.ContainsFunc(wants, func(w wire.GrantWant) bool { return w.Account == id })
		if asked || g.sequence > p.echo {
			reply.Grants = append(reply.Grants, g.wire(id))
		}
	}
	p.holds = kept
}

// released reports whether the holder wants nothing and knows that it has nothing.
func (x *holder) released(echo uint64) bool {
	return x.idle() && len(x.given) == 1 && x.given[0].sequence <= echo && x.given[0].empty()
}

// idle reports whether the holder has withdrawn its want.
func (x *holder) idle() bool {
	return x.want == wire.GrantWant{Account: x.want.Account}
}

func (g *given) empty() bool {
	return g.requests == 0 && g.tokens == 0 && g.concurrency == 0
}

func (g *given) wire(id wire.AccountID) wire.Grant {
	return wire.Grant{
		Account:       id,
		MilliRequests: uint64(g.requests * milli),
		Tokens:        uint64(g.tokens),
		Concurrency:   g.concurrency,
	}
}

// renewGrant extends the holder's grant to the end of the session, or replaces it
// if it is not backed any more or its fair share has changed.
func (m *Core) renewGrant(now time.Duration, p *peer, h *homeAccount, x *holder, part float64, sequence uint64) {
	x.wanted = now
	share, room := m.allot(h, part, x)
	if x.idle() {
		share = allowance{}
	}
	if n := len(x.given); n > 0 && x.given[n-1].within(room) && x.given[n-1].near(share, h.limits) {
		x.given[n-1].until = p.ends
		return
	}
	share.until = p.ends
	x.given = append(x.given, given{sequence: sequence, allowance: share})
}

// within reports whether the allowance fits into what is left for the holder.
func (al *allowance) within(room allowance) bool {
	return al.requests <= room.requests && al.tokens <= room.tokens && al.concurrency <= room.concurrency
}

// near reports whether the allowance is as good as the fair share.
func (al *allowance) near(share allowance, l declaration.Limits) bool {
	return !changed(al.requests, share.requests, l.RequestsPerSecond) &&
		!changed(al.tokens, share.tokens, l.TokensPerSecond) &&
		!changed(float64(al.concurrency), float64(share.concurrency), float64(l.Concurrency))
}
