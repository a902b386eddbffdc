package membership

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Multipliers of the SplitMix64 finalizer.
const (
	mixGamma  = 0x9e3779b97f4a7c15
	mixFirst  = 0xbf58476d1ce4e5b9
	mixSecond = 0x94d049bb133111eb
)

// Hash returns the hash of a key or node name that Weight combines.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Weight returns the rendezvous weight of a node for a key, both hashed by Hash.
func Weight(keyHash, nodeHash uint64) uint64 {
	z := keyHash ^ (nodeHash * mixGamma)
	z = (z ^ (z >> 30)) * mixFirst
	z = (z ^ (z >> 27)) * mixSecond
	return z ^ (z >> 31)
}

// Pick returns the n nodes that come first for key by rendezvous hashing, best
// first, or all of them if there are fewer. The result does not depend on the
// order of nodes. When a node joins or leaves, only keys that it owns move.
func Pick[N ~string](key string, nodes []N, n int) []N {
	n = min(n, len(nodes))
	if n <= 0 {
		return nil
	}
	keyHash := Hash(key)
	ranked := make([]rankedNode[N], len(nodes))
	for i, node := range nodes {
		ranked[i] = rankedNode[N]{node: node, weight: Weight(keyHash, Hash(string(node)))}
	}
	slices.SortFunc(ranked, compareRanked[N])
	picked := make([]N, n)
	for i := range picked {
		picked[i] = ranked[i].node
	}
	return picked
}

type rankedNode[N ~string] struct {
	node   N
	weight uint64
}

func compareRanked[N ~string](a, b rankedNode[N]) int {
	if a.weight != b.weight {
		if a.weight > b.weight {
			return -1
		}
		return 1
	}
	return strings.Compare(string(a.node), string(b.node))
}

// NodeSet finds the first node for many keys. It keeps the hashes of the nodes
// and allocates nothing for a lookup. A NodeSet is immutable.
type NodeSet[N ~string] struct {
	nodes  []N
	hashes []uint64
}

// NewNodeSet returns a NodeSet over a copy of nodes.
func NewNodeSet[N ~string](nodes []N) *NodeSet[N] {
	s := &NodeSet[N]{nodes: slices.Clone(nodes)}
	slices.Sort(s.nodes)
	s.nodes = slices.Compact(s.nodes)
	s.hashes = make([]uint64, len(s.nodes))
	for i, node := range s.nodes {
		s.hashes[i] = Hash(string(node))
	}
	return s
}

// Nodes returns the nodes in ascending order. The caller must not change it.
func (s *NodeSet[N]) Nodes() []N { return s.nodes }

// First returns the node that Pick would put first for key, or "" if there is
// none.
func (s *NodeSet[N]) First(key string) N {
	if len(s.nodes) == 0 {
		return ""
	}
	keyHash := Hash(key)
	best := 0
	bestWeight := Weight(keyHash, s.hashes[0])
	for i := 1; i < len(s.hashes); i++ {
		if w := Weight(keyHash, s.hashes[i]); w > bestWeight {
			best, bestWeight = i, w
		}
	}
	return s.nodes[best]
}
