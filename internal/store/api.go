// Package store is the client side of the platform's key-value service: its
// operations, the call budget of a process, leases, and watches. The outcome of
// a write may be unknown.
package store

import (
	"context"
	"time"
)

// OpKind is one kind of operation.
type OpKind uint8

// The operations of the platform's key-value service.
const (
	OpGet    OpKind = 1
	OpList   OpKind = 2 // all keys that begin with Key
	OpPut    OpKind = 3 // compare-and-swap: succeeds if the key's version equals Expect
	OpDelete OpKind = 4 // compare-and-swap delete
	OpGrant  OpKind = 5 // creates a lease that lasts TTL
	OpRenew  OpKind = 6 // extends Lease by its TTL
	OpRevoke OpKind = 7 // ends Lease and deletes the keys attached to it
	OpWatch  OpKind = 8 // returns when a key with prefix Key changes after version Expect, or after TTL
)

// Op is one operation. Its Result has the same ID.
type Op struct {
	ID     uint64        `json:"id"`
	Kind   OpKind        `json:"kind"`
	Key    string        `json:"key,omitempty"`
	After  string        `json:"after,omitempty"` // OpList: only keys after this one, as the next page of a listing
	Value  []byte        `json:"value,omitempty"`
	Expect uint64        `json:"expect,omitempty"` // OpPut, OpDelete: version that the key must have, 0: no such key (OpPut); OpWatch: last version already seen
	Lease  uint64        `json:"lease,omitempty"`  // OpPut: attach the key to it; OpRenew, OpRevoke: the lease to extend or end
	TTL    time.Duration `json:"ttl,omitempty"`    // OpGrant: of the lease; OpWatch: longest wait

	// MaxValue is the size in bytes of the largest value of use to Keep. A larger one may be read as nil.
	// 0: any size.
	MaxValue int `json:"-"`
	// Keep returns the value to hold for a pair that OpList or OpWatch has read, and what use it is. A key
	// without a use counts as deleted. Clients that implement it call it for each pair as they read
	// it (see Select), so that values that nobody needs take no memory. Nil holds all values.
	Keep func(Pair) (value []byte, use Use) `json:"-"`
}

// Use says what use a pair is to the process that reads it.
type Use uint8

// The uses of a pair.
const (
	Unusable Use = iota // it says nothing, as what another program has written
	Spare               // it says something that isn't needed now, but may be later
	Needed
)

// Select applies Keep to a pair that has been read.
func (o Op) Select(p Pair) Pair {
	if o.Keep == nil || p.Deleted {
		return p
	}
	value, use := o.Keep(p)
	if use == Unusable {
		return Pair{Key: p.Key, Version: p.Version, Deleted: true}
	}
	p.Value, p.Spare = value, use == Spare
	return p
}

// Writes reports whether the operation may change the store.
func (o Op) Writes() bool {
	switch o.Kind {
	case OpGet, OpList, OpWatch:
		return false
	}
	return true
}

// Status is the result of an operation.
type Status uint8

// The results of an operation.
const (
	StatusOK          Status = 1
	StatusConflict    Status = 2 // compare-and-swap failed; Version is the current one
	StatusNotFound    Status = 3 // no such key or lease
	StatusUnavailable Status = 4 // not executed, or a read without an answer
	StatusUnknown     Status = 5 // no answer; a write may have taken effect, now or later
	StatusTimeout     Status = 6 // OpWatch: nothing changed within TTL
	StatusInvalid     Status = 7 // the store rejected the operation, for example a value over a megabyte
	StatusCompacted   Status = 8 // OpWatch: the history after Expect is gone; list the keys anew
)

// Client executes one operation per call and always returns a Result with its ID.
// Implementations are safe for concurrent use.
type Client interface {
	Do(ctx context.Context, op Op) Result
}

// Result answers an Op. Versions are positive and increase with every write to
// the store, whatever the key; a lease holder uses its key's version as fencing
// token.
type Result struct {
	ID      uint64 `json:"id"`
	Status  Status `json:"status"`
	Version uint64 `json:"version,omitempty"` // of the key
	Latest  uint64 `json:"latest,omitempty"`  // newest version in the store
	Era     uint64 `json:"era,omitempty"`     // of the store, which rises when it is restored from a backup; 0: unknown
	Value   []byte `json:"value,omitempty"`
	Lease   uint64 `json:"lease,omitempty"` // OpGrant: the new lease; OpGet: that of the key, 0: none
	Pairs   []Pair `json:"pairs,omitempty"` // OpList, OpWatch; sorted by key
	More    bool   `json:"more,omitempty"`  // OpList: the listing goes on after the last pair
}

// Pair is one key with its value.
type Pair struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"` // OpWatch, and keys without a use (Op.Keep)
	Spare   bool   `json:"-" cbor:"-"`        // Op.Keep: not needed now
}

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1 << 20
