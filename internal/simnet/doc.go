// Package simnet provides a virtual clock and a simulated network with faulty
// links for tests of the deterministic cores. All events run in one goroutine, in
// an order that depends only on the seed.
package simnet
