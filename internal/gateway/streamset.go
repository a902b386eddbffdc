package gateway

import "time"

// longDemandRetention is how long after its dispatch a long prompt still counts as demand
// for the engines that prefill it. Long prompts come in bursts, and an engine that short
// streams have taken meanwhile is free only when these end.
const longDemandRetention = 2 * time.Second

// nearEqualFirst is the width of the steps in which predicted first events are compared.
const nearEqualFirst = 30 * time.Millisecond

const (
	// fewStreamsRatio is the part of an engine's slots in use below which a larger set would
	// hardly shorten passes, but take engines from the next long prompts.
	fewStreamsRatio = 0.25
	// minSetRatio is the part of the engines that is in the set also without streams, unless
	// long prompts need it, for the first prompts of a burst.
	minSetRatio = 0.25
)

// streamSet is the set of engines that short streams of latency-sensitive routes share. It
// follows the demand of short and long prompts. Gateways compute it from the same work
// items, in the order of engines that all share, so that they agree on it without a message.
type streamSet struct {
	size    int // engines, the first ones without a limit in that order
	streams int // short streams that run or wait to be placed
}

// computeStreamSet returns the set for the short streams of s on the engines of list. It has
// the engines that long prompts don't need, as far as there are streams for them, but at
// least those whose slots the short streams fill. It thus grows at once with the short
// streams, and gives way to long prompts as the streams outside the smaller set end.
func (c *Core) computeStreamSet(s *service, list []candidate) streamSet {
	var set streamSet
	engines, long := 0, 0
	for i := range list {
		k := &list[i]
		if k.rank != rankUnlimited {
			continue
		}
		engines++
		if k.latencySensitive {
			set.streams += k.occupancy.streams
		}
		long += bit(k.occupancy.longDemand)
	}
	for _, r := range s.waiting {
		set.streams += bit(!r.divisible)
	}
	params := list[0].endpoint.engine
	perPrompt := 1 + params.MaxHelpers
	atLeast := min(perPrompt, engines/2) // a long prompt may come at any time
	long = max(long+c.waitingLong(s)*perPrompt, atLeast)
	perEngine := max(params.Slots-c.cfg.Placement.SpareSlots, 1)
	useful := max(int(float64(set.streams)/max(fewStreamsRatio*float64(params.Slots), 1)), int(minSetRatio*float64(engines)))
	set.size = min(max((set.streams+perEngine-1)/perEngine, min(useful, engines-long)), engines)
	return set
}

// mark sets which candidates belong to the set, and which of them have more streams than
// the engines of the set have on average.
func (set streamSet) mark(list []candidate) {
	left := set.size
	for i := range list {
		k := &list[i]
		k.inStreamSet = k.rank == rankUnlimited && left > 0
		left -= bit(k.inStreamSet)
		k.aboveMean = k.occupancy.streams*set.size > set.streams
	}
}

// betterInStreamSet reports whether a is a better engine than b of the set. Gateways prefer
// different ones of those with about the same first event: if all took the soonest,
// prompts of several would share its next pass before any of them sees the others.
func (c *Core) betterInStreamSet(a, b *candidate) bool {
	if a.aboveMean != b.aboveMean {
		return b.aboveMean
	}
	if x, y := a.untilFirst/nearEqualFirst, b.untilFirst/nearEqualFirst; x != y {
		return x < y
	}
	return c.perGatewayRank(a.endpoint) < c.perGatewayRank(b.endpoint)
}

// demandsLong reports whether w shows a demand of long prompts for its engines.
func (c *Core) demandsLong(w *workItem) bool {
	if len(w.endpoints) == 1 && w.partTime <= c.cfg.Placement.SmallPrefill {
		return false
	}
	relaxed := w.gapLimit > c.cfg.Placement.LatencySensitiveGap
	return (relaxed || w.partTime > c.cfg.Placement.MaxPart) && (w.phase == workPrefilling || c.now-w.dispatchedAt < longDemandRetention)
}

// waitingLong returns the number of divisible prompts that wait at all gateways.
func (c *Core) waitingLong(s *service) int {
	n := 0
	for _, r := range s.waiting {
		n += bit(r.divisible)
	}
	for p := range c.peers.Values() {
		for _, w := range p.waiting {
			n += bit(w.service == s.nameHash)
		}
	}
	return n
}
