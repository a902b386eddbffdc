package limits

import (
	"cmp"
	"math"
	"slices"
)

// divider holds the buffers of divide.
type divider struct {
	demands []float64
	shares  []float64
	order   []int
}

// divide splits total among demands by max-min fairness: no demand gets more than
// an equal part while another is unmet. The rest is divided evenly, with one
// part kept free for a new holder. The result is valid until the next call.
func (s *divider) divide(total float64, demands []float64) []float64 {
	s.order = s.order[:0]
	s.shares = s.shares[:0]
	for i := range demands {
		s.order = append(s.order, i)
		s.shares = append(s.shares, 0)
	}
	slices.SortStableFunc(s.order, func(a, b int) int { return cmp.Compare(demands[a], demands[b]) })
	left := total
	for n, i := range s.order {
		equal := left / float64(len(demands)-n)
		s.shares[i] = min(demands[i], equal)
		left -= s.shares[i]
	}
	spare := max(left, 0) / float64(len(demands)+1)
	for i := range s.shares {
		s.shares[i] += spare
	}
	return s.shares
}

// divideWhole is divide for whole units. Units left by rounding go to unmet
// demands, in order.
func (s *divider) divideWhole(total float64, demands []float64) []float64 {
	shares := s.divide(total, demands)
	left := math.Floor(total)
	for i := range shares {
		shares[i] = math.Floor(shares[i] + roundingSlack)
		left -= shares[i]
	}
	for i := range shares {
		if left >= 1 && shares[i] < demands[i] {
			shares[i]++
			left--
		}
	}
	return shares
}

// roundingSlack absorbs floating-point errors in sums of shares.
const roundingSlack = 1e-9
