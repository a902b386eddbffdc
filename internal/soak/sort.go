package soak

import (
	"slices"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// sortAttempts sorts attempts by ID, so that a run does not depend on map order.
func sortAttempts(ids []wire.AttemptID) {
	slices.SortFunc(ids, wire.AttemptID.Compare)
}

func boolValue(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
