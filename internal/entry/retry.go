package entry

// retryBudget bounds retries to a fraction of first attempts, so that retries
// can't multiply the load during failures.
type retryBudget struct {
	ratio     float64 // retries for each first attempt
	burst     float64 // upper bound of available
	available float64 // retries allowed now
}

// credit adds the retries allowed for one first attempt.
func (b *retryBudget) credit() { b.available = min(b.available+b.ratio, b.burst) }

// take reports whether one more retry is allowed, and counts it.
func (b *retryBudget) take() bool {
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
