package gateway

import (
	"cmp"
	"slices"
	"time"

	"trefoilpath.org/trefoilpath/internal/enginecost"
)

const (
	// maxPlanJobs is the number of waiting prompts that one plan looks at.
	maxPlanJobs = 16
	// firstEventMarginRatio and onTimeMargin are added to a predicted first event before it is
	// compared with what is due: reads are held up by parts of other prompts.
	firstEventMarginRatio = 0.08
	firstEventMargin      = 80 * time.Millisecond
	// negligibleQueue is the read time below which an engine counts as free.
	negligibleQueue = 15 * time.Millisecond
	// sizePenaltyRatio is added to the rank of a prompt for each second of its reading.
	// Pairs of tokens make reading grow faster than a prompt, so that under
	// overload shorter prompts bring more callers their answers in time.
	sizePenaltyRatio = 0.5
)

// job is a long prompt that waits, here or at another gateway.
type job struct {
	order       orderKey
	request     *request
	prompt      int64
	output      int64
	prefillTime time.Duration // read time
	untilDue    time.Duration // until its first event is due
}

// planEngine is an engine in a plan.
type planEngine struct {
	endpoint         *endpoint
	occupancy        occupancy
	untilFree        time.Duration // until it is free of reads
	freePrefill      time.Duration // of a part, once it is free
	freeMemory       int64         // free, in tokens
	freeSlots        int           // free
	latencySensitive bool          // tight streams run there
	noStreams        bool          // it writes nothing, so a part stretches no pause
}

// jobPlacement is the place of a job in a plan.
type jobPlacement struct {
	engines    []int   // indices, the answering one first
	reserved   []int64 // tokens that each keeps for the answering one; nil: none
	partTime   time.Duration
	untilStart time.Duration
	untilFirst time.Duration
}

// placeLong gives whole engines to the long prompts that wait at all gateways,
// in one order: each gets the earliest place that those before it leave, and the
// own ones that can start now are dispatched. Every gateway makes the same plan
// from the shared view, so that two don't choose the same engines, a prompt that
// needs many engines does not wait for ever behind those that need few, and
// engines that wait for others to become free are used meanwhile.
func (c *Core) placeLong(s *service) {
	jobs := c.jobs(s)
	if !slices.ContainsFunc(jobs, func(j job) bool { return j.request != nil }) {
		return
	}
	engines := c.planEngines(s)
	if len(engines) == 0 {
		return
	}
	postponed := false
	for i := range jobs {
		j := &jobs[i]
		placed, ok := c.bestPlacement(j, engines)
		if !ok {
			continue
		}
		if placed.untilFirst > j.untilDue && !j.order.late {
			postponed = true // it may yet be in time, on engines that become free
			continue
		}
		if c.refuseIfTooLate(j, &placed) {
			continue
		}
		if j.request != nil && placed.untilStart == 0 && c.now >= j.request.holdUntil {
			c.dispatch(s, j.request, placed.placement(engines))
		}
		placed.occupy(j, engines)
	}
	if postponed {
		c.refuseAllTooLate(s, jobs)
	}
}

// refuseIfTooLate gives an own prompt up if its turn comes too late, and reports
// whether it did.
func (c *Core) refuseIfTooLate(j *job, p *jobPlacement) bool {
	if j.request == nil || p.untilFirst <= j.request.in.Deadline-c.now {
		return false
	}
	c.endUnserved(j.request, ReasonOverload)
	return true
}

// refuseAllTooLate works out when each prompt has its turn if none is postponed, and
// refuses the own ones for which that is too late.
func (c *Core) refuseAllTooLate(s *service, jobs []job) {
	engines := c.planEngines(s)
	for i := range jobs {
		j := &jobs[i]
		if j.request != nil && j.request.phase != phaseWaiting {
			continue
		}
		placed, ok := c.bestPlacement(j, engines)
		if !ok {
			continue
		}
		if c.refuseIfTooLate(j, &placed) {
			continue
		}
		placed.occupy(j, engines)
	}
}

