// Package membership tracks the processes of a deployment. It provides the
// rendezvous hashing that every process computes alike, the subset of entries
// to which an agent keeps streams, the client of the platform's VM list, and
// Core, which merges that lagging list with heartbeats and the state of the
// streams.
package membership
