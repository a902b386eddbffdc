package gateway

import (
	"cmp"
	"slices"
	"time"

	"trefoilpath.org/trefoilpath/internal/enginecost"
)

const (
	// planJobs is the number of waiting prompts that one plan looks at.
	planJobs = 16
	// onTimePart and onTimeMargin are added to a predicted first event before it is
	// compared with what is due: reads are held up by parts of other prompts.
	onTimePart   = 0.08
	onTimeMargin = 80 * time.Millisecond
	// idleSoon is the read time below which an engine counts as free.
	idleSoon = 15 * time.Millisecond
	// sizeRank is added to the rank of a prompt for each second of its reading.
	// Pairs of tokens make reading grow faster than a prompt, so that under
	// overload shorter prompts bring more callers their answers in time.
	sizeRank = 0.5
)

// job is a long prompt that waits, here or at another gateway.
type job struct {
	rank   rank
	own    *request
	prompt int64
	output int64
	total  time.Duration // read time
	slack  time.Duration // until its first event is due
}

// planEngine is an engine in a plan.
type planEngine struct {
	e      *endpoint
	occ    occupancy
	avail  time.Duration // until it is free of reads
	room   time.Duration // of a part, once it is free
	memory int64         // free, in tokens
	slots  int           // free
	used   bool          // tight streams run there
	open   bool          // it writes nothing, so a part stretches no pause
}

// slot is the place of a job in a plan.
type slot struct {
	engines []int   // indices, the answering one first
	held    []int64 // tokens that each keeps for the answering one; nil: none
	part    time.Duration
	start   time.Duration
	first   time.Duration
}

// placeLong gives whole engines to the long prompts that wait at all gateways,
// in one order: each gets the earliest place that those before it leave, and the
// own ones that can start now are dispatched. Every gateway makes the same plan
// from the shared view, so that two don't choose the same engines, a prompt that
// needs many engines does not wait for ever behind those that need few, and
// engines that wait for others to become free are used meanwhile.
func (c *Core) placeLong(s *service) {
	jobs := c.jobs(s)
	if !slices.ContainsFunc(jobs, func(j job) bool { return j.own != nil }) {
		return
	}
	engines := c.planEngines(s)
	if len(engines) == 0 {
		return
	}
	postponed := false
	for i := range jobs {
		j := &jobs[i]
		best, ok := c.bestSlot(j, engines)
		if !ok {
			continue
		}
		if best.first > j.slack && !j.rank.late {
			postponed = true // it may yet be in time, on engines that become free
			continue
		}
		if c.refusedAsHopeless(j, &best) {
			continue
		}
		if j.own != nil && best.start == 0 && c.now >= j.own.holdUntil {
			c.dispatch(s, j.own, best.placement(engines))
		}
		best.take(j, engines)
	}
	if postponed {
		c.refuseHopeless(s, jobs)
	}
}

// refusedAsHopeless gives an own prompt up if its turn comes too late, and reports
// whether it did.
func (c *Core) refusedAsHopeless(j *job, s *slot) bool {
	if j.own == nil || s.first <= j.own.in.Deadline-c.now {
		return false
	}
	c.giveUp(j.own, ReasonOverload)
	return true
}

// refuseHopeless works out when each prompt has its turn if none is postponed, and
// refuses the own ones for which that is too late.
func (c *Core) refuseHopeless(s *service, jobs []job) {
	engines := c.planEngines(s)
	for i := range jobs {
		j := &jobs[i]
		if j.own != nil && j.own.phase != phaseWaiting {
			continue
		}
		best, ok := c.bestSlot(j, engines)
		if !ok {
			continue
		}
		if c.refusedAsHopeless(j, &best) {
			continue
		}
		best.take(j, engines)
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
		if r.divided && r.phase == phaseWaiting {
			out = append(out, c.job(engine, c.rank(r), r.due(), r, r.in.Prompt, r.in.Output))
		}
	}
	for p := range c.peers.Values() {
		if c.now-p.heard > turnSilence {
			continue
		}
		for id, w := range p.waiting {
			if w.service == s.hash {
				k := rank{due: w.due + w.handicap, gateway: p.addr, request: id}
				out = append(out, c.job(engine, k, w.due, nil, w.prompt, w.output))
			}
		}
	}
	slices.SortFunc(out, func(a, b job) int { return a.rank.compare(b.rank) })
	return out[:min(len(out), planJobs)]
}

