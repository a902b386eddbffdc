// Package membership says which processes a deployment has: rendezvous hashing
// that every process computes alike, the subset of entries that an agent keeps
// streams to, the client of the platform's VM list, and the machine that merges
// the lagging list with what the streams and heartbeats say.
package membership
