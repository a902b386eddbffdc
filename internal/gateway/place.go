package gateway

import (
	"cmp"
	"slices"
	"time"
)

// candidate is an engine that a request may be placed on.
type candidate struct {
	endpoint         *endpoint
	occupancy        occupancy     // current work at the engine
	freePrefill      time.Duration // prefill time that it can take without violating gap objectives
	latencySensitive bool          // it runs latency-sensitive streams
	rank             limitRank
	untilFirst       time.Duration // predicted time to the first event of a short prompt
	reliable         bool          // its first event meets the objective also with the margin for errors
	inStreamSet      bool          // short streams use it before others; see streamSet
	aboveMean        bool          // it has more streams than the engines of that set on average
}

// limitRank is the order in which endpoints are considered with regard to their limits.
type limitRank uint8

const (
	rankRecheck   limitRank = iota // limited, but only a request can tell whether it still is
	rankUnlimited                  // it names no limit; if it is cold, there is a permit for it
	rankLimited                    // there is a permit for it
	rankNoPermit                   // it gets no request
)

func (c *Core) limitRank(e *endpoint) limitRank {
	switch {
	case !e.limited():
		return rankUnlimited
	case c.permitsHeld(e) == 0:
		return rankNoPermit
	case c.recheckDue(e):
		return rankRecheck
	case e.coldOnly():
		return rankUnlimited
	}
	return rankLimited
}

// placement is a decision to send a request to endpoints.
type placement struct {
	endpoints  []*endpoint   // the answering one first, then the helpers
	reserved   []int64       // prompt tokens that each stores for the answering one; nil: none
	partTime   time.Duration // prefill time of each engine's part
	untilFirst time.Duration // predicted time to the first event, from now
	sharesPass bool          // the engine has other streams, so that more prompts may join its passes
	streamSet  int           // engines that are for short streams; 0 for other prompts
}

// placeEngine selects engines for r, if any can take it now. The load is a mix of short
// prompts of latency-sensitive streams and long prompts whose prefill would stall every
// stream on the same engine:
//
//   - short prompts are spread over a set of engines (streamset.go), so that
//     other engines stay free of latency-sensitive streams;
//   - medium prompts are prefilled in short parts by engines that continue their
//     other work;
//   - long prompts get whole engines by a plan that all gateways share (plan.go);
//   - prompts that fit on no engine wait, since a dispatched prefill can't be
//     withdrawn and would share a pass with all others that are queued there;
//   - a prompt that is late already is not placed where it would make others late:
//     under overload all prompts would be late otherwise, and no caller be served better.
func (c *Core) placeEngine(s *service, r *request) (placement, bool) {
	list := c.candidates(s, r)
	if len(list) == 0 {
		return placement{}, false
	}
	prefillTime := list[0].endpoint.engine.PrefillTime(r.in.PromptTokens)
	// The predictions include transitTime for the way to the engine. The limit leaves a
	// second one for the way back.
	firstEventLimit := r.arrived + r.in.Route.Objective - c.now - transitTime
	if firstEventLimit < 0 {
		firstEventLimit = time.Hour // late already: no limit
	}
	var set streamSet
	place := c.placeInterleaved
	if prefillTime <= c.cfg.Placement.SmallPrefill && c.latencySensitive(r) {
		place = c.placeSmall
		if !c.without(mechanismStreamSet) {
			set = c.computeStreamSet(s, list)
			set.mark(list)
		}
	}
	for rank := rankRecheck; rank <= rankLimited; rank++ {
		if !slices.ContainsFunc(list, func(k candidate) bool { return k.rank == rank }) {
			continue
		}
		if p, ok := place(r, list, rank, prefillTime, firstEventLimit); ok {
			p.streamSet = set.size
			return p, true
		}
	}
	return placement{}, false
}

// latencySensitive reports whether r's gap objective is at most LatencySensitiveGap.
func (c *Core) latencySensitive(r *request) bool {
	return r.in.Route.GapObjective <= c.cfg.Placement.LatencySensitiveGap
}

// candidates returns the engines that may take r, in the order that all gateways share.
// The slice is valid until the next call.
func (c *Core) candidates(s *service, r *request) []candidate {
	list := c.candidateBuf[:0]
	for _, e := range c.usable(s, r) {
		if e.engine == nil {
			continue
		}
		occ := c.occupancy(e)
		if c.now < e.fullUntil {
			occ.streams = max(occ.streams, e.engine.Slots)
		}
		list = append(list, candidate{
			endpoint: e, occupancy: occ,
			freePrefill:      occ.freePrefill(c.cfg.Placement.GapMargin, c.cfg.Placement.IdlePrefill),
			latencySensitive: c.hasLatencySensitive(&occ), rank: c.limitRank(e),
		})
	}
	c.candidateBuf = list
	return list
}