func (c *Core) job(engine *enginecost.Params, k rank, due time.Duration, r *request, prompt, output int64) job {
	j := job{rank: k, own: r, prompt: prompt, output: output, total: engine.Read(prompt), slack: due - c.now}
	j.rank.late = j.slack < j.total/time.Duration(1+engine.MaxHelpers)
	j.rank.due += time.Duration(sizeRank * float64(j.total))
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
			e: e, occ: occ, avail: occ.queue, memory: c.memoryFree(e, &occ), slots: e.engine.Slots - occ.streams,
			room: occ.roomUnread(c.cfg.Place.Margin, c.cfg.Place.OpenRead),
			used: c.tightStreams(&occ), open: occ.pause == 0,
		}
		if k.used {
			k.room -= occ.queue // tight streams are never without reads for long
			k.avail = 0
		}
		if k.avail < idleSoon {
			k.avail = 0
		}
		out = append(out, k)
	}
	return out
}

// bestSlot returns where and when j is read. It prefers the fewest engines that
// start now and are in time, then the earliest end.
func (c *Core) bestSlot(j *job, engines []planEngine) (slot, bool) {
	order := make([]int, len(engines))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := &engines[a], &engines[b]
		if x.used != y.used {
			return cmp.Compare(bit(x.used), bit(y.used))
		}
		return cmp.Compare(x.avail, y.avail)
	})
	most := min(len(engines), 1+engines[0].e.engine.MaxHelpers)
	openRead := c.openRead(j, engines, most)
	var best slot
	found := false
	for n := 1; n <= most; n++ {
		s, ok := slotOf(j, engines, order, n, openRead)
		if !ok {
			continue
		}
		inTime := s.first+time.Duration(onTimePart*float64(s.first))+onTimeMargin <= j.slack
		if s.start == 0 && (inTime || j.rank.late) {
			return s, true
		}
		if !found || s.first < best.first {
			best, found = s, true
		}
	}
	return best, found
}

// openRead returns the read time that an engine that writes nothing may be given. It
// is more than usual for a prompt that would not fit otherwise: on the engines that
// are open now, or, for one that is late, on as many as may ever read it, since
// others can still be in time on those.
func (c *Core) openRead(j *job, engines []planEngine, most int) time.Duration {
	open := 0
	for i := range engines {
		open += bit(engines[i].open)
	}
	if j.rank.late || open == 0 {
		open = most
	}
	return max(c.cfg.Place.OpenRead, j.total/time.Duration(min(open, most)))
}

// slotOf returns the earliest place of j on n engines. An engine that writes
// nothing takes a part of up to openRead.
func slotOf(j *job, engines []planEngine, order []int, n int, openRead time.Duration) (slot, bool) {
	s := slot{part: j.total / time.Duration(n)}
	answering := -1
	for _, i := range order {
		k := &engines[i]
		if k.open && openRead < k.e.scale(s.part) || !k.open && k.room < k.e.scale(s.part) {
			continue
		}
		s.engines = append(s.engines, i)
		s.start = max(s.start, k.avail)
		s.first = max(s.first, s.start+k.occ.strides*3/2+k.e.scale(s.part)+transit)
		if k.slots > 0 && (answering < 0 || k.memory > engines[s.engines[answering]].memory) {
			answering = len(s.engines) - 1
		}
		if len(s.engines) == n {
			break
		}
	}
	if len(s.engines) < n || answering < 0 {
		return slot{}, false
	}
	s.engines[0], s.engines[answering] = s.engines[answering], s.engines[0]
	return s, s.hold(j, engines)
}

// hold spreads what the answering engine can't hold of the prompt over the
// others, and reports whether it fits.
func (s *slot) hold(j *job, engines []planEngine) bool {
	need := j.prompt + j.output - engines[s.engines[0]].memory
	if need <= 0 {
		return true
	}
	s.held = make([]int64, len(s.engines))
	for n, i := range s.engines[1:] {
		take := min(max(need, leastTicket), engines[i].memory)
		if take < leastTicket || need <= 0 {
			continue
		}
		s.held[n+1] = take
		need -= take
	}
	return need <= 0
}

// leastTicket is the least number of tokens that are worth a reservation.
const leastTicket = 4096

// placement returns the slot as a decision.
func (s *slot) placement(engines []planEngine) placement {
	p := placement{part: s.part, first: s.first, held: s.held}
	for _, i := range s.engines {
		p.at = append(p.at, engines[i].e)
	}
	return p
}

// take marks the slot's engines as busy for the jobs that follow.
func (s *slot) take(j *job, engines []planEngine) {
	for n, i := range s.engines {
		k := &engines[i]
		k.avail = s.start + k.e.scale(s.part)
		if k.used {
			k.room -= k.e.scale(s.part)
			k.avail = 0
		}
		switch {
		case n == 0:
			k.memory = max(k.memory-j.prompt-j.output, 0)
			k.slots--
		case s.held != nil:
			k.memory -= s.held[n]
		}
	}
}
