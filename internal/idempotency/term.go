package idempotency

import (
	"slices"
	"time"

	"trefoilpath.org/trefoilpath/internal/store"
)

// termShare is the part of a record's TTL during which new records are attached
// to the same store lease.
const termShare = 8

// term is a store lease that many records share, so that records expire without
// a write each. It outlasts the TTL of the last record attached to it.
type term struct {
	ttl      time.Duration // of records
	lease    uint64        // 0: none
	newUntil time.Duration // records may be attached until then
	granting bool
	sentAt   time.Duration
	waiting  []uint64 // handles of calls that need the lease
}

// leaseFor returns the lease for a record of the call, or 0 after asking for one.
func (m *Core) leaseFor(now time.Duration, c *call) uint64 {
	t := m.terms[c.ttl]
	if t == nil {
		t = &term{ttl: c.ttl}
		m.terms[c.ttl] = t
	}
	if t.lease != 0 && now < t.newUntil {
		return t.lease
	}
	t.lease = 0
	if !slices.Contains(t.waiting, c.handle) {
		t.waiting = append(t.waiting, c.handle)
	}
	if !t.granting {
		t.granting = true
		t.sentAt = now
		m.send(store.Op{Kind: store.OpGrant, TTL: t.ttl + t.ttl/termShare}, opOwner{term: t.ttl})
	}
	return 0
}

func (m *Core) granted(now time.Duration, t *term, r store.Result) {
	t.granting = false
	if r.Status == store.StatusOK {
		t.lease = r.Lease
		t.newUntil = t.sentAt + t.ttl/termShare
	}
	waiting := t.waiting
	t.waiting = nil
	for _, handle := range waiting {
		c := m.calls.Get(handle)
		if c == nil || c.step != stepLease {
			continue
		}
		if r.Status == store.StatusOK {
			m.write(now, c)
		} else {
			m.pause(now, c, stepPut)
		}
		m.rescheduleIfPresent(handle)
	}
}

// dropLease forgets a lease that the store no longer knows.
func (m *Core) dropLease(c *call) {
	if t := m.terms[c.ttl]; t != nil {
		t.lease = 0
	}
}