// jobs returns the long prompts that wait, those that are to go first first.
func (c *Core) jobs(s *service) []job {
	engine := s.engine()
	if engine == nil {
		return nil
	}
	var out []job
	for _, r := range s.waiting {
		if r.divisible && r.phase == phaseWaiting {
			out = append(out, c.job(engine, c.orderKey(r), r.due(), r, r.in.Prompt, r.in.Output))
		}
	}
	for p := range c.peers.Values() {
		if c.now-p.lastSeen > planPeerTimeout {
			continue
		}
		for id, waiting := range p.waiting {
			if waiting.service == s.nameHash {
				k := orderKey{due: waiting.due + waiting.orderPenalty, gateway: p.addr, request: id}
				out = append(out, c.job(engine, k, waiting.due, nil, waiting.prompt, waiting.output))
			}
		}
	}
	slices.SortFunc(out, func(a, b job) int { return a.order.compare(b.order) })
	return out[:min(len(out), maxPlanJobs)]
}

func (c *Core) job(engine *enginecost.Params, k orderKey, due time.Duration, r *request, prompt, output int64) job {
	j := job{order: k, request: r, prompt: prompt, output: output, prefillTime: engine.PrefillTime(prompt), untilDue: due - c.now}
	j.order.late = j.untilDue < j.prefillTime/time.Duration(1+engine.MaxHelpers)
	j.order.due += time.Duration(sizePenaltyRatio * float64(j.prefillTime))
	return j
}

// engine returns the constants of the service's engines, or nil for a plain service.
func (s *service) engine() *enginecost.Params {
	if len(s.endpoints) == 0 {
		return nil
	}
	return s.endpoints[0].engine
}

// planEngines returns the engines that take long prompts.
func (c *Core) planEngines(s *service) []planEngine {
	var out []planEngine
	for _, e := range c.usable(s, nil) {
		if e.engine == nil {
			continue
		}
		occ := c.occupancy(e)
		k := planEngine{
			endpoint: e, occupancy: occ, untilFree: occ.queuedPrefill, freeMemory: c.memoryFree(e, &occ), freeSlots: e.engine.Slots - occ.streams,
			freePrefill:      occ.freePrefillAfterQueue(c.cfg.Place.GapMargin, c.cfg.Place.IdlePrefill),
			latencySensitive: c.hasLatencySensitive(&occ), noStreams: occ.gapObjective == 0,
		}
		if k.latencySensitive {
			k.freePrefill -= occ.queuedPrefill // tight streams are never without reads for long
			k.untilFree = 0
		}
		if k.untilFree < negligibleQueue {
			k.untilFree = 0
		}
		out = append(out, k)
	}
	return out
}

// bestPlacement returns where and when j is read. It prefers the fewest engines that
// start now and are in time, then the earliest end.
func (c *Core) bestPlacement(j *job, engines []planEngine) (jobPlacement, bool) {
	order := make([]int, len(engines))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := &engines[a], &engines[b]
		if x.latencySensitive != y.latencySensitive {
			return cmp.Compare(bit(x.latencySensitive), bit(y.latencySensitive))
		}
		return cmp.Compare(x.untilFree, y.untilFree)
	})
	maxEngines := min(len(engines), 1+engines[0].endpoint.engine.MaxHelpers)
	maxNoStreamPrefill := c.noStreamPrefillLimit(j, engines, maxEngines)
	var best jobPlacement
	found := false
	for n := 1; n <= maxEngines; n++ {
		p, ok := placeOnEngines(j, engines, order, n, maxNoStreamPrefill)
		if !ok {
			continue
		}
		inTime := p.untilFirst+time.Duration(firstEventMarginRatio*float64(p.untilFirst))+firstEventMargin <= j.untilDue
		if p.untilStart == 0 && (inTime || j.order.late) {
			return p, true
		}
		if !found || p.untilFirst < best.untilFirst {
			best, found = p, true
		}
	}
	return best, found
}

