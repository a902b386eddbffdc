package gateway

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"trefoilpath.org/trefoilpath/internal/admission"
	"trefoilpath.org/trefoilpath/internal/enginecost"
)

const (
	// maxPlanJobs is the number of waiting prompts that one plan considers.
	maxPlanJobs = 16
	// firstEventMarginRatio, relative to the predicted time, and firstEventMargin are added
	// to a predicted time to first event before it is compared with the objective, since
	// parts of other prompts delay prefills.
	firstEventMarginRatio = 0.08
	firstEventMargin      = 80 * time.Millisecond
	// negligibleQueue is the queued prefill time below which an engine counts as free.
	negligibleQueue = 15 * time.Millisecond
	// minPartPasses is the least prefill time of a part, in passes of one stream, for which a
	// further engine is taken.
	minPartPasses = 6
)

// job is a long prompt that waits at this or another gateway. For the plan, all divisible
// prompts that wait are long (see Core.divisible): also medium ones and short ones of
// streams that are not latency-sensitive.
type job struct {
	order       orderKey
	demand      admission.Demand
	request     *request      // nil if it waits at another gateway
	prompt      int64         // tokens
	output      int64         // tokens, the limit
	prefillTime time.Duration // of the whole prompt on one engine
	objective   time.Duration // for its first event
	untilDue    time.Duration // until its first event is due
	untilGiveUp time.Duration // until its caller stops waiting
	late        bool          // it misses its objective even if it is dispatched now
	planned     bool          // the plan has engines for it in time
	regions     regionSet     // in which it may run
}

// planEngine is the state of an engine in a plan.
type planEngine struct {
	endpoint         *endpoint
	occupancy        occupancy
	untilFree        time.Duration // until its queued prefills are done
	freePrefill      time.Duration // for a part, once untilFree has passed
	freeMemory       int64         // tokens
	freeSlots        int
	latencySensitive bool // it runs latency-sensitive streams
	noStreams        bool // it answers no stream, so a part delays none
	unreliable       bool // it is slow, or has refused to help lately
}

// jobPlacement is where and when a plan prefills a job.
type jobPlacement struct {
	engines    []int         // indices of planEngines, the answering one first
	reserved   []int64       // tokens that each stores for the answering one; nil: none
	reserveBuf []int64       // reused for reserved
	partTime   time.Duration // prefill time of each engine's part
	untilStart time.Duration
	untilFirst time.Duration // until the first event
}

// planBuffers are reused by the plans of one gateway, which computes many while long
// prompts wait.
type planBuffers struct {
	engines []planEngine
	order   []int
	trial   jobPlacement
	best    jobPlacement
}

// placeLong assigns whole engines to the long prompts that wait at all gateways. Each
// job, in the shared order, gets the earliest placement that the jobs before it leave,
// and this gateway's own jobs that can start now are dispatched. Every gateway computes
// the same plan from the shared state. So two gateways don't choose the same engines,
// a prompt that needs many engines does not wait forever behind those that need few,
// and engines that wait for others to become free are used meanwhile.
func (c *Core) placeLong(s *service) {
	jobs := c.jobs(s)
	if !slices.ContainsFunc(jobs, func(j job) bool { return j.request != nil }) {
		return
	}
	engines := c.planEngines(s)
	if len(engines) == 0 {
		return
	}
	capacity := c.capacity(s)
	for i := range jobs[:min(len(jobs), maxPlanJobs)] {
		j := &jobs[i]
		placed, ok := c.bestPlacement(j, engines)
		if !ok || placed.untilFirst > j.untilDue && !j.late || placed.untilFirst > j.untilGiveUp {
			continue // engines that become free may still serve it in time
		}
		j.planned = true
		if j.request != nil && placed.untilStart == 0 && c.now >= j.request.holdUntil && !placed.usesStandby(j.request, engines) {
			c.dispatch(s, j.request, placed.placement(engines))
		}
		placed.occupy(j, engines)
	}
	c.refuseByCapacity(jobs, capacity)
}

