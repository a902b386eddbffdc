// Package option helps constructors with their configuration: defaults for fields
// left at zero, and the error for a field with an invalid value.
package option

import "fmt"

// Error reports an option with an invalid value.
type Error struct {
	Option string
	Value  any
	Want   string // accepted values, such as "a positive sum"
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("option %s is %v, want %s", e.Option, e.Value, e.Want)
}

// Default sets the field to value if it has its zero value.
func Default[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Weights balances time to first token against the slowdown of short requests: their
// time to first token beside long requests, divided by that without long ones. Only the
// ratio of the two weights matters.
type Weights struct {
	FirstToken    float64
	ShortSlowdown float64
}

// EqualWeights weighs time to first token and the slowdown of short requests equally.
var EqualWeights = Weights{FirstToken: 1, ShortSlowdown: 1}

// ShortShare returns the share of ShortSlowdown in the sum of the weights.
func (w Weights) ShortShare() float64 {
	return w.ShortSlowdown / (w.FirstToken + w.ShortSlowdown)
}

// Valid reports whether the weights are non-negative and not both zero.
func (w Weights) Valid() bool {
	return w.FirstToken >= 0 && w.ShortSlowdown >= 0 && w.FirstToken+w.ShortSlowdown > 0
}
