package shell

import (
	"context"
	"time"

	"trefoilpath.org/trefoilpath/internal/entry"
)

const (
	vmListInterval = 2 * time.Second
	// vmListLag is how long the platform's list may lack a VM that has started.
	vmListLag     = 3 * time.Second
	vmListTimeout = 3 * time.Second
)

// watchVMs reads the platform's VM list every vmListInterval in the background.
func (e *Entry) watchVMs(ctx context.Context) {
	if e.vms == nil {
		return
	}
	e.background.Add(1)
	go func() {
		defer e.background.Done()
		ticker := time.NewTicker(vmListInterval)
		defer ticker.Stop()
		for {
			e.readVMs(ctx)
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}()
}

func (e *Entry) readVMs(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	vms, err := e.vms.Fetch(ctx)
	if err != nil {
		e.cfg.Log.Warn().Str("event", "vm-list").Str("reason", err.Error()).Send()
		return
	}
	list := entry.VMList{VMs: make([]entry.VM, len(vms))}
	for i, vm := range vms {
		list.VMs[i] = entry.VM{
			Node: vm.Node, Address: vm.Address, Region: vm.Region, FailureDomain: vm.FailureDomain,
			Leaving: vm.Leaving, Endpoint: vm.Endpoint,
		}
	}
	e.input(entry.Input{VMList: &list})
}
