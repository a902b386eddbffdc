package entry

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/controller"
	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/dissemination"
	"trefoilpath.org/trefoilpath/internal/limits"
	"trefoilpath.org/trefoilpath/internal/membership"
	"trefoilpath.org/trefoilpath/internal/store"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// fleet connects the core to what it shares with other entries: membership,
// declarations, limits and placement. Each of them is a state machine in its
// own package; fleet passes on their inputs and outputs.
type fleet struct {
	c         *Core
	members   *membership.Core
	spread    *dissemination.Core // dissemination of declarations to peers
	limits    *limits.Core
	placement *controller.Core // of models on the endpoints of the failure domain

	regionOf         map[wire.FailureDomain]wire.Region // never iterated, since the order of a map varies
	announcedAddress map[wire.NodeID]string             // addresses that peers announced; never iterated
	regionEntries    int                                // entries of the region on the VM list, this one included
	awaitingLimits   []RequestID                        // requests that wait for a first grant of limits or, after a burst, for a rate limit
	endpointsChanged bool                               // placement has to get the endpoints anew
	lowestRevision   uint64                             // active here or at a connected agent; announced to peers
	joinedAt         time.Duration                      // when the entry first had a share of the limits; 0: not yet
}

func newFleet(c *Core) *fleet {
	cfg := &c.cfg
	f := &fleet{c: c, regionOf: make(map[wire.FailureDomain]wire.Region), announcedAddress: make(map[wire.NodeID]string), regionEntries: 1}
	f.members = membership.New(membership.Config{})
	f.spread = dissemination.New(dissemination.Config{
		Self: cfg.Self, Incarnation: cfg.Incarnation, Region: cfg.Region, FailureDomain: cfg.FailureDomain,
		NextOp: c.nextOp, Rand: cfg.Rand,
	})
	f.limits = limits.New(limits.Config{
		Self: cfg.Self, Incarnation: cfg.Incarnation, Region: cfg.Region, Regions: cfg.Regions, ListLag: cfg.ListLag, Lease: cfg.GrantLease,
	})
	f.placement = controller.New(controller.Config{
		Self: cfg.Self, Incarnation: cfg.Incarnation, FailureDomain: cfg.FailureDomain, NextOp: c.nextOp, Rand: cfg.Rand,
		Domains: cfg.Domains,
	})
	f.placement.SetCandidate(0, !cfg.NoStore)
	f.limits.SetPeers(0, []limits.Peer{f.selfPeer()})
	f.regionOf[cfg.FailureDomain] = cfg.Region
	return f
}

func (f *fleet) selfPeer() limits.Peer {
	cfg := &f.c.cfg
	return limits.Peer{Node: cfg.Self, Address: cfg.Address, Region: cfg.Region}
}

// tick advances the state machines and takes their outputs.
func (f *fleet) tick() {
	now := f.c.now
	f.members.Tick(now)
	f.applyMemberChanges()
	f.announceStatus()
	f.spread.Tick(now)
	if s := f.spread.TakeSnapshot(); s != nil {
		f.activate(s)
	}
	f.limits.Tick(now)
	f.retryAwaitingLimits()
	f.runPlacement()
	f.sendPeers()
}

// next returns the time at which the first of the state machines is due.
func (f *fleet) next() time.Duration {
	return min(f.members.Next(), f.spread.Next(), f.limits.Next(), f.placement.Next())
}

// sendPeers sends the state machines' messages to other entries.
func (f *fleet) sendPeers() {
	for _, m := range f.spread.TakePeer() {
		f.sendPeer(m.Peer, m.Address, m.Msg)
	}
	for _, m := range f.limits.TakePeerMessages() {
		f.sendPeer(m.Peer, m.Address, m.Msg)
	}
}

func (f *fleet) sendPeer(peer wire.NodeID, address string, msg wire.ToPeer) {
	if member, ok := f.members.Get(peer); ok && address == "" {
		address = member.VM.Address
	}
	if address == "" {
		address = f.announcedAddress[peer]
	}
	if address == "" {
		return // the peer's address is not known yet; the state machines send again
	}
	if msg.Announce != nil {
		a := *msg.Announce
		a.Address = f.c.cfg.Address
		msg.Announce = &a
	}
	f.c.emit(Output{ToPeer: &ToPeer{Peer: peer, Address: address, Msg: msg}})
}

func (f *fleet) takeStore() []store.Op {
	if f.c.cfg.NoStore {
		return nil
	}
	return append(f.spread.TakeStore(), f.placement.TakeStore()...)
}