// usesStandby reports whether the placement uses the engine of r's silent attempt.
func (p *jobPlacement) usesStandby(r *request, engines []planEngine) bool {
	return r.standby != nil && slices.ContainsFunc(p.engines, func(i int) bool { return engines[i].endpoint == r.standby.work.answering() })
}

// refuseByCapacity refuses this gateway's own jobs that the plan has no engines for and that
// can't be served in time behind those that come first.
func (c *Core) refuseByCapacity(jobs []job, capacity admission.Capacity) {
	var ahead admission.Ahead
	for i := range jobs {
		j := &jobs[i]
		begins := time.Duration(0)
		if !j.planned {
			begins = capacity.Begins(ahead.Before(&j.demand))
			if j.request != nil && j.request.phase == phaseWaiting && c.refuseIfTooLate(j.request, begins) {
				continue
			}
		}
		ahead.Add(&j.demand, c.now, begins)
	}
}

// jobs returns the waiting long prompts in the order that all gateways share.
func (c *Core) jobs(s *service) []job {
	if s.engine() == nil {
		return nil
	}
	var out []job
	for _, r := range s.waiting {
		if r.divisible && r.phase == phaseWaiting && !r.held {
			out = append(out, c.job(s, r.demand, c.cfg.Addr, uint64(r.in.ID), r.in.PromptTokens, r.in.MaxOutputTokens, r.regions))
			out[len(out)-1].request = r
		}
	}
	longestSilence := time.Duration(planPeerIntervals * float64(c.fullMessageInterval()))
	for p := range c.peers.Values() {
		if c.now-p.lastSeen > longestSilence || c.without(mechanismSharedPlan) {
			continue
		}
		for id, waiting := range p.waiting {
			if waiting.service == s.nameHash {
				out = append(out, c.job(s, waiting.demand, p.addr, id, waiting.prompt, waiting.output, waiting.regions))
			}
		}
	}
	slices.SortFunc(out, func(a, b job) int { return a.order.compare(b.order) })
	return out
}

// job returns the entry of a waiting prompt in the plan.
func (c *Core) job(s *service, d admission.Demand, gateway netip.AddrPort, id uint64, prompt, output int64, regions regionSet) job {
	setWork(&d, s.engine(), prompt, s.maxParts())
	return job{
		order: orderKey{c.demandKey(&d), gateway, id}, demand: d, prompt: prompt, output: output, regions: regions,
		prefillTime: d.Work, objective: d.Objective, untilDue: d.Due - c.now, untilGiveUp: d.GiveUp - c.now, late: d.Late(c.now),
	}
}

// engine returns the constants of the service's engines, or nil for a plain service.
func (s *service) engine() *enginecost.Params {
	if len(s.endpoints) == 0 {
		return nil
	}
	return s.endpoints[0].engine
}

// planEngines returns the engines that long prompts may be placed on.
func (c *Core) planEngines(s *service) []planEngine {
	out := c.plan.engines[:0]
	_, allLimited := c.limitedEndpoints(s)
	for _, e := range c.usable(s, nil) {
		if e.engine == nil {
			continue
		}
		occ := c.occupancy(e)
		k := planEngine{
			endpoint: e, occupancy: occ, untilFree: occ.queuedPrefill, freeMemory: c.memoryFree(e, &occ), freeSlots: e.engine.Slots - occ.streams,
			freePrefill:      occ.freePrefillAfterQueue(c.cfg.Placement.GapMargin, c.cfg.Placement.IdlePrefill),
			latencySensitive: c.hasLatencySensitive(&occ), noStreams: occ.minGapLimit == 0,
			unreliable: e.knownSlow() || e.health.mayRefuseHelp(c.now),
		}
		if e.limited() { // it helps; it only answers if no engine without a limit does
			k.freeSlots = min(k.freeSlots, bit(allLimited || e.coldOnly())*c.permitsHeld(e))
		}
		if k.latencySensitive {
			k.freePrefill -= occ.queuedPrefill // beside latency-sensitive streams some prefill is nearly always queued
			k.untilFree = 0
		}
		if k.untilFree < negligibleQueue {
			k.untilFree = 0
		}
		out = append(out, k)
	}
	c.plan.engines = out
	return out
}

