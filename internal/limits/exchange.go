package limits

import (
	"slices"
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// HandlePeerMessage handles a message from another entry. It reports false for
// messages that do not concern limits.
func (m *Core) HandlePeerMessage(now time.Duration, from wire.NodeID, msg wire.ToPeer) bool {
	m.detectPause(now)
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
	_, found := slices.BinarySearch(m.view.homes.nodes.Nodes(), node)
	return found
}

// requestSoon moves the next request to a home to an earlier time: to now if
// possible, but no sooner than gap after the last one.
func (m *Core) requestSoon(now time.Duration, p *peer, gap time.Duration) {
	last, sent := p.requests.sentAt(p.requests.last)
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
	m.requestTimers.Set(p.node, at)
}

// request sends p the demands of the accounts whose home is p, with the promise
// of this entry's share if p is reachable: a share lent to an unreachable home
// would stay unused. Peers that are not homes get requests only until this entry
// has joined.
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
		Echo:            p.replySequence,
		EchoIncarnation: p.incarnation,
		Applied:         p.leaseReplySequence,
		MemberCount:     uint32(len(m.view.members)),
		MemberDigest:    m.view.digest,
		HomeDigest:      m.view.homes.digest,
	}
	if home && m.reachable(now, p) {
		m.addPromise(now, p, r)
	}
	for _, a := range p.accounts {
		if w := a.measureDemand(now, m.period()); a.mustSendDemand(p, w) {
			a.sentDemand, a.sentSequence = w, r.Sequence
			r.Demands = append(r.Demands, w)
		}
	}
	m.outbox = append(m.outbox, PeerMsg{Peer: p.node, Address: p.address, Msg: wire.ToPeer{GrantRequest: r}})
}

// addPromise promises p this entry's share of the accounts whose home is p.
// Accounts whose home has changed are left out while an earlier promise may be
// in effect. If prevHomes is nil then (this entry has just joined, or the homes
// changed again), nothing is promised until frozenUntil.
func (m *Core) addPromise(now time.Duration, p *peer, r *wire.GrantRequest) {
	if !m.canShare(now) {
		return
	}
	if now < m.frozenUntil {
		if m.prevHomes == nil {
			return
		}
		r.PrevHomeDigest = m.prevHomes.digest
	}
	r.LendFor = lendPeriods * m.period()
	p.promisedUntil = now + r.LendFor
}

// handleRequest records what another entry lends and wants, and replies with
// its grants.
func (m *Core) handleRequest(now time.Duration, from wire.NodeID, r *wire.GrantRequest) {
	if m.view.homes.nodes == nil {
		return
	}
	p := m.ensurePeer(now, from)
	if !m.noteIncarnation(now, p, r.Incarnation) || r.Sequence <= p.requestSequence {
		return
	}
	p.requestSequence = r.Sequence
	m.recordLending(p, r)
	sequence := p.replies.next(now)
	reply := &wire.GrantReply{
		Incarnation:     m.cfg.Incarnation,
		Sequence:        sequence,
		Echo:            r.Sequence,
		EchoIncarnation: r.Incarnation,
		MemberDigest:    m.view.digest,
		Wait:            max(p.waitUntil-now, 0),
	}
	if r.HomeDigest == m.view.homes.digest {
		m.grantDemands(now, p, r.Demands, reply)
	}
	m.outbox = append(m.outbox, PeerMsg{Peer: from, Address: p.address, Msg: wire.ToPeer{GrantReply: reply}})
}

