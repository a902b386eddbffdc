package dissemination

import (
	"slices"
	"time"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/store"
	"trefoilpath.org/trefoilpath/internal/table"
)

// watcher is the state of reading the root from the store, and of watching it if
// this entry is one of its failure domain's watchers.
type watcher struct {
	watching     bool
	versionKnown bool                            // version is set
	version      uint64                          // of the last known change of the root; 0: a read found no root
	earliestRead time.Duration                   // of the root
	backoff      time.Duration                   // current wait after a failure, before jitter; 0: none
	started      bool                            // the first tick has happened
	startedAt    time.Duration                   // time of the first tick
	ops          *table.Table[uint64, pendingOp] // by operation ID
	nextAt       time.Duration                   // when tickWatch is due: root read or operation timeout
	assembly     *declaration.Assembly           // of a newer revision whose chunks are being read, or nil
}

type opPurpose uint8

const (
	purposeRoot  opPurpose = 1
	purposeWatch opPurpose = 2
	purposeChunk opPurpose = 3
)

// pendingOp is a store operation that has not been answered.
type pendingOp struct {
	purpose   opPurpose
	digest    uint64        // of the chunk, for purposeChunk
	timeoutAt time.Duration // when the answer counts as lost
}

func (w *watcher) due() time.Duration { return w.nextAt }

// discardAdopted drops the assembly of a revision that is active or superseded.
func (w *watcher) discardAdopted(revision uint64) {
	if w.assembly != nil && w.assembly.Revision() <= revision {
		w.assembly = nil
	}
}

// updateWatching recomputes whether this entry watches the store.
func (m *Core) updateWatching(now time.Duration) {
	watching := slices.Contains(m.watchers(), m.cfg.Self)
	if watching == m.watch.watching {
		return
	}
	m.watch.watching = watching
	m.watch.nextAt = now
}

func (m *Core) tickWatch(now time.Duration) {
	w := &m.watch
	if m.local {
		w.nextAt = never
		return
	}
	if !w.started {
		w.started, w.startedAt = true, now
		m.updateWatching(now)
	}
	if now < w.nextAt {
		return
	}
	m.failTimedOutOps(now)
	if !m.rootPending() && now >= m.nextRootRead() {
		m.readRoot(now)
	}
	m.scheduleWatch()
}

// nextRootRead returns the time of the next read of the root.
func (m *Core) nextRootRead() time.Duration {
	w := &m.watch
	switch {
	case w.watching:
		return w.earliestRead
	case m.Revision() == 0:
		return max(w.earliestRead, w.startedAt+m.cfg.ColdStartWait)
	}
	// An entry that does not watch reads the root only if no message has come
	// from the store or a peer for a third of ContactTimeout. The rest is left for
	// the answer before the entry counts as not reachable.
	return max(w.earliestRead, m.lastContact+m.cfg.ContactTimeout/3)
}

func (m *Core) scheduleWatch() {
	w := &m.watch
	w.nextAt = never
	if !m.rootPending() {
		w.nextAt = m.nextRootRead()
	}
	w.ops.Each(func(_ uint64, op *pendingOp) bool {
		w.nextAt = min(w.nextAt, op.timeoutAt)
		return true
	})
}

// rootPending reports whether a read or watch of the root is in flight.
func (m *Core) rootPending() bool {
	pending := false
	m.watch.ops.Each(func(_ uint64, op *pendingOp) bool {
		pending = op.purpose != purposeChunk
		return !pending
	})
	return pending
}

// readRoot starts a watch if this entry watches and the version in the store is
// known, and otherwise reads the root.
func (m *Core) readRoot(now time.Duration) {
	w := &m.watch
	w.earliestRead = now + minWatchGap
	if w.watching && w.versionKnown {
		op := store.Op{Kind: store.OpWatch, Key: declaration.RootKey, Expect: w.version, TTL: m.cfg.WatchTimeout}
		m.startStoreOp(op, pendingOp{purpose: purposeWatch, timeoutAt: now + m.cfg.WatchTimeout + opTimeoutMargin})
		return
	}
	m.startStoreOp(store.Op{Kind: store.OpGet, Key: declaration.RootKey}, pendingOp{purpose: purposeRoot, timeoutAt: now + opTimeoutMargin})
}

func (m *Core) startStoreOp(op store.Op, pending pendingOp) {
	op.ID = m.cfg.NextOp()
	m.watch.ops.Put(op.ID, pending)
	m.toStore = append(m.toStore, op)
}

func (m *Core) failTimedOutOps(now time.Duration) {
	m.watch.ops.Each(func(id uint64, op *pendingOp) bool {
		if now >= op.timeoutAt {
			m.watch.ops.Delete(id)
			m.storeFailed(now)
		}
		return true
	})
	m.watch.ops.Compact()
}

