package soak

import (
	"trefoilpath.org/trefoilpath/internal/controller"
	"trefoilpath.org/trefoilpath/internal/store"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// leaseHolder returns a random entry that holds a controller lease, or nil.
func (w *World) leaseHolder() *entryNode {
	r := w.store.doNow(store.Op{Kind: store.OpList, Key: controller.LeaseKeyPrefix}, nil)
	if len(r.Pairs) == 0 {
		return nil
	}
	p := pick(w, r.Pairs)
	return w.entryByID(wire.NodeID(store.HolderOf(p.Value)))
}
