package entry

import (
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Status is the summary of an entry for operators.
type Status struct {
	Node                wire.NodeID       `json:"node"`
	Incarnation         wire.Incarnation  `json:"incarnation"`
	Revision            uint64            `json:"revision"`
	Ready               bool              `json:"ready"`
	NotReady            string            `json:"not_ready,omitempty"`
	Draining            bool              `json:"draining"`
	Drained             bool              `json:"drained"`
	InFlight            int               `json:"in_flight"`
	EndpointsUp         int               `json:"endpoints_up"`
	StoreDown           bool              `json:"store_down"`
	HoldsPlacementLease bool              `json:"placing"` // holds the placement lease of its failure domain
	Peers               []PeerStatus      `json:"peers"`
	Lagging             []wire.EndpointID `json:"lagging,omitempty"` // connected agents with an older revision
}

// PeerStatus is the last known status of another entry.
type PeerStatus struct {
	Node     wire.NodeID `json:"node"`
	Revision uint64      `json:"revision"`
	Ready    bool        `json:"ready"`
	Leaving  bool        `json:"leaving"`
	SilentMS int64       `json:"silent_ms"` // milliseconds since the last message; NoMessageYet: none so far
}

// NoMessageYet is PeerStatus.SilentMS of a peer that has sent no message.
const NoMessageYet = -1

// Status returns a summary of the entry and the last known status of its peers.
func (c *Core) Status() Status {
	s := Status{
		Node: c.cfg.Self, Incarnation: c.cfg.Incarnation, Revision: c.revision(), Ready: c.ready.ok, NotReady: c.ready.reason,
		Draining: c.drain.started, Drained: c.drain.done, InFlight: c.requests.Len(), StoreDown: c.fleet.storeDown(),
		HoldsPlacementLease: c.fleet.holdsPlacementLease(), Peers: c.fleet.peerStatus(),
	}
	c.endpoints.Each(func(id wire.EndpointID, e *endpoint) bool {
		if e.up {
			s.EndpointsUp++
			if e.report.Revision < s.Revision {
				s.Lagging = append(s.Lagging, id)
			}
		}
		return true
	})
	return s
}
