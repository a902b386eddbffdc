package gateway

import (
	"cmp"
	"slices"
	"time"
)

// candidate is an engine that a request may go to.
type candidate struct {
	endpoint         *endpoint
	occupancy        occupancy
	freePrefill      time.Duration
	latencySensitive bool // tight streams run there
}

// placement is a decision to send a request to engines.
type placement struct {
	endpoints  []*endpoint
	reserved   []int64 // tokens that each keeps for the first; nil: none
	partTime   time.Duration
	untilFirst time.Duration // predicted, from now
}

// placeEngine finds engines for r, or none yet. The load that it answers is a
// mix of short prompts with tight pauses and long ones whose reading would stop
// every stream beside them:
//
//   - short prompts are gathered on the fullest engine that takes them in time,
//     so that others stay free of tight pauses;
//   - prompts of medium length are read in short parts by engines that go on with
//     their other work;
//   - long prompts get whole engines by a plan that all gateways share (plan.go);
//   - what fits nowhere waits, since a read that is sent can't be taken back
//     and would share a pass with all others that wait at the engine;
//   - what is late already takes no place where it would make others late: under
//     an overload all would be late otherwise, and nobody be served better.
func (c *Core) placeEngine(s *service, r *request) (placement, bool) {
	list := c.candidates(s, r)
	if len(list) == 0 {
		return placement{}, false
	}
	prefillTime := list[0].endpoint.engine.PrefillTime(r.in.Prompt)
	untilDue := r.arrived + r.in.Route.Objective - c.now - transitTime
	if untilDue < 0 {
		untilDue = time.Hour
	}
	if prefillTime <= c.cfg.Place.SmallPrefill && c.latencySensitive(r) {
		return c.placeSmall(r, list, prefillTime, untilDue)
	}
	return c.placeInterleaved(r, list, prefillTime, untilDue)
}

// latencySensitive reports whether the request's stream accepts short pauses only.
func (c *Core) latencySensitive(r *request) bool {
	return r.in.Route.PauseObjective <= c.cfg.Place.LatencySensitiveGap
}

// candidates returns the engines that may take r, in the shared order.
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
			freePrefill:      occ.freePrefill(c.cfg.Place.GapMargin, c.cfg.Place.IdlePrefill),
			latencySensitive: c.hasLatencySensitive(&occ),
		})
	}
	c.candidateBuf = list
	return list
}

// canAnswer reports whether the engine has a slot and memory to answer r.
func (c *Core) canAnswer(k *candidate, r *request) bool {
	return k.occupancy.streams < k.endpoint.engine.Slots && c.memoryFree(k.endpoint, &k.occupancy) >= r.in.Prompt+r.in.Output
}

// memoryFree returns the tokens that an engine can still hold.
func (c *Core) memoryFree(e *endpoint, o *occupancy) int64 {
	return int64(float64(e.engine.MemoryTokens)*(1-unusedMemoryRatio)) - o.memoryTokens
}

// placeSmall puts a short prompt whole on one engine.
func (c *Core) placeSmall(r *request, list []candidate, prefillTime, untilDue time.Duration) (placement, bool) {
	var best *candidate
	late := c.late(r)
	for i := range list {
		k := &list[i]
		if !c.canAnswer(k, r) {
			continue
		}
		fits := k.freePrefill >= k.endpoint.scaleByPace(prefillTime) && k.occupancy.untilFirst(k.endpoint, prefillTime) <= untilDue
		if !fits && !(late && c.neverMeetsGap(k, r, prefillTime)) {
			continue
		}
		if best == nil || c.betterSmall(k, best, late) {
			best = k
		}
	}
	if best == nil {
		return placement{}, false
	}
	return placement{endpoints: []*endpoint{best.endpoint}, partTime: prefillTime, untilFirst: best.occupancy.untilFirst(best.endpoint, prefillTime)}, true
}

// hasSpareSlots reports whether the engine has slots left beside those that are kept for
// longer prompts as long as short ones find others.
func (c *Core) hasSpareSlots(k *candidate) bool {
	return k.occupancy.streams < k.endpoint.engine.Slots-c.cfg.Place.SpareSlots
}

