// Package capacity works out what the target of two years asks of each role and
// each shared thing, from slopes that were measured. docs/CAPACITY.md holds its
// result; a test recomputes it, so that the page can't go stale.
package capacity
