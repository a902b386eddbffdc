// Package simnet provides a virtual clock and a network of faulty links for
// tests of the deterministic cores. Everything runs in one goroutine, in an
// order that depends on the seed alone.
package simnet
