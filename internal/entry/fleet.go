package entry

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/store"
	"trefoilpath.org/trefoilpath/internal/timer"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// fleet connects the core to what it shares with other entries: declarations,
// limits and placement.
type fleet struct {
	c     *Core
	inUse map[wire.AccountID]int64 // looked up only
}

func newFleet(c *Core) *fleet {
	return &fleet{c: c, inUse: make(map[wire.AccountID]int64)}
}

func (f *fleet) tick() {}

func (f *fleet) next() time.Duration { return timer.Never }

func (f *fleet) takeStore() []store.Op { return nil }

func (f *fleet) storeResult(store.Result) {}

func (f *fleet) fromPeer(wire.NodeID, wire.ToPeer) {}

func (f *fleet) peerDown(wire.NodeID) {}

func (f *fleet) vmList([]VM) {}

func (f *fleet) orderResult(wire.EndpointID, wire.OrderResult) {}

func (f *fleet) storeDown() bool { return false }

func (f *fleet) reachable() bool { return true }

func (f *fleet) sameRegion(wire.FailureDomain) bool { return true }

func (f *fleet) entries() int { return 1 }

// declareLocal puts lists in force that did not come through the store.
func (f *fleet) declareLocal(s *declaration.Snapshot) { f.inForce(s) }

// inForce puts a newer revision in force.
func (f *fleet) inForce(s *declaration.Snapshot) {
	c := f.c
	if c.snapshot != nil && s.Revision <= c.snapshot.Revision {
		return
	}
	c.snapshot = s
	c.emit(Output{Snapshot: s})
	c.log(Event{Kind: EventRevision, Revision: s.Revision})
}

// takeLimit takes a request into its account's limits.
func (f *fleet) takeLimit(r *request) failure {
	limit := r.account.Limits.Concurrency
	if limit > 0 && f.inUse[r.in.Account] >= limit {
		return failure{code: CodeConcurrency, retryAfter: minRefusalRetry}
	}
	f.inUse[r.in.Account]++
	return failure{}
}

// settleLimit gives back what takeLimit took.
func (f *fleet) settleLimit(r *request) { f.inUse[r.in.Account]-- }

func (f *fleet) placing() bool { return false }

func (f *fleet) peerStatus() []PeerStatus { return nil }
