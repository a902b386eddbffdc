package entry

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/idempotency"
	"trefoilpath.org/trefoilpath/internal/store"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// RequestID identifies a caller's request within one incarnation of an entry.
type RequestID uint64

// Input is one input of the core. Exactly one field is set.
type Input struct {
	Request           *Request
	CallerGone        *CallerGone
	StreamProgress    *StreamProgress
	AgentUp           *AgentUp
	AgentDown         *AgentDown
	FromAgent         *FromAgent
	FromPeer          *FromPeer
	PeerDown          *PeerDown
	VMList            *VMList
	StoreResult       *store.Result
	Shutdown          *Shutdown
	LocalDeclarations *declaration.Snapshot // declarations given directly, without a store
}

// Request is a caller's request whose credentials the shell has checked.
type Request struct {
	ID           RequestID
	ExternalID   string // shown in logs and headers
	Account      wire.AccountID
	Kind         wire.Kind
	Model        string
	Adapter      string
	PromptBytes  int64
	PromptTokens int64         // estimate; 0: the core derives it from PromptBytes
	MaxOutput    int64         // tokens; 0: the account's maximum
	Deadline     time.Duration // time allowed by the caller; 0: the plan's
	Priority     int32
	Prefixes     []uint64 // hashes of successive prompt blocks
	BodyBytes    int64
	BodyDigest   uint64
	Call         *wire.ServiceCall
	Repeatable   bool // the caller declares the call safe to repeat
}

// CallerGone reports that the caller has disconnected.
type CallerGone struct{ ID RequestID }

// StreamEvent is an event of an attempt's answer stream.
type StreamEvent uint8

// The events of an answer stream.
const (
	StreamFirst  StreamEvent = 1 // the first data is queued for the caller
	StreamDone   StreamEvent = 2 // frame count and digest match the last frame; all data is queued for the caller
	StreamBroken StreamEvent = 3 // a gap, a wrong digest or a wrong count
)

// StreamProgress reports progress of the answer assembly.
type StreamProgress struct {
	ID        RequestID
	Attempt   wire.AttemptID
	Event     StreamEvent
	Delivered int64 // output tokens queued for the caller so far
	Total     wire.FrameTotal
	Reply     *idempotency.Stored // StreamDone of a plain service call
}

// AgentUp reports a new agent stream.
type AgentUp struct{ Hello wire.Hello }

// AgentDown reports the loss of an agent stream.
type AgentDown struct {
	Endpoint    wire.EndpointID
	Incarnation wire.Incarnation
}

// FromAgent is a message on an agent stream.
type FromAgent struct {
	Endpoint wire.EndpointID
	Msg      wire.ToEntry
}

// FromPeer is a message from another entry.
type FromPeer struct {
	Peer wire.NodeID
	Msg  wire.ToPeer
}

// PeerDown reports that the transport to a peer failed.
type PeerDown struct{ Peer wire.NodeID }

// VM is one row of the platform's VM list.
type VM struct {
	Node          wire.NodeID
	Address       string
	Region        wire.Region
	FailureDomain wire.FailureDomain
	Leaving       bool            // the platform is about to remove the VM
	Endpoint      wire.EndpointID // set for an agent's VM
}

// VMList is the platform's list of the VMs of entries and agents. It may be out
// of date.
type VMList struct{ VMs []VM }

// Shutdown starts a graceful shutdown.
type Shutdown struct{}

// Output is one output of the core. Exactly one field is set.
type Output struct {
	ToAgent       *ToAgent
	ToPeer        *ToPeer
	Store         *store.Op
	SelectAttempt *SelectAttempt
	Answer        *Answer
	Snapshot      *declaration.Snapshot // a newer revision has become active
	Ready         *Ready
	Drained       bool // the shutdown is complete: nothing is in flight any more
	Log           *Event
}

// ToAgent is a message to an agent. After a Dispatch the shell sends the body
// of Request, and for a resumed answer the text that the caller already has.
type ToAgent struct {
	Endpoint wire.EndpointID
	Request  RequestID
	Msg      wire.ToAgent
}

// ToPeer is a message to another entry.
type ToPeer struct {
	Peer    wire.NodeID
	Address string
	Msg     wire.ToPeer
}

// SelectAttempt selects the attempt whose frames the shell forwards to the caller
// from now on. Frames of any other attempt are discarded.
type SelectAttempt struct {
	ID         RequestID
	Attempt    wire.AttemptID
	ResumeFrom int64 // output tokens that the caller already has
}

// Answer ends a request; no SelectAttempt or other Answer follows for it. The shell
// sends it unless the stream is already complete.
type Answer struct {
	ID         RequestID
	Outcome    wire.Outcome
	Code       Code
	Detail     string
	RetryAfter time.Duration
	Total      wire.FrameTotal
	Replay     *idempotency.Stored // the stored answer of an earlier call with the same key
}

// Ready reports a change of readiness.
type Ready struct {
	OK     bool
	Reason string
}