// StoreResult handles the answer to a store operation and reports whether the
// operation was one of this Core's.
func (m *Core) StoreResult(now time.Duration, r store.Result) bool {
	op := m.watch.ops.Get(r.ID)
	if op == nil {
		return false
	}
	pending := *op
	m.watch.ops.Delete(r.ID)
	m.watch.ops.Compact()
	switch r.Status {
	case store.StatusOK, store.StatusNotFound, store.StatusTimeout:
		m.recordContact(now)
		m.watch.backoff = 0
		m.onStoreAnswer(now, pending, r)
	default: // also StatusCompacted, after which the root is read anew
		m.storeFailed(now)
	}
	m.watch.nextAt = now
	return true
}

func (m *Core) onStoreAnswer(now time.Duration, op pendingOp, r store.Result) {
	switch {
	case op.purpose == purposeChunk:
		m.onChunkRead(now, r)
	case r.Status == store.StatusTimeout:
	case r.Status == store.StatusNotFound:
		m.watch.versionKnown, m.watch.version = true, 0
	case op.purpose == purposeRoot:
		m.onRootRecord(now, r.Value, r.Version)
	default:
		m.onWatch(now, r)
	}
}

// onWatch applies a change of the root. The next watch is for changes after all that this one has
// delivered, also those of other keys that begin with the root's.
func (m *Core) onWatch(now time.Duration, r store.Result) {
	for _, pair := range r.Pairs {
		if pair.Key == declaration.RootKey && !pair.Deleted {
			m.onRootRecord(now, pair.Value, pair.Version)
		}
	}
	for _, pair := range r.Pairs {
		m.watch.version = max(m.watch.version, pair.Version)
	}
}

// storeFailed drops the assembly and the known version, so that the root is read
// before it is watched again, and delays that read by at least a jittered backoff.
func (m *Core) storeFailed(now time.Duration) {
	w := &m.watch
	w.versionKnown = false
	w.assembly = nil
	w.backoff = min(max(2*w.backoff, minBackoff), maxBackoff)
	w.earliestRead = now + m.jittered(w.backoff)
}

// onRootRecord records the version of a root record from a read or a watch. If the
// record's revision is newer than the active one, it applies the record's
// difference, or else starts to read the chunks. Of a record that can't be decoded
// it keeps only the version.
func (m *Core) onRootRecord(now time.Duration, value []byte, version uint64) {
	m.watch.versionKnown, m.watch.version = true, version
	record, err := declaration.DecodeRecord(value)
	if err != nil || record.Root.Revision <= m.Revision() {
		return
	}
	if record.Difference != nil && m.applyDifference(now, record.Difference) {
		return
	}
	a, err := declaration.NewAssembly(declaration.EncodeRoot(record.Root), m.state)
	if err != nil {
		return
	}
	if old := m.watch.assembly; old != nil {
		a.AddFrom(old)
	}
	m.watch.assembly = a
	m.readChunks(now)
}

// readChunks starts reads of missing chunks, up to maxChunkReads in flight, and
// finishes the assembly once it is complete.
func (m *Core) readChunks(now time.Duration) {
	w := &m.watch
	if w.assembly == nil {
		return
	}
	if w.assembly.Complete() {
		m.finishStoreAssembly(now)
		return
	}
	reading := m.chunksBeingRead()
	for _, digest := range w.assembly.Missing() {
		if len(reading) >= maxChunkReads {
			return
		}
		if slices.Contains(reading, digest) {
			continue
		}
		reading = append(reading, digest)
		op := store.Op{Kind: store.OpGet, Key: declaration.ChunkKey(digest)}
		m.startStoreOp(op, pendingOp{purpose: purposeChunk, digest: digest, timeoutAt: now + opTimeoutMargin})
	}
}

func (m *Core) chunksBeingRead() []uint64 {
	var out []uint64
	m.watch.ops.Each(func(_ uint64, op *pendingOp) bool {
		if op.purpose == purposeChunk {
			out = append(out, op.digest)
		}
		return true
	})
	return out
}

func (m *Core) onChunkRead(now time.Duration, r store.Result) {
	w := &m.watch
	if w.assembly == nil {
		return
	}
	if r.Status == store.StatusNotFound {
		m.storeFailed(now) // the root was replaced meanwhile
		return
	}
	w.assembly.Add(r.Value)
	m.readChunks(now)
}

func (m *Core) finishStoreAssembly(now time.Duration) {
	s, err := m.watch.assembly.State()
	m.watch.assembly = nil
	if err != nil {
		return
	}
	m.adopt(now, s)
}
