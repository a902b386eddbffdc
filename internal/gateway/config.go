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
	Place         PlacementConfig
}

// PlacementConfig tunes the placing of requests at engines.
type PlacementConfig struct {
	// GapMargin is kept free of the longest pause that a stream may have: time on
	// the way and errors of the prediction.
	GapMargin time.Duration
	// IdlePrefill is the read time that an engine without streams may be given at
	// once, so that it is soon free for urgent prompts.
	IdlePrefill time.Duration
	// SmallPrefill is the read time up to which a prompt is read by one engine.
	SmallPrefill time.Duration
	// MaxInterleaved is the number of engines that read parts of a prompt of medium
	// length between their other work, and MostPart the read time of such a part, if
	// parts of SmallRead would be more.
	MaxInterleaved int
	MaxPart        time.Duration
	// SpareSlots are slots of an engine that short streams leave free as long as
	// other engines have more.
	SpareSlots int
	// LatencySensitiveGap is the pause objective up to which streams are gathered on few engines.
	LatencySensitiveGap time.Duration
}

// DefaultPlace returns the values in use.
func DefaultPlace() PlacementConfig {
	return PlacementConfig{
		GapMargin:           35 * time.Millisecond,
		IdlePrefill:         2000 * time.Millisecond,
		SmallPrefill:        40 * time.Millisecond,
		MaxInterleaved:      16,
		MaxPart:             100 * time.Millisecond,
		SpareSlots:          2,
		LatencySensitiveGap: 300 * time.Millisecond,
	}
}
