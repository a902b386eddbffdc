package storemodel

import (
	"cmp"
	"slices"

	"trefoilpath.org/trefoilpath/internal/store"
)

func (m *Model) findLease(id uint64) *lease {
	at, ok := m.leaseIndex(id)
	if !ok {
		return nil
	}
	return m.leases[at]
}

func (m *Model) leaseIndex(id uint64) (int, bool) {
	return slices.BinarySearchFunc(m.leases, id, func(l *lease, id uint64) int { return cmp.Compare(l.id, id) })
}

func (m *Model) grant(op store.Op) store.Result {
	if op.TTL <= 0 {
		return store.Result{Status: store.StatusInvalid}
	}
	m.lastLease++
	m.leases = append(m.leases, &lease{id: m.lastLease, ttl: op.TTL, expires: m.now + op.TTL})
	return store.Result{Status: store.StatusOK, Lease: m.lastLease}
}

func (m *Model) renew(op store.Op) store.Result {
	l := m.findLease(op.Lease)
	if l == nil {
		return store.Result{Status: store.StatusNotFound}
	}
	l.expires = m.now + l.ttl
	return store.Result{Status: store.StatusOK, Lease: op.Lease}
}

func (m *Model) revoke(op store.Op) store.Result {
	if m.findLease(op.Lease) == nil {
		return store.Result{Status: store.StatusNotFound}
	}
	m.endLease(op.Lease)
	return store.Result{Status: store.StatusOK}
}

func (m *Model) expireLeases() {
	for i := 0; i < len(m.leases); {
		if m.leases[i].expires > m.now {
			i++
			continue
		}
		m.endLease(m.leases[i].id)
	}
}

// endLease ends a lease and deletes the keys attached to it.
func (m *Model) endLease(id uint64) {
	at, _ := m.leaseIndex(id)
	m.leases = slices.Delete(m.leases, at, at+1)
	for _, key := range slices.Clone(m.keys) {
		if m.records[key].lease == id {
			m.remove(key)
		}
	}
}
