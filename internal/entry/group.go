package entry

import (
	"cmp"
	"slices"
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	// maxMemberShare is the part of an engine's KV cache that one group may
	// reserve.
	maxMemberShare = 0.9
	// leaseRenewals is the number of renewals within the duration of a group's
	// lease.
	leaseRenewals = 3
	// groupRetryPause is the pause before a request is routed again whose group
	// could not be reserved.
	groupRetryPause = 400 * time.Millisecond
	// reservationSlice is the sliceIndex of an attempt row that stands for a
	// reservation.
	reservationSlice = -2
)

// group is a set of engines that together run one prompt, a slice each.
type group struct {
	members             []member // ascending by endpoint
	granted             int      // members with a reservation
	countedPromptTokens int64    // prompt tokens of the finished slices, by the engines' counts
	runningSlice        int      // index of the slice that runs
}

// member is one engine of a group.
type member struct {
	endpoint     wire.EndpointID
	reservation  wire.AttemptID
	firstToken   int64  // position in the prompt
	tokens       int64  // of the prompt
	memory       int64  // KV cache tokens to reserve
	handle       string // of the KV data of the finished slice
	sliceAttempt uint64 // sequence of the attempt that runs or ran the slice; 0: none
}

func (a *attempt) isReservation() bool { return a.sliceIndex == reservationSlice }

// isGroup reports whether a request is too large for any single engine of its
// model.
func (c *Core) isGroup(m *modelState, r *request) bool {
	return m.maxCapacity > 0 && r.promptTokens+r.maxOutput > int64(float64(m.maxCapacity)*maxMemberShare)
}

// maxGroups returns how many groups of a model this entry may have at once: its
// part of the declared MaxGroups, at least 1.
func (c *Core) maxGroups(m *modelState) int {
	limit := 1
	for i := range c.snapshot.Models {
		if c.snapshot.Models[i].Name == m.name {
			limit = max(c.snapshot.Models[i].MaxGroups, 1)
		}
	}
	return max(limit/c.fleet.entriesInRegion(), 1)
}

// startGroup picks the members and reserves memory at the first of them.
func (c *Core) startGroup(m *modelState, r *request) {
	if m.groups >= c.maxGroups(m) {
		c.waitForEndpoint(r, &m.waiting)
		return
	}
	members := c.pickMembers(m, r)
	if members == nil {
		c.waitForEndpoint(r, &m.waiting)
		return
	}
	m.groups++
	c.counts.Groups++
	r.phase = phaseGroup
	r.group = &group{members: members}
	c.reserveNext(r)
	c.timers.Set(timerKey{kind: timerGroup, id: uint64(r.id)}, c.now+c.cfg.GroupLease/leaseRenewals)
}

// pickMembers returns the fewest engines of one failure domain that together
// hold the request, preferring those with the most free memory, sorted by
// endpoint. It returns nil if no failure domain has enough.
func (c *Core) pickMembers(m *modelState, r *request) []member {
	var best []*endpoint
	var bestFree int64
	for _, domain := range domainsOf(m.endpoints) {
		picked, free := c.pickInDomain(m, r, domain)
		if picked != nil && (best == nil || len(picked) < len(best) || (len(picked) == len(best) && free > bestFree)) {
			best, bestFree = picked, free
		}
	}
	if best == nil {
		return nil
	}
	slices.SortFunc(best, func(a, b *endpoint) int { return cmp.Compare(a.id, b.id) })
	return splitPrompt(best, r)
}

func domainsOf(endpoints []*endpoint) []wire.FailureDomain {
	var domains []wire.FailureDomain
	for _, e := range endpoints {
		if !slices.Contains(domains, e.hello.FailureDomain) {
			domains = append(domains, e.hello.FailureDomain)
		}
	}
	return domains
}

