package spread

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

// convergeBound is the time within which an accepted revision is in force everywhere.
const convergeBound = 12 * time.Second

func everyone(*node) bool { return true }

func TestConverges(t *testing.T) {
	for _, nodes := range []int{1, 3, 30, 300} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			w := newWorld(t, 1, nodes, 3, 20)
			w.accept()
			w.run(convergeBound)
			w.requireConverged()
			for range 5 {
				w.accept()
				w.run(convergeBound)
				w.requireConverged()
			}
		})
	}
}

// TestStoreDiesRightAfterAcceptance takes the store away a moment after a few
// watchers have the new root.
func TestStoreDiesRightAfterAcceptance(t *testing.T) {
	for _, nodes := range []int{3, 30, 300} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			w := newWorld(t, 2, nodes, 3, 20)
			w.accept()
			w.run(convergeBound)
			w.accept()
			w.storeDown = true // the answers of the watches are under way
			w.run(convergeBound)
			w.requireConverged()
		})
	}
}

func TestConvergesOverLossyLinks(t *testing.T) {
	w := newWorld(t, 3, 30, 3, 200)
	w.eachLink(everyone, everyone, func(l *simnet.Link) {
		l.Delay, l.Lose, l.Duplicate, l.Reorder = 50*time.Millisecond, 0.1, 0.1, 0.1
	})
	for range 5 {
		w.accept()
		w.run(convergeBound)
		w.requireConverged()
	}
}

func TestRestartDuringOutageTakesRevisionFromPeers(t *testing.T) {
	w := newWorld(t, 4, 6, 3, 200)
	w.accept()
	w.run(convergeBound)
	w.storeDown = true
	w.run(time.Minute)
	n := w.nodes[2]
	n.down = true
	w.run(time.Second)
	n.start()
	if n.machine.Current() != nil {
		t.Fatal("a restarted entry has a revision at once")
	}
	w.run(defaultAnnounceEvery / 2)
	w.requireConverged()
	if s := n.machine.TakeSnapshot(); s == nil || s.Revision != w.accepted || len(s.Accounts) != len(w.lists.Plans.Accounts) {
		t.Errorf("the restarted entry took %+v", s)
	}
}

func TestAllEntriesRestartInOutageWithoutRevision(t *testing.T) {
	w := newWorld(t, 5, 3, 3, 20)
	w.accept()
	w.run(convergeBound)
	w.storeDown = true
	for _, n := range w.nodes {
		n.down = true
	}
	w.run(time.Second)
	for _, n := range w.nodes {
		n.start()
	}
	w.run(time.Minute)
	if w.nodes[0].machine.Current() != nil {
		t.Fatal("a revision came from nowhere")
	}
	w.storeDown = false
	w.run(2 * maxBackoff)
	w.requireConverged()
}

// TestPartition cuts one failure domain off from the others and the store.
func TestPartition(t *testing.T) {
	w := newWorld(t, 6, 30, 3, 20)
	w.accept()
	w.run(convergeBound)
	cut := func(n *node) bool { return n.domain == "domain-0" }
	rest := func(n *node) bool { return !cut(n) }
	w.eachLink(cut, rest, func(l *simnet.Link) { l.Cut = true })
	for _, n := range w.nodes {
		n.storeCut = cut(n)
	}
	for range 3 {
		w.accept()
		w.run(time.Minute)
	}
	if lagging := w.lagging(); len(lagging) != 10 {
		t.Fatalf("%v lag, want the failure domain that is cut off", lagging)
	}
	w.eachLink(cut, rest, func(l *simnet.Link) { l.Cut = false })
	w.run(convergeBound)
	w.requireConverged()
}

func TestEntryCutOffFromEverythingIsNotReachable(t *testing.T) {
	w := newWorld(t, 7, 4, 2, 20)
	w.accept()
	w.run(convergeBound)
	alone := w.nodes[0]
	w.eachLink(func(n *node) bool { return n == alone }, everyone, func(l *simnet.Link) { l.Cut = true })
	alone.storeCut = true
	w.run(defaultReachFor + defaultWatchFor)
	now := w.clock.Now()
	if alone.machine.Reachable(now) {
		t.Error("an entry that hears nobody counts as reachable")
	}
	if !w.nodes[1].machine.Reachable(now) {
		t.Error("an entry that hears peers does not count as reachable")
	}
	if alone.machine.Revision() != w.accepted {
		t.Error("the cut-off entry lost its revision")
	}
	alone.storeCut = false
	w.run(2 * maxBackoff)
	if !alone.machine.Reachable(w.clock.Now()) {
		t.Error("an entry that hears the store again does not count as reachable")
	}
}

func TestOnlyWatchersUseTheStore(t *testing.T) {
	w := newWorld(t, 8, 60, 3, 20)
	w.accept()
	w.run(time.Minute)
	before := w.store.Counts().Reads
	w.run(5 * time.Minute)
	reads := w.store.Counts().Reads - before
	most := 3 * defaultWatchers * int(5*time.Minute/defaultWatchFor+1)
	if reads > most {
		t.Errorf("%d reads in five quiet minutes, want at most %d", reads, most)
	}
	if len(w.waiting) > 3*defaultWatchers {
		t.Errorf("%d watches wait", len(w.waiting))
	}
}

