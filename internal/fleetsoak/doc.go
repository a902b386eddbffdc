// Package fleetsoak runs real gateway processes on loopback against stand-ins of
// the platform's store and replicas, injects seeded faults from outside them, and
// checks the promises from what callers and replicas see.
//
// The virtual-clock soak (internal/soak) explores more states a second; this one
// has real sockets, signals and clocks.
package fleetsoak
