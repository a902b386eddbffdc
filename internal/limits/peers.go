package limits

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoilpath.org/trefoilpath/internal/membership"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// homesKey is the rendezvous key by which the home entries are chosen.
const homesKey = "limits/homes"

// sentHistory is the number of messages to a peer whose sending time is kept.
const sentHistory = 8

// view is what this entry takes for the entries of its region. It contains each
// entry that may use a share.
type view struct {
	members []wire.NodeID // sorted, with this entry
	digest  uint64
	homes   homeSet
}

// homeSet is the set of entries that are home to accounts.
type homeSet struct {
	ring   *membership.Ring[wire.NodeID]
	digest uint64
}

func (h *homeSet) of(id wire.AccountID) wire.NodeID { return h.ring.First(string(id)) }

// peer is one other entry.
type peer struct {
	node    wire.NodeID
	address string
	listed  bool
	life    wire.Incarnation // latest known

	// The peer as a home of ours.
	requests    sentTimes
	nextRequest time.Duration
	answered    time.Duration // when its last reply came
	hasReplied  bool          // within its present life, as far as known
	reply       uint64        // Sequence of that reply
	promised    time.Duration // our share is lent until then
	accounts    []*account    // at home there
	session     uint64        // of the grants that we hold
	until       time.Duration // when the grants of the session lapse
	applied     uint64        // Sequence of the last reply with a lease
	taken       uint64        // Sequence of the last request whose wants it has taken
	acked       uint64        // digest of the members that it has confirmed

	// The peer as a borrower and lender.
	request uint64 // Sequence of its last request
	echo    uint64 // Sequence of the last reply with a lease that it took
	given   uint64 // session of the grants that it holds
	holds   []wire.AccountID
	ends    time.Duration // when those grants lapse
	replies sentTimes
	lend    lending
	bound   time.Duration // until then the peer waits before it uses its share
}

// lending is the share of a peer that is promised to us.
type lending struct {
	until time.Duration
	count uint32 // entries among which the peer divides the limits
	homes uint64 // digest of the homes that the promise was made for
	moved uint64 // not zero: only accounts that kept their home since that set
}

// sentTimes numbers messages and remembers when the last ones were sent.
type sentTimes struct {
	last uint64
	at   [sentHistory]time.Duration
}

func (s *sentTimes) next(now time.Duration) uint64 {
	s.last++
	s.at[s.last%sentHistory] = now
	return s.last
}

func (s *sentTimes) when(sequence uint64) (time.Duration, bool) {
	if sequence == 0 || sequence > s.last || sequence+sentHistory <= s.last {
		return 0, false
	}
	return s.at[sequence%sentHistory], true
}

// SetPeers takes the list of entries each time that it has been read. Entries
// that merely do not answer must stay on it: they may still use their share.
func (m *Core) SetPeers(now time.Duration, peers []Peer) {
	listed := make(map[wire.NodeID]bool, len(peers))
	for _, p := range peers {
		if p.Region != m.cfg.Region || p.Node == m.cfg.Self {
			continue
		}
		listed[p.Node] = true
		m.addPeer(now, p.Node, p.Address)
	}
	m.peers.Each(func(node wire.NodeID, p *peer) bool {
		if p.listed && !listed[node] {
			p.listed = false
			m.gone.Set(node, now+m.settle())
		}
		return true
	})
	m.updateView(now)
	m.active = now
	m.stale = 0
	if m.joinBy == 0 {
		m.joinFrom = now + m.cfg.ListLag
		m.joinBy = now + max(m.cfg.ListLag, m.settle())
	}
	m.join(now)
}

func (m *Core) addPeer(now time.Duration, node wire.NodeID, address string) {
	p := m.peers.Get(node)
	if p == nil {
		p = m.newPeer(now, node)
	}
	p.address = address
	p.listed = true
	m.gone.Stop(node)
}

// heard counts an entry that is not on the list, or not any more, but sends
// requests and so may use a share.
func (m *Core) heard(now time.Duration, node wire.NodeID) *peer {
	p := m.peers.Get(node)
	if p == nil {
		p = m.newPeer(now, node)
		m.updateView(now)
	}
	if !p.listed {
		m.gone.Set(node, now+m.settle())
	}
	return p
}

// newPeer counts an entry from now on. Until bound, shares may be in use that
// were divided without it.
func (m *Core) newPeer(now time.Duration, node wire.NodeID) *peer {
	bound := max(m.lastPromise(), now+m.period()) // grants to this entry itself included
	p := m.peers.Put(node, peer{node: node, bound: bound})
	m.scheduleRequest(p, now)
	return p
}

