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

// Announce is the heartbeat between entries. It also states which declarations
// the sender holds.
type Announce struct {
	Incarnation   Incarnation   `cbor:"1,keyasint"`
	Region        Region        `cbor:"2,keyasint"`
	FailureDomain FailureDomain `cbor:"3,keyasint"`
	Revision      uint64        `cbor:"4,keyasint,omitempty"`
	RootDigest    uint64        `cbor:"5,keyasint,omitempty"`
	Leaving       bool          `cbor:"6,keyasint,omitempty"` // the sender is draining
	Ready         bool          `cbor:"7,keyasint,omitempty"` // the sender should get requests from callers
	// LowestAgentRevision is the lowest declarations revision in effect at the agents connected
	// to the sender, or Revision if all of them have reached it.
	LowestAgentRevision uint64 `cbor:"8,keyasint,omitempty"`
	// Address is the sender's "host:port" for peers. It is sent because the VM
	// list may not show a restarted entry yet.
	Address string `cbor:"9,keyasint,omitempty"`
}

// ChunkRequest asks for the declarations. Have lists the digests of the chunks
// that the sender already holds.
type ChunkRequest struct {
	Revision uint64   `cbor:"1,keyasint"`
	Have     []uint64 `cbor:"2,keyasint,omitempty"`
	// FromDigest is the digest of the root that the sender holds. A receiver
	// that knows this root answers with Difference; any other receiver answers with
	// the root alone.
	FromDigest uint64 `cbor:"3,keyasint,omitempty"`
	// Want, if set, restricts the answer to the chunks with these digests.
	Want []uint64 `cbor:"4,keyasint,omitempty"`
}

// Difference carries the changes from the root with ChunkRequest.FromDigest to the
// sender's root.
type Difference struct {
	Body []byte `cbor:"1,keyasint"` // encoded declaration.Difference
}

// Chunks carries a root and chunks that the receiver lacks. The chunks of one
// root may be split over several messages.
type Chunks struct {
	Root   []byte   `cbor:"1,keyasint"` // encoded declaration root
	Bodies [][]byte `cbor:"2,keyasint,omitempty"`
}

// GrantRequest asks the home entry of client accounts, which divides their limits
// among the entries, for slices of these limits. It also lends the home entry the
// sender's equal share of the limits of all accounts that have their home there.
// Demands lists the demands that have changed or may not have reached the receiver.
type GrantRequest struct {
	Incarnation Incarnation     `cbor:"1,keyasint"`
	Demands     []AccountDemand `cbor:"2,keyasint,omitempty"`
	Sequence    uint64          `cbor:"3,keyasint"` // increases with each request to the same peer
	// Echo is the Sequence of the last GrantReply that the sender has accepted
	// from the receiver's incarnation EchoIncarnation.
	Echo            uint64      `cbor:"4,keyasint,omitempty"`
	EchoIncarnation Incarnation `cbor:"5,keyasint,omitempty"`
	// LendFor is how long, from the sending of this request, the sender lends its
	// equal share to the receiver; 0 means that it lends nothing.
	LendFor        time.Duration `cbor:"6,keyasint,omitempty"`
	MemberCount    uint32        `cbor:"7,keyasint"`            // entries among which the sender divides the limits
	MemberDigest   uint64        `cbor:"8,keyasint"`            // digest of their names
	HomeDigest     uint64        `cbor:"9,keyasint"`            // digest of the names of the home entries
	PrevHomeDigest uint64        `cbor:"10,keyasint,omitempty"` // digest of the previous home entries, while accounts that changed their home are not lent
	// Applied is Echo restricted to replies with a Lease: the Sequence of the last
	// such reply that the sender has accepted.
	Applied uint64 `cbor:"11,keyasint,omitempty"`
}

// AccountDemand is one entry's demand on one account's limits. It is encoded as an
// array, so fields may only be added at the end.
type AccountDemand struct {
	_             struct{} `cbor:",toarray"`
	Account       AccountID
	MilliRequests uint64 // thousandths of a request per second
	Tokens        uint64 // tokens per second
	Concurrency   int64  // requests in progress
	// InUse is the concurrency in use under earlier grants; the grant does not
	// fall below it until the requests end.
	InUse int64
}

// GrantReply grants slices of limits. They expire Lease after the receiver sent the
// request, on the receiver's clock. Grants lists the slices that the receiver has
// requested or may not have received; the session's other grants stay valid.
type GrantReply struct {
	Incarnation Incarnation   `cbor:"1,keyasint"` // of the home entry
	Lease       time.Duration `cbor:"2,keyasint,omitempty"`
	Grants      []Grant       `cbor:"3,keyasint,omitempty"`
	Sequence    uint64        `cbor:"4,keyasint"` // increases with each reply to the same peer
	Echo        uint64        `cbor:"5,keyasint"` // Sequence of the request
	// EchoIncarnation is the receiver's incarnation that sent the request.
	EchoIncarnation Incarnation `cbor:"6,keyasint"`
	MemberDigest    uint64      `cbor:"7,keyasint"` // digest of the names of the entries among which the sender of the reply divides the limits
	// Wait is how long shares lent or grants given by an earlier incarnation of the
	// receiver may still be in use. A receiver that has just started waits that long
	// before it uses or lends its equal share.
	Wait time.Duration `cbor:"8,keyasint,omitempty"`
	// Session identifies the set of grants that the receiver holds. A reply with a
	// Lease renews the whole set; grants of an earlier session are void.
	Session uint64 `cbor:"9,keyasint,omitempty"`
}

// Grant is one leased slice of one account's limits. It is encoded as an array, so
// fields may only be added at the end.
type Grant struct {
	_             struct{} `cbor:",toarray"`
	Account       AccountID
	MilliRequests uint64 // thousandths of a request per second
	Tokens        uint64 // tokens per second
	Concurrency   int64  // requests in progress
}
