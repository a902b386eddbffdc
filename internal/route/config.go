package route

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/enginecost"
)

// Kind says whether requests of a route may be executed more than once.
type Kind uint8

// The kinds of routes.
const (
	KindSafe   Kind = 1 // may run more than once
	KindUnsafe Kind = 2 // runs at most once
	KindStream Kind = 3 // an event stream; runs at most once unless the route is resumable
)

var kindNames = [...]string{"", "safe", "unsafe", "stream"}

func (k Kind) String() string { return kindNames[k] }

// Config is one version of the routing configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Accounts is nil if callers need no key.
	Accounts []Account
}

// Route says where requests under one host and path prefix go.
type Route struct {
	Name         string
	Host         string
	Prefix       string // begins and ends with a slash
	Kind         Kind
	Timeout      time.Duration // maximum time until the answer is complete
	Objective    time.Duration // target time to the first event of a stream, else to the whole answer
	GapObjective time.Duration // target for the longest gap between events of a stream
	MaxAttempts  int           // maximum number of endpoints that one request is sent to
	Priority     int           // 0 is the most urgent
	Public       bool          // callers need no key
	Resumable    bool          // a stream may continue after its last event at another endpoint
	Regions      []string      // in which its requests may run; empty: any
	Targets      []Target
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Target is a service and its share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Service is a group of endpoints that answer the same requests.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int                // connections that one endpoint accepts from all callers
	Engine     *enginecost.Params // nil for a plain service, whose endpoints are not engines
	Warmup     time.Duration      // how long an endpoint is cold after its start
	ColdRate   float64            // requests a second that a cold endpoint tolerates; 0: cold endpoints need no limit
}

// Limits bound the size of requests and the time that callers may take to send them.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Account is a client account with the keys that identify it.
type Account struct {
	Name        string
	Keys        []string
	Priority    int
	HasPriority bool     // Priority overrides the priority of the route
	Regions     []string // in which its requests may run; empty: any
}