// bestPlacement returns where and when j is prefilled. If it can start now and meet the
// objective, it takes as many engines as can start now with parts of at least minPartTime:
// all engines together do as much work either way, and each prompt is done sooner. Otherwise
// it takes those that give the earliest first event. The slices of the result are valid until
// the next call.
func (c *Core) bestPlacement(j *job, engines []planEngine) (jobPlacement, bool) {
	order := c.planOrder(engines)
	maxEngines := min(len(engines), 1+engines[0].endpoint.engine.MaxHelpers)
	maxNoStreamPrefill := c.noStreamPrefillLimit(j, engines, maxEngines)
	p, best := &c.plan.trial, &c.plan.best
	most := min(maxEngines, startable(engines), int(j.prefillTime/c.minPartTime(engines[0].endpoint.engine)))
	if c.without(mechanismWideParts) || j.request != nil && j.request.refusedHelp {
		most = 0 // the fewest engines that meet the objective are the least likely to refuse again
	}
	for n := most; n > 1; n-- {
		if p.placeOnEngines(j, engines, order, n, maxNoStreamPrefill) && !p.holdsMemoryLong(maxEngines) && p.startsInTime(j) {
			return *p, true
		}
	}
	found := false
	for n := 1; n <= maxEngines; n++ {
		if !p.placeOnEngines(j, engines, order, n, maxNoStreamPrefill) || p.holdsMemoryLong(maxEngines) {
			continue
		}
		if p.startsInTime(j) {
			return *p, true
		}
		if !found || p.untilFirst < best.untilFirst {
			*p, *best = *best, *p
			found = true
		}
	}
	return *best, found
}

// planOrder returns the order in which a plan takes engines.
func (c *Core) planOrder(engines []planEngine) []int {
	order := c.plan.order[:0]
	for i := range engines {
		order = append(order, i)
	}
	c.plan.order = order
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := &engines[a], &engines[b]
		if x.latencySensitive != y.latencySensitive {
			return cmp.Compare(bit(x.latencySensitive), bit(y.latencySensitive))
		}
		// Of engines that are free, those that may delay or fail the whole prompt come last.
		return cmp.Or(cmp.Compare(x.untilFree, y.untilFree), cmp.Compare(bit(x.unreliable), bit(y.unreliable)))
	})
	return order
}

// startable returns the number of reliable engines that can start a part now.
func startable(engines []planEngine) int {
	n := 0
	for i := range engines {
		n += bit(engines[i].untilFree == 0 && !engines[i].unreliable)
	}
	return n
}

// minPartTime returns the least prefill time of a part for which a further engine is worth
// taking. An engine with streams runs the token steps of one pass before the part.
func (c *Core) minPartTime(engine *enginecost.Params) time.Duration {
	return max(minPartPasses*engine.DecodePassTime(1, 0), c.cfg.Placement.SmallPrefill)
}

// startsInTime reports whether the prefill starts now and the first event comes in time, with
// a margin, or, if j is late, before its caller gives up.
func (p *jobPlacement) startsInTime(j *job) bool {
	margin := time.Duration(firstEventMarginRatio*float64(p.untilFirst)) + firstEventMargin
	return p.untilStart == 0 && (p.untilFirst+margin <= j.untilDue || j.late && p.untilFirst <= j.untilGiveUp)
}

// holdsMemoryLong reports whether other engines would hold memory so long before the first event
// that the loss of the answering engine could not be told from a late event in time, and more
// engines could shorten that.
func (p *jobPlacement) holdsMemoryLong(maxEngines int) bool {
	return p.reserved != nil && len(p.engines) < maxEngines && p.untilFirst-p.untilStart > maxReservedFirst
}