// TestAnotherEntryWatchesWhenWatchersDie leaves the store within reach of one
// failure domain alone, whose watchers die.
func TestAnotherEntryWatchesWhenWatchersDie(t *testing.T) {
	w := newWorld(t, 9, 6, 2, 20)
	w.accept()
	w.run(convergeBound)
	for _, n := range w.nodes {
		n.storeCut = n.domain == "domain-1"
		n.down = n.domain == "domain-0" && n.machine.watch.watching
	}
	w.run(convergeBound)
	w.accept()
	w.run(convergeBound)
	w.requireConverged()
}

func TestEntryWithoutPeersReadsTheStore(t *testing.T) {
	w := newWorld(t, 12, 3, 1, 20)
	w.accept()
	w.run(convergeBound)
	i := slices.IndexFunc(w.nodes, func(n *node) bool { return !n.machine.watch.watching })
	w.eachLink(func(n *node) bool { return n == w.nodes[i] }, everyone, func(l *simnet.Link) { l.Cut = true })
	w.accept()
	w.run(defaultReachFor)
	w.requireConverged()
}

// TestNeverGoesBack offers earlier revisions in every way to an entry.
func TestNeverGoesBack(t *testing.T) {
	w := newWorld(t, 13, 2, 1, 20)
	w.accept()
	w.run(convergeBound)
	first := w.nodes[0].machine.state
	oldRoot := w.Do(context.Background(), store.Op{Kind: store.OpGet, Key: declaration.RootKey})
	w.accept()
	w.run(convergeBound)
	m := w.nodes[0].machine
	second := m.state
	now := w.clock.Now()

	m.startFetch(now, "entry-001", 3)
	m.FromPeer(now, "entry-001", wire.ToPeer{Chunks: &wire.Chunks{Root: first.EncodedRoot(), Bodies: first.Lacking(nil)}})
	m.FromPeer(now, "entry-001", wire.ToPeer{Difference: &wire.Difference{Body: declaration.EncodeDifference(second.Difference(first))}})
	m.FromPeer(now, "entry-001", wire.ToPeer{Announce: &wire.Announce{Revision: 1, Incarnation: 9}})
	m.onRoot(now, oldRoot.Value, oldRoot.Version+5) // the store was restored from a copy
	m.adopt(now, first)
	if m.Revision() != 2 || m.digest() != second.Digest() {
		t.Errorf("revision %d is in force", m.Revision())
	}
}

// TestLateAnnouncementOfEarlierLife delivers an announcement of an earlier
// incarnation after one of the present.
func TestLateAnnouncementOfEarlierLife(t *testing.T) {
	m := New(Config{Self: "a", FailureDomain: "d"})
	for _, a := range []wire.Announce{{Incarnation: 2, Revision: 1}, {Incarnation: 1, Revision: 7}} {
		m.FromPeer(0, "b", wire.ToPeer{Announce: &a})
	}
	if lag := m.Lag(0); len(lag) != 1 || lag[0].Revision != 1 {
		t.Errorf("lag is %+v", lag)
	}
}

func TestLagNamesWhoIsBehind(t *testing.T) {
	w := newWorld(t, 10, 3, 3, 20)
	w.accept()
	w.run(convergeBound)
	w.nodes[2].down = true
	w.accept()
	w.run(convergeBound)
	lag := w.nodes[0].machine.Lag(w.clock.Now())
	if len(lag) != 2 || lag[0].Revision != 2 || lag[0].Down || lag[1].Revision != 1 || !lag[1].Down {
		t.Errorf("lag is %+v", lag)
	}
}

func TestRevisionFarBehindTakesChunksOnly(t *testing.T) {
	w := newWorld(t, 11, 3, 3, 3_000)
	w.accept()
	w.run(convergeBound)
	behind := w.nodes[2]
	behind.storeCut = true
	w.eachLink(func(n *node) bool { return n == behind }, everyone, func(l *simnet.Link) { l.Cut = true })
	for range historyLen + 5 {
		w.accept()
		w.run(time.Second)
	}
	before := w.bytes
	w.eachLink(func(n *node) bool { return n == behind }, everyone, func(l *simnet.Link) { l.Cut = false })
	w.run(convergeBound)
	w.requireConverged()
	whole := 0
	for _, body := range behind.machine.state.Lacking(nil) {
		whole += len(body)
	}
	if used := w.bytes - before; used > whole*3/4 {
		t.Errorf("catching up took %d bytes, the whole lists take %d", used, whole)
	}
}

func TestLocalListsIgnoreStoreAndPeers(t *testing.T) {
	m := New(Config{Self: "a", FailureDomain: "d"})
	m.SetLocal(0, declaration.NewSnapshot(1, nil, nil, nil, nil))
	m.Tick(0)
	m.FromPeer(0, "b", wire.ToPeer{Announce: &wire.Announce{Revision: 9, FailureDomain: "d"}})
	if ops := m.TakeStore(); len(ops) != 0 {
		t.Errorf("store operations %v", ops)
	}
	if s := m.TakeSnapshot(); s == nil || s.Revision != 1 || m.TakeSnapshot() != nil || !m.Reachable(time.Hour) {
		t.Errorf("snapshot %+v", s)
	}
}
