package gateway

import (
	"cmp"
	"net/netip"
	"time"

	"trefoilpath.org/trefoilpath/internal/route"
	"trefoilpath.org/trefoilpath/internal/storecopy"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// RequestID identifies a caller's request within one process.
type RequestID uint64

// Registration is an endpoint's row in the platform's service discovery.
type Registration struct {
	ID            wire.EndpointID // may stay the same after a restart of the endpoint
	Service       string
	Addr          string
	FailureDomain wire.FailureDomain
	Slots         int   // requests that it runs at once; 0: no limit known
	Leaving       bool  // the endpoint is draining
	Born          int64 // Unix time of its start in ms; 0: unknown
	Orders        int64 // accepted since its start, when it registered
	// ColdLeft is how much longer the endpoint was cold when it wrote the registration, if
	// HasColdLeft is set. Revision is that of the store in which the registration was written;
	// 0: unknown.
	ColdLeft    time.Duration
	HasColdLeft bool
	Revision    uint64
}

// Compare returns a positive number if r was written after the registration other of
// the same ID, a negative one if before, and 0 if they do not tell. Within one life of an
// endpoint the number of orders only rises, and a leaving endpoint stays so.
func (r Registration) Compare(other Registration) int {
	switch {
	case r.Born != other.Born:
		if r.Born == 0 || other.Born == 0 {
			return 0
		}
		return cmp.Compare(r.Born, other.Born)
	case r.Service != other.Service || r.Addr != other.Addr:
		return 0
	case r.Orders != other.Orders:
		return cmp.Compare(r.Orders, other.Orders)
	}
	return bit(r.Leaving) - bit(other.Leaving)
}

// Input is one input of the core. Exactly one field is set.
type Input struct {
	Arrive       *Arrival
	Gone         *CallerGone
	Sent         *Sent
	First        *FirstEvent
	Stalled      *Stalled
	Resumed      *Resumed
	HelperFailed *HelperFailed
	Ended        *AttemptEnded
	Load         *EndpointLoad
	Announced    *EndpointAnnouncement
	Limit        *EndpointLimit
	Report       *EngineReport
	Instance     *InstanceState
	Config       *route.Table
	Endpoints    *Endpoints
	Evacuations  *Evacuations
	Peer         *PeerMessage
	Versions     *Versions
	Confirmed    *Confirmed
	Seeds        []netip.AddrPort // from the settings, read again
	Shutdown     *Shutdown
	Draining     *Draining
	Exit         *Exit
}

// Arrival is a caller's request that its route and account permit.
type Arrival struct {
	ID              RequestID
	RequestID       string // the caller's ID of this request, for logs
	Route           *route.Route
	Service         string
	Account         string        // client account; empty: none
	Priority        int           // from the account, else from the route; 0 is the most urgent
	PromptTokens    int64         // prompt tokens
	MaxOutputTokens int64         // maximum number of output tokens
	SharedParts     []string      // IDs of the parts of the prompt that other prompts may have too
	Regions         []string      // in which its route and account let it run; nil: any
	Fingerprint     uint64        // the same for all requests that are the same to an endpoint
	Deadline        time.Duration // when the caller or the route's timeout ends the wait
}

// CallerGone reports that the caller has disconnected.
type CallerGone struct{ ID RequestID }

// Sent reports that the first byte of an attempt is about to be written, unless the core
// cancels the attempt in the same tick. From then on only the endpoint can prove that the
// request did not run.
type Sent struct {
	ID      RequestID
	Attempt int
}

// FirstEvent reports that the first event, or the answer, of an attempt has arrived.
type FirstEvent struct {
	ID      RequestID
	Attempt int
}

// EndpointLoad is the load that an endpoint reported with an answer.
type EndpointLoad struct {
	Endpoint wire.EndpointID
	Running  int // requests
	Waiting  int // requests
}

// EngineReport is an engine's reply to a Probe.
type EngineReport struct {
	Endpoint wire.EndpointID
	OK       bool    // the engine answered
	Slowdown float64 // factor by which it is slower than its published constants; 1: as published
}

// HelperFailed reports, before the end of an attempt of which nothing was sent, that a helper
// did not carry out the order to reserve memory, and not for lack of memory.
type HelperFailed struct {
	ID      RequestID
	Attempt int
	Helper  wire.EndpointID
}

// Result says how an attempt ended.
type Result uint8

// The results of an attempt.
const (
	ResultDone        Result = 1 // a complete answer, also one with a failure status if the request can't be retried
	ResultFull        Result = 2 // the endpoint proved that it did not run the request for lack of capacity
	ResultMisdirected Result = 3 // another instance answered; the request did not run
	ResultUnreachable Result = 4 // no connection; nothing was written
	ResultFailed      Result = 5 // the endpoint's own failure answer, which the shell holds back
	ResultBroken      Result = 6 // the connection broke or the answer was malformed; the request may have run
	ResultSilent      Result = 7 // cancelled because the endpoint was silent for long; the request may have run
	ResultSuperseded  Result = 8 // another attempt of the request has answered before; the request may have run
)

var resultNames = [...]string{"", "done", "full", "misdirected", "unreachable", "failed", "broken", "silent", "superseded"}

func (r Result) String() string { return resultNames[r] }

// AttemptEnded reports the end of an attempt.
type AttemptEnded struct {
	ID      RequestID
	Attempt int
	Result  Result
	// Status is the HTTP status of the answer; 0: no answer.
	Status int
	// Carried is the number of requests that the connection of the attempt had carried before.
	Carried int
	// FailedEndpoint is the address or ID of the endpoint to which the failure is attributed,
	// if it isn't the one that the request was sent to.
	FailedEndpoint string
	// Resumable is set if the caller has received whole events only, so that the stream
	// may continue after the last one. PartlyDelivered is set if the caller has received anything.
	Resumable       bool
	PartlyDelivered bool
	LongestGap      time.Duration // longest gap between two events of the stream so far
	// Silence is how long nothing of the answer had come when it ended otherwise than done.
	Silence time.Duration
	// EndsWithConnection is set if only the end of the connection ends the answer.
	// TruncatedBytes is the size of the partial event at which a stream ended.
	EndsWithConnection bool
	TruncatedBytes     int
	Detail             string
}

// Endpoints replaces the set of registered endpoints.
type Endpoints struct {
	Rows     []Registration
	Revision uint64 // of the store
}

// Versions are the versions of this process's cached copies of the store's keys. The
// core sends them to the other gateways.
type Versions struct {
	Config        storecopy.Version
	Registrations storecopy.Version
	Evacuations   storecopy.Version `cbor:",omitzero"`  // zero if failure domains can't be taken out of use
	Active        uint64            `cbor:",omitempty"` // version of the configuration in force, set by the core; 0: none
	StoreLost     bool              `cbor:",omitempty"` // the store does not answer this process
}

// of returns the version of one copy.
func (v *Versions) of(kind CopyKind) storecopy.Version {
	return [copyKinds]storecopy.Version{v.Config, v.Registrations, v.Evacuations}[kind]
}

// CopyKind names a cached copy of keys of the store.
type CopyKind uint8

// The cached copies. Messages between gateways have these numbers.
const (
	CopyConfig CopyKind = iota
	CopyRegistrations
	CopyEvacuations
	copyKinds
)

// Confirmed reports that a cached copy had all changes that were in the store at a time: a
// listing that began then has succeeded.
type Confirmed struct {
	Copy CopyKind
	At   time.Duration // on the gateway's clock
}

// Shutdown starts a graceful shutdown.
type Shutdown struct{}

// Draining refuses the requests that have not been sent yet and may outlast the process. No others
// of that kind arrive.
type Draining struct {
	ExitAt time.Duration // when the process exits at the latest, on the gateway's clock
}

// Exit ends all requests, since the process is about to exit.
type Exit struct{}

// Output is one output of the core. Exactly one field is set.
type Output struct {
	Dispatch *Dispatch
	Finish   *Finish
	Cancel   *Cancel
	Probe    *Probe
	Check    *InstanceCheck
	ToPeer   *ToPeer
	Newer    *PeerHasNewer
	Ready    *Ready
	Log      *Event
	Measured *FirstEventError
}

// FirstEventError is the error of the prediction of a first event of an engine.
type FirstEventError struct {
	Error time.Duration // measured minus predicted time
}

// Dispatch sends a request, or the rest of a stream, to an endpoint.
type Dispatch struct {
	ID       RequestID
	Attempt  int
	Endpoint wire.EndpointID
	Addr     string
	Helpers  []Helper // engines that prefill parts of the prompt
	// SilenceTimeout is how long the endpoint may take to begin its answer until another one
	// is tried, or the memory reserved for it is let go; 0: until the deadline.
	SilenceTimeout time.Duration
	// GapTimeout is how long a stream may pause between two events until it is reported as
	// stalled; 0: until the deadline.
	GapTimeout time.Duration
}

// Helper is an engine that prefills a part of a prompt for another engine.
type Helper struct {
	Endpoint wire.EndpointID
	Addr     string
	// Reservation names a reservation of memory for Tokens at the helper. The shell makes it
	// before it sends the request, renews it while the request runs, and releases it at
	// the end. Without a ticket the helper only prefills.
	Reservation string
	Tokens      int64
}

// Cancel ends a running attempt. It ends with ResultSilent, unless nothing of it was sent.
type Cancel struct {
	ID      RequestID
	Attempt int
}

// Probe queries an engine for its report.
type Probe struct {
	Endpoint wire.EndpointID
	Addr     string
}

// Finish ends a request. No further output concerns it.
type Finish struct {
	ID         RequestID
	Verdict    Verdict
	RetryAfter time.Duration // with VerdictRefused: when the caller may try again
	Reason     Reason
}

// Verdict is the outcome of a request for its caller.
type Verdict uint8

// The verdicts.
const (
	VerdictDone    Verdict = 1 // the answer of the last attempt
	VerdictRefused Verdict = 2 // the request has not run and never will
	VerdictUnknown Verdict = 3 // the request may have run; no answer
	VerdictTimeout Verdict = 4 // the deadline has passed
)

// Reason says why a request was refused or failed.
type Reason string

// The reasons.
const (
	ReasonNone        Reason = ""
	ReasonNoEndpoint  Reason = "no-endpoint"  // no endpoint is registered and healthy
	ReasonTooLarge    Reason = "too-large"    // the engines have too little memory for the request
	ReasonOverload    Reason = "overload"     // no free capacity before the deadline
	ReasonFull        Reason = "full"         // endpoints refused the request
	ReasonUnreachable Reason = "unreachable"  // no connection to an endpoint
	ReasonBroken      Reason = "broken"       // an attempt broke and can't be retried
	ReasonSilent      Reason = "silent"       // an endpoint did not answer
	ReasonBudget      Reason = "retry-budget" // a retry is possible, but the fleet's retry budget is spent
	ReasonDeadline    Reason = "deadline"
	ReasonLimit       Reason = "endpoint-limit" // all endpoints name limits that leave it no place in time
	ReasonExit        Reason = "exit"           // the process is about to exit
	ReasonEvacuated   Reason = "evacuated"      // the failure domains of the endpoints that could serve it are out of use

	ReasonCrashesEngines   Reason = "crashes-engines"   // engines crash on a part of the prompt, or may do so
	ReasonCrashesEndpoints Reason = "crashes-endpoints" // endpoints of a plain service crash on the request, or may do so
)

// RefusalReasons returns the reasons with which a request may be refused.
func RefusalReasons() []Reason {
	return []Reason{
		ReasonNoEndpoint, ReasonTooLarge, ReasonOverload, ReasonFull, ReasonUnreachable, ReasonSilent, ReasonBroken, ReasonBudget,
		ReasonDeadline, ReasonLimit, ReasonEvacuated, ReasonExit, ReasonCrashesEngines, ReasonCrashesEndpoints,
	}
}

// ToPeer is a message to another gateway.
type ToPeer struct {
	Addr netip.AddrPort
	Msg  *PeerMessage
}

// PeerHasNewer reports that a peer has a newer copy of the store's keys.
type PeerHasNewer struct {
	Peer     netip.AddrPort
	Versions Versions
}

// Ready reports whether the platform's load balancer may send callers here.
type Ready struct {
	OK     bool
	Reason string
}
