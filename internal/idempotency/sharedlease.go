package idempotency

import (
	"slices"
	"time"

	"trefoilpath.org/trefoilpath/internal/store"
)

// attachPeriodDivisor sets how long new records are attached to the same store
// lease: the record TTL divided by it.
const attachPeriodDivisor = 8

// sharedLease is a store lease that many records share, so that records expire
// without a write for each. It outlasts the TTL of the last record attached to it.
type sharedLease struct {
	ttl         time.Duration // of records
	lease       uint64        // at the store, 0: none
	attachUntil time.Duration // new records may be attached until then
	granting    bool          // a grant is in flight
	grantSentAt time.Duration // when the latest grant was sent
	waiting     []uint64      // handles of calls that need the lease
}

// leaseFor returns the lease for a record of the call, or 0 if one must be
// granted first; the call then continues when the grant is answered.
func (m *Core) leaseFor(now time.Duration, c *call) uint64 {
	l := m.sharedLeases[c.ttl]
	if l == nil {
		l = &sharedLease{ttl: c.ttl}
		m.sharedLeases[c.ttl] = l
	}
	if l.lease != 0 && now < l.attachUntil {
		return l.lease
	}
	l.lease = 0
	if !slices.Contains(l.waiting, c.handle) {
		l.waiting = append(l.waiting, c.handle)
	}
	if !l.granting {
		l.granting = true
		l.grantSentAt = now
		m.send(store.Op{Kind: store.OpGrant, TTL: l.ttl + l.ttl/attachPeriodDivisor}, opOwner{leaseTTL: l.ttl})
	}
	return 0
}

func (m *Core) onGrantResult(now time.Duration, l *sharedLease, r store.Result) {
	l.granting = false
	if r.Status == store.StatusOK {
		l.lease = r.Lease
		l.attachUntil = l.grantSentAt + l.ttl/attachPeriodDivisor
	}
	waiting := l.waiting
	l.waiting = nil
	for _, handle := range waiting {
		c := m.calls.Get(handle)
		if c == nil || c.step != stepLease {
			continue
		}
		if r.Status == store.StatusOK {
			m.write(now, c)
		} else {
			m.backOff(now, c, stepPut)
		}
		m.rescheduleIfPresent(handle)
	}
}

// dropLease forgets the lease for the call's TTL, which the store no longer has.
func (m *Core) dropLease(c *call) {
	if l := m.sharedLeases[c.ttl]; l != nil {
		l.lease = 0
	}
}
