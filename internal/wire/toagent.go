package wire

import "time"

// ToAgent is one message from an entry to an agent. Exactly one field is set.
type ToAgent struct {
	Welcome   *Welcome   `cbor:"1,keyasint,omitempty"`
	Dispatch  *Dispatch  `cbor:"2,keyasint,omitempty"`
	Cancel    *Cancel    `cbor:"3,keyasint,omitempty"`
	Order     *Order     `cbor:"4,keyasint,omitempty"`
	Heartbeat *Heartbeat `cbor:"5,keyasint,omitempty"`
	Reserve   *Reserve   `cbor:"6,keyasint,omitempty"`
	Body      *BodyChunk `cbor:"7,keyasint,omitempty"`
}

// Welcome answers Hello and opens the stream for work.
type Welcome struct {
	Entry       NodeID      `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	Revision    uint64      `cbor:"3,keyasint,omitempty"`
	// FirstAttempt is the lowest AttemptID.Sequence that the entry will use on
	// this stream. An agent can't tell whether its own earlier incarnation ran an
	// attempt below it, so it does not report an unknown one as not run.
	FirstAttempt uint64 `cbor:"4,keyasint,omitempty"`
}

// Dispatch asks the agent to run one attempt.
//
// The agent starts the attempt only while less than StartBy has passed on its
// own monotonic clock since it received the message, and abandons it once
// TimeLeft has passed.
type Dispatch struct {
	Attempt      AttemptID     `cbor:"1,keyasint"`
	RequestID    string        `cbor:"2,keyasint"`
	Account      AccountID     `cbor:"3,keyasint"`
	Weight       float64       `cbor:"4,keyasint,omitempty"` // fair-share weight of the account's plan
	Kind         Kind          `cbor:"5,keyasint"`
	Model        string        `cbor:"6,keyasint,omitempty"`
	Adapter      string        `cbor:"7,keyasint,omitempty"`
	PromptTokens int64         `cbor:"8,keyasint,omitempty"` // estimate
	MaxOutput    int64         `cbor:"9,keyasint,omitempty"` // tokens
	TimeLeft     time.Duration `cbor:"10,keyasint"`
	StartBy      time.Duration `cbor:"11,keyasint"`
	Priority     int32         `cbor:"12,keyasint,omitempty"` // higher runs first
	Prefixes     []uint64      `cbor:"13,keyasint,omitempty"` // hashes of successive prompt blocks; see engine.PrefixBlockTokens
	ResumeFrom   int64         `cbor:"14,keyasint,omitempty"` // output tokens that the caller already has
	BodyBytes    int64         `cbor:"15,keyasint,omitempty"` // total length of the body chunks that follow
	Idempotent   bool          `cbor:"16,keyasint,omitempty"`
	Slice        *Slice        `cbor:"17,keyasint,omitempty"` // set for one member of a group
	Call         *ServiceCall  `cbor:"18,keyasint,omitempty"` // set for KindService
}

// Slice describes the part of a prompt that one member of a group of engines
// processes. Members run in ascending Index; each imports the KV cache that the
// earlier ones exported, and only the last generates tokens.
type Slice struct {
	Index       int       `cbor:"1,keyasint"`
	Count       int       `cbor:"2,keyasint"`
	FirstToken  int64     `cbor:"3,keyasint"`
	Tokens      int64     `cbor:"4,keyasint"`
	Imports     []string  `cbor:"5,keyasint,omitempty"` // KV cache handles of the earlier members
	Reservation AttemptID `cbor:"6,keyasint"`           // reservation that Reserve made for this member
}

// ServiceCall carries the parts of a plain service call other than its body.
type ServiceCall struct {
	Service        string   `cbor:"1,keyasint"`
	Method         string   `cbor:"2,keyasint"`
	Path           string   `cbor:"3,keyasint"`
	Query          string   `cbor:"4,keyasint,omitempty"`
	Headers        []Header `cbor:"5,keyasint,omitempty"`
	IdempotencyKey string   `cbor:"6,keyasint,omitempty"`
}

// Header is one HTTP header line.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Cancel asks the agent to stop an attempt. The agent records a tombstone even
// for an attempt that it does not know, so that a late Dispatch is refused, and
// answers with Cancelled.
type Cancel struct {
	Attempt AttemptID `cbor:"1,keyasint"`
}

// Reserve asks for engine memory before a group's slices are dispatched. The
// reservation ends after Lease unless renewed by another Reserve with the same
// attempt, or when the attempt is cancelled or finishes.
type Reserve struct {
	Attempt AttemptID     `cbor:"1,keyasint"`
	Account AccountID     `cbor:"2,keyasint"`
	Model   string        `cbor:"3,keyasint"`
	Tokens  int64         `cbor:"4,keyasint"` // KV cache tokens
	Lease   time.Duration `cbor:"5,keyasint"`
}

// Heartbeat shows that the entry is alive and which declarations it holds.
type Heartbeat struct {
	Revision uint64 `cbor:"1,keyasint,omitempty"`
	// Starved lists the models that have the least capacity for their demand,
	// most starved first. Agents without an assignment use it in a store outage.
	Starved []string `cbor:"2,keyasint,omitempty"`
	// StoreDown reports that the entry can't reach the platform's store.
	StoreDown bool `cbor:"3,keyasint,omitempty"`
	// Agents is the number of agent streams at the entry, which share its
	// ControlBudget.
	Agents int32 `cbor:"4,keyasint,omitempty"`
}

// Role states which phases of a request an engine runs for its model.
type Role string

// The roles that an assignment can give an engine.
const (
	RoleServe   Role = "serve"   // prefill and decode
	RolePrefill Role = "prefill" // prefill, exporting the KV cache
	RoleDecode  Role = "decode"  // decode from imported KV cache
)

// Assignment states the model, adapters and role of one engine.
type Assignment struct {
	Model    string   `cbor:"1,keyasint"`
	Version  string   `cbor:"2,keyasint,omitempty"`
	Adapters []string `cbor:"3,keyasint,omitempty"`
	Role     Role     `cbor:"4,keyasint,omitempty"`
}

// Order tells the agent which assignment its engine should have. The agent
// refuses an order whose Fence is lower than one it has seen, that names another
// incarnation of the agent, or whose age exceeds MaxAge when the agent is about to
// carry it out.
type Order struct {
	ID                uint64        `cbor:"1,keyasint"`
	Fence             uint64        `cbor:"2,keyasint"`
	TargetIncarnation Incarnation   `cbor:"3,keyasint"`
	MaxAge            time.Duration `cbor:"4,keyasint"`
	Want              Assignment    `cbor:"5,keyasint"`
	// LoadSlot counts the loads in the failure domain, this one included; 0: no load.
	// The controller limits them, since they share the store of model weights.
	LoadSlot uint64 `cbor:"6,keyasint,omitempty"`
}

// BodyChunk carries part of a request body. Chunks of one attempt arrive in
// order; chunks of several attempts may interleave.
type BodyChunk struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	Offset  int64     `cbor:"2,keyasint"`
	Data    []byte    `cbor:"3,keyasint"`
	Last    bool      `cbor:"4,keyasint,omitempty"`
}
