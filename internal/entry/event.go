package entry

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// EventKind names what an Event reports.
type EventKind string

// The events that an entry core reports.
const (
	EventAdmitted             EventKind = "admitted"
	EventRefused              EventKind = "refused"
	EventDispatched           EventKind = "dispatched"
	EventRetried              EventKind = "retried"
	EventFinished             EventKind = "finished"
	EventEndpointUp           EventKind = "endpoint-up"
	EventEndpointOutOfService EventKind = "endpoint-ejected" // gets no new work: ejected, without reports or leaving by the VM list; Detail says which
	EventEndpointReturned     EventKind = "endpoint-returned"
	EventEndpointDown         EventKind = "endpoint-down"
	EventRevision             EventKind = "revision"
	EventReady                EventKind = "ready"
	EventOrder                EventKind = "order"
)

// Event is one line of the log. Zero fields are left out.
type Event struct {
	Kind     EventKind
	Request  string
	Account  wire.AccountID
	Endpoint wire.EndpointID
	Attempt  wire.AttemptID
	Outcome  wire.Outcome
	Code     Code
	Detail   string
	Revision uint64
	Author   string        // of the revision
	Elapsed  time.Duration // since the request arrived
	// TTFT is the time to first token: predicted from the dispatch in
	// EventDispatched, measured from the arrival in EventFinished; 0: none.
	TTFT time.Duration
}
