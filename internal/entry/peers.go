package entry

import (
	"slices"

	"trefoilpath.org/trefoilpath/internal/dissemination"
	"trefoilpath.org/trefoilpath/internal/limits"
	"trefoilpath.org/trefoilpath/internal/membership"
)

// setVMList applies the platform's list of VMs, which names the other entries
// and says which endpoints are leaving.
func (f *fleet) setVMList(vms []VM) {
	var entries []membership.VM
	for _, vm := range vms {
		f.regionOf[vm.FailureDomain] = vm.Region
		if vm.Endpoint != "" {
			f.markLeaving(vm)
			continue
		}
		if vm.Node == f.c.cfg.Self {
			continue
		}
		entries = append(entries, membership.VM{
			Node: vm.Node, Address: vm.Address, Region: vm.Region, FailureDomain: vm.FailureDomain, Leaving: vm.Leaving,
		})
	}
	f.members.SetList(f.c.now, entries)
	f.setPeers()
}

// markLeaving marks an endpoint as leaving if the platform is about to remove
// its VM.
func (f *fleet) markLeaving(vm VM) {
	e := f.c.endpoints.Get(vm.Endpoint)
	if e == nil || !vm.Leaving || e.leaving {
		return
	}
	e.leaving = true
	f.endpointsChanged = true
	f.c.log(Event{Kind: EventEndpointOutOfService, Endpoint: e.id, Detail: "leaving by the VM list"})
}

// applyMemberChanges updates the peers after entries have joined, left or
// restarted.
func (f *fleet) applyMemberChanges() {
	changes := f.members.TakeChanges()
	if len(changes) == 0 {
		return
	}
	f.setPeers()
}

// setPeers passes the known entries to package dissemination, and updates the shares
// and whether the placement lease is wanted. The peers of dissemination include
// suspected and ejected entries, since perhaps only their messages are lost.
func (f *fleet) setPeers() {
	var peers []dissemination.Peer
	for _, m := range f.members.Members() {
		vm := m.VM
		peers = append(peers, dissemination.Peer{Node: vm.Node, Address: vm.Address, Region: vm.Region, FailureDomain: vm.FailureDomain})
	}
	f.spread.SetPeers(f.c.now, peers)
	f.setShares()
	f.updatePlacementWanted()
}

// setShares sets the entries among which the limits and the store's budget are
// divided: those on the VM list.
func (f *fleet) setShares() {
	shares := []limits.Peer{f.selfPeer()}
	inRegion := 1
	for _, m := range f.members.Members() {
		if !m.OnList {
			continue
		}
		shares = append(shares, limits.Peer{Node: m.VM.Node, Address: m.VM.Address, Region: m.VM.Region})
		if m.VM.Region == f.c.cfg.Region {
			inRegion++
		}
	}
	f.regionEntries = inRegion
	f.limits.SetPeers(f.c.now, shares)
	f.c.storeThrottle.SetProcesses(len(shares))
}

// updatePlacementWanted has this entry seek the placement lease if it is a
// candidate of its failure domain, has a store and is not shutting down, and
// give it up otherwise. All agents of the domain keep streams to the candidates.
func (f *fleet) updatePlacementWanted() {
	cfg := &f.c.cfg
	entries := []membership.EntryNode{{Node: cfg.Self, FailureDomain: cfg.FailureDomain}}
	for _, m := range f.members.Members() {
		if m.State != membership.Ejected && !m.Leaving {
			entries = append(entries, membership.EntryNode{Node: m.VM.Node, FailureDomain: m.VM.FailureDomain})
		}
	}
	candidate := slices.Contains(membership.Controllers(cfg.FailureDomain, entries), cfg.Self)
	f.placement.SetCandidate(f.c.now, candidate && !cfg.NoStore && !f.c.drain.started)
}
