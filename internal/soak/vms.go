package soak

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/entry"
)

// vmListInterval is the interval at which the platform lists the VMs, and at
// which each entry reads the published list.
const vmListInterval = 5 * time.Second

// vmListLag is the delay between listing the VMs and publishing the list.
const vmListLag = 8 * time.Second

// vmList is the platform's list of VMs, which lags behind by vmListLag.
type vmList struct {
	world     *World
	stale     bool // fault: the list does not change
	published *entry.VMList
}

// start publishes the current VMs and schedules refreshes of the list.
func (v *vmList) start() {
	v.published = v.current()
	v.refresh()
}

func (v *vmList) refresh() {
	now := v.current()
	v.world.clock.After(vmListLag, func() {
		if !v.stale {
			v.published = now
		}
	})
	v.world.clock.After(vmListInterval, v.refresh)
}

func (v *vmList) list() *entry.VMList { return v.published }

// current lists the VMs whose process runs; at the start of the run, all VMs.
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
