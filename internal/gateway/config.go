package gateway

import (
	"net/netip"
	"time"

	"trefoilpath.org/trefoilpath/internal/retrybudget"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Config describes one gateway.
type Config struct {
	Incarnation   uint64 // differs between lives of the process
	Addr          netip.AddrPort
	Seeds         []netip.AddrPort
	FailureDomain wire.FailureDomain
	Retry         retrybudget.Config
	Place         PlaceConfig
}

// PlaceConfig tunes the placing of requests at engines.
type PlaceConfig struct {
	// Margin is kept free of the longest pause that a stream may have: time on
	// the way and errors of the prediction.
	Margin time.Duration
	// OpenRead is the read time that an engine without streams may be given at
	// once, so that it is soon free for urgent prompts.
	OpenRead time.Duration
	// SmallRead is the read time up to which a prompt is read by one engine.
	SmallRead time.Duration
	// MaxInterleaved is the number of engines that read parts of a prompt of medium
	// length between their other work, and MostPart the read time of such a part, if
	// parts of SmallRead would be more.
	MaxInterleaved int
	MostPart       time.Duration
	// SpareSlots are slots of an engine that short streams leave free as long as
	// other engines have more.
	SpareSlots int
	// TightPause is the pause objective up to which streams are gathered on few engines.
	TightPause time.Duration
}

// DefaultPlace returns the values in use.
func DefaultPlace() PlaceConfig {
	return PlaceConfig{
		Margin:         35 * time.Millisecond,
		OpenRead:       2000 * time.Millisecond,
		SmallRead:      40 * time.Millisecond,
		MaxInterleaved: 16,
		MostPart:       100 * time.Millisecond,
		SpareSlots:     2,
		TightPause:     300 * time.Millisecond,
	}
}
