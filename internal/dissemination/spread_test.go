package dissemination

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/simnet"
	"trefoilpath.org/trefoilpath/internal/store"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// convergeBound is the time within which an accepted revision must be active at
// every entry.
const convergeBound = 12 * time.Second

func allNodes(*node) bool { return true }

func TestConverges(t *testing.T) {
	for _, nodes := range []int{1, 3, 30, 300} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			c := newCluster(t, 1, nodes, 3, 20)
			c.accept()
			c.run(convergeBound)
			c.requireConverged()
			for range 5 {
				c.accept()
				c.run(convergeBound)
				c.requireConverged()
			}
		})
	}
}

// TestStoreDiesRightAfterAcceptance takes the store down while its answers with
// the new root are on their way to the watchers.
func TestStoreDiesRightAfterAcceptance(t *testing.T) {
	for _, nodes := range []int{3, 30, 300} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			c := newCluster(t, 2, nodes, 3, 20)
			c.accept()
			c.run(convergeBound)
			c.accept()
			c.storeDown = true // the answers to the watches are on their way
			c.run(convergeBound)
			c.requireConverged()
		})
	}
}

func TestConvergesOverLossyLinks(t *testing.T) {
	c := newCluster(t, 3, 30, 3, 200)
	c.eachLink(allNodes, allNodes, func(l *simnet.Link) {
		l.Delay, l.Lose, l.Duplicate, l.Reorder = 50*time.Millisecond, 0.1, 0.1, 0.1
	})
	for range 5 {
		c.accept()
		c.run(convergeBound)
		c.requireConverged()
	}
}

func TestRestartDuringOutageTakesRevisionFromPeers(t *testing.T) {
	c := newCluster(t, 4, 6, 3, 200)
	c.accept()
	c.run(convergeBound)
	c.storeDown = true
	c.run(time.Minute)
	n := c.nodes[2]
	n.down = true
	c.run(time.Second)
	n.start()
	if n.core.Current() != nil {
		t.Fatal("a restarted entry has a revision before any message")
	}
	c.run(defaultAnnounceInterval / 2)
	c.requireConverged()
	if s := n.core.TakeSnapshot(); s == nil || s.Revision != c.accepted || len(s.Accounts) != len(c.lists.Plans.Accounts) {
		t.Errorf("the restarted entry took %+v, want revision %d with %d accounts", s, c.accepted, len(c.lists.Plans.Accounts))
	}
}

func TestAllEntriesRestartInOutageWithoutRevision(t *testing.T) {
	c := newCluster(t, 5, 3, 3, 20)
	c.accept()
	c.run(convergeBound)
	c.storeDown = true
	for _, n := range c.nodes {
		n.down = true
	}
	c.run(time.Second)
	for _, n := range c.nodes {
		n.start()
	}
	c.run(time.Minute)
	if c.nodes[0].core.Current() != nil {
		t.Fatal("an entry has a revision without a store or a peer that has it")
	}
	c.storeDown = false
	c.run(2 * maxBackoff)
	c.requireConverged()
}

// TestPartition cuts one failure domain off from the others and the store.
func TestPartition(t *testing.T) {
	c := newCluster(t, 6, 30, 3, 20)
	c.accept()
	c.run(convergeBound)
	cut := func(n *node) bool { return n.domain == "domain-0" }
	rest := func(n *node) bool { return !cut(n) }
	c.eachLink(cut, rest, func(l *simnet.Link) { l.Cut = true })
	for _, n := range c.nodes {
		n.storeCut = cut(n)
	}
	for range 3 {
		c.accept()
		c.run(time.Minute)
	}
	if lagging := c.lagging(); len(lagging) != 10 {
		t.Fatalf("%v lag behind, want the 10 entries of the failure domain that is cut off", lagging)
	}
	c.eachLink(cut, rest, func(l *simnet.Link) { l.Cut = false })
	c.run(convergeBound)
	c.requireConverged()
}

func TestEntryCutOffFromEverythingIsNotReachable(t *testing.T) {
	c := newCluster(t, 7, 4, 2, 20)
	c.accept()
	c.run(convergeBound)
	alone := c.nodes[0]
	c.eachLink(func(n *node) bool { return n == alone }, allNodes, func(l *simnet.Link) { l.Cut = true })
	alone.storeCut = true
	c.run(defaultContactTimeout + defaultWatchTimeout)
	now := c.clock.Now()
	if alone.core.Reachable(now) {
		t.Error("an entry without contact to store or peers counts as reachable")
	}
	if !c.nodes[1].core.Reachable(now) {
		t.Error("an entry in contact with peers does not count as reachable")
	}
	if alone.core.Revision() != c.accepted {
		t.Error("the cut-off entry lost its revision")
	}
	alone.storeCut = false
	c.run(2 * maxBackoff)
	if !alone.core.Reachable(c.clock.Now()) {
		t.Error("an entry that reaches the store again does not count as reachable")
	}
}

func TestOnlyWatchersUseTheStore(t *testing.T) {
	c := newCluster(t, 8, 60, 3, 20)
	c.accept()
	c.run(time.Minute)
	before := c.store.Counts().Reads
	c.run(5 * time.Minute)
	reads := c.store.Counts().Reads - before
	most := 3 * defaultWatchers * int(5*time.Minute/defaultWatchTimeout+1)
	if reads > most {
		t.Errorf("%d reads in five quiet minutes, want at most %d", reads, most)
	}
	if len(c.waiting) > 3*defaultWatchers {
		t.Errorf("%d watches in flight, more than there are watchers", len(c.waiting))
	}
}

