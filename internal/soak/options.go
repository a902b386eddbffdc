package soak

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/workload"
)

// Options describe one run.
type Options struct {
	Deployment workload.Deployment
	Seed       uint64
	Virtual    time.Duration // length of the load
	Load       float64       // share of the deployment's capacity; 1 is full load
	Mix        workload.Mix
	Burst      workload.Burst
	Faults     []string // names of faults; see FaultNames
	FaultEvery time.Duration
	Policy     Policy
	Without    []string // mechanisms that are switched off
	Measure    bool     // goes on after a broken promise
	Shuffle    uint64   // changes every random choice but the workload
}

// Defaults of Options.
const (
	DefaultLoad       = 0.25
	DefaultFaultEvery = 20 * time.Second
)

// Policy selects how entries route and how agents queue.
type Policy string

// The policies. PolicyTrefoilpath is the product's.
const (
	PolicyTrefoilpath      Policy = "trefoilpath"
	PolicyRoundRobin       Policy = "round-robin"
	PolicyLeastOutstanding Policy = "least-outstanding"
	PolicyReactive         Policy = "reactive"
)

// Policies lists the policies, the product's first.
func Policies() []Policy {
	return []Policy{PolicyTrefoilpath, PolicyRoundRobin, PolicyLeastOutstanding, PolicyReactive}
}

// Result is what a run has shown.
type Result struct {
	Options   Options
	Digest    uint64
	Events    uint64
	Calls     []Call
	Refused   int // calls that no entry took
	Violation *Violation
	Faults    map[string]int // how often each fault was brought about
	Elapsed   time.Duration  // virtual time of the whole run
}

// Violation is a broken promise with the events around it.
type Violation struct {
	Promise Promise
	Subject string
	Detail  string
	At      time.Duration
	Trace   []string
}