// canAnswer reports whether the engine is of a rank and has a free slot and free memory to
// answer r.
func (c *Core) canAnswer(k *candidate, r *request, rank limitRank) bool {
	return k.rank == rank && k.occupancy.streams < k.endpoint.engine.Slots && c.memoryFree(k.endpoint, &k.occupancy) >= r.in.PromptTokens+r.in.MaxOutputTokens
}

// memoryFree returns the free memory of an engine in tokens.
func (c *Core) memoryFree(e *endpoint, o *occupancy) int64 {
	return int64(float64(e.engine.MemoryTokens)*(1-unusedMemoryRatio)) - o.memoryTokens
}

// placeSmall selects one engine to prefill a whole short prompt.
func (c *Core) placeSmall(r *request, list []candidate, rank limitRank, prefillTime, firstEventLimit time.Duration) (placement, bool) {
	var best *candidate
	late := c.late(r)
	margin := c.firstEventMargin(r)
	for i := range list {
		k := &list[i]
		if !c.canAnswer(k, r, rank) {
			continue
		}
		k.untilFirst = k.occupancy.untilFirst(k.endpoint, prefillTime)
		k.reliable = k.occupancy.streams == 0 || k.untilFirst+margin <= firstEventLimit
		fits := k.freePrefill >= k.endpoint.scaleByPace(prefillTime) && k.untilFirst <= firstEventLimit
		if !fits && !(late && c.takesLateStreams(k, r, prefillTime)) {
			continue
		}
		if best == nil || c.betterSmall(k, best, late) {
			best = k
		}
	}
	if best == nil {
		return placement{}, false
	}
	return placement{endpoints: []*endpoint{best.endpoint}, partTime: prefillTime, untilFirst: best.untilFirst, sharesPass: best.occupancy.streams > 0}, true
}

// hasSpareSlots reports whether the engine has free slots beyond those that are kept
// for longer prompts while other engines have slots for short ones.
func (c *Core) hasSpareSlots(k *candidate) bool {
	return k.occupancy.streams < k.endpoint.engine.Slots-c.cfg.Placement.SpareSlots
}

// takesLateStreams reports whether the engine is so slow that a stream like r's misses its
// gap objective there even without other work, and has less prefill queued than the gap
// lateGapLimit that late streams accept. Another late stream there makes no other stream
// late.
func (c *Core) takesLateStreams(k *candidate, r *request, prefillTime time.Duration) bool {
	gap := k.endpoint.scaleByPace(k.endpoint.engine.DecodePassTime(1, 0)+prefillTime) + c.cfg.Placement.GapMargin
	return gap > r.in.Route.GapObjective && k.occupancy.queuedPrefill < lateGapLimit
}

// gapLimit returns the longest gap that r's stream may have. A stream that is late
// already has missed its objectives and loses nothing by longer gaps, as long as its
// caller does not abandon it.
func (c *Core) gapLimit(r *request) time.Duration {
	if c.late(r) {
		return max(r.in.Route.GapObjective, lateGapLimit)
	}
	return r.in.Route.GapObjective
}

// lateGapLimit is well below the two seconds after which callers abandon a stream.
const lateGapLimit = 800 * time.Millisecond

// betterSmall reports whether a is a better engine than b for a short prompt. It prefers
// engines with spare slots, among these those of the set for short streams, then the
// fullest with latency-sensitive streams, then the one that is idle soonest.
// Late prompts go to the fullest engine that has relaxed streams only, if any, so
// that late streams share few engines.
func (c *Core) betterSmall(a, b *candidate, late bool) bool {
	if x, y := a.onlyRelaxedStreams(), b.onlyRelaxedStreams(); late && x != y {
		return x
	} else if late && x {
		return a.occupancy.streams > b.occupancy.streams
	}
	if a.reliable != b.reliable {
		return a.reliable
	}
	if !a.reliable && a.untilFirst != b.untilFirst {
		return a.untilFirst < b.untilFirst
	}
	if x, y := c.hasSpareSlots(a), c.hasSpareSlots(b); x != y {
		return x
	}
	if a.inStreamSet != b.inStreamSet {
		return a.inStreamSet
	}
	if a.inStreamSet {
		return c.betterInStreamSet(a, b)
	}
	if a.latencySensitive != b.latencySensitive {
		return a.latencySensitive
	}
	if a.latencySensitive {
		if x, y := c.slotGroup(a), c.slotGroup(b); x != y {
			return x < y
		}
		return c.perGatewayRank(a.endpoint) < c.perGatewayRank(b.endpoint)
	}
	if busyA, busyB := a.occupancy.queuedPrefill+a.occupancy.decodePass, b.occupancy.queuedPrefill+b.occupancy.decodePass; busyA != busyB {
		return busyA < busyB
	}
	return c.perGatewayRank(a.endpoint) < c.perGatewayRank(b.endpoint)
}

