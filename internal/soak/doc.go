// Package soak runs a whole deployment of entry and agent cores on a virtual
// clock, against simulated engines, services, store and network, injects faults,
// and audits the outcome against what the simulations recorded.
//
// A World is one run. The same options and seed give the same sequence of
// events, which the digest of the journal shows.
package soak
