package soak

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/workload"
)

// Options describe one run.
type Options struct {
	Deployment         workload.Deployment
	Seed               uint64
	VirtualTime        time.Duration // length of the arrivals of requests, after warm-up
	Load               float64       // offered load as a share of the deployment's capacity
	Mix                workload.Mix
	Burst              workload.Burst
	Faults             []string      // names of faults; see FaultNames
	FaultEvery         time.Duration // mean interval between injections
	Policy             Policy
	DisabledMechanisms []string // names of mechanisms to disable
	Measure            bool     // continue after a violation, and keep the limits of all accounts as listed
	Shuffle            uint64   // selects another stream for the random choices of the run; workload and engine models depend on Seed alone
}

// Defaults of Options.
const (
	DefaultLoad       = 0.25
	DefaultFaultEvery = 20 * time.Second
)

// Policy selects how entries route and how agents queue.
type Policy string

// The policies: the product's own, and three for comparison.
const (
	PolicyTrefoilpath      Policy = "trefoilpath"
	PolicyRoundRobin       Policy = "round-robin"
	PolicyLeastOutstanding Policy = "least-outstanding"
	PolicyReactive         Policy = "reactive"
)

// Policies returns all policies, the product's first.
func Policies() []Policy {
	return []Policy{PolicyTrefoilpath, PolicyRoundRobin, PolicyLeastOutstanding, PolicyReactive}
}

// Result is the outcome of a run.
type Result struct {
	Options   Options
	Digest    uint64 // of all journal events
	Events    uint64
	Calls     []Call
	Refused   int // requests for which the balancer had no ready entry
	Violation *Violation
	Faults    map[string]int // number of injections, by fault
	Elapsed   time.Duration  // virtual time
}

// Violation is a broken promise with the journal events that led to it.
type Violation struct {
	Promise Promise
	Subject string // request, node or invariant
	Detail  string
	At      time.Duration
	Trace   []string
}
