package limits

import (
	"slices"
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// FromPeer takes a message from another entry. It reports false for messages
// that do not concern limits.
func (m *Core) FromPeer(now time.Duration, from wire.NodeID, msg wire.ToPeer) bool {
	m.wake(now)
	switch {
	case msg.GrantRequest != nil:
		m.handleRequest(now, from, msg.GrantRequest)
	case msg.GrantReply != nil:
		m.handleReply(now, from, msg.GrantReply)
	default:
		return false
	}
	return true
}

func (m *Core) isHome(node wire.NodeID) bool {
	_, found := slices.BinarySearch(m.view.homes.ring.Nodes(), node)
	return found
}

// requestSoon moves the next request to a home forward.
func (m *Core) requestSoon(now time.Duration, p *peer, gap time.Duration) {
	last, sent := p.requests.when(p.requests.last)
	at := now
	if sent {
		at = max(now, last+gap)
	}
	if at < p.nextRequest {
		m.scheduleRequest(p, at)
	}
}

func (m *Core) scheduleRequest(p *peer, at time.Duration) {
	p.nextRequest = at
	m.sends.Set(p.node, at)
}

// request sends the wants of the accounts at home at p, with the promise of our
// share. Other peers hear from us only until we have joined.
func (m *Core) request(now time.Duration, p *peer) {
	home := m.isHome(p.node)
	if m.joined && !home {
		p.nextRequest = never
		return
	}
	m.scheduleRequest(p, now+m.period())
	r := &wire.GrantRequest{
		Incarnation:     m.cfg.Incarnation,
		Sequence:        p.requests.next(now),
		Echo:            p.reply,
		EchoIncarnation: p.life,
		Applied:         p.applied,
		Count:           uint32(len(m.view.members)),
		Members:         m.view.digest,
		Homes:           m.view.homes.digest,
	}
	if home && m.reachable(now, p) {
		m.lend(now, p, r)
	}
	for _, a := range p.accounts {
		if w := a.measure(now, m.period()); a.mustList(p, w) {
			a.sent, a.sentIn = w, r.Sequence
			r.Wants = append(r.Wants, w)
		}
	}
	m.out = append(m.out, PeerMsg{Peer: p.node, Address: p.address, Msg: wire.ToPeer{GrantRequest: r}})
}

// lend promises our share of the accounts at home at p. Accounts that have
// changed their home are left out while an earlier promise may be in force.
func (m *Core) lend(now time.Duration, p *peer, r *wire.GrantRequest) {
	if !m.sharing(now) {
		return
	}
	if now < m.frozenUntil {
		if m.prevHomes == nil {
			return
		}
		r.Moved = m.prevHomes.digest
	}
	r.Lend = lendPeriods * m.period()
	p.promised = now + r.Lend
}

// handleRequest records what another entry lends and wants, and answers.
func (m *Core) handleRequest(now time.Duration, from wire.NodeID, r *wire.GrantRequest) {
	if m.view.homes.ring == nil {
		return
	}
	p := m.heard(now, from)
	if !m.meet(now, p, r.Incarnation) || r.Sequence <= p.request {
		return
	}
	p.request = r.Sequence
	m.takeLending(p, r)
	sequence := p.replies.next(now)
	reply := &wire.GrantReply{
		Incarnation:     m.cfg.Incarnation,
		Sequence:        sequence,
		Echo:            r.Sequence,
		EchoIncarnation: r.Incarnation,
		Members:         m.view.digest,
		Wait:            max(p.bound-now, 0),
	}
	if r.Homes == m.view.homes.digest {
		m.grantWants(now, p, r.Wants, reply)
	}
	m.out = append(m.out, PeerMsg{Peer: from, Address: p.address, Msg: wire.ToPeer{GrantReply: reply}})
}

// meet notes the life of the peer that sent a message. It reports false for a
// message from an earlier life. What an earlier life lent is forgotten; grants
// that rest on it, and grants that it gave to us, stay in use until they lapse.
func (m *Core) meet(now time.Duration, p *peer, life wire.Incarnation) bool {
	if life <= p.life {
		return life == p.life
	}
	if p.life != 0 {
		p.bound = max(p.bound, m.selfPromise, p.promised, now+m.period())
		for _, a := range p.accounts {
			p.bound = max(p.bound, a.validUntil())
			a.detach()
		}
	}
	p.life = life
	p.reply = 0
	p.applied = 0
	p.taken = 0
	p.session = 0
	p.hasReplied = false
	p.acked = 0
	p.request = 0
	p.echo = 0
	p.holds = nil // they lapse
	p.lend = lending{}
	return true
}

// takeLending records the promise in a request. Its term counts from when we
// sent the reply that the request echoes: the request was sent later than that.
func (m *Core) takeLending(p *peer, r *wire.GrantRequest) {
	if r.EchoIncarnation != m.cfg.Incarnation {
		return
	}
	sent, ok := p.replies.when(r.Echo)
	if !ok {
		return
	}
	p.echo = r.Applied
	if r.Lend <= 0 || r.Count == 0 {
		return
	}
	p.lend = lending{until: sent + r.Lend, count: r.Count, homes: r.Homes, moved: r.Moved}
}

// grantWants takes the wants and renews all grants that the peer holds here.
func (m *Core) grantWants(now time.Duration, p *peer, wants []wire.GrantWant, reply *wire.GrantReply) {
	if !m.sharing(now) || now < m.joinWait {
		return // grants of an earlier life may still be in use
	}
	if now >= p.ends {
		m.endSession(p)
	}
	for _, w := range wants {
		if m.view.homes.of(w.Account) == m.cfg.Self {
			m.takeWant(now, p, w)
		}
	}
	reply.Lease = leasePeriods * m.period()
	reply.Session = p.given
	if len(p.holds) == 0 {
		return
	}
	p.ends = now + reply.Lease
	m.selfPromise = max(m.selfPromise, p.ends)
	m.renew(now, p, wants, reply)
}

// handleReply takes grants. Their term counts from when we sent the request.
func (m *Core) handleReply(now time.Duration, from wire.NodeID, r *wire.GrantReply) {
	p := m.peers.Get(from)
	if p == nil || r.EchoIncarnation != m.cfg.Incarnation {
		return
	}
	sent, ok := p.requests.when(r.Echo)
	if !ok || !m.meet(now, p, r.Incarnation) || r.Sequence <= p.reply {
		return
	}
	p.reply = r.Sequence
	p.answered = now
	first := !p.hasReplied
	p.hasReplied = true
	if !m.joined {
		p.acked = r.Members
		m.joinWait = max(m.joinWait, now+r.Wait)
		m.join(now)
	}
	m.takeGrants(now, p, r, sent)
	if first && m.joined {
		m.scheduleRequest(p, now) // the first one could not lend
	}
}

func (m *Core) takeGrants(now time.Duration, p *peer, r *wire.GrantReply, sent time.Duration) {
	if r.Lease <= 0 {
		return // the wants were not taken either
	}
	if r.Session != p.session {
		m.dropSession(now, p)
		p.session = r.Session
	}
	p.applied = r.Sequence
	p.taken = r.Echo
	p.until = sent + r.Lease
	for _, g := range r.Grants {
		a := m.accounts.Get(g.Account)
		if a == nil || a.homePeer != p {
			continue
		}
		a.granted = true
		a.grantedBy = p
		a.grant = allowance{
			requests:    float64(g.MilliRequests) / milli,
			tokens:      float64(g.Tokens),
			concurrency: g.Concurrency,
		}
	}
}
