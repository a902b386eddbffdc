// Package storetest is a small in-memory model of the platform's key-value
// service for tests of deterministic machines on a virtual clock. A Link between
// a machine and the model delays, refuses or loses operations and answers.
package storetest

import (
	"slices"
	"strings"
	"time"

	"trefoilpath.org/trefoilpath/internal/store"
)

// Model holds keys and leases. It is not safe for concurrent use.
type Model struct {
	now     time.Duration
	version uint64
	lease   uint64
	keys    map[string]record
	leases  map[uint64]*lease
	Writes  int // operations that may change the store
	Reads   int
}

type record struct {
	value   []byte
	version uint64
	lease   uint64
}

type lease struct {
	ttl    time.Duration
	lapses time.Duration
}

// NewModel returns an empty store.
func NewModel() *Model {
	return &Model{keys: make(map[string]record), leases: make(map[uint64]*lease)}
}

// Get returns the value of a key at now.
func (m *Model) Get(now time.Duration, key string) ([]byte, uint64, bool) {
	m.advance(now)
	r, ok := m.keys[key]
	return r.value, r.version, ok
}

// Keys returns the keys with the prefix at now, in order.
func (m *Model) Keys(now time.Duration, prefix string) []string {
	m.advance(now)
	var keys []string
	for k := range m.keys {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

// Apply executes op at now. A watch is answered at once.
func (m *Model) Apply(now time.Duration, op store.Op) store.Result {
	m.advance(now)
	if op.Writes() {
		m.Writes++
	} else {
		m.Reads++
	}
	r := m.apply(op)
	r.ID = op.ID
	r.Latest = m.version
	return r
}

func (m *Model) apply(op store.Op) store.Result {
	switch op.Kind {
	case store.OpGet:
		r, ok := m.keys[op.Key]
		if !ok {
			return store.Result{Status: store.StatusNotFound}
		}
		return store.Result{Status: store.StatusOK, Value: r.value, Version: r.version, Lease: r.lease}
	case store.OpList, store.OpWatch:
		return m.list(op)
	case store.OpPut:
		return m.put(op)
	case store.OpDelete:
		return m.remove(op)
	}
	return m.applyLease(op)
}

func (m *Model) list(op store.Op) store.Result {
	var pairs []store.Pair
	for _, k := range m.Keys(m.now, op.Key) {
		r := m.keys[k]
		if op.Kind == store.OpList || r.version > op.Expect {
			pairs = append(pairs, store.Pair{Key: k, Value: r.value, Version: r.version})
		}
	}
	if op.Kind == store.OpWatch && len(pairs) == 0 {
		return store.Result{Status: store.StatusTimeout}
	}
	return store.Result{Status: store.StatusOK, Pairs: pairs}
}

func (m *Model) put(op store.Op) store.Result {
	if len(op.Value) > store.MaxValueBytes {
		return store.Result{Status: store.StatusInvalid}
	}
	if op.Lease != 0 && m.leases[op.Lease] == nil {
		return store.Result{Status: store.StatusNotFound}
	}
	if current := m.keys[op.Key].version; current != op.Expect {
		return store.Result{Status: store.StatusConflict, Version: current}
	}
	m.version++
	m.keys[op.Key] = record{value: slices.Clone(op.Value), version: m.version, lease: op.Lease}
	return store.Result{Status: store.StatusOK, Version: m.version}
}

func (m *Model) remove(op store.Op) store.Result {
	r, ok := m.keys[op.Key]
	if !ok {
		return store.Result{Status: store.StatusNotFound}
	}
	if r.version != op.Expect {
		return store.Result{Status: store.StatusConflict, Version: r.version}
	}
	m.version++
	delete(m.keys, op.Key)
	return store.Result{Status: store.StatusOK, Version: m.version}
}

func (m *Model) applyLease(op store.Op) store.Result {
	if op.Kind == store.OpGrant {
		m.lease++
		m.leases[m.lease] = &lease{ttl: op.TTL, lapses: m.now + op.TTL}
		return store.Result{Status: store.StatusOK, Lease: m.lease}
	}
	l := m.leases[op.Lease]
	if l == nil {
		return store.Result{Status: store.StatusNotFound}
	}
	if op.Kind == store.OpRenew {
		l.lapses = m.now + l.ttl
		return store.Result{Status: store.StatusOK, Lease: op.Lease}
	}
	m.drop(op.Lease)
	return store.Result{Status: store.StatusOK}
}

func (m *Model) advance(now time.Duration) {
	m.now = max(m.now, now)
	for id, l := range m.leases {
		if m.now >= l.lapses {
			m.drop(id)
		}
	}
}

func (m *Model) drop(id uint64) {
	delete(m.leases, id)
	for k, r := range m.keys {
		if r.lease == id {
			delete(m.keys, k)
			m.version++
		}
	}
}