// pickInDomain picks members of one failure domain, those with the most free
// memory first, until an equal share of the prompt, with the output, fits in
// maxMemberShare of the KV cache of the engine picked last. It returns them and
// their total free memory in tokens, or nil if no number of them suffices.
func (c *Core) pickInDomain(m *modelState, r *request, domain wire.FailureDomain) (picked []*endpoint, free int64) {
	var usable []*endpoint
	for _, e := range m.endpoints {
		if e.hello.FailureDomain == domain && c.usableFor(e, r) {
			usable = append(usable, e)
		}
	}
	slices.SortStableFunc(usable, func(a, b *endpoint) int {
		return cmp.Compare(b.report.FreeTokens-b.unreportedMemory, a.report.FreeTokens-a.unreportedMemory)
	})
	for n, e := range usable {
		free += e.report.FreeTokens - e.unreportedMemory
		share := (r.promptTokens+int64(n))/int64(n+1) + r.maxOutput
		if share <= int64(float64(e.hello.Capacity)*maxMemberShare) {
			return usable[:n+1], free
		}
	}
	return nil, 0
}

// splitPrompt cuts the prompt into one slice for each endpoint. The last one
// also needs memory for the output.
func splitPrompt(endpoints []*endpoint, r *request) []member {
	n := int64(len(endpoints))
	members := make([]member, n)
	var first int64
	for i, e := range endpoints {
		tokens := r.promptTokens / n
		if int64(i) < r.promptTokens%n {
			tokens++
		}
		members[i] = member{endpoint: e.id, firstToken: first, tokens: tokens, memory: tokens}
		first += tokens
	}
	members[n-1].memory += r.maxOutput
	return members
}

// reserveNext requests memory from the next member. Members are asked one after
// the other in ascending order, so that two groups never wait for each other.
func (c *Core) reserveNext(r *request) {
	g := r.group
	mb := &g.members[g.granted]
	e := c.endpoints.Get(mb.endpoint)
	if e == nil || !c.usable(e) {
		c.failGroup(r, failure{code: CodeOverloaded, detail: "group member is not usable"})
		return
	}
	c.lastAttempt++
	mb.reservation = wire.AttemptID{Entry: c.cfg.Self, Incarnation: c.cfg.Incarnation, Sequence: c.lastAttempt}
	c.attempts.Put(c.lastAttempt, attempt{id: mb.reservation, request: r.id, endpoint: mb.endpoint, sentAt: c.now, sliceIndex: reservationSlice})
	c.sendReserve(r, mb)
}

func (c *Core) sendReserve(r *request, mb *member) {
	c.send(mb.endpoint, wire.ToAgent{Reserve: &wire.Reserve{
		Attempt: mb.reservation, Account: r.in.Account, Model: r.in.Model, Tokens: mb.memory, Lease: c.cfg.GroupLease,
	}})
}

// reserved handles a member's answer to a reservation.
func (c *Core) reserved(m *wire.Reserved) {
	a := c.attemptOf(m.Attempt)
	if a == nil || !a.isReservation() {
		return
	}
	r := c.requests.Get(a.request)
	if r == nil || r.group == nil {
		return
	}
	if !m.Granted {
		c.failGroup(r, failure{code: CodeOverloaded, detail: "group member refused: " + m.Reason.String()})
		return
	}
	g := r.group
	if g.granted >= len(g.members) || g.members[g.granted].reservation != m.Attempt {
		return
	}
	g.granted++
	if g.granted < len(g.members) {
		c.reserveNext(r)
		return
	}
	c.runSlice(r)
}

// runSlice sends the next slice of the prompt to its member. A request past its
// deadline, as after a pause of the process, ends later in the same tick.
func (c *Core) runSlice(r *request) {
	if c.now >= r.deadline && !c.cfg.disabled(mechanismDeadline) {
		return
	}
	g := r.group
	mb := &g.members[g.runningSlice]
	e := c.endpoints.Get(mb.endpoint)
	if e == nil || !e.up {
		c.failGroup(r, failure{code: CodeEndpointLost, detail: "group member is lost"})
		return
	}
	a := c.newAttempt(r, e, prediction{uncached: mb.tokens})
	a.sliceIndex = g.runningSlice
	mb.sliceAttempt = a.id.Sequence
	d := c.dispatchMessage(r, a.id, prediction{})
	d.Slice = &wire.Slice{
		Index: g.runningSlice, Count: len(g.members), FirstToken: mb.firstToken, Tokens: mb.tokens,
		Imports: g.handles(), Reservation: mb.reservation,
	}
	if g.runningSlice == len(g.members)-1 {
		r.currentAttempt = a.id.Sequence
		d.ResumeFrom = r.delivered
		c.emit(Output{SelectAttempt: &SelectAttempt{ID: r.id, Attempt: a.id, ResumeFrom: r.delivered}})
	}
	c.emit(Output{ToAgent: &ToAgent{Endpoint: e.id, Request: r.id, Msg: wire.ToAgent{Dispatch: d}}})
	c.log(Event{Kind: EventDispatched, Request: r.in.ExternalID, Account: r.in.Account, Endpoint: e.id, Attempt: a.id, Detail: "slice"})
}

