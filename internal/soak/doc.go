// Package soak runs a whole deployment of entry and agent cores on a virtual
// clock, against small fakes of the engines, services, the platform's store and
// the network, brings about faults, and audits what happened against the
// fakes' own ledgers.
//
// A World is one run. The same options and seed give the same run, event for
// event; its digest proves it.
package soak
