package shell

import (
	"net/http"
	"time"

	"trefoilpath.org/trefoilpath/internal/gateway"
	"trefoilpath.org/trefoilpath/internal/route"
)

// Translator reads and sets the headers of callers and endpoints.
type Translator interface {
	// Request reads a caller's headers.
	Request(h http.Header) CallerHeaders
	// Forward sets the headers of a request to an endpoint, in a copy of the
	// caller's, and removes those that a caller may not choose.
	Forward(h http.Header, f ForwardHeaders)
	// Reserve and Release make the orders that set memory aside at an engine and
	// free it. A reservation lasts for hold from its arrival; made again, it is
	// renewed.
	Reserve(ticket string, tokens int64, hold time.Duration) Order
	Release(ticket string) Order
	// ReportTarget is the path of an engine's report; Pace reads from it how many
	// times slower than its published constants the engine is.
	ReportTarget() string
	Pace(body []byte) (float64, error)
	// Answer reads an endpoint's headers.
	Answer(status int, h http.Header) AnswerHeaders
	// Names returns the names of headers that the shell handles itself.
	Names() HeaderNames
}

// Decoder translates values of the store.
type Decoder interface {
	// ConfigPrefix and RegistrationPrefix name the keys.
	ConfigPrefix() string
	RegistrationPrefix() string
	// Config translates the configuration.
	Config(value []byte) (*route.Config, error)
	// Registration translates the entry of one endpoint.
	Registration(key string, value []byte) (gateway.Registration, error)
}

// Order is a request that changes the state of an endpoint.
type Order struct {
	Target string
	Header http.Header
	Body   []byte
}

// HeaderNames are names of headers.
type HeaderNames struct {
	RequestID string // echoed by endpoints
}

// CallerHeaders are what a caller says of a request.
type CallerHeaders struct {
	RequestID string // of this try
	Key       string
	TimeLeft  time.Duration
	Timed     bool  // TimeLeft is given
	Prompt    int64 // tokens
	Output    int64 // tokens, the limit
}

// ForwardHeaders are what the gateway tells an endpoint.
type ForwardHeaders struct {
	TimeLeft  time.Duration
	Instance  string // the only one that may run the request
	Account   string
	LastEvent string
	Helpers   []gateway.Helper
	Priority  int // 0 is the most urgent
}

// AnswerHeaders are what an endpoint says of an answer.
type AnswerHeaders struct {
	NotRun        bool // the endpoint did not run the request
	OtherInstance bool
	Fault         string // the endpoint to blame, if it isn't this one
	Loaded        bool
	Load          gateway.Load
}
