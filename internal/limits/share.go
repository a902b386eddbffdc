package limits

import (
	"cmp"
	"math"
	"slices"
)

// divider holds the buffers of divide.
type divider struct {
	wants  []float64
	shares []float64
	order  []int
}

// divide splits total among wants by max-min fairness: no want gets more than
// an equal part while another is unmet. The rest is divided evenly, with one
// part kept free for a new holder. The result is valid until the next call.
func (s *divider) divide(total float64, wants []float64) []float64 {
	s.order = s.order[:0]
	s.shares = s.shares[:0]
	for i := range wants {
		s.order = append(s.order, i)
		s.shares = append(s.shares, 0)
	}
	slices.SortStableFunc(s.order, func(a, b int) int { return cmp.Compare(wants[a], wants[b]) })
	left := total
	for n, i := range s.order {
		equal := left / float64(len(wants)-n)
		s.shares[i] = min(wants[i], equal)
		left -= s.shares[i]
	}
	spare := max(left, 0) / float64(len(wants)+1)
	for i := range s.shares {
		s.shares[i] += spare
	}
	return s.shares
}

// divideWhole is divide for whole units. Units left by rounding go to unmet
// wants, in order.
func (s *divider) divideWhole(total float64, wants []float64) []float64 {
	shares := s.divide(total, wants)
	left := math.Floor(total)
	for i := range shares {
		shares[i] = math.Floor(shares[i] + roundingSlack)
		left -= shares[i]
	}
	for i := range shares {
		if left >= 1 && shares[i] < wants[i] {
			shares[i]++
			left--
		}
	}
	return shares
}

// roundingSlack absorbs floating-point errors in sums of shares.
const roundingSlack = 1e-9