// lastPromise returns the end of the last promise or grant to another entry.
func (m *Core) lastPromise() time.Duration {
	last := max(m.selfPromise, m.gonePromise)
	m.peers.Each(func(_ wire.NodeID, p *peer) bool {
		last = max(last, p.promised)
		return true
	})
	return last
}

func (m *Core) expireMembers(now time.Duration) {
	expired := false
	for {
		node, ok := m.gone.Pop(now)
		if !ok {
			break
		}
		if p := m.peers.Get(node); p != nil {
			m.gonePromise = max(m.gonePromise, p.promised)
		}
		m.peers.Delete(node)
		m.sends.Stop(node)
		expired = true
	}
	if expired {
		m.updateView(now)
	}
}

// updateView recomputes the view after a change of the members.
func (m *Core) updateView(now time.Duration) {
	members := append(m.peers.Keys(), m.cfg.Self)
	slices.Sort(members)
	digest := digestNodes(members)
	if digest == m.view.digest {
		return
	}
	old := m.view
	m.view = view{members: members, digest: digest}
	homes := membership.Pick(homesKey, members, m.cfg.Homes)
	slices.Sort(homes)
	m.view.homes = homeSet{ring: membership.NewRing(homes), digest: digestNodes(homes)}
	if m.view.homes.digest != old.homes.digest {
		m.homesChanged(now, old.homes)
	}
}

func digestNodes(nodes []wire.NodeID) uint64 {
	d := xxhash.New()
	for _, n := range nodes {
		d.WriteString(string(n))
		d.Write([]byte{0})
	}
	return d.Sum64()
}

// homesChanged freezes the shares of the accounts that have a new home until no
// promise to an old one is left.
func (m *Core) homesChanged(now time.Duration, old homeSet) {
	promised := m.lastPromise()
	stillFrozen := now < m.frozenUntil
	m.frozenUntil = max(m.frozenUntil, promised)
	m.prevHomes = nil
	if !stillFrozen && now < m.frozenUntil && old.ring != nil {
		m.prevHomes = &old
	}
	m.rehome()
	for _, node := range m.view.homes.ring.Nodes() {
		if p := m.peers.Get(node); p != nil {
			m.requestSoon(now, p, 0)
		}
	}
}

// rehome assigns every account to its present home.
func (m *Core) rehome() {
	m.peers.Each(func(_ wire.NodeID, p *peer) bool {
		p.accounts = p.accounts[:0]
		p.holds = slices.DeleteFunc(p.holds, func(id wire.AccountID) bool { return m.view.homes.of(id) != m.cfg.Self })
		return true
	})
	m.accounts.Each(func(_ wire.AccountID, a *account) bool {
		m.assignHome(a)
		return true
	})
	m.homes.Each(func(id wire.AccountID, _ *homeAccount) bool {
		if m.view.homes.of(id) != m.cfg.Self {
			m.homes.Delete(id)
		}
		return true
	})
}

// stayed reports whether the account kept its home at the last change.
func (m *Core) stayed(id wire.AccountID) bool {
	return m.prevHomes != nil && m.prevHomes.of(id) == m.view.homes.of(id)
}

// ownFree reports whether the own share of the account may be lent or granted:
// the other entries count this one, and no earlier home may still hold it.
func (m *Core) ownFree(now time.Duration, id wire.AccountID) bool {
	return m.sharing(now) && (now >= m.frozenUntil || m.stayed(id))
}

// join lets this entry use its share once every entry that runs has had time to
// hear of it and it of them, and every other member has told how long earlier
// promises bind, or those have ended.
func (m *Core) join(now time.Duration) {
	if m.joined || m.joinBy == 0 || now < m.joinDue() {
		return
	}
	m.joined = true
	m.prevHomes = nil
	m.frozenUntil = max(m.frozenUntil, m.joinWait)
}

// joinDue returns when this entry joins by what it knows now.
func (m *Core) joinDue() time.Duration {
	if m.allAcked() {
		return m.joinFrom
	}
	return m.joinBy
}

func (m *Core) allAcked() bool {
	all := true
	m.peers.Each(func(_ wire.NodeID, p *peer) bool {
		all = p.acked == m.view.digest
		return all
	})
	return all
}

// PeerDown records that the transport to a peer failed.
func (m *Core) PeerDown(now time.Duration, node wire.NodeID) {
	if p := m.peers.Get(node); p != nil {
		p.hasReplied = false
		m.scheduleRequest(p, now+m.period())
	}
}

// reachable reports whether the peer has answered in the last exchange.
func (m *Core) reachable(now time.Duration, p *peer) bool {
	return p.hasReplied && now-p.answered < m.period()+m.period()/2
}

// Home returns the entry at which an account is at home.
func (m *Core) Home(id wire.AccountID) wire.NodeID {
	if m.view.homes.ring == nil {
		return ""
	}
	return m.view.homes.of(id)
}
