package soak

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/entry"
)

// vmListInterval is how often an entry reads the platform's VM list.
const vmListInterval = 5 * time.Second

// vmListLag is how far the platform's list is behind.
const vmListLag = 8 * time.Second

// vmList is the platform's lagging list of VMs.
type vmList struct {
	world *World
	stale bool // the list does not change
	shown *entry.VMList
}

// start refreshes the list from the true state, with a lag.
func (v *vmList) start() {
	v.shown = v.current()
	v.refresh()
}

func (v *vmList) refresh() {
	now := v.current()
	v.world.clock.After(vmListLag, func() {
		if !v.stale {
			v.shown = now
		}
	})
	v.world.clock.After(vmListInterval, v.refresh)
}

func (v *vmList) list() *entry.VMList { return v.shown }

// current describes all VMs whose process runs.
func (v *vmList) current() *entry.VMList {
	l := &entry.VMList{}
	for _, e := range v.world.entries {
		if !e.alive() && v.world.clock.Now() > 0 {
			continue
		}
		l.VMs = append(l.VMs, entry.VM{
			Node:          e.id,
			Address:       addressOf(e),
			Region:        v.world.opts.Deployment.Region,
			FailureDomain: e.domain,
			Leaving:       e.leavingAt != notLeaving,
		})
	}
	for _, a := range v.world.agents {
		if !a.alive() && v.world.clock.Now() > 0 {
			continue
		}
		l.VMs = append(l.VMs, entry.VM{
			Region:        v.world.opts.Deployment.Region,
			FailureDomain: a.domain,
			Leaving:       a.leavingAt != notLeaving,
			Endpoint:      a.endpoint,
		})
	}
	return l
}