func (f *fleet) storeResult(r store.Result) {
	if f.spread.StoreResult(f.c.now, r) {
		return
	}
	f.placement.StoreResult(f.c.now, r)
}

// fromPeer passes a message from another entry to the state machine that
// handles it.
func (f *fleet) fromPeer(peer wire.NodeID, msg wire.ToPeer) {
	if a := msg.Announce; a != nil {
		heartbeat := membership.Heartbeat{Node: peer, Incarnation: a.Incarnation, Leaving: a.Leaving}
		if !f.members.HandleHeartbeat(f.c.now, heartbeat) {
			return // from an earlier incarnation of the peer
		}
		f.regionOf[a.FailureDomain] = a.Region
		if a.Address != "" {
			f.announcedAddress[peer] = a.Address
		}
	}
	if f.c.cfg.disabled(mechanismSpread) && msg.GrantRequest == nil && msg.GrantReply == nil {
		return
	}
	if f.spread.FromPeer(f.c.now, peer, msg) {
		return
	}
	f.limits.HandlePeerMessage(f.c.now, peer, msg)
}

func (f *fleet) peerDown(peer wire.NodeID) {
	f.members.TransportFailed(f.c.now, peer)
	f.spread.PeerDown(f.c.now, peer)
	f.limits.PeerDown(f.c.now, peer)
}

// storeDown reports whether there is no store or the circuit breaker refuses
// calls to it.
func (f *fleet) storeDown() bool { return f.c.cfg.NoStore || f.c.storeThrottle.Open(f.c.now) }

// reachable reports whether the store or any peer can be reached. Without a
// store it is always true.
func (f *fleet) reachable() bool { return f.c.cfg.NoStore || f.spread.Reachable(f.c.now) }

// sameRegion reports whether a failure domain is in the entry's own region. A
// domain whose region is not known counts as in the entry's region.
func (f *fleet) sameRegion(d wire.FailureDomain) bool {
	region, ok := f.regionOf[d]
	return !ok || region == f.c.cfg.Region
}

// entriesInRegion returns the number of entries of the region, this one
// included.
func (f *fleet) entriesInRegion() int { return f.regionEntries }

// declareLocal activates declarations that did not come through the store.
func (f *fleet) declareLocal(s *declaration.Snapshot) { f.spread.SetLocal(f.c.now, s) }

// activate makes a newer revision of the declarations the active one.
func (f *fleet) activate(s *declaration.Snapshot) {
	c := f.c
	c.snapshot = s
	f.limits.SetSnapshot(c.now, s)
	f.placement.SetSnapshot(c.now, s)
	f.endpointsChanged = true
	c.emit(Output{Snapshot: s})
	c.log(Event{Kind: EventRevision, Revision: s.Revision, Author: s.Author})
}

// announceStatus updates what this entry announces to its peers.
func (f *fleet) announceStatus() {
	f.spread.SetStatus(f.c.ready.ok, f.c.drain.started, f.lowestRevision)
}

// updateLowestRevision sets lowestRevision to the lowest revision active here
// or at a connected agent.
func (f *fleet) updateLowestRevision() {
	lowest := f.c.revision()
	f.c.endpoints.Each(func(_ wire.EndpointID, e *endpoint) bool {
		if e.up && e.report.Sequence > 0 {
			lowest = min(lowest, e.report.Revision)
		}
		return true
	})
	f.lowestRevision = lowest
}

// peerStatus returns the last known status of each peer.
func (f *fleet) peerStatus() []PeerStatus {
	var list []PeerStatus
	for _, p := range f.spread.PeerStatuses(f.c.now) {
		row := PeerStatus{Node: p.Node, Revision: p.Revision, Ready: p.Ready, Leaving: p.Leaving, SilentMS: NoMessageYet}
		if p.SinceLastMessage >= 0 {
			row.SilentMS = p.SinceLastMessage.Milliseconds()
		}
		list = append(list, row)
	}
	return list
}

// joined reports whether this entry has had a share of the limits for
// GrantLease. By then the grants of its previous incarnation have expired, and
// it can grant the limits of the accounts whose home entry it is.
func (f *fleet) joined() bool {
	if f.joinedAt == 0 && f.limits.CanUseShare(f.c.now) {
		f.joinedAt = f.c.now
		f.c.timers.Set(timerKey{kind: timerReady}, f.joinedAt+f.c.cfg.GrantLease)
	}
	return f.joinedAt != 0 && f.c.now >= f.joinedAt+f.c.cfg.GrantLease
}