// slotGroup returns the group of engines with about as many free slots, the fullest first.
// Gateways prefer different engines of a group, so that few take the same slot.
func (c *Core) slotGroup(k *candidate) int {
	slots := k.endpoint.engine.Slots
	free := slots - k.occupancy.streams - 1
	if c.hasSpareSlots(k) {
		free -= c.cfg.Placement.SpareSlots
	}
	return free / max(slots/slotGroups, 1)
}

// slotGroups is the number of groups that engines form by their free slots.
const slotGroups = 4

// perGatewayRank returns the position of an engine in an order that differs between
// gateways. While gateways see no difference between engines, as after the start of the
// fleet, it keeps them from all choosing the same one.
func (c *Core) perGatewayRank(e *endpoint) uint64 { return rendezvousHash(c.addrHash, e.idHash) }

// placeInterleaved cuts a medium prompt into parts so short that an engine with
// latency-sensitive streams can answer it and any engine can prefill a part between its
// other work. The stream then makes no further engine latency-sensitive,
// and the prompt need not wait until an engine has no prefill queued.
func (c *Core) placeInterleaved(r *request, list []candidate, rank limitRank, prefillTime, firstEventLimit time.Duration) (placement, bool) {
	parts := min(max(int((prefillTime+c.cfg.Placement.SmallPrefill-1)/c.cfg.Placement.SmallPrefill), 1), c.cfg.Placement.MaxInterleaved)
	partTime := prefillTime / time.Duration(parts)
	if partTime > c.cfg.Placement.MaxPart || c.without(mechanismInterleave) {
		return placement{}, false
	}
	var answering *candidate
	for i := range list {
		k := &list[i]
		if !k.latencySensitive || !c.canAnswer(k, r, rank) || k.freePrefill < k.endpoint.scaleByPace(partTime) {
			continue
		}
		if answering == nil || c.betterAnswering(k, answering) {
			answering = k
		}
	}
	if answering == nil {
		return placement{}, false
	}
	p := placement{endpoints: []*endpoint{answering.endpoint}, partTime: partTime, untilFirst: answering.occupancy.untilFirst(answering.endpoint, partTime)}
	helpers := slices.DeleteFunc(slices.Clone(list), func(k candidate) bool {
		return k.endpoint == answering.endpoint || k.occupancy.minGapLimit > 0 && k.freePrefill < k.endpoint.scaleByPace(partTime)
	})
	slices.SortStableFunc(helpers, func(a, b candidate) int { return cmp.Compare(a.disturbance(), b.disturbance()) })
	if len(helpers) < parts-1 {
		return placement{}, false
	}
	for i := range helpers[:parts-1] {
		k := &helpers[i]
		p.endpoints = append(p.endpoints, k.endpoint)
		p.untilFirst = max(p.untilFirst, k.occupancy.untilFirst(k.endpoint, partTime))
	}
	return p, p.untilFirst <= firstEventLimit
}

// betterAnswering reports whether a is a better engine than b to answer an interleaved
// prompt: the fullest one that has spare slots. Otherwise gateways with briefly
// differing views would both take the last slot of an engine, and one of the two
// prompts would wait for a stream there to end.
func (c *Core) betterAnswering(a, b *candidate) bool {
	if x, y := c.hasSpareSlots(a), c.hasSpareSlots(b); x != y {
		return x
	}
	return a.occupancy.streams > b.occupancy.streams
}

// onlyRelaxedStreams reports whether all streams at the engine accept long gaps.
func (k *candidate) onlyRelaxedStreams() bool { return k.occupancy.streams > 0 && !k.latencySensitive }

// disturbance orders engines by how much a short part of a prompt delays their work.
func (k *candidate) disturbance() time.Duration {
	if k.latencySensitive {
		return k.occupancy.queuedPrefill + k.occupancy.decodePass
	}
	return k.occupancy.queuedPrefill
}

func bit(b bool) int {
	if b {
		return 1
	}
	return 0
}
