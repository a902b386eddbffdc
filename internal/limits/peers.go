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

// view is the set of entries of the region as known here. It contains every
// entry that may use a share.
type view struct {
	members []wire.NodeID // sorted; includes this entry
	digest  uint64
	homes   homeSet
}

// homeSet is the set of entries that are home to accounts.
type homeSet struct {
	nodes  *membership.NodeSet[wire.NodeID]
	digest uint64
}

func (h *homeSet) homeOf(id wire.AccountID) wire.NodeID { return h.nodes.First(string(id)) }

// peer is the state kept for one other entry of the region.
type peer struct {
	node        wire.NodeID
	address     string
	listed      bool             // on the list of entries
	incarnation wire.Incarnation // latest known incarnation

	// The peer as the home of accounts that this entry serves.
	requests           sentTimes
	nextRequest        time.Duration
	lastReply          time.Duration // when its last reply arrived
	hasReplied         bool          // in its latest known incarnation, and since its transport last failed
	replySequence      uint64        // Sequence of its last reply
	promisedUntil      time.Duration // this entry's share is lent to it until then
	accounts           []*account    // accounts whose home it is
	receivedSession    uint64        // session of the grants received from it
	grantsUntil        time.Duration // when the grants of receivedSession expire
	leaseReplySequence uint64        // Sequence of the last reply with a lease
	acceptedRequest    uint64        // Sequence of the last request whose demands it has recorded
	ackedMembers       uint64        // digest of the members in its last reply before this entry joined

	// The peer as a holder of grants from this home, and as a lender.
	requestSequence uint64 // Sequence of its last request
	ackedLeaseReply uint64 // Sequence of the last reply with a lease that it has received
	issuedSession   uint64 // session of the grants that it holds
	heldAccounts    []wire.AccountID
	heldUntil       time.Duration // when those grants expire
	replies         sentTimes
	lending         lending
	waitUntil       time.Duration // until then the peer must not use its share
}

// lending is the share of a peer that is promised to this entry.
type lending struct {
	until        time.Duration // end of the promise
	entries      uint32        // entries among which the peer divides the limits
	homes        uint64        // digest of the home set for which the promise was made
	unmovedSince uint64        // 0: all accounts; otherwise only those that kept their home since the home set with this digest
}

// sentTimes numbers messages and records when the last sentHistory of them were
// sent.
type sentTimes struct {
	last  uint64
	times [sentHistory]time.Duration
}

func (s *sentTimes) next(now time.Duration) uint64 {
	s.last++
	s.times[s.last%sentHistory] = now
	return s.last
}

func (s *sentTimes) sentAt(sequence uint64) (time.Duration, bool) {
	if sequence == 0 || sequence > s.last || sequence+sentHistory <= s.last {
		return 0, false
	}
	return s.times[sequence%sentHistory], true
}

// SetPeers updates the list of entries; it is called after each read of the
// list. Entries that merely do not answer must stay on it: they may still use
// their share.
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
			m.removalTimers.Set(node, now+m.membershipGrace())
		}
		return true
	})
	m.updateView(now)
	m.lastActive = now
	m.staleUntil = 0
	if m.latestJoin == 0 {
		m.earliestJoin = now + m.cfg.ListLag
		m.latestJoin = now + max(m.cfg.ListLag, m.membershipGrace())
	}
	m.tryJoin(now)
}

func (m *Core) addPeer(now time.Duration, node wire.NodeID, address string) {
	p := m.peers.Get(node)
	if p == nil {
		p = m.newPeer(now, node)
	}
	p.address = address
	p.listed = true
	m.removalTimers.Stop(node)
}

// ensurePeer returns the entry that sent a request, and adds it if it is unknown:
// it may use a share although it is not, or no longer, on the list. Each request
// of an unlisted entry postpones its removal.
func (m *Core) ensurePeer(now time.Duration, node wire.NodeID) *peer {
	p := m.peers.Get(node)
	if p == nil {
		p = m.newPeer(now, node)
		m.updateView(now)
	}
	if !p.listed {
		m.removalTimers.Set(node, now+m.membershipGrace())
	}
	return p
}

// newPeer adds an entry to peers; updateView has to follow. Until its waitUntil,
// shares may be in use that were divided without it.
func (m *Core) newPeer(now time.Duration, node wire.NodeID) *peer {
	waitUntil := max(m.lastPromiseEnd(), now+m.period()) // a grant to this entry itself lasts one period at most
	p := m.peers.Put(node, peer{node: node, waitUntil: waitUntil})
	m.scheduleRequest(p, now)
	return p
}