// noStreamPrefillLimit returns the read time that an engine that writes nothing may be given. It
// is more than usual for a prompt that would not fit otherwise: on the engines that
// are open now, or, for one that is late, on as many as may ever read it, since
// others can still be in time on those.
func (c *Core) noStreamPrefillLimit(j *job, engines []planEngine, maxEngines int) time.Duration {
	noStreams := 0
	for i := range engines {
		noStreams += bit(engines[i].noStreams)
	}
	if j.order.late || noStreams == 0 {
		noStreams = maxEngines
	}
	return max(c.cfg.Place.IdlePrefill, j.prefillTime/time.Duration(min(noStreams, maxEngines)))
}

// placeOnEngines returns the earliest place of j on n engines. An engine that writes
// nothing takes a part of up to openRead.
func placeOnEngines(j *job, engines []planEngine, order []int, n int, maxNoStreamPrefill time.Duration) (jobPlacement, bool) {
	s := jobPlacement{partTime: j.prefillTime / time.Duration(n)}
	answering := -1
	for _, i := range order {
		k := &engines[i]
		if k.noStreams && maxNoStreamPrefill < k.endpoint.scaleByPace(s.partTime) || !k.noStreams && k.freePrefill < k.endpoint.scaleByPace(s.partTime) {
			continue
		}
		s.engines = append(s.engines, i)
		s.untilStart = max(s.untilStart, k.untilFree)
		s.untilFirst = max(s.untilFirst, s.untilStart+k.occupancy.decodePass*3/2+k.endpoint.scaleByPace(s.partTime)+transitTime)
		if k.freeSlots > 0 && (answering < 0 || k.freeMemory > engines[s.engines[answering]].freeMemory) {
			answering = len(s.engines) - 1
		}
		if len(s.engines) == n {
			break
		}
	}
	if len(s.engines) < n || answering < 0 {
		return jobPlacement{}, false
	}
	s.engines[0], s.engines[answering] = s.engines[answering], s.engines[0]
	return s, s.reserve(j, engines)
}

// reserve spreads what the answering engine can't hold of the prompt over the
// others, and reports whether it fits.
func (s *jobPlacement) reserve(j *job, engines []planEngine) bool {
	missing := j.prompt + j.output - engines[s.engines[0]].freeMemory
	if missing <= 0 {
		return true
	}
	s.reserved = make([]int64, len(s.engines))
	for n, i := range s.engines[1:] {
		tokens := min(max(missing, minReservationTokens), engines[i].freeMemory)
		if tokens < minReservationTokens || missing <= 0 {
			continue
		}
		s.reserved[n+1] = tokens
		missing -= tokens
	}
	return missing <= 0
}

// minReservationTokens is the least number of tokens that are worth a reservation.
const minReservationTokens = 4096

// placement returns the slot as a decision.
func (s *jobPlacement) placement(engines []planEngine) placement {
	p := placement{partTime: s.partTime, untilFirst: s.untilFirst, reserved: s.reserved}
	for _, i := range s.engines {
		p.endpoints = append(p.endpoints, engines[i].endpoint)
	}
	return p
}

// occupy marks the slot's engines as busy for the jobs that follow.
func (s *jobPlacement) occupy(j *job, engines []planEngine) {
	for n, i := range s.engines {
		k := &engines[i]
		k.untilFree = s.untilStart + k.endpoint.scaleByPace(s.partTime)
		if k.latencySensitive {
			k.freePrefill -= k.endpoint.scaleByPace(s.partTime)
			k.untilFree = 0
		}
		switch {
		case n == 0:
			k.freeMemory = max(k.freeMemory-j.prompt-j.output, 0)
			k.freeSlots--
		case s.reserved != nil:
			k.freeMemory -= s.reserved[n]
		}
	}
}
