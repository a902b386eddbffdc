// Package entry is the deterministic core of the entry role: it admits callers'
// requests under their plans, routes them to endpoints, follows each attempt to
// one typed outcome, and shares limits and declarations with its peers.
//
// Core has no I/O, clock, goroutine or randomness of its own. A shell feeds it
// inputs together with the monotonic time, and carries out its outputs.
package entry