// lastPromiseEnd returns the end of the last promise or grant to another entry.
func (m *Core) lastPromiseEnd() time.Duration {
	last := max(m.lastGrantEnd, m.removedPromiseEnd)
	m.peers.Each(func(_ wire.NodeID, p *peer) bool {
		last = max(last, p.promisedUntil)
		return true
	})
	return last
}

func (m *Core) removeExpiredPeers(now time.Duration) {
	expired := false
	for {
		node, ok := m.removalTimers.Pop(now)
		if !ok {
			break
		}
		if p := m.peers.Get(node); p != nil {
			m.removedPromiseEnd = max(m.removedPromiseEnd, p.promisedUntil)
		}
		m.peers.Delete(node)
		m.requestTimers.Stop(node)
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
	homes := membership.Pick(homesKey, members, m.cfg.MaxHomes)
	slices.Sort(homes)
	m.view.homes = homeSet{nodes: membership.NewNodeSet(homes), digest: digestNodes(homes)}
	if m.view.homes.digest != old.homes.digest {
		m.changeHomes(now, old.homes)
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

// changeHomes reassigns the accounts after a change of the homes and schedules
// requests to the new ones. It freezes the shares of the moved accounts, or of
// all accounts if an earlier change is still frozen, until no promise to an old
// home remains.
func (m *Core) changeHomes(now time.Duration, old homeSet) {
	promised := m.lastPromiseEnd()
	stillFrozen := now < m.frozenUntil
	m.frozenUntil = max(m.frozenUntil, promised)
	m.prevHomes = nil
	if !stillFrozen && now < m.frozenUntil && old.nodes != nil {
		m.prevHomes = &old
	}
	m.reassignHomes()
	for _, node := range m.view.homes.nodes.Nodes() {
		if p := m.peers.Get(node); p != nil {
			m.requestSoon(now, p, 0)
		}
	}
}

// reassignHomes assigns every account to its present home, and drops the home
// state of the accounts whose home this entry no longer is.
func (m *Core) reassignHomes() {
	m.peers.Each(func(_ wire.NodeID, p *peer) bool {
		p.accounts = p.accounts[:0]
		p.heldAccounts = slices.DeleteFunc(p.heldAccounts, func(id wire.AccountID) bool { return m.view.homes.homeOf(id) != m.cfg.Self })
		return true
	})
	m.accounts.Each(func(_ wire.AccountID, a *account) bool {
		m.assignHome(a)
		return true
	})
	m.homeAccounts.Each(func(id wire.AccountID, _ *homeAccount) bool {
		if m.view.homes.homeOf(id) != m.cfg.Self {
			m.homeAccounts.Delete(id)
		}
		return true
	})
}

// keptHome reports whether the account has the same home as in prevHomes. It
// returns false if prevHomes is nil.
func (m *Core) keptHome(id wire.AccountID) bool {
	return m.prevHomes != nil && m.prevHomes.homeOf(id) == m.view.homes.homeOf(id)
}

// ownShareFree reports whether this entry may use its own share of the account:
// the other entries count this entry, its list is recent enough, and no earlier
// home may still hold the share. The caller checks for a promise to the present
// home.
func (m *Core) ownShareFree(now time.Duration, id wire.AccountID) bool {
	return m.canShare(now) && (now >= m.frozenUntil || m.keptHome(id))
}

// tryJoin lets this entry use its share once every running entry has had time
// to learn of it and it of them, and every other member has reported how long
// earlier promises bind, or those have ended.
func (m *Core) tryJoin(now time.Duration) {
	if m.joined || m.latestJoin == 0 || now < m.joinTime() {
		return
	}
	m.joined = true
	// Until waitUntil, shares divided without this entry may be in use, whatever
	// the home: freeze the shares of all accounts.
	m.prevHomes = nil
	m.frozenUntil = max(m.frozenUntil, m.waitUntil)
}

// joinTime returns when this entry joins as far as known now.
func (m *Core) joinTime() time.Duration {
	if m.allAcked() {
		return m.earliestJoin
	}
	return m.latestJoin
}

func (m *Core) allAcked() bool {
	all := true
	m.peers.Each(func(_ wire.NodeID, p *peer) bool {
		all = p.ackedMembers == m.view.digest
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

// reachable reports whether the peer has replied within the last one and a half
// periods and its transport has not failed since.
func (m *Core) reachable(now time.Duration, p *peer) bool {
	return p.hasReplied && now-p.lastReply < m.period()+m.period()/2
}

// Home returns the home entry of an account, or "" before SetPeers.
func (m *Core) Home(id wire.AccountID) wire.NodeID {
	if m.view.homes.nodes == nil {
		return ""
	}
	return m.view.homes.homeOf(id)
}