// noStreamPrefillLimit returns the prefill time that an engine without streams may be
// given for j. It exceeds IdlePrefill and the objective for a prompt that would not fit
// otherwise on the engines that are without streams now. For a late prompt, or if no engine
// is without streams, it is computed for maxEngines. A late prompt thus does not occupy the
// few engines without streams for longer: other prompts can still be in time there.
func (c *Core) noStreamPrefillLimit(j *job, engines []planEngine, maxEngines int) time.Duration {
	noStreams := 0
	for i := range engines {
		noStreams += bit(engines[i].noStreams)
	}
	if j.late || noStreams == 0 {
		noStreams = maxEngines
	}
	return max(c.cfg.Placement.IdlePrefill, j.objective, j.prefillTime/time.Duration(min(noStreams, maxEngines)))
}

// placeOnEngines sets p to the earliest placement of j on n engines and reports whether
// there is one. An engine without streams takes a part of up to maxNoStreamPrefill.
func (p *jobPlacement) placeOnEngines(j *job, engines []planEngine, order []int, n int, maxNoStreamPrefill time.Duration) bool {
	*p = jobPlacement{engines: p.engines[:0], reserveBuf: p.reserveBuf, partTime: j.prefillTime / time.Duration(n)}
	answering := -1
	for _, i := range order {
		k := &engines[i]
		if !j.regions.contains(k.endpoint) {
			continue
		}
		prefillTime := k.endpoint.scaleByPace(p.partTime)
		if k.noStreams && maxNoStreamPrefill < prefillTime || !k.noStreams && k.freePrefill < prefillTime {
			continue
		}
		p.engines = append(p.engines, i)
		p.untilStart = max(p.untilStart, k.untilFree)
		// Half a pass until the prefill begins, and one pass that it shares; see occupancy.untilFirst.
		p.untilFirst = max(p.untilFirst, p.untilStart+k.occupancy.decodePass*3/2+prefillTime+transitTime)
		if k.freeSlots > 0 && (answering < 0 || k.freeMemory > engines[p.engines[answering]].freeMemory) {
			answering = len(p.engines) - 1
		}
		if len(p.engines) == n {
			break
		}
	}
	if len(p.engines) < n || answering < 0 {
		return false
	}
	p.engines[0], p.engines[answering] = p.engines[answering], p.engines[0]
	return p.reserve(j, engines)
}

// reserve distributes the tokens that the answering engine has no memory for over the
// other engines, and reports whether they fit.
func (p *jobPlacement) reserve(j *job, engines []planEngine) bool {
	missing := j.prompt + j.output - engines[p.engines[0]].freeMemory
	if missing <= 0 {
		return true
	}
	p.reserveBuf = append(p.reserveBuf[:0], make([]int64, len(p.engines))...)
	p.reserved = p.reserveBuf
	for n, i := range p.engines[1:] {
		tokens := min(max(missing, minReservationTokens), engines[i].freeMemory)
		if tokens < minReservationTokens || missing <= 0 {
			continue
		}
		p.reserved[n+1] = tokens
		missing -= tokens
	}
	return missing <= 0
}

// minReservationTokens is the smallest reservation that is worth making.
const minReservationTokens = 4096

// placement converts p to the form that dispatch takes.
func (p *jobPlacement) placement(engines []planEngine) placement {
	out := placement{partTime: p.partTime, untilFirst: p.untilFirst, reserved: slices.Clone(p.reserved)}
	for _, i := range p.engines {
		out.endpoints = append(out.endpoints, engines[i].endpoint)
	}
	return out
}

// occupy marks the engines of p as busy for the jobs that follow in the plan.
func (p *jobPlacement) occupy(j *job, engines []planEngine) {
	for n, i := range p.engines {
		k := &engines[i]
		k.untilFree = p.untilStart + k.endpoint.scaleByPace(p.partTime)
		if k.latencySensitive {
			k.freePrefill -= k.endpoint.scaleByPace(p.partTime)
			k.untilFree = 0
		}
		switch {
		case n == 0:
			k.freeMemory = max(k.freeMemory-j.prompt-j.output, 0)
			k.freeSlots--
		case p.reserved != nil:
			k.freeMemory -= p.reserved[n]
		}
	}
}
