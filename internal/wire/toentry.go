package wire

import "time"

// ToEntry is one message from an agent to an entry. Exactly one field is set.
type ToEntry struct {
	Hello       *Hello       `cbor:"1,keyasint,omitempty"`
	Report      *Report      `cbor:"2,keyasint,omitempty"`
	Started     *Started     `cbor:"3,keyasint,omitempty"`
	Refused     *Refused     `cbor:"4,keyasint,omitempty"`
	Finished    *Finished    `cbor:"5,keyasint,omitempty"`
	Failed      *Failed      `cbor:"6,keyasint,omitempty"`
	Cancelled   *Cancelled   `cbor:"7,keyasint,omitempty"`
	CacheDelta  *CacheDelta  `cbor:"8,keyasint,omitempty"`
	OrderResult *OrderResult `cbor:"9,keyasint,omitempty"`
	Reserved    *Reserved    `cbor:"10,keyasint,omitempty"`
	Frame       *Frame       `cbor:"11,keyasint,omitempty"`
}

// Hello opens an agent's stream to an entry.
type Hello struct {
	Endpoint      EndpointID    `cbor:"1,keyasint"`
	FailureDomain FailureDomain `cbor:"2,keyasint"`
	Incarnation   Incarnation   `cbor:"3,keyasint"`
	Kind          Kind          `cbor:"4,keyasint"`
	Service       string        `cbor:"5,keyasint,omitempty"` // for KindService
	Capacity      int64         `cbor:"6,keyasint,omitempty"` // KV cache tokens of the engine
	Have          Assignment    `cbor:"7,keyasint"`           // assignment that the engine runs now
	Leaving       bool          `cbor:"8,keyasint,omitempty"` // draining; gets no new attempts
	// RunningAttempts lists the attempts of this entry that still run at the endpoint.
	RunningAttempts []AttemptID `cbor:"9,keyasint,omitempty"`
}

// Report describes the load of an endpoint. Sequence increases by one per report.
type Report struct {
	Sequence      uint64           `cbor:"1,keyasint"`
	LastAttempt   uint64           `cbor:"2,keyasint,omitempty"` // highest AttemptID.Sequence of this entry that the report accounts for
	Have          Assignment       `cbor:"3,keyasint"`
	Loading       bool             `cbor:"4,keyasint,omitempty"`  // a model load is in progress
	Leaving       bool             `cbor:"5,keyasint,omitempty"`  // draining; gets no new attempts
	QueueTokens   [BandCount]int64 `cbor:"6,keyasint"`            // prompt tokens waiting, by band
	Running       int32            `cbor:"7,keyasint,omitempty"`  // sequences in the engine
	LongRunning   int32            `cbor:"8,keyasint,omitempty"`  // those of Running in prefill whose prompt exceeds the short band
	PrefillTokens int64            `cbor:"9,keyasint,omitempty"`  // prompt tokens still to prefill in the engine
	FreeTokens    int64            `cbor:"10,keyasint,omitempty"` // KV cache tokens neither held nor reserved
	PrefillRate   float64          `cbor:"11,keyasint,omitempty"` // recent tokens per second
	DecodeRate    float64          `cbor:"12,keyasint,omitempty"` // recent tokens per second per sequence
	Failing       bool             `cbor:"13,keyasint,omitempty"` // the engine does not answer
	Revision      uint64           `cbor:"14,keyasint,omitempty"` // declarations revision in effect at the agent
	TokensPerByte float64          `cbor:"15,keyasint,omitempty"` // prompt tokens per prompt byte, from the engine's counts; entries estimate prompt lengths with it
	ShortPrefill  int64            `cbor:"16,keyasint,omitempty"` // part of PrefillTokens that belongs to short prompts
}

// Started reports that the agent has submitted the attempt to its endpoint. From
// then on its outcome is unknown until Finished, Failed or Cancelled.
type Started struct {
	Attempt AttemptID `cbor:"1,keyasint"`
}

// RefuseReason says why an agent refused an attempt.
type RefuseReason uint8

// The reasons for a refusal. Except for RefuseDuplicate, the attempt has not run and
// will not run.
const (
	RefuseLeaving    RefuseReason = 1
	RefuseNoCapacity RefuseReason = 2 // can't start in time or has no memory
	RefuseLate       RefuseReason = 3 // Dispatch.StartBy has passed
	RefuseTombstone  RefuseReason = 4 // the attempt was cancelled before its Dispatch arrived
	RefuseModel      RefuseReason = 5 // the engine does not run the model or adapter
	RefuseFailing    RefuseReason = 6 // the endpoint does not answer
	RefuseTooLarge   RefuseReason = 7 // can never fit in this engine
	RefuseDuplicate  RefuseReason = 8 // the attempt is already known; no statement about its outcome
)

