package gateway

import (
	"net/netip"
	"time"

	"trefoilpath.org/trefoilpath/internal/retrybudget"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Config describes one gateway.
type Config struct {
	Incarnation   uint64           // differs between starts of the process
	Addr          netip.AddrPort   // at which peers reach this gateway
	Seeds         []netip.AddrPort // peers to contact at the start
	FailureDomain wire.FailureDomain
	Retry         retrybudget.Config
	Cold          ColdBounds
	Placement     PlacementConfig
	Disabled      Mechanisms // for measurements only

	// Evacuations is set if failure domains may be taken out of use. The gateway serves nothing
	// until it knows which are.
	Evacuations bool
	// Regions are the regions of the failure domains.
	Regions map[wire.FailureDomain]string
}

// ColdBounds bound the requests that a cold endpoint gets in any one second from all gateways
// together: Ratio times its service's cold rate, plus Slack.
type ColdBounds struct {
	Ratio float64
	Slack float64 // requests
}

// PlacementConfig tunes the placement of requests on engines. A prompt is short if one
// engine prefills it within SmallPrefill, medium if at most MaxInterleaved engines can
// prefill it in parts of up to MaxPart, and long otherwise.
type PlacementConfig struct {
	// GapMargin is the part of a stream's gap objective that placement leaves unused,
	// for network time and prediction errors.
	GapMargin time.Duration
	// IdlePrefill is the prefill time that an engine without streams may be given at
	// once, or the objective of a long prompt if that is longer. It is bounded so that the
	// engine is soon free for urgent prompts.
	IdlePrefill time.Duration
	// SmallPrefill is the prefill time up to which a single engine prefills a prompt.
	SmallPrefill time.Duration
	// MaxInterleaved is the maximum number of engines that prefill a medium prompt in
	// parts between their other work. MaxPart is the maximum prefill time of such a
	// part, for prompts that would need more than MaxInterleaved parts of SmallPrefill.
	MaxInterleaved int
	MaxPart        time.Duration
	// SpareSlots is the number of an engine's slots that short streams leave free as
	// long as other engines have more free slots.
	SpareSlots int
	// LatencySensitiveGap is the gap objective up to which a stream counts as
	// latency-sensitive. Such streams are concentrated on few engines.
	LatencySensitiveGap time.Duration
}

// DefaultPlacement returns the values that gateways run with.
func DefaultPlacement() PlacementConfig {
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
