package gateway

import (
	"net/netip"
	"time"

	"trefoilpath.org/trefoilpath/internal/route"
	"trefoilpath.org/trefoilpath/internal/storecopy"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// RequestID identifies a caller's request within one process.
type RequestID uint64

// Registration is what the platform's service discovery says of an endpoint.
type Registration struct {
	ID            wire.EndpointID // of one life of the endpoint, or of several
	Service       string
	Addr          string
	FailureDomain wire.FailureDomain
	Slots         int
	Leaving       bool
	Born          int64 // Unix time in ms of its start; 0: not told
}

// Input is one input of the core. Exactly one field is set.
type Input struct {
	Arrive    *Arrive
	Gone      *CallerGone
	Sent      *Sent
	First     *FirstEvent
	Ended     *Ended
	Load      *Load
	Report    *Report
	Config    *route.Table
	Endpoints *Endpoints
	Peer      *PeerMessage
	Versions  *Versions
	Seeds     []netip.AddrPort // of the settings, read again
	Shutdown  *Shutdown
}

// Arrive is a caller's request that a route and its account allow.
type Arrive struct {
	ID        RequestID
	RequestID string // the caller's ID of this try, for logs
	Route     *route.Route
	Service   string
	Account   string        // client account; empty: none
	Priority  int           // of the account, or of the route; 0 is the most urgent
	Prompt    int64         // tokens
	Output    int64         // tokens, the limit
	Deadline  time.Duration // when the caller or the route stops waiting
}

// CallerGone reports that the caller has disconnected.
type CallerGone struct{ ID RequestID }

// Sent reports that the first byte of an attempt is about to be written. From
// then on only the endpoint can prove that the request did not run.
type Sent struct {
	ID      RequestID
	Attempt int
}

// FirstEvent reports that an attempt's first event or answer has arrived.
type FirstEvent struct {
	ID      RequestID
	Attempt int
}

// Load is what an endpoint said of itself with an answer.
type Load struct {
	Endpoint wire.EndpointID
	Running  int
	Waiting  int
}

// Report is an engine's word on itself, asked for by a Probe.
type Report struct {
	Endpoint wire.EndpointID
	OK       bool    // it answered
	Pace     float64 // times slower than its published constants; 1: as published
}

// Result says how an attempt ended.
type Result uint8

// The results of an attempt.
const (
	ResultDone        Result = 1 // a complete answer; a failure status counts if it can't be repeated
	ResultFull        Result = 2 // the endpoint proved that it did not run it: no room
	ResultMisdirected Result = 3 // another instance answered; not run
	ResultUnreachable Result = 4 // no connection; nothing was written
	ResultFailed      Result = 5 // the endpoint's own failure answer, held back
	ResultBroken      Result = 6 // the connection broke, or the answer was not one; it may have run
	ResultSilent      Result = 7 // cancelled because the endpoint did not answer in time; it may have run
)

var resultNames = [...]string{"", "done", "full", "misdirected", "unreachable", "failed", "broken", "silent"}

func (r Result) String() string { return resultNames[r] }

// Ended reports the end of an attempt.
type Ended struct {
	ID      RequestID
	Attempt int
	Result  Result
	// Status is the HTTP status of the answer; 0: none.
	Status int
	// Fault is the address of the endpoint to blame if it isn't the one asked.
	Fault string
	// Resumable is set if the caller has got whole events only, so that the
	// stream may go on behind the last one; Begun if it has got anything.
	Resumable bool
	Begun     bool
	Pause     time.Duration // longest between two events of the stream, so far
	Detail    string
}

// Endpoints replaces the set of registered endpoints.
type Endpoints struct {
	Rows     []Registration
	Revision uint64 // of the store
}

// Versions tells the core which copies of the store's keys this process holds,
// to be announced to the other gateways.
type Versions struct {
	Config        storecopy.Version
	Registrations storecopy.Version
}

// Shutdown starts a graceful shutdown.
type Shutdown struct{}

// Output is one output of the core. Exactly one field is set.
type Output struct {
	Dispatch *Dispatch
	Finish   *Finish
	Cancel   *Cancel
	Probe    *Probe
	ToPeer   *ToPeer
	Newer    *Newer
	Ready    *Ready
	Log      *Event
}

// Dispatch sends a request, or the rest of a stream, to an endpoint.
type Dispatch struct {
	ID       RequestID
	Attempt  int
	Endpoint wire.EndpointID
	Addr     string
	Helpers  []Helper // engines that read parts of the prompt
	// Silence is how long the endpoint may take to begin its answer before the
	// attempt is cancelled; 0: until the deadline.
	Silence time.Duration
}

// Helper is an engine that reads a part of a prompt for another one.
type Helper struct {
	Endpoint wire.EndpointID
	Addr     string
	// Ticket names a reservation of Tokens there, which the shell makes before it
	// sends the request, renews while the request runs, and releases at its end.
	// Without a ticket the helper only reads.
	Ticket string
	Tokens int64
}

// Cancel ends a running attempt with ResultSilent.
type Cancel struct {
	ID      RequestID
	Attempt int
}

// Probe asks an engine for its report.
type Probe struct {
	Endpoint wire.EndpointID
	Addr     string
}

// Finish ends a request. Nothing follows for it.
type Finish struct {
	ID         RequestID
	Verdict    Verdict
	RetryAfter time.Duration // VerdictRefused
	Reason     Reason
}

// Verdict says what the caller gets.
type Verdict uint8

// The verdicts.
const (
	VerdictDone    Verdict = 1 // the answer of the last attempt
	VerdictRefused Verdict = 2 // not run, and never will be
	VerdictUnknown Verdict = 3 // may have run; no answer
	VerdictTimeout Verdict = 4 // the time is over
)

// Reason says why a request was refused or failed.
type Reason string

// The reasons.
const (
	ReasonNone        Reason = ""
	ReasonNoEndpoint  Reason = "no-endpoint"  // none is registered and healthy
	ReasonTooLarge    Reason = "too-large"    // no engine holds the prompt
	ReasonOverload    Reason = "overload"     // no room before the deadline
	ReasonFull        Reason = "full"         // endpoints refused it
	ReasonUnreachable Reason = "unreachable"  // no connection to an endpoint
	ReasonBroken      Reason = "broken"       // an attempt broke and can't be repeated
	ReasonSilent      Reason = "silent"       // an endpoint did not answer
	ReasonBudget      Reason = "retry-budget" // it could be repeated, but the fleet's budget is spent
	ReasonDeadline    Reason = "deadline"
)

// ToPeer is a message to another gateway.
type ToPeer struct {
	Addr netip.AddrPort
	Msg  *PeerMessage
}

// Newer reports that a peer holds a newer copy of the store's keys.
type Newer struct {
	Peer     netip.AddrPort
	Versions Versions
}

// Ready reports a change of readiness.
type Ready struct {
	OK     bool
	Reason string
}