// String returns a short name for logs.
func (r RefuseReason) String() string {
	names := [...]string{"unspecified", "leaving", "no-room", "late", "tombstone", "model", "failing", "too-large", "duplicate"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unspecified"
}

// Refused reports that the agent has refused an attempt; see RefuseReason for whether
// the attempt has run.
type Refused struct {
	Attempt    AttemptID     `cbor:"1,keyasint"`
	Reason     RefuseReason  `cbor:"2,keyasint"`
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"` // time until the agent expects free capacity
}

// Finished reports that the endpoint has completed the attempt and that all its
// frames have been sent.
type Finished struct {
	Attempt      AttemptID `cbor:"1,keyasint"`
	PromptTokens int64     `cbor:"2,keyasint,omitempty"` // counted by the engine
	CachedTokens int64     `cbor:"3,keyasint,omitempty"` // part of PromptTokens found in the prefix cache
	OutputTokens int64     `cbor:"4,keyasint,omitempty"`
	KVHandle     string    `cbor:"5,keyasint,omitempty"` // exported KV cache, for a group member that is not the last
}

// FailReason says why a started attempt failed.
type FailReason uint8

// The reasons for a failure of a started attempt.
const (
	FailEndpointLost FailReason = 1 // the endpoint or the connection to it was lost
	FailDeadline     FailReason = 2
	FailStalled      FailReason = 3 // no progress within the time that the agent allows
	FailMemory       FailReason = 4 // the engine ran out of memory
	FailInvalid      FailReason = 5 // the endpoint rejected the request itself
	FailLease        FailReason = 6 // the reservation expired
	FailInternal     FailReason = 7
)

// String returns a short name for logs.
func (r FailReason) String() string {
	names := [...]string{"unspecified", "endpoint-lost", "deadline", "stalled", "memory", "invalid", "lease", "internal"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unspecified"
}

// Failed reports that a started attempt ended without completing.
type Failed struct {
	Attempt AttemptID  `cbor:"1,keyasint"`
	Reason  FailReason `cbor:"2,keyasint"`
	// Rejected is set if the endpoint proved that it did nothing, for example
	// by refusing the connection.
	Rejected bool `cbor:"3,keyasint,omitempty"`
}

// Cancelled answers Cancel. NotRun is set if the attempt had not started and,
// being recorded as a tombstone, never will.
type Cancelled struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	NotRun  bool      `cbor:"2,keyasint,omitempty"`
}

// CacheDelta carries changes to the prefix cache of the engine. A receiver that
// misses a sequence number discards its view of the endpoint's cache; Reset replaces
// that view.
type CacheDelta struct {
	Sequence uint64   `cbor:"1,keyasint"`
	Reset    bool     `cbor:"2,keyasint,omitempty"`
	Add      []uint64 `cbor:"3,keyasint,omitempty"`
	Remove   []uint64 `cbor:"4,keyasint,omitempty"`
}

// OrderStatus is the result of an order.
type OrderStatus uint8

// The results of an order.
const (
	OrderDone     OrderStatus = 1
	OrderStale    OrderStatus = 2 // lower fence, another incarnation of the agent, or older than Order.MaxAge
	OrderFailed   OrderStatus = 3
	OrderAccepted OrderStatus = 4 // the load has begun
)

// OrderResult answers an Order.
type OrderResult struct {
	ID     uint64      `cbor:"1,keyasint"`
	Fence  uint64      `cbor:"2,keyasint"`
	Status OrderStatus `cbor:"3,keyasint"`
	Have   Assignment  `cbor:"4,keyasint"`
}

// Reserved answers Reserve.
type Reserved struct {
	Attempt AttemptID    `cbor:"1,keyasint"`
	Granted bool         `cbor:"2,keyasint,omitempty"`
	Reason  RefuseReason `cbor:"3,keyasint,omitempty"` // set if not Granted
}

// Frame carries part of an answer. Sequence starts at 0 for each attempt and
// increases by one. The last frame carries the number of frames before it and
// the digest of all their data.
type Frame struct {
	Attempt  AttemptID   `cbor:"1,keyasint"`
	Sequence uint64      `cbor:"2,keyasint"`
	Tokens   int32       `cbor:"3,keyasint,omitempty"` // output tokens in Data
	Data     []byte      `cbor:"4,keyasint,omitempty"`
	Head     *ReplyHead  `cbor:"5,keyasint,omitempty"` // on the first frame of a service answer
	Last     *FrameTotal `cbor:"6,keyasint,omitempty"`
}

// ReplyHead is the status code and headers of a service answer.
type ReplyHead struct {
	Status  int      `cbor:"1,keyasint"`
	Headers []Header `cbor:"2,keyasint,omitempty"`
}

// FrameTotal ends an answer with its totals.
type FrameTotal struct {
	Frames       uint64 `cbor:"1,keyasint"`           // frames before this one
	Digest       uint64 `cbor:"2,keyasint"`           // xxhash64 over the data of all frames in order
	FinishReason string `cbor:"3,keyasint,omitempty"` // "stop" or "length"
	PromptTokens int64  `cbor:"4,keyasint,omitempty"`
	CachedTokens int64  `cbor:"5,keyasint,omitempty"`
	OutputTokens int64  `cbor:"6,keyasint,omitempty"`
}
