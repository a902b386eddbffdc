package limits

import (
	"slices"
	"time"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// A value counts as changed, and is worth a message, if it differs by more than
// both of these fractions, or if only one of the two values is zero.
const (
	changeOfValue = 0.25 // of the larger value
	changeOfLimit = 0.05 // of the account's limit
)

// validUntil returns when the account's grant expires.
func (a *account) validUntil() time.Duration {
	if a.grantedBy != nil {
		return a.grantedBy.grantsUntil
	}
	return a.grant.expires
}

// detach removes the grant from its session: it is no longer renewed, and the
// demand is sent again to the next home.
func (a *account) detach() {
	a.grant.expires = a.validUntil()
	a.grantedBy = nil
	a.hasGrant = false
	a.sentSequence = 0
}

// dropSession voids the grants of the present session with a home that no
// longer knows them.
func (m *Core) dropSession(now time.Duration, p *peer) {
	for _, a := range p.accounts {
		if a.grantedBy == p {
			a.grant = allowance{}
			a.grantedBy = nil
			a.hasGrant = false
		}
		a.sentSequence = 0
	}
	if len(p.accounts) > 0 {
		m.requestSoon(now, p, retryDelay)
	}
}

// mustSendDemand reports whether a demand has to be sent: the home may not have
// received it, it has changed, or more is in use than the grant allows.
func (a *account) mustSendDemand(p *peer, w wire.AccountDemand) bool {
	return a.sentSequence == 0 || a.sentSequence > p.acceptedRequest ||
		w.InUse > a.grant.concurrency || a.sentDemand.InUse > a.grant.concurrency ||
		differs(float64(w.MilliRequests), float64(a.sentDemand.MilliRequests), a.limits.RequestsPerSecond*milli) ||
		differs(float64(w.Tokens), float64(a.sentDemand.Tokens), a.limits.TokensPerSecond) ||
		differs(float64(w.Concurrency), float64(a.sentDemand.Concurrency), float64(a.limits.Concurrency)) ||
		differs(float64(w.InUse), float64(a.sentDemand.InUse), float64(a.limits.Concurrency))
}

// differs reports whether two values differ enough to be worth a message.
func differs(a, b, limit float64) bool {
	if (a == 0) != (b == 0) {
		return true
	}
	return max(a-b, b-a) > max(changeOfValue*max(a, b), changeOfLimit*limit)
}

// endSession drops a peer's grants, which have expired, and starts a new
// session.
func (m *Core) endSession(p *peer) {
	for _, id := range p.heldAccounts {
		if h := m.homeAccounts.Get(id); h != nil {
			h.remove(p.node)
		}
	}
	p.heldAccounts = nil
	p.issuedSession++
}

// recordDemand records what a peer wants of one account.
func (m *Core) recordDemand(now time.Duration, p *peer, w wire.AccountDemand) {
	h := m.homeAccount(now, w.Account)
	x := h.holder(p.node)
	x.demand, x.demandReceivedAt = w, now
	if !slices.Contains(p.heldAccounts, w.Account) {
		p.heldAccounts = append(p.heldAccounts, w.Account)
	}
}

// renewGrants decides on all grants of a peer, and adds to the reply those that
// it has requested or may not have received.
func (m *Core) renewGrants(now time.Duration, p *peer, demands []wire.AccountDemand, reply *wire.GrantReply) {
	b := m.backingUntil(now, p.heldUntil)
	kept := p.heldAccounts[:0]
	for _, id := range p.heldAccounts {
		h := m.homeAccount(now, id)
		h.expire(now, demandPeriods*m.period())
		x := h.holder(p.node)
		x.confirm(p.ackedLeaseReply)
		if x.released(p.ackedLeaseReply) {
			h.remove(p.node)
			continue
		}
		kept = append(kept, id)
		m.renewGrant(now, p, h, x, b.fractionFor(m, id), reply.Sequence)
		m.checkTotals(now, id, h)
		g := &x.grants[len(x.grants)-1]
		asked := slices.ContainsFunc(demands, func(w wire.AccountDemand) bool { return w.Account == id })
		if asked || g.sequence > p.ackedLeaseReply {
			reply.Grants = append(reply.Grants, g.wire(id))
		}
	}
	p.heldAccounts = kept
}

// released reports whether the holder wants nothing and has confirmed that it
// holds nothing. It has received the replies with a lease up to the sequence
// acked.
func (x *holder) released(acked uint64) bool {
	return x.idle() && len(x.grants) == 1 && x.grants[0].sequence <= acked && x.grants[0].empty()
}

// idle reports whether the holder has withdrawn its demand.
func (x *holder) idle() bool {
	return x.demand == wire.AccountDemand{Account: x.demand.Account}
}

func (g *issuedGrant) empty() bool {
	return g.requests == 0 && g.tokens == 0 && g.concurrency == 0
}

func (g *issuedGrant) wire(id wire.AccountID) wire.Grant {
	return wire.Grant{
		Account:       id,
		MilliRequests: uint64(g.requests * milli),
		Tokens:        uint64(g.tokens),
		Concurrency:   g.concurrency,
	}
}

// renewGrant extends the holder's grant to the end of the session, or replaces
// it if it is no longer backed or its fair share has changed.
func (m *Core) renewGrant(now time.Duration, p *peer, h *homeAccount, x *holder, part float64, sequence uint64) {
	x.demandReceivedAt = now
	share, free := m.allocate(h, part, x)
	if x.idle() {
		share = allowance{}
	}
	if n := len(x.grants); n > 0 && x.grants[n-1].fitsIn(free) && x.grants[n-1].closeTo(share, h.limits) {
		x.grants[n-1].expires = p.heldUntil
		return
	}
	share.expires = p.heldUntil
	x.grants = append(x.grants, issuedGrant{sequence: sequence, allowance: share})
}

// fitsIn reports whether the allowance fits into what is free for the holder.
func (al *allowance) fitsIn(free allowance) bool {
	return al.requests <= free.requests && al.tokens <= free.tokens && al.concurrency <= free.concurrency
}

// closeTo reports whether the allowance differs too little from the fair share
// to replace it.
func (al *allowance) closeTo(share allowance, l declaration.Limits) bool {
	return !differs(al.requests, share.requests, l.RequestsPerSecond) &&
		!differs(al.tokens, share.tokens, l.TokensPerSecond) &&
		!differs(float64(al.concurrency), float64(share.concurrency), float64(l.Concurrency))
}
