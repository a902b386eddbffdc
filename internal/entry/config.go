package entry

import (
	"math/rand/v2"
	"time"

	"trefoilpath.org/trefoilpath/internal/limits"
	"trefoilpath.org/trefoilpath/internal/option"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Routing selects how an entry chooses an endpoint.
type Routing uint8

// The routing policies.
const (
	// RoutingPredicted scores a few endpoints by the predicted time to first
	// token.
	RoutingPredicted Routing = 0
	// RoutingRoundRobin takes the endpoints of a model in rotation.
	RoutingRoundRobin Routing = 1
	// RoutingLeastOutstanding takes the endpoint with the fewest attempts of
	// this entry in flight.
	RoutingLeastOutstanding Routing = 2
)

// Weights weighs time to first token (TTFT) against the slowdown of short
// requests.
type Weights = option.Weights

// Defaults of Config, and times and sizes that no field of it sets.
const (
	DefaultCandidates      = 6
	DefaultRetryRatio      = 0.1
	DefaultRetryBurst      = 20
	DefaultStreamGrace     = 700 * time.Millisecond
	DefaultCapacityWait    = 2 * time.Second
	DefaultSettleMargin    = 150 * time.Millisecond
	DefaultHeartbeat       = 2 * time.Second
	DefaultBalancerLag     = 5 * time.Second
	DefaultServiceTime     = 10 * time.Second       // deadline of a service call if its account sets none
	DefaultRequestTime     = 60 * time.Second       // deadline of a model request if its account sets none
	TransferSameDomain     = 500 * time.Microsecond // assumed time of a message to an endpoint of the same failure domain
	TransferSameRegion     = time.Millisecond       // to another failure domain of the region
	TransferOtherRegion    = 40 * time.Millisecond  // to another region
	DefaultEjectAfter      = 3
	DefaultEjectFor        = 2 * time.Second
	DefaultMaxEjectFor     = time.Minute
	DefaultGroupLease      = 10 * time.Second
	DefaultMaxRequestBytes = 64 << 20 // largest body of a caller's request; not used by any code
	DefaultMaxPrefixHashes = 2048
)

// Config holds the options of a Core. Self, Incarnation and Rand must be set;
// zero values of the other fields stand for the defaults.
type Config struct {
	Self          wire.NodeID
	Incarnation   wire.Incarnation
	Address       string // at which peers and agents reach this entry
	Region        wire.Region
	FailureDomain wire.FailureDomain
	Rand          *rand.Rand

	// Domains lists the failure domains of the deployment.
	Domains []wire.FailureDomain
	// Regions is the number of regions among which limits are divided; 0 stands
	// for 1.
	Regions int
	// ListLag is the longest time for which the platform's VM list may lack a
	// new entry; 0 stands for the default of package limits.
	ListLag time.Duration
	// GrantLease is the shortest lease of a grant of limits; 0 stands for the
	// default of package limits. An entry becomes ready once the grants made by
	// its previous incarnation have expired.
	GrantLease time.Duration

	// NoStore runs the entry without a store, on declarations given by
	// Input.LocalDeclarations.
	NoStore bool

	Routing Routing
	// Reactive switches off proactive admission: requests are accepted whatever
	// the prediction, and end at their deadline.
	Reactive bool
	Weights  Weights

	Candidates   int           // endpoints sampled for one routing decision
	RetryRatio   float64       // retries allowed for each first attempt
	RetryBurst   float64       // upper bound of retries that accumulate unused
	StreamGrace  time.Duration // how long an attempt survives the loss of its agent's stream
	CapacityWait time.Duration // how long a request waits for the first endpoint of its model or service
	SettleMargin time.Duration // time before the deadline at which an unstarted attempt is cancelled, at most a quarter of the request's time
	Heartbeat    time.Duration // shortest interval between heartbeats to agents
	BalancerLag  time.Duration // how long the load balancer still sends requests after readiness fails
	GroupLease   time.Duration // of a memory reservation for a group
	EjectAfter   int           // consecutive failures
	EjectFor     time.Duration // of the first ejection; doubles with each consecutive one up to MaxEjectFor
	MaxEjectFor  time.Duration

	MaxPrefixHashes int // cached prefix hashes kept for each endpoint

	off mechanism // protections switched off, see Without
}

// OptionError reports an option of Config that is out of range.
type OptionError = option.Error

func (c *Config) setDefaults() {
	option.Default(&c.Weights, option.EqualWeights)
	option.Default(&c.Candidates, DefaultCandidates)
	option.Default(&c.RetryRatio, DefaultRetryRatio)
	option.Default(&c.RetryBurst, DefaultRetryBurst)
	option.Default(&c.StreamGrace, DefaultStreamGrace)
	option.Default(&c.CapacityWait, DefaultCapacityWait)
	option.Default(&c.SettleMargin, DefaultSettleMargin)
	option.Default(&c.Heartbeat, DefaultHeartbeat)
	option.Default(&c.BalancerLag, DefaultBalancerLag)
	option.Default(&c.GrantLease, limits.DefaultLease)
	option.Default(&c.GroupLease, DefaultGroupLease)
	option.Default(&c.EjectAfter, DefaultEjectAfter)
	option.Default(&c.EjectFor, DefaultEjectFor)
	option.Default(&c.MaxEjectFor, DefaultMaxEjectFor)
	option.Default(&c.MaxPrefixHashes, DefaultMaxPrefixHashes)
}

// Validate returns an *OptionError for the first option that is out of range.
func (c Config) Validate() error {
	switch {
	case c.Self == "":
		return &OptionError{Option: "Self", Value: c.Self, Want: "a name"}
	case c.Incarnation == 0:
		return &OptionError{Option: "Incarnation", Value: c.Incarnation, Want: "a positive number"}
	case c.Rand == nil:
		return &OptionError{Option: "Rand", Value: nil, Want: "a seeded source"}
	case c.Routing > RoutingLeastOutstanding:
		return &OptionError{Option: "Routing", Value: c.Routing, Want: "a known policy"}
	case !c.Weights.Valid():
		return &OptionError{Option: "Weights", Value: c.Weights, Want: "two shares, not both zero"}
	case c.Candidates < 1:
		return &OptionError{Option: "Candidates", Value: c.Candidates, Want: "at least 1"}
	case c.RetryRatio < 0:
		return &OptionError{Option: "RetryRatio", Value: c.RetryRatio, Want: "at least 0"}
	case c.RetryBurst < 0:
		return &OptionError{Option: "RetryBurst", Value: c.RetryBurst, Want: "at least 0"}
	}
	return c.validateDurations()
}

func (c Config) validateDurations() error {
	for _, d := range []struct {
		name  string
		value time.Duration
	}{
		{"StreamGrace", c.StreamGrace}, {"CapacityWait", c.CapacityWait}, {"SettleMargin", c.SettleMargin},
		{"Heartbeat", c.Heartbeat}, {"BalancerLag", c.BalancerLag}, {"GroupLease", c.GroupLease},
		{"EjectFor", c.EjectFor}, {"MaxEjectFor", c.MaxEjectFor},
	} {
		if d.value <= 0 {
			return &OptionError{Option: d.name, Value: d.value, Want: "a positive duration"}
		}
	}
	return nil
}