// handles returns the KV handles of the finished slices.
func (g *group) handles() []string {
	var handles []string
	for i := range g.runningSlice {
		handles = append(handles, g.members[i].handle)
	}
	return handles
}

// sliceFinished records the handle of a finished slice and runs the next one.
func (c *Core) sliceFinished(r *request, a *attempt, m *wire.Finished) {
	if a.sliceIndex != r.group.runningSlice {
		return
	}
	c.resolve(a, true)
	r.group.members[a.sliceIndex].handle = m.KVHandle
	r.group.runningSlice++
	r.group.countedPromptTokens += m.PromptTokens
	c.runSlice(r)
}

// renewGroup extends the leases of a group's reservations.
func (c *Core) renewGroup(r *request) {
	if r == nil || r.group == nil {
		return
	}
	for i := range r.group.granted {
		mb := &r.group.members[i]
		if e := c.endpoints.Get(mb.endpoint); e != nil && e.up {
			c.sendReserve(r, mb)
		}
	}
	c.timers.Set(timerKey{kind: timerGroup, id: uint64(r.id)}, c.now+c.cfg.GroupLease/leaseRenewals)
}

// reservationLost fails a group that has lost the agent of a member.
func (c *Core) reservationLost(a *attempt) {
	r := c.requests.Get(a.request)
	if r == nil || r.group == nil {
		c.attempts.Delete(a.id.Sequence)
		return
	}
	c.failGroup(r, failure{code: CodeEndpointLost, detail: "group member is lost"})
}

// failGroup releases the reservations and attempts of a group, and has its
// whole prompt run again by a new group or ends the request. A group that was
// not reserved completely has run nothing, so that its next try takes nothing
// from the retry budget.
func (c *Core) failGroup(r *request, f failure) {
	if r.group == nil {
		return
	}
	allReserved := r.group.granted == len(r.group.members)
	for i := range r.group.members {
		r.avoidIfUnusable(c, r.group.members[i].endpoint)
	}
	c.releaseGroup(r)
	if r.phase == phaseSettling {
		c.endSettling(r)
		return
	}
	r.failure = f
	if allReserved {
		c.retryLater(r, f)
		return
	}
	c.pauseThenRoute(r, c.jitter(groupRetryPause))
}

// avoidIfUnusable makes a request avoid a member that is not usable now.
func (r *request) avoidIfUnusable(c *Core, id wire.EndpointID) {
	if e := c.endpoints.Get(id); e == nil || !c.usable(e) {
		r.avoidUntil(id, c.now+failedAvoid)
	}
}

// releaseGroup cancels every slice and reservation of a group.
func (c *Core) releaseGroup(r *request) {
	if r.group == nil {
		return
	}
	if m := c.models.Get(r.in.Model); m != nil {
		m.groups--
		c.wakeOldest(&m.waiting)
	}
	for i := range r.group.members {
		mb := &r.group.members[i]
		if a := c.attempts.Get(mb.sliceAttempt); mb.sliceAttempt != 0 && a != nil {
			c.cancelAttempt(a)
			c.resolve(a, true)
		}
		if mb.reservation.IsZero() {
			continue
		}
		c.attempts.Delete(mb.reservation.Sequence)
		c.timers.Stop(timerKey{kind: timerOrphan, id: mb.reservation.Sequence})
		if e := c.endpoints.Get(mb.endpoint); e != nil && e.up {
			c.send(mb.endpoint, wire.ToAgent{Cancel: &wire.Cancel{Attempt: mb.reservation}})
		}
	}
	r.group = nil
	c.timers.Stop(timerKey{kind: timerGroup, id: uint64(r.id)})
}
