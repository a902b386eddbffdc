// Package fleetsoak runs gateway processes on loopback against stand-ins of the
// platform's store and replicas, injects seeded faults from outside, and checks
// the promises against the records of callers and replicas.
//
// The soak on a virtual clock (internal/soak) explores more states a second; this
// one uses real sockets, signals and clocks.
package fleetsoak
