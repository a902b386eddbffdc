package store

import (
	"bytes"
	"encoding/binary"
	"math/rand/v2"
	"time"

	"trefoilpath.org/trefoilpath/internal/option"
)

// LeaseConfig describes one leased key. Key, Holder, NextOp and Rand must be set.
type LeaseConfig struct {
	Key    string
	Holder string        // identifies the process and its incarnation in the key's value
	TTL    time.Duration // of the lease at the store
	Margin time.Duration // Held turns false this long before the lease may expire
	Retry  time.Duration // wait after a failure or while another process holds the key, without jitter
	NextOp func() uint64 // returns operation IDs that are unique in the process
	Rand   *rand.Rand    // nonces and jitter
}

// The defaults of LeaseConfig.
const (
	DefaultLeaseTTL    = 6 * time.Second
	DefaultLeaseMargin = time.Second
	DefaultLeaseRetry  = time.Second
)

// renewRetryDivisor sets the wait before a renewal without an answer is repeated,
// without jitter: the lease's TTL divided by it.
const renewRetryDivisor = 12

// nonceBytes is the length of the random part of a lease's value.
const nonceBytes = 16

type leaseStep uint8

const (
	leaseIdle      leaseStep = iota // waits for wakeAt
	leaseReading                    // OpGet to see whether the key is held
	leaseGranting                   // OpGrant
	leasePutting                    // OpPut of the key under the lease
	leaseChecking                   // OpGet after an unknown OpPut
	leaseOwned                      // the key is ours; renews at wakeAt
	leaseRenewing                   // OpRenew
	leaseUncertain                  // waits for wakeAt to check or repeat the OpPut
)

// Lease acquires a key of the store and keeps it by renewing its lease. The
// expiry is counted from when a grant or renewal was sent, so Held never outlasts
// the lease at the store, even after a pause of the process or a slow answer. The
// clock must keep running while the process is paused.
//
// Lease is deterministic and not safe for concurrent use.
type Lease struct {
	cfg    LeaseConfig
	wanted bool
	step   leaseStep
	wakeAt time.Duration

	op        uint64        // ID of the operation in flight, 0: none
	sentAt    time.Duration // of op
	leaseID   uint64        // at the store, 0: none
	value     []byte        // of the key: a nonce that is new for each lease, then Holder
	expiresAt time.Duration // when the lease may expire at the store
	owned     bool          // the key was seen or written with our value
	fence     uint64        // version of the key when owned
	outbox    []Op
}

// NewLease returns a Lease that does not hold the key and tries to acquire it
// from the next Tick on.
func NewLease(cfg LeaseConfig) *Lease {
	option.Default(&cfg.TTL, DefaultLeaseTTL)
	option.Default(&cfg.Margin, DefaultLeaseMargin)
	option.Default(&cfg.Retry, DefaultLeaseRetry)
	return &Lease{cfg: cfg, wanted: true}
}

// Held reports whether the process holds the key at now, with at least Margin
// left before the lease may expire.
func (l *Lease) Held(now time.Duration) bool {
	return l.owned && now < l.expiresAt-l.cfg.Margin
}

// Fence returns the version of the key that this process wrote when it acquired
// it. Later holders have higher ones. It is meaningful only while Held.
func (l *Lease) Fence() uint64 { return l.fence }

// SetWanted sets whether the process wants the key. If it no longer does, its
// lease is revoked; one whose grant is in flight is left to expire.
func (l *Lease) SetWanted(now time.Duration, wanted bool) {
	if wanted == l.wanted {
		return
	}
	l.wanted = wanted
	if !wanted {
		l.release()
		return
	}
	l.wakeAt = now
}

func (l *Lease) release() {
	if l.leaseID != 0 {
		l.outbox = append(l.outbox, Op{ID: l.cfg.NextOp(), Kind: OpRevoke, Lease: l.leaseID})
	}
	l.reset()
}

// reset forgets the lease. An answer still in flight is ignored.
func (l *Lease) reset() {
	l.step = leaseIdle
	l.op = 0
	l.leaseID = 0
	l.value = nil
	l.expiresAt = 0
	l.owned = false
	l.fence = 0
}

// Next returns the time at which Tick is due.
func (l *Lease) Next() time.Duration {
	if !l.wanted || l.op != 0 {
		return never
	}
	return l.wakeAt
}

// TakeStore returns the operations to send.
func (l *Lease) TakeStore() []Op {
	out := l.outbox
	l.outbox = nil
	return out
}

// Tick sends the next operation when it is due.
func (l *Lease) Tick(now time.Duration) {
	if !l.wanted || l.op != 0 || now < l.wakeAt {
		return
	}
	switch l.step {
	case leaseIdle:
		l.send(now, leaseReading, Op{Kind: OpGet, Key: l.cfg.Key})
	case leaseUncertain:
		l.send(now, leaseChecking, Op{Kind: OpGet, Key: l.cfg.Key})
	case leaseOwned:
		l.send(now, leaseRenewing, Op{Kind: OpRenew, Lease: l.leaseID})
	}
}

