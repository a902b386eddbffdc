package entry

// retryBudget bounds retries to a fraction of first attempts, so that retries
// can't multiply the load of a fleet that fails.
type retryBudget struct {
	ratio     float64
	burst     float64
	available float64
}

// credit adds what one first attempt allows.
func (b *retryBudget) credit() { b.available = min(b.available+b.ratio, b.burst) }

// take reports whether one more retry is allowed, and counts it.
func (b *retryBudget) take() bool {
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
