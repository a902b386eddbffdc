package wire

import "time"

// ToPeer is one message between two entries. Exactly one field is set.
type ToPeer struct {
	Announce     *Announce     `cbor:"1,keyasint,omitempty"`
	ChunkRequest *ChunkRequest `cbor:"2,keyasint,omitempty"`
	Chunks       *Chunks       `cbor:"3,keyasint,omitempty"`
	GrantRequest *GrantRequest `cbor:"4,keyasint,omitempty"`
	GrantReply   *GrantReply   `cbor:"5,keyasint,omitempty"`
}

// Announce tells a peer that the sender is alive and which declarations it
// holds. It is the heartbeat between entries.
type Announce struct {
	Incarnation   Incarnation   `cbor:"1,keyasint"`
	Region        Region        `cbor:"2,keyasint"`
	FailureDomain FailureDomain `cbor:"3,keyasint"`
	Revision      uint64        `cbor:"4,keyasint,omitempty"`
	RootDigest    uint64        `cbor:"5,keyasint,omitempty"`
	Leaving       bool          `cbor:"6,keyasint,omitempty"`
	Ready         bool          `cbor:"7,keyasint,omitempty"`
	// Lagging is the lowest revision in force at an agent of the sender, or
	// Revision if none lags.
	Lagging uint64 `cbor:"8,keyasint,omitempty"`
}

// ChunkRequest asks for the declarations. Have lists the digests of the chunks
// that the sender already holds.
type ChunkRequest struct {
	Revision uint64   `cbor:"1,keyasint"`
	Have     []uint64 `cbor:"2,keyasint,omitempty"`
}

// Chunks carries a root record and the chunks that the receiver lacks.
type Chunks struct {
	Root   []byte   `cbor:"1,keyasint"` // encoded declaration root
	Bodies [][]byte `cbor:"2,keyasint,omitempty"`
}

// GrantRequest asks the home entry of client accounts for slices of their limits.
type GrantRequest struct {
	Incarnation Incarnation `cbor:"1,keyasint"`
	Wants       []GrantWant `cbor:"2,keyasint"`
}

// GrantWant is what one entry would use of one account's limits.
type GrantWant struct {
	Account     AccountID `cbor:"1,keyasint"`
	Requests    float64   `cbor:"2,keyasint"` // requests a second
	Tokens      float64   `cbor:"3,keyasint"` // tokens a second
	Concurrency int64     `cbor:"4,keyasint"`
	// InUse is the concurrency in use under earlier grants; the grant does not
	// fall below it until the requests end.
	InUse int64 `cbor:"5,keyasint,omitempty"`
}

// GrantReply hands out slices that expire after Lease on the receiver's clock,
// counted from when it sent the request.
type GrantReply struct {
	Incarnation Incarnation   `cbor:"1,keyasint"` // of the home entry
	Lease       time.Duration `cbor:"2,keyasint"`
	Grants      []Grant       `cbor:"3,keyasint"`
}

// Grant is one leased slice of one account's limits.
type Grant struct {
	Account     AccountID `cbor:"1,keyasint"`
	Requests    float64   `cbor:"2,keyasint"` // requests a second
	Tokens      float64   `cbor:"3,keyasint"` // tokens a second
	Concurrency int64     `cbor:"4,keyasint"`
}