// noteIncarnation records the incarnation of the peer that sent a message. It
// reports false for a message from an earlier incarnation. Shares lent by an
// earlier incarnation are dropped; grants backed by them, and grants that it
// gave to this entry, stay in use until they expire.
func (m *Core) noteIncarnation(now time.Duration, p *peer, incarnation wire.Incarnation) bool {
	if incarnation <= p.incarnation {
		return incarnation == p.incarnation
	}
	if p.incarnation != 0 {
		p.waitUntil = max(p.waitUntil, m.lastGrantEnd, p.promisedUntil, now+m.period())
		for _, a := range p.accounts {
			p.waitUntil = max(p.waitUntil, a.validUntil())
			a.detach()
		}
	}
	p.incarnation = incarnation
	p.replySequence = 0
	p.leaseReplySequence = 0
	p.acceptedRequest = 0
	p.receivedSession = 0
	p.hasReplied = false
	p.ackedMembers = 0
	p.requestSequence = 0
	p.ackedLeaseReply = 0
	p.heldAccounts = nil // its grants expire
	p.lending = lending{}
	return true
}

// recordLending records the promise in a request. Its term counts from when
// this entry sent the reply that the request echoes, which was before the
// request was sent.
func (m *Core) recordLending(p *peer, r *wire.GrantRequest) {
	if r.EchoIncarnation != m.cfg.Incarnation {
		return
	}
	sent, ok := p.replies.sentAt(r.Echo)
	if !ok {
		return
	}
	p.ackedLeaseReply = r.Applied
	if r.LendFor <= 0 || r.MemberCount == 0 {
		return
	}
	p.lending = lending{until: sent + r.LendFor, entries: r.MemberCount, homes: r.HomeDigest, unmovedSince: r.PrevHomeDigest}
}

// grantDemands records the demands and renews all grants that the peer holds
// from this entry.
func (m *Core) grantDemands(now time.Duration, p *peer, demands []wire.AccountDemand, reply *wire.GrantReply) {
	// This entry has not joined, its list is too old, or shares divided without it
	// or grants made by its earlier incarnation may still be in use.
	if !m.canShare(now) || now < m.waitUntil {
		return
	}
	if now >= p.heldUntil {
		m.endSession(p)
	}
	for _, w := range demands {
		if m.view.homes.homeOf(w.Account) == m.cfg.Self {
			m.recordDemand(now, p, w)
		}
	}
	reply.Lease = leasePeriods * m.period()
	reply.Session = p.issuedSession
	if len(p.heldAccounts) == 0 {
		return
	}
	p.heldUntil = now + reply.Lease
	m.lastGrantEnd = max(m.lastGrantEnd, p.heldUntil)
	m.renewGrants(now, p, demands, reply)
}

// handleReply records the grants of a reply. Their term counts from when this
// entry sent the request.
func (m *Core) handleReply(now time.Duration, from wire.NodeID, r *wire.GrantReply) {
	p := m.peers.Get(from)
	if p == nil || r.EchoIncarnation != m.cfg.Incarnation {
		return
	}
	sent, ok := p.requests.sentAt(r.Echo)
	if !ok || !m.noteIncarnation(now, p, r.Incarnation) || r.Sequence <= p.replySequence {
		return
	}
	p.replySequence = r.Sequence
	p.lastReply = now
	first := !p.hasReplied
	p.hasReplied = true
	if !m.joined {
		p.ackedMembers = r.MemberDigest
		m.waitUntil = max(m.waitUntil, now+r.Wait)
		m.tryJoin(now)
	}
	m.applyGrants(now, p, r, sent)
	if first && m.joined {
		m.scheduleRequest(p, now) // the first request could not lend: the peer had not replied
	}
}

func (m *Core) applyGrants(now time.Duration, p *peer, r *wire.GrantReply, sent time.Duration) {
	if r.Lease <= 0 {
		return // the home has not recorded the demands either
	}
	if r.Session != p.receivedSession {
		m.dropSession(now, p)
		p.receivedSession = r.Session
	}
	p.leaseReplySequence = r.Sequence
	p.acceptedRequest = r.Echo
	p.grantsUntil = sent + r.Lease
	for _, g := range r.Grants {
		a := m.accounts.Get(g.Account)
		if a == nil || a.homePeer != p {
			continue
		}
		a.hasGrant = true
		a.grantedBy = p
		a.grant = allowance{
			requests:    float64(g.MilliRequests) / milli,
			tokens:      float64(g.Tokens),
			concurrency: g.Concurrency,
		}
	}
}
