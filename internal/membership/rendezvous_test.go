package membership

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"trefoilpath.org/trefoilpath/internal/wire"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func nodeNames(n int) []wire.NodeID {
	nodes := make([]wire.NodeID, n)
	for i := range nodes {
		nodes[i] = wire.NodeID(fmt.Sprintf("entry-%d", i))
	}
	return nodes
}

func TestPickIgnoresOrderAndAgreesWithNodeSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := nodeNames(rapid.IntRange(1, 40).Draw(t, "nodes"))
		key := rapid.String().Draw(t, "key")
		want := Pick(key, nodes, 3)
		shuffled := rapid.Permutation(nodes).Draw(t, "order")
		if diff := cmp.Diff(want, Pick(key, shuffled, 3)); diff != "" {
			t.Fatalf("nodes picked from a shuffled list (-want +got):\n%s", diff)
		}
		if got := NewNodeSet(shuffled).First(key); got != want[0] {
			t.Fatalf("NodeSet says %s, Pick says %s", got, want[0])
		}
	})
}

func TestPickMovesOnlyKeysOfTheRemovedNode(t *testing.T) {
	nodes := nodeNames(20)
	before := NewNodeSet(nodes)
	after := NewNodeSet(nodes[:19])
	moved := 0
	const keys = 4000
	for i := range keys {
		key := fmt.Sprintf("account-%d", i)
		was, is := before.First(key), after.First(key)
		if was == is {
			continue
		}
		if was != nodes[19] {
			t.Fatalf("%s moved from %s, which stays", key, was)
		}
		moved++
	}
	if moved < keys/40 || moved > keys/10 {
		t.Fatalf("%d of %d keys belonged to one of 20 nodes", moved, keys)
	}
}

func TestSubsetPrefersOwnDomainAndMovesLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(4, 60).Draw(t, "entries")
		entries := make([]EntryNode, count)
		for i := range entries {
			entries[i] = EntryNode{
				Node:          wire.NodeID(fmt.Sprintf("entry-%d", i)),
				FailureDomain: wire.FailureDomain(fmt.Sprintf("fd-%d", i%3)),
			}
		}
		size := SubsetSize{OwnDomain: 4, OtherDomains: 2}
		agent := wire.EndpointID(rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "agent"))
		before := Subset(agent, "fd-1", entries, size)
		own := 0
		for _, e := range before {
			if e.FailureDomain == "fd-1" {
				own++
			}
		}
		inDomain := (count + 1) / 3
		if own < min(size.OwnDomain, inDomain) || own > size.OwnDomain+ControllerCandidates || len(before)-own > size.OtherDomains {
			t.Fatalf("%d of %d streams stay in the failure domain of %d entries", own, len(before), inDomain)
		}
		for _, node := range Controllers("fd-1", entries) {
			if !slices.ContainsFunc(before, func(e EntryNode) bool { return e.Node == node }) {
				t.Fatalf("no stream to %s, which may hold the placement duty", node)
			}
		}
		gone := rapid.IntRange(0, count-1).Draw(t, "gone")
		after := Subset(agent, "fd-1", slices.Delete(slices.Clone(entries), gone, gone+1), size)
		added := 0
		for _, e := range after {
			if !slices.Contains(before, e) {
				added++
			}
		}
		if added > 2 {
			t.Fatalf("losing one entry opened %d new streams", added)
		}
	})
}

// BenchmarkNodeSetFirst looks up a key among a few entries, and among the 430
// entries of the four regions of the target deployment (package capacity) and
// about a quarter of them, as in one region.
func BenchmarkNodeSetFirst(b *testing.B) {
	for _, n := range []int{3, 107, 430} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			r := NewNodeSet(nodeNames(n))
			b.ReportAllocs()
			for b.Loop() {
				r.First("account-17")
			}
		})
	}
}
