// Package capacity computes the load of each role and each shared service at the
// size targeted in two years, from measured costs (slopes). docs/CAPACITY.md holds
// the result; a test recomputes it, so that the page stays up to date.
package capacity