// TestAnotherEntryWatchesWhenWatchersDie lets only one failure domain reach the
// store and stops that domain's watchers.
func TestAnotherEntryWatchesWhenWatchersDie(t *testing.T) {
	c := newCluster(t, 9, 6, 2, 20)
	c.accept()
	c.run(convergeBound)
	for _, n := range c.nodes {
		n.storeCut = n.domain == "domain-1"
		n.down = n.domain == "domain-0" && n.core.watch.watching
	}
	c.run(convergeBound)
	c.accept()
	c.run(convergeBound)
	c.requireConverged()
}

func TestEntryWithoutPeersReadsTheStore(t *testing.T) {
	c := newCluster(t, 12, 3, 1, 20)
	c.accept()
	c.run(convergeBound)
	i := slices.IndexFunc(c.nodes, func(n *node) bool { return !n.core.watch.watching })
	c.eachLink(func(n *node) bool { return n == c.nodes[i] }, allNodes, func(l *simnet.Link) { l.Cut = true })
	c.accept()
	c.run(defaultContactTimeout)
	c.requireConverged()
}

// TestRevisionNeverDecreases sends an entry earlier revisions by every kind of
// message and read.
func TestRevisionNeverDecreases(t *testing.T) {
	c := newCluster(t, 13, 2, 1, 20)
	c.accept()
	c.run(convergeBound)
	first := c.nodes[0].core.state
	oldRoot := c.Do(context.Background(), store.Op{Kind: store.OpGet, Key: declaration.RootKey})
	c.accept()
	c.run(convergeBound)
	m := c.nodes[0].core
	second := m.state
	now := c.clock.Now()

	m.startFetch(now, "entry-001", 3)
	m.FromPeer(now, "entry-001", wire.ToPeer{Chunks: &wire.Chunks{Root: first.EncodedRoot(), Bodies: first.BodiesNotIn(nil)}})
	m.FromPeer(now, "entry-001", wire.ToPeer{Difference: &wire.Difference{Body: declaration.EncodeDifference(second.Difference(first))}})
	m.FromPeer(now, "entry-001", wire.ToPeer{Announce: &wire.Announce{Revision: 1, Incarnation: 9}})
	m.onRootRecord(now, oldRoot.Value, oldRoot.Version+5) // the store was restored from a backup
	m.adopt(now, first)
	if m.Revision() != 2 || m.digest() != second.Digest() {
		t.Errorf("revision %d with digest %x is active, want 2 with %x", m.Revision(), m.digest(), second.Digest())
	}
}

// TestLateAnnouncementOfEarlierIncarnation delivers an announcement of an earlier
// incarnation after one of the current incarnation.
func TestLateAnnouncementOfEarlierIncarnation(t *testing.T) {
	m := New(Config{Self: "a", FailureDomain: "d"})
	for _, a := range []wire.Announce{{Incarnation: 2, Revision: 1}, {Incarnation: 1, Revision: 7}} {
		m.FromPeer(0, "b", wire.ToPeer{Announce: &a})
	}
	if peers := m.PeerStatuses(0); len(peers) != 1 || peers[0].Revision != 1 {
		t.Errorf("PeerStatuses returned %+v, want one peer with revision 1", peers)
	}
}

func TestLagReportsPeersBehind(t *testing.T) {
	c := newCluster(t, 10, 3, 3, 20)
	c.accept()
	c.run(convergeBound)
	c.nodes[2].down = true
	c.accept()
	c.run(convergeBound)
	peers := c.nodes[0].core.PeerStatuses(c.clock.Now())
	if len(peers) != 2 || peers[0].Revision != 2 || peers[0].Down || peers[1].Revision != 1 || !peers[1].Down {
		t.Errorf("PeerStatuses returned %+v, want a peer with revision 2 that is not down, then one with revision 1 that is", peers)
	}
}

func TestEntryFarBehindFetchesOnlyMissingChunks(t *testing.T) {
	c := newCluster(t, 11, 3, 3, 3_000)
	c.accept()
	c.run(convergeBound)
	behind := c.nodes[2]
	behind.storeCut = true
	c.eachLink(func(n *node) bool { return n == behind }, allNodes, func(l *simnet.Link) { l.Cut = true })
	for range historyLen + 5 {
		c.accept()
		c.run(time.Second)
	}
	before := c.bytes
	c.eachLink(func(n *node) bool { return n == behind }, allNodes, func(l *simnet.Link) { l.Cut = false })
	c.run(convergeBound)
	c.requireConverged()
	whole := 0
	for _, body := range behind.core.state.BodiesNotIn(nil) {
		whole += len(body)
	}
	if used := c.bytes - before; used > whole*3/4 {
		t.Errorf("catching up took %d bytes, want at most three quarters of the %d bytes of the whole lists", used, whole)
	}
}

func TestLocalListsIgnoreStoreAndPeers(t *testing.T) {
	m := New(Config{Self: "a", FailureDomain: "d"})
	m.SetLocal(0, declaration.NewSnapshot(1, nil, nil, nil, nil))
	m.Tick(0)
	m.FromPeer(0, "b", wire.ToPeer{Announce: &wire.Announce{Revision: 9, FailureDomain: "d"}})
	if ops := m.TakeStore(); len(ops) != 0 {
		t.Errorf("a Core with local declarations sent store operations %v", ops)
	}
	if s := m.TakeSnapshot(); s == nil || s.Revision != 1 || m.TakeSnapshot() != nil || !m.Reachable(time.Hour) {
		t.Errorf("TakeSnapshot returned %+v, want revision 1 once, and reachable", s)
	}
}
