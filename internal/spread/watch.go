package spread

import (
	"slices"
	"time"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/store"
	"trefoilpath.org/trefoilpath/internal/table"
)

// watcher reads the root from the store, and waits for changes of it if this
// entry is one of its failure domain's watchers.
type watcher struct {
	watching bool
	known    bool          // version is that of the root in the store
	version  uint64        // 0: the store holds no root
	startAt  time.Duration // when the next read of the root may start
	backoff  time.Duration
	begun    bool
	beganAt  time.Duration // time of the first tick
	ops      *table.Table[uint64, pendingOp]
	wait     time.Duration // when the next root read, lost answer or poll is due
	assembly *declaration.Assembly
}

type opPurpose uint8

const (
	purposeRoot  opPurpose = 1
	purposeWatch opPurpose = 2
	purposeChunk opPurpose = 3
)

// pendingOp is a store operation without an answer so far.
type pendingOp struct {
	purpose opPurpose
	digest  uint64 // of the chunk
	lostAt  time.Duration
}

func (w *watcher) due() time.Duration { return w.wait }

// finished drops the chunks of a revision that is in force.
func (w *watcher) finished(revision uint64) {
	if w.assembly != nil && w.assembly.Revision() <= revision {
		w.assembly = nil
	}
}

// updateWatching decides anew whether this entry watches the store.
func (m *Core) updateWatching(now time.Duration) {
	watching := slices.Contains(m.watchers(), m.cfg.Self)
	if watching == m.watch.watching {
		return
	}
	m.watch.watching = watching
	m.watch.wait = now
}

func (m *Core) tickWatch(now time.Duration) {
	w := &m.watch
	if m.local {
		w.wait = never
		return
	}
	if !w.begun {
		w.begun, w.beganAt = true, now
		m.updateWatching(now)
	}
	if now < w.wait {
		return
	}
	m.dropLostOps(now)
	if !m.rootPending() && now >= m.rootReadAt() {
		m.readRoot(now)
	}
	m.scheduleWatch()
}

// rootReadAt returns when the root is to be read next.
func (m *Core) rootReadAt() time.Duration {
	w := &m.watch
	switch {
	case w.watching:
		return w.startAt
	case m.Revision() == 0:
		return max(w.startAt, w.beganAt+m.cfg.ColdWait)
	}
	// Any other entry reads the root only if it has not heard of anyone.
	return max(w.startAt, m.heardAt+m.cfg.ReachFor/3)
}

func (m *Core) scheduleWatch() {
	w := &m.watch
	w.wait = never
	if !m.rootPending() {
		w.wait = m.rootReadAt()
	}
	w.ops.Each(func(_ uint64, op *pendingOp) bool {
		w.wait = min(w.wait, op.lostAt)
		return true
	})
}

func (m *Core) rootPending() bool {
	pending := false
	m.watch.ops.Each(func(_ uint64, op *pendingOp) bool {
		pending = op.purpose != purposeChunk
		return !pending
	})
	return pending
}

// readRoot waits for a change if the version in the store is known, and
// otherwise reads the root.
func (m *Core) readRoot(now time.Duration) {
	w := &m.watch
	w.startAt = now + minWatchGap
	if w.watching && w.known {
		op := store.Op{Kind: store.OpWatch, Key: declaration.RootKey, Expect: w.version, TTL: m.cfg.WatchFor}
		m.start(op, pendingOp{purpose: purposeWatch, lostAt: now + m.cfg.WatchFor + answerAfter})
		return
	}
	m.start(store.Op{Kind: store.OpGet, Key: declaration.RootKey}, pendingOp{purpose: purposeRoot, lostAt: now + answerAfter})
}

func (m *Core) start(op store.Op, pending pendingOp) {
	op.ID = m.cfg.NextOp()
	m.watch.ops.Put(op.ID, pending)
	m.toStore = append(m.toStore, op)
}

func (m *Core) dropLostOps(now time.Duration) {
	m.watch.ops.Each(func(id uint64, op *pendingOp) bool {
		if now >= op.lostAt {
			m.watch.ops.Delete(id)
			m.storeFailed(now)
		}
		return true
	})
	m.watch.ops.Compact()
}

// StoreResult takes the answer to a store operation and reports whether it was
// one of this machine's.
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
		m.hear(now)
		m.watch.backoff = 0
		m.onStoreAnswer(now, pending, r)
	default:
		m.storeFailed(now)
	}
	m.watch.wait = now
	return true
}

func (m *Core) onStoreAnswer(now time.Duration, op pendingOp, r store.Result) {
	switch {
	case op.purpose == purposeChunk:
		m.onChunkRead(now, r)
	case r.Status == store.StatusTimeout:
	case r.Status == store.StatusNotFound:
		m.watch.known, m.watch.version = true, 0
	case op.purpose == purposeRoot:
		m.onRoot(now, r.Value, r.Version)
	default:
		m.onWatch(now, r)
	}
}

func (m *Core) onWatch(now time.Duration, r store.Result) {
	for _, pair := range r.Pairs {
		if pair.Key != declaration.RootKey {
			continue
		}
		if pair.Deleted {
			m.watch.version = pair.Version
			continue
		}
		m.onRoot(now, pair.Value, pair.Version)
	}
}

// storeFailed pauses before the root is read again.
func (m *Core) storeFailed(now time.Duration) {
	w := &m.watch
	w.known = false
	w.assembly = nil
	w.backoff = min(max(2*w.backoff, minBackoff), maxBackoff)
	w.startAt = now + m.jittered(w.backoff)
}

// onRoot takes the root record that the store holds.
func (m *Core) onRoot(now time.Duration, value []byte, version uint64) {
	m.watch.known, m.watch.version = true, version
	record, err := declaration.DecodeRecord(value)
	if err != nil || record.Root.Revision <= m.Revision() {
		return
	}
	if record.Difference != nil && m.take(now, record.Difference) {
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

// readChunks keeps a bounded number of chunk reads under way.
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
		if len(reading) >= storeReads {
			return
		}
		if slices.Contains(reading, digest) {
			continue
		}
		reading = append(reading, digest)
		op := store.Op{Kind: store.OpGet, Key: declaration.ChunkKey(digest)}
		m.start(op, pendingOp{purpose: purposeChunk, digest: digest, lostAt: now + answerAfter})
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