func (l *Lease) send(now time.Duration, step leaseStep, op Op) {
	op.ID = l.cfg.NextOp()
	l.op = op.ID
	l.sentAt = now
	l.step = step
	l.outbox = append(l.outbox, op)
}

// StoreResult takes the answer to one of the lease's operations. It reports
// false for any other.
func (l *Lease) StoreResult(now time.Duration, r Result) bool {
	if l.op == 0 || r.ID != l.op {
		return false
	}
	l.op = 0
	switch l.step {
	case leaseReading:
		l.onRead(now, r)
	case leaseGranting:
		l.onGrant(now, r)
	case leasePutting:
		l.onPut(now, r)
	case leaseChecking:
		l.onCheck(now, r)
	case leaseRenewing:
		l.onRenew(now, r)
	}
	return true
}

func (l *Lease) onRead(now time.Duration, r Result) {
	if r.Status != StatusNotFound {
		l.retry(now, leaseIdle)
		return
	}
	l.send(now, leaseGranting, Op{Kind: OpGrant, TTL: l.cfg.TTL})
}

// onGrant starts the write of the key. A grant without an answer leaves at most
// a lease without keys, which expires.
func (l *Lease) onGrant(now time.Duration, r Result) {
	if r.Status != StatusOK {
		l.retry(now, leaseIdle)
		return
	}
	l.leaseID = r.Lease
	l.expiresAt = l.sentAt + l.cfg.TTL
	l.value = l.newValue()
	l.sendPut(now)
}

func (l *Lease) newValue() []byte {
	value := make([]byte, nonceBytes, nonceBytes+len(l.cfg.Holder))
	binary.BigEndian.PutUint64(value[:8], l.cfg.Rand.Uint64())
	binary.BigEndian.PutUint64(value[8:], l.cfg.Rand.Uint64())
	return append(value, l.cfg.Holder...)
}

// HolderOf returns the holder named in the value of a leased key.
func HolderOf(value []byte) string {
	if len(value) < nonceBytes {
		return ""
	}
	return string(value[nonceBytes:])
}

func (l *Lease) sendPut(now time.Duration) {
	l.send(now, leasePutting, Op{Kind: OpPut, Key: l.cfg.Key, Value: l.value, Lease: l.leaseID})
}

// onPut handles the answer to the write of the key. A conflict may be with an
// earlier write of our own whose answer was lost.
func (l *Lease) onPut(now time.Duration, r Result) {
	switch r.Status {
	case StatusOK:
		l.acquired(now, r.Version)
	case StatusConflict:
		l.send(now, leaseChecking, Op{Kind: OpGet, Key: l.cfg.Key})
	case StatusUnknown, StatusUnavailable:
		l.retry(now, leaseUncertain)
	default:
		l.abandon(now)
	}
}

// onCheck compares the value of the key with ours. While the key is absent, the
// unanswered write may still take effect, so the same write is repeated: one of
// the two succeeds, under our lease.
func (l *Lease) onCheck(now time.Duration, r Result) {
	switch {
	case r.Status == StatusOK && bytes.Equal(r.Value, l.value):
		l.acquired(now, r.Version)
	case now >= l.expiresAt-l.cfg.Margin, r.Status == StatusOK:
		l.abandon(now)
	case r.Status == StatusNotFound:
		l.sendPut(now)
	default:
		l.retry(now, leaseUncertain)
	}
}

func (l *Lease) acquired(now time.Duration, version uint64) {
	l.owned = true
	l.fence = version
	l.step = leaseOwned
	l.wakeAt = l.renewAt(now)
}

// renewAt returns when a third of the TTL has passed since the last grant or
// renewal, or now if that time has passed.
func (l *Lease) renewAt(now time.Duration) time.Duration {
	return max(now, l.expiresAt-l.cfg.TTL*2/3)
}

// onRenew handles the answer to a renewal. Without one the lease counts as not
// extended.
func (l *Lease) onRenew(now time.Duration, r Result) {
	switch r.Status {
	case StatusOK:
		l.expiresAt = max(l.expiresAt, l.sentAt+l.cfg.TTL)
		l.step = leaseOwned
		l.wakeAt = l.renewAt(now)
	case StatusUnknown, StatusUnavailable:
		l.step = leaseOwned
		l.wakeAt = now + l.jittered(l.cfg.TTL/renewRetryDivisor)
	default:
		l.abandon(now)
	}
}

// abandon forgets a lease that has expired or does not hold the key, and retries.
func (l *Lease) abandon(now time.Duration) {
	l.reset()
	l.retry(now, leaseIdle)
}

func (l *Lease) retry(now time.Duration, step leaseStep) {
	l.step = step
	l.wakeAt = now + l.jittered(l.cfg.Retry)
}

// jittered returns a duration between half of d and one and a half of d.
func (l *Lease) jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(l.cfg.Rand.Int64N(int64(d)+1))
}
