package shell

import (
	"net/http"
	"time"

	"trefoilpath.org/trefoilpath/internal/gateway"
	"trefoilpath.org/trefoilpath/internal/route"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Translator parses and sets the headers of callers and endpoints, and encodes
// orders to engines.
type Translator interface {
	// Request parses the headers of a caller's request.
	Request(h http.Header) CallerHeaders
	// Forward sets the headers of a request to an endpoint in h, a copy of the
	// caller's headers, and removes those that a caller may not set.
	Forward(h http.Header, f ForwardHeaders)
	// Reserve and Release return the orders that reserve memory for a number of
	// tokens at an engine and release it. ticket names the reservation. It expires
	// when hold has passed since the engine received the order; sending the order
	// again renews it.
	Reserve(ticket string, tokens int64, hold time.Duration) Order
	Release(ticket string) Order
	// ReportTarget returns the path of an engine's report. Slowdown returns the engine's
	// slowdown from a report's body: the factor by which it is slower than its
	// published cost parameters.
	ReportTarget() string
	Slowdown(body []byte) (float64, error)
	// Response parses the status and headers of an endpoint's response.
	Response(status int, h http.Header) ResponseHeaders
	// Names returns the names of headers that the shell itself uses.
	Names() HeaderNames
}

// Decoder decodes values of the store.
type Decoder interface {
	// ConfigPrefix returns the key of the configuration, and RegistrationPrefix the
	// key prefix of the endpoints' registrations.
	ConfigPrefix() string
	RegistrationPrefix() string
	// EvacuationPrefix returns the key prefix of the failure domains that are out of use.
	EvacuationPrefix() string
	// Config decodes the configuration.
	Config(value []byte) (*route.Config, error)
	// Registration decodes the registration of one endpoint.
	Registration(key string, value []byte) (gateway.Registration, error)
	// MaxRegistration returns the size in bytes of the largest value that Registration accepts.
	MaxRegistration() int
	// CompactRegistration returns, for a value that Registration accepts, one of bounded size that it decodes
	// to the same.
	CompactRegistration(value []byte) ([]byte, error)
	// Evacuation returns the failure domain that a key takes out of use.
	Evacuation(key string) (wire.FailureDomain, error)
}

// Order is a request that changes the state of an endpoint.
type Order struct {
	Target string
	Header http.Header
	Body   []byte
}

// HeaderNames are the names of headers that the shell itself uses.
type HeaderNames struct {
	RequestID string // request ID, which endpoints echo in their responses
	Signature string // which endpoints set in each successful response
}

// CallerHeaders holds the parsed headers of a caller's request.
type CallerHeaders struct {
	RequestID   string        // a retry by the caller has another ID
	Key         string        // identifies the client account; empty: none
	TimeLeft    time.Duration // how long the caller waits
	HasTimeLeft bool          // the caller has sent TimeLeft
	Prompt      int64         // prompt tokens; 0: unknown
	Output      int64         // maximum number of output tokens; 0: unknown
	SharedParts []string      // IDs of the parts of the prompt that other prompts may have too
}

// ForwardHeaders holds the values of headers that the gateway sends to an endpoint.
type ForwardHeaders struct {
	TimeLeft    time.Duration    // until the deadline of the request
	EndpointID  string           // ID of the only endpoint that may run the request
	Account     string           // client account; empty: none
	LastEventID string           // ID of the event after which a stream resumes; empty: none
	Helpers     []gateway.Helper // engines that prefill parts of the prompt and, with a ticket, hold them
	Priority    int              // 0 is the most urgent
}

// ResponseHeaders holds the parsed headers of an endpoint's response.
type ResponseHeaders struct {
	NotRun        bool   // the endpoint states that it did not run the request
	ImpliesNotRun bool   // the status alone tells a caller that the request has not run
	OtherEndpoint bool   // an endpoint other than ForwardHeaders.EndpointID responded
	Fault         string // address or ID (the core accepts both) of the endpoint that caused the failure; empty: the one that responded
	HasLoad       bool   // Load is set
	Load          gateway.EndpointLoad
	Leaving       bool          // the endpoint that responded is draining
	Backoff       time.Duration // how long it accepts no request from this gateway; 0: not stated
	Limit         float64       // requests a second that it accepts from all gateways together; 0: not stated
	LimitUnknown  bool          // a limit is stated that can't be parsed
	ColdLeft      time.Duration // how much longer it is cold; 0: not stated, or warm
	Malformed     string        // a header that can't be parsed and is ignored; empty: none
}
