package shell

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// fromClock returns the time in milliseconds as an incarnation.
func fromClock() wire.Incarnation { return wire.Incarnation(time.Now().UnixMilli()) }
