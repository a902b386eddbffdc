// Package storemodel is a deterministic model of the platform's key-value
// service: compare-and-swap, leases with time to live, and watches that wait for a
// change. It has no I/O, clock or goroutine; the caller passes the monotonic time.
package storemodel

import (
	"slices"
	"strings"
	"time"

	"trefoilpath.org/trefoilpath/internal/store"
)

// maxTombstones is the number of latest deletions that watches can report.
const maxTombstones = 4096

const maxDuration = time.Duration(1<<63 - 1)

// Model holds keys, leases and waiting watches. It is not safe for concurrent use.
type Model struct {
	now        time.Duration
	version    uint64 // of the last write
	lastLease  uint64 // identifier of the last lease granted
	records    map[string]*record
	keys       []string // of records, sorted
	leases     []*lease // in order of their identifiers
	tombstones []tombstone
	watches    []*Watch // waiting, oldest first
	answered   []*Watch // since the last TakeWatches
	counts     Counts
}

type record struct {
	value   []byte
	version uint64
	lease   uint64 // lease that the key is attached to; 0: none
}

type lease struct {
	id      uint64
	ttl     time.Duration
	expires time.Duration
}

type tombstone struct {
	key     string
	version uint64
}

// Watch is an OpWatch that waits for a change.
type Watch struct {
	Op     store.Op
	Result store.Result  // valid once TakeWatches has returned the watch
	until  time.Duration // time of its timeout
}

// Counts are the operations executed so far.
type Counts struct {
	Reads  int // watches included
	Writes int
}

// New returns an empty store.
func New() *Model { return &Model{records: make(map[string]*record)} }

// Do executes op. For an OpWatch that has to wait it returns a Watch instead of a
// result; TakeWatches returns the Watch once it is answered.
func (m *Model) Do(now time.Duration, op store.Op) (store.Result, *Watch) {
	m.Tick(now)
	if op.Writes() {
		m.counts.Writes++
	} else {
		m.counts.Reads++
	}
	if op.Kind == store.OpWatch {
		return m.watch(op)
	}
	return m.finishResult(op, m.execute(op)), nil
}

// finishResult sets the fields of a result that all operations share.
func (m *Model) finishResult(op store.Op, r store.Result) store.Result {
	r.ID = op.ID
	r.Latest = m.version
	return r
}

func (m *Model) execute(op store.Op) store.Result {
	switch op.Kind {
	case store.OpGet:
		return m.get(op)
	case store.OpList:
		return store.Result{Status: store.StatusOK, Pairs: m.list(op.Key)}
	case store.OpPut:
		return m.put(op)
	case store.OpDelete:
		return m.delete(op)
	case store.OpGrant:
		return m.grant(op)
	case store.OpRenew:
		return m.renew(op)
	case store.OpRevoke:
		return m.revoke(op)
	}
	return store.Result{Status: store.StatusInvalid}
}

// Tick expires the leases and the watches whose time has passed.
func (m *Model) Tick(now time.Duration) {
	m.now = max(m.now, now)
	m.expireLeases()
	m.expireWatches()
}

// Next returns the time at which Tick is due, or the largest duration for never.
func (m *Model) Next() time.Duration {
	next := maxDuration
	for _, l := range m.leases {
		next = min(next, l.expires)
	}
	for _, w := range m.watches {
		next = min(next, w.until)
	}
	return next
}

// Counts returns the number of operations executed so far.
func (m *Model) Counts() Counts { return m.counts }

// Latest returns the version of the last write.
func (m *Model) Latest() uint64 { return m.version }

func (m *Model) get(op store.Op) store.Result {
	r, ok := m.records[op.Key]
	if !ok {
		return store.Result{Status: store.StatusNotFound}
	}
	return store.Result{Status: store.StatusOK, Version: r.version, Value: r.value, Lease: r.lease}
}

func (m *Model) list(prefix string) []store.Pair {
	var pairs []store.Pair
	at, _ := slices.BinarySearch(m.keys, prefix)
	for _, key := range m.keys[at:] {
		if !strings.HasPrefix(key, prefix) {
			break
		}
		r := m.records[key]
		pairs = append(pairs, store.Pair{Key: key, Value: r.value, Version: r.version})
	}
	return pairs
}

func (m *Model) put(op store.Op) store.Result {
	if len(op.Value) > store.MaxValueBytes || op.Key == "" {
		return store.Result{Status: store.StatusInvalid}
	}
	if op.Lease != 0 && m.findLease(op.Lease) == nil {
		return store.Result{Status: store.StatusNotFound}
	}
	r := m.records[op.Key]
	if current := r.currentVersion(); current != op.Expect {
		return store.Result{Status: store.StatusConflict, Version: current}
	}
	if r == nil {
		r = &record{}
		m.records[op.Key] = r
		at, _ := slices.BinarySearch(m.keys, op.Key)
		m.keys = slices.Insert(m.keys, at, op.Key)
	}
	m.version++
	*r = record{value: slices.Clone(op.Value), version: m.version, lease: op.Lease}
	m.notify(op.Key)
	return store.Result{Status: store.StatusOK, Version: m.version}
}

func (r *record) currentVersion() uint64 {
	if r == nil {
		return 0
	}
	return r.version
}

func (m *Model) delete(op store.Op) store.Result {
	r, ok := m.records[op.Key]
	if !ok {
		return store.Result{Status: store.StatusNotFound}
	}
	if r.version != op.Expect {
		return store.Result{Status: store.StatusConflict, Version: r.version}
	}
	m.remove(op.Key)
	return store.Result{Status: store.StatusOK, Version: m.version}
}

// remove deletes a key, records a tombstone and answers the watches on the key.
func (m *Model) remove(key string) {
	delete(m.records, key)
	if at, ok := slices.BinarySearch(m.keys, key); ok {
		m.keys = slices.Delete(m.keys, at, at+1)
	}
	m.version++
	m.tombstones = append(m.tombstones, tombstone{key: key, version: m.version})
	if excess := len(m.tombstones) - maxTombstones; excess > 0 {
		m.tombstones = slices.Delete(m.tombstones, 0, excess)
	}
	m.notify(key)
}
