package wire

import "time"

// ToPeer is one message between two entries. Exactly one field is set.
type ToPeer struct {
	Announce     *Announce     `cbor:"1,keyasint,omitempty"`
	ChunkRequest *ChunkRequest `cbor:"2,keyasint,omitempty"`
	Chunks       *Chunks       `cbor:"3,keyasint,omitempty"`
	GrantRequest *GrantRequest `cbor:"4,keyasint,omitempty"`
	GrantReply   *GrantReply   `cbor:"5,keyasint,omitempty"`
	Difference   *Difference   `cbor:"6,keyasint,omitempty"`
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
	// Address is where peers reach the sender. The VM list may not show a
	// restarted entry yet.
	Address string `cbor:"9,keyasint,omitempty"`
}

// ChunkRequest asks for the declarations. Have lists the digests of the chunks
// that the sender already holds.
type ChunkRequest struct {
	Revision uint64   `cbor:"1,keyasint"`
	Have     []uint64 `cbor:"2,keyasint,omitempty"`
	// FromDigest is the digest of the root that the sender holds. A receiver
	// that knows it answers with Difference, any other with the root alone.
	FromDigest uint64 `cbor:"3,keyasint,omitempty"`
	// Want, if set, lists the digests of the only chunks that the sender needs.
	Want []uint64 `cbor:"4,keyasint,omitempty"`
}

// Difference carries what leads from the root that a ChunkRequest names to the
// sender's.
type Difference struct {
	Body []byte `cbor:"1,keyasint"` // encoded declaration.Difference
}

// Chunks carries a root and chunks that the receiver lacks. The chunks of one
// root may come in several messages.
type Chunks struct {
	Root   []byte   `cbor:"1,keyasint"` // encoded declaration root
	Bodies [][]byte `cbor:"2,keyasint,omitempty"`
}

// GrantRequest asks the home entry of client accounts for slices of their
// limits, and lends the home the sender's equal share of the limits of all
// accounts that are at home there. Wants lists those that have changed or may
// not have been heard.
type GrantRequest struct {
	Incarnation Incarnation `cbor:"1,keyasint"`
	Wants       []GrantWant `cbor:"2,keyasint,omitempty"`
	Sequence    uint64      `cbor:"3,keyasint"` // increases with each request to the same peer
	// Echo is the Sequence of the last GrantReply that the sender has taken, in
	// the life of the receiver that EchoIncarnation names.
	Echo            uint64      `cbor:"4,keyasint,omitempty"`
	EchoIncarnation Incarnation `cbor:"5,keyasint,omitempty"`
	// Lend is how long from the sending of this request the sender leaves its
	// equal share to the receiver; 0: it does not.
	Lend    time.Duration `cbor:"6,keyasint,omitempty"`
	Count   uint32        `cbor:"7,keyasint"`            // entries among which the sender divides the limits
	Members uint64        `cbor:"8,keyasint"`            // digest of their names
	Homes   uint64        `cbor:"9,keyasint"`            // digest of the names of the home entries
	Moved   uint64        `cbor:"10,keyasint,omitempty"` // digest of the earlier homes, while accounts that have moved are not lent
	// Applied is the Sequence of the last GrantReply with a Lease that the sender
	// has taken.
	Applied uint64 `cbor:"11,keyasint,omitempty"`
}

// GrantWant is what one entry would use of one account's limits. It is encoded
// as an array: fields are only ever added at the end.
type GrantWant struct {
	_             struct{} `cbor:",toarray"`
	Account       AccountID
	MilliRequests uint64 // requests a second, in thousandths
	Tokens        uint64 // tokens a second
	Concurrency   int64
	// InUse is the concurrency in use under earlier grants; the grant does not
	// fall below it until the requests end.
	InUse int64
}

// GrantReply hands out slices that expire after Lease on the receiver's clock,
// counted from when it sent the request. Grants lists those that the receiver
// has asked for or may not have heard of; the others of the session go on.
type GrantReply struct {
	Incarnation Incarnation   `cbor:"1,keyasint"` // of the home entry
	Lease       time.Duration `cbor:"2,keyasint,omitempty"`
	Grants      []Grant       `cbor:"3,keyasint,omitempty"`
	Sequence    uint64        `cbor:"4,keyasint"` // increases with each reply to the same peer
	Echo        uint64        `cbor:"5,keyasint"` // Sequence of the request
	// EchoIncarnation is the life of the receiver that sent the request.
	EchoIncarnation Incarnation `cbor:"6,keyasint"`
	Members         uint64      `cbor:"7,keyasint"` // as in GrantRequest, of the sender of the reply
	// Wait is how long shares that the receiver lent, or grants that it gave, may
	// still be in use. A receiver that has just started waits that long before
	// it uses or lends its equal share.
	Wait time.Duration `cbor:"8,keyasint,omitempty"`
	// Session numbers the grants that the receiver holds in one go. A reply with a
	// Lease renews all of them; those of an earlier session are void.
	Session uint64 `cbor:"9,keyasint,omitempty"`
}

// Grant is one leased slice of one account's limits. It is encoded as an array:
// fields are only ever added at the end.
type Grant struct {
	_             struct{} `cbor:",toarray"`
	Account       AccountID
	MilliRequests uint64 // requests a second, in thousandths
	Tokens        uint64 // tokens a second
	Concurrency   int64
}
