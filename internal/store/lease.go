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
	Margin time.Duration // Held ends this long before the lease can lapse
	Retry  time.Duration // pause after a failure or while another process holds the key, before jitter
	NextOp func() uint64 // returns operation IDs that are unique in the process
	Rand   *rand.Rand    // nonces and jitter
}

// The defaults of LeaseConfig.
const (
	DefaultLeaseTTL    = 6 * time.Second
	DefaultLeaseMargin = time.Second
	DefaultLeaseRetry  = time.Second
)

// nonceBytes is the length of the random part of a lease's value.
const nonceBytes = 16

type leaseStep uint8

const (
	leaseIdle     leaseStep = iota // waits for wakeAt
	leaseReading                   // OpGet: does anyone hold the key?
	leaseGranting                  // OpGrant
	leasePutting                   // OpPut of the key under the lease
	leaseChecking                  // OpGet after an unknown OpPut
	leaseOwned                     // the key is ours; renews at wakeAt
	leaseRenewing                  // OpRenew
	leaseUnsure                    // waits for wakeAt to check or repeat the OpPut
)

// Lease acquires a key of the store and keeps it by renewing its lease. Time
// counts from when a grant or renewal was sent, so Held never outlasts the lease
// at the store, also after a pause of the process or a slow answer. The clock
// must run on while the process is stopped.
//
// Lease is deterministic and not safe for concurrent use.
type Lease struct {
	cfg    LeaseConfig
	wanted bool
	step   leaseStep
	wakeAt time.Duration

	op     uint64        // in flight, 0: none
	sentAt time.Duration // of op
	lease  uint64        // at the store
	value  []byte        // with a nonce that is new for each lease
	until  time.Duration // when the lease may lapse at the store
	owned  bool          // the key was seen or written under our value
	fence  uint64
	out    []Op
}

// NewLease returns a Lease that does not hold the key and seeks it at the next Tick.
func NewLease(cfg LeaseConfig) *Lease {
	option.Default(&cfg.TTL, DefaultLeaseTTL)
	option.Default(&cfg.Margin, DefaultLeaseMargin)
	option.Default(&cfg.Retry, DefaultLeaseRetry)
	return &Lease{cfg: cfg, wanted: true}
}

// Held reports whether the process holds the key at now, with margin.
func (l *Lease) Held(now time.Duration) bool {
	return l.owned && now < l.until-l.cfg.Margin
}

// Fence returns the version of the key that this process wrote when it acquired
// it. Later holders have higher ones. It is meaningful only while Held.
func (l *Lease) Fence() uint64 { return l.fence }

// SetWanted says whether the process seeks the key. An owned key is given up.
func (l *Lease) SetWanted(now time.Duration, wanted bool) {
	if wanted == l.wanted {
		return
	}
	l.wanted = wanted
	if !wanted {
		l.giveUp()
		return
	}
	l.wakeAt = now
}

func (l *Lease) giveUp() {
	if l.lease != 0 {
		l.out = append(l.out, Op{ID: l.cfg.NextOp(), Kind: OpRevoke, Lease: l.lease})
	}
	l.reset()
}

// reset forgets the lease. An answer still in flight is ignored.
func (l *Lease) reset() {
	l.step = leaseIdle
	l.op = 0
	l.lease = 0
	l.value = nil
	l.until = 0
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
	out := l.out
	l.out = nil
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
	case leaseUnsure:
		l.send(now, leaseChecking, Op{Kind: OpGet, Key: l.cfg.Key})
	case leaseOwned:
		l.send(now, leaseRenewing, Op{Kind: OpRenew, Lease: l.lease})
	}
}

func (l *Lease) send(now time.Duration, step leaseStep, op Op) {
	op.ID = l.cfg.NextOp()
	l.op = op.ID
	l.sentAt = now
	l.step = step
	l.out = append(l.out, op)
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
		l.read(now, r)
	case leaseGranting:
		l.granted(now, r)
	case leasePutting:
		l.put(now, r)
	case leaseChecking:
		l.checked(now, r)
	case leaseRenewing:
		l.renewed(now, r)
	}
	return true
}

func (l *Lease) read(now time.Duration, r Result) {
	if r.Status != StatusNotFound {
		l.retry(now, leaseIdle)
		return
	}
	l.send(now, leaseGranting, Op{Kind: OpGrant, TTL: l.cfg.TTL})
}

// granted starts the write of the key. A grant without an answer leaves at most
// a lease without keys, which lapses by itself.
func (l *Lease) granted(now time.Duration, r Result) {
	if r.Status != StatusOK {
		l.retry(now, leaseIdle)
		return
	}
	l.lease = r.Lease
	l.until = l.sentAt + l.cfg.TTL
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
	l.send(now, leasePutting, Op{Kind: OpPut, Key: l.cfg.Key, Value: l.value, Lease: l.lease})
}

// put acts on the answer to the write of the key. A conflict may be with an
// earlier try of our own whose answer was lost.
func (l *Lease) put(now time.Duration, r Result) {
	switch r.Status {
	case StatusOK:
		l.acquired(now, r.Version)
	case StatusConflict:
		l.send(now, leaseChecking, Op{Kind: OpGet, Key: l.cfg.Key})
	case StatusUnknown, StatusUnavailable:
		l.retry(now, leaseUnsure)
	default:
		l.abandon(now)
	}
}

// checked compares the nonce of the key with ours. While the key is absent the
// lost write may still take effect, so the same write is repeated: one of the
// two succeeds, under our lease.
func (l *Lease) checked(now time.Duration, r Result) {
	switch {
	case r.Status == StatusOK && bytes.Equal(r.Value, l.value):
		l.acquired(now, r.Version)
	case now >= l.until-l.cfg.Margin, r.Status == StatusOK:
		l.abandon(now)
	case r.Status == StatusNotFound:
		l.sendPut(now)
	default:
		l.retry(now, leaseUnsure)
	}
}

func (l *Lease) acquired(now time.Duration, version uint64) {
	l.owned = true
	l.fence = version
	l.step = leaseOwned
	l.wakeAt = l.renewAt(now)
}

// renewAt is when a third of the TTL has passed since the last grant or renewal.
func (l *Lease) renewAt(now time.Duration) time.Duration {
	return max(now, l.until-l.cfg.TTL*2/3)
}

// renewed extends the lease. Without an answer the lease counts as not extended.
func (l *Lease) renewed(now time.Duration, r Result) {
	switch r.Status {
	case StatusOK:
		l.until = max(l.until, l.sentAt+l.cfg.TTL)
		l.step = leaseOwned
		l.wakeAt = l.renewAt(now)
	case StatusUnknown, StatusUnavailable:
		l.step = leaseOwned
		l.wakeAt = now + l.jittered(l.cfg.TTL/12)
	default:
		l.abandon(now)
	}
}

// abandon forgets a lease that has lapsed or lost its key.
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
