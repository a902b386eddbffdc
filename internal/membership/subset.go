package membership

import (
	"slices"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// EntryNode is one entry that an agent may keep a stream to.
type EntryNode struct {
	Node          wire.NodeID
	Address       string
	FailureDomain wire.FailureDomain
}

// SubsetSize bounds the number of entries that an agent keeps streams to.
type SubsetSize struct {
	OwnDomain    int // in the agent's failure domain
	OtherDomains int // in all other failure domains together
}

// DefaultSubsetSize covers every entry of a deployment with up to eight entries
// in the agent's failure domain and up to eight in all others together.
var DefaultSubsetSize = SubsetSize{OwnDomain: 8, OtherDomains: 8}

// ControllerCandidates is the number of entries of a failure domain that seek
// its placement duty. Every agent of the domain keeps a stream to each of them,
// so the holder sees all endpoints.
const ControllerCandidates = 2

// controllerKeyPrefix is the prefix of the rendezvous keys of the candidates.
const controllerKeyPrefix = "placement/"

// Controllers returns the entries of the failure domain that seek its placement
// duty, best first.
func Controllers(domain wire.FailureDomain, entries []EntryNode) []wire.NodeID {
	var own []wire.NodeID
	for _, e := range entries {
		if e.FailureDomain == domain {
			own = append(own, e.Node)
		}
	}
	return Pick(controllerKeyPrefix+string(domain), own, ControllerCandidates)
}

// Subset returns the entries that the agent keeps streams to: the candidates
// for the placement duty of its failure domain, the first size.OwnDomain entries
// of that domain and the first size.OtherDomains of the remaining ones, by
// rendezvous hashing over the agent's name. Adding or removing one entry changes
// at most one candidate and one other member. The result is sorted by node.
func Subset(agent wire.EndpointID, domain wire.FailureDomain, entries []EntryNode, size SubsetSize) []EntryNode {
	byNode := make(map[wire.NodeID]EntryNode, len(entries))
	var own, others []wire.NodeID
	for _, e := range entries {
		if _, ok := byNode[e.Node]; ok {
			continue
		}
		byNode[e.Node] = e
		if e.FailureDomain == domain {
			own = append(own, e.Node)
		} else {
			others = append(others, e.Node)
		}
	}
	picked := Pick(string(agent), own, size.OwnDomain)
	picked = append(picked, Pick(string(agent), others, size.OtherDomains)...)
	picked = append(picked, Controllers(domain, entries)...)
	slices.Sort(picked)
	picked = slices.Compact(picked)
	subset := make([]EntryNode, len(picked))
	for i, node := range picked {
		subset[i] = byNode[node]
	}
	return subset
}