// neverMeetsGap reports whether the engine is so slow that no stream like r's keeps its
// pauses there, whatever else it does, and reads little: another one that is late
// makes nobody late.
func (c *Core) neverMeetsGap(k *candidate, r *request, prefillTime time.Duration) bool {
	gap := k.endpoint.scaleByPace(k.endpoint.engine.DecodePassTime(1, 0)+prefillTime) + c.cfg.Place.GapMargin
	return gap > r.in.Route.PauseObjective && k.occupancy.queuedPrefill < lateGapLimit
}

// gapLimit returns the pause that r's stream may have. One that is late already
// loses nothing by a longer one, as long as its caller does not give it up.
func (c *Core) gapLimit(r *request) time.Duration {
	if c.late(r) {
		return max(r.in.Route.PauseObjective, lateGapLimit)
	}
	return r.in.Route.PauseObjective
}

// lateGapLimit is well under the two seconds after which callers give a stream up.
const lateGapLimit = 800 * time.Millisecond

// betterSmall prefers the fullest of the engines with tight streams, then the
// one that is soonest free. What is late goes to the fullest of those with other
// streams first, so that late streams share few engines.
func (c *Core) betterSmall(a, b *candidate, late bool) bool {
	if x, y := a.onlyRelaxedStreams(), b.onlyRelaxedStreams(); late && x != y {
		return x
	} else if late && x {
		return a.occupancy.streams > b.occupancy.streams
	}
	if x, y := c.hasSpareSlots(a), c.hasSpareSlots(b); x != y {
		return x
	}
	if a.latencySensitive != b.latencySensitive {
		return a.latencySensitive
	}
	if a.latencySensitive {
		return a.occupancy.streams > b.occupancy.streams
	}
	if busyA, busyB := a.occupancy.queuedPrefill+a.occupancy.decodePass, b.occupancy.queuedPrefill+b.occupancy.decodePass; busyA != busyB {
		return busyA < busyB
	}
	return c.perGatewayRank(a.endpoint) < c.perGatewayRank(b.endpoint)
}

// perGatewayRank returns the place of an engine in an order that differs between
// gateways. Where the shared view tells no difference between engines, as after
// the start of the fleet, gateways then don't all choose the same one.
func (c *Core) perGatewayRank(e *endpoint) uint64 { return rendezvousHash(c.addrHash, e.idHash) }

// placeInterleaved cuts a prompt of medium length into parts that are so short
// that an engine with tight streams can answer it, and any engine can read a part
// between its other work. Its stream then stretches no engine's limits that are
// not tight already, and it waits for no engine to be free of reads.
func (c *Core) placeInterleaved(r *request, list []candidate, prefillTime, untilDue time.Duration) (placement, bool) {
	parts := min(max(int((prefillTime+c.cfg.Place.SmallPrefill-1)/c.cfg.Place.SmallPrefill), 1), c.cfg.Place.MaxInterleaved)
	partTime := prefillTime / time.Duration(parts)
	if partTime > c.cfg.Place.MaxPart {
		return placement{}, false
	}
	var answering *candidate
	for i := range list {
		k := &list[i]
		if !k.latencySensitive || !c.canAnswer(k, r) || k.freePrefill < k.endpoint.scaleByPace(partTime) {
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
		return k.endpoint == answering.endpoint || k.occupancy.gapObjective > 0 && k.freePrefill < k.endpoint.scaleByPace(partTime)
	})
	slices.SortStableFunc(helpers, func(a, b candidate) int { return cmp.Compare(a.disturbance(), b.disturbance()) })
	if len(helpers) < parts-1 {
		return placement{}, false
	}
	for i := range helpers[:parts-1] {
		k := &helpers[i]
		p.endpoints = append(p.endpoints, k.endpoint)
		p.untilFirst = max(p.untilFirst, transitTime+k.occupancy.decodePass*3/2+k.endpoint.scaleByPace(partTime))
	}
	return p, p.untilFirst <= untilDue
}

// betterAnswering prefers the fullest engine that has slots to spare. Gateways whose
// views differ for a moment would both take the last slot of an engine otherwise,
// and one of the two prompts wait for a stream there to end.
func (c *Core) betterAnswering(a, b *candidate) bool {
	if x, y := c.hasSpareSlots(a), c.hasSpareSlots(b); x != y {
		return x
	}
	return a.occupancy.streams > b.occupancy.streams
}

// onlyRelaxedStreams reports whether only streams run there that accept long pauses.
func (k *candidate) onlyRelaxedStreams() bool { return k.occupancy.streams > 0 && !k.latencySensitive }

// disturbance orders engines by how much a short part disturbs them.
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
