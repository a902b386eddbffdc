package soak

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/simnet"
)

// disturb records that nodes or their links change state now.
func (w *World) disturb(nodes ...simnet.Node) {
	for _, n := range nodes {
		w.lastDisturbed[n] = w.clock.Now()
	}
}

// undisturbedFor returns the time since the last disturbance of a node or its
// links.
func (w *World) undisturbedFor(n simnet.Node) time.Duration {
	return w.clock.Now() - w.lastDisturbed[n]
}

// linkUndisturbedFor returns the time since the last disturbance of an entry, an
// agent or the link between them; 0 if one is not running or the link is faulty.
func (w *World) linkUndisturbedFor(e *entryNode, a *agentNode) time.Duration {
	if !e.running() || !a.running() || !w.net.Healthy(e.name, a.name) {
		return 0
	}
	return min(w.undisturbedFor(e.name), w.undisturbedFor(a.name))
}

// entryUndisturbedFor returns for how long an entry has been able to learn of a
// revision: it runs, and can reach a healthy store or an entry with the revision.
func (w *World) entryUndisturbedFor(e *entryNode, revision uint64) time.Duration {
	if !e.running() {
		return 0
	}
	undisturbed := w.storeUndisturbedFor(e)
	for _, peer := range w.entries {
		if peer == e || !peer.running() || peer.revision < revision || !w.net.Healthy(e.name, peer.name) {
			continue
		}
		both := min(w.undisturbedFor(e.name), w.undisturbedFor(peer.name))
		undisturbed = max(undisturbed, min(both, w.clock.Now()-peer.inForceAt))
	}
	return undisturbed
}

// storeUndisturbedFor returns for how long an entry has been able to read the
// store.
func (w *World) storeUndisturbedFor(e *entryNode) time.Duration {
	if w.store.mode != storeHealthy || !w.net.Healthy(e.name, storeName) {
		return 0
	}
	return min(w.undisturbedFor(e.name), w.undisturbedFor(storeName))
}

// agentUndisturbedFor returns for how long an agent has been able to learn of a
// revision from an entry that has it.
func (w *World) agentUndisturbedFor(a *agentNode, revision uint64) time.Duration {
	var undisturbed time.Duration
	for _, e := range w.entries {
		if e.revision >= revision {
			undisturbed = max(undisturbed, min(w.linkUndisturbedFor(e, a), w.clock.Now()-e.inForceAt))
		}
	}
	return undisturbed
}

// entriesUndisturbedFor returns the time since the last disturbance of any entry
// or the links of one; 0 if an entry is not running.
func (w *World) entriesUndisturbedFor() time.Duration {
	undisturbed := w.clock.Now()
	for _, e := range w.entries {
		if !e.running() {
			return 0
		}
		undisturbed = min(undisturbed, w.undisturbedFor(e.name))
	}
	return undisturbed
}
