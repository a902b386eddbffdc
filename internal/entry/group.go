package entry

import (
	"cmp"
	"slices"
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	// memberShare is the part of an engine's memory that one group may ask for.
	memberShare = 0.9
	// renewals is how often a group's lease is renewed in its duration.
	renewals = 3
	// groupPause is the wait after a group that could not be reserved.
	groupPause = 400 * time.Millisecond
	// reservationSlice marks an attempt row that stands for a reservation.
	reservationSlice = -2
)

// group is the engines that together run one prompt.
type group struct {
	members []member // ascending by endpoint
	granted int      // members with a reservation
	counted int64    // prompt tokens of the finished slices, by the engines' counts
	running int      // slice under way
}

// member is one engine of a group.
type member struct {
	endpoint    wire.EndpointID
	reservation wire.AttemptID
	first       int64
	tokens      int64 // of the prompt
	memory      int64
	handle      string
	slice       uint64 // attempt under way or done
}

func (a *attempt) isReservation() bool { return a.slice == reservationSlice }

// isGroup reports whether a request is larger than any engine of its model.
func (c *Core) isGroup(m *modelRow, r *request) bool {
	return m.capacity > 0 && r.prompt+r.output > int64(float64(m.capacity)*memberShare)
}

// groupBound returns how many groups of a model this entry may have at once.
func (c *Core) groupBound(m *modelRow) int {
	limit := 1
	for i := range c.snapshot.Models {
		if c.snapshot.Models[i].Name == m.name {
			limit = max(c.snapshot.Models[i].MaxGroups, 1)
		}
	}
	return max(limit/c.fleet.entries(), 1)
}

// startGroup picks the members and reserves memory at the first of them.
func (c *Core) startGroup(m *modelRow, r *request) {
	if m.groups >= c.groupBound(m) {
		c.waitForRoom(r, &m.waiting)
		return
	}
	members := c.pickMembers(m, r)
	if members == nil {
		c.waitForRoom(r, &m.waiting)
		return
	}
	m.groups++
	c.counts.Groups++
	r.phase = phaseGroup
	r.group = &group{members: members}
	c.reserveNext(r)
	c.timers.Set(timerKey{kind: timerGroup, id: uint64(r.id)}, c.now+c.cfg.GroupLease/renewals)
}

// pickMembers returns the fewest engines of one failure domain that together
// hold the request, those with the most free memory first, in ascending order.
func (c *Core) pickMembers(m *modelRow, r *request) []member {
	var best []*endpoint
	var bestFree int64
	for _, domain := range domainsOf(m.endpoints) {
		picked, free := c.pickIn(m, r, domain)
		if picked != nil && (best == nil || len(picked) < len(best) || (len(picked) == len(best) && free > bestFree)) {
			best, bestFree = picked, free
		}
	}
	if best == nil {
		return nil
	}
	slices.SortFunc(best, func(a, b *endpoint) int { return cmp.Compare(a.id, b.id) })
	return divide(best, r)
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

// pickIn picks members of one failure domain. It takes engines by free memory
// until their shares suffice.
func (c *Core) pickIn(m *modelRow, r *request, domain wire.FailureDomain) (picked []*endpoint, free int64) {
	var usable []*endpoint
	for _, e := range m.endpoints {
		if e.hello.FailureDomain == domain && c.usableFor(e, r) {
			usable = append(usable, e)
		}
	}
	slices.SortStableFunc(usable, func(a, b *endpoint) int {
		return cmp.Compare(b.report.FreeTokens-b.recentKV, a.report.FreeTokens-a.recentKV)
	})
	for n, e := range usable {
		free += e.report.FreeTokens - e.recentKV
		share := (r.prompt+int64(n))/int64(n+1) + r.output
		if share <= int64(float64(e.hello.Capacity)*memberShare) {
			return usable[:n+1], free
		}
	}
	return nil, 0
}

// divide cuts the prompt into one slice for each member.
func divide(endpoints []*endpoint, r *request) []member {
	n := int64(len(endpoints))
	members := make([]member, n)
	var first int64
	for i, e := range endpoints {
		tokens := r.prompt / n
		if int64(i) < r.prompt%n {
			tokens++
		}
		members[i] = member{endpoint: e.id, first: first, tokens: tokens, memory: tokens}
		first += tokens
	}
	members[n-1].memory += r.output
	return members
}

// reserveNext asks the next member for memory. Members are asked one after the
// other in ascending order, so that two groups never wait for each other.
func (c *Core) reserveNext(r *request) {
	g := r.group
	mb := &g.members[g.granted]
	e := c.endpoints.Get(mb.endpoint)
	if e == nil || !c.usable(e) {
		c.groupBroken(r, failure{code: CodeOverloaded, detail: "group member is not usable"})
		return
	}
	c.sequence++
	mb.reservation = wire.AttemptID{Entry: c.cfg.Self, Incarnation: c.cfg.Incarnation, Sequence: c.sequence}
	c.attempts.Put(c.sequence, attempt{id: mb.reservation, request: r.id, endpoint: mb.endpoint, sent: c.now, slice: reservationSlice})
	c.sendReserve(r, mb)
}

func (c *Core) sendReserve(r *request, mb *member) {
	c.send(mb.endpoint, wire.ToAgent{Reserve: &wire.Reserve{
		Attempt: mb.reservation, Account: r.in.Account, Model: r.in.Model, Tokens: mb.memory, Lease: c.cfg.GroupLease,
	}})
}

// reserved takes a member's answer.
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
		c.groupBroken(r, failure{code: CodeOverloaded, detail: "group member refused: " + m.Reason.String()})
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

// runSlice sends the next slice of the prompt to its member. A request whose
// time is over, as after a pause of the process, ends later in the same tick.
func (c *Core) runSlice(r *request) {
	if c.now >= r.deadline && !c.cfg.lacks(withoutDeadline) {
		return
	}
	g := r.group
	mb := &g.members[g.running]
	e := c.endpoints.Get(mb.endpoint)
	if e == nil || !e.up {
		c.groupBroken(r, failure{code: CodeEndpointLost, detail: "group member is lost"})
		return
	}
	a := c.newAttempt(r, e, prediction{uncached: mb.tokens})
	a.slice = g.running
	mb.slice = a.id.Sequence
	d := c.dispatchMessage(r, a.id, prediction{})
	d.Slice = &wire.Slice{
		Index: g.running, Count: len(g.members), FirstToken: mb.first, Tokens: mb.tokens,
		Imports: g.handles(), Reservation: mb.reservation,
	}
	if g.running == len(g.members)-1 {
		r.current = a.id.Sequence
		d.ResumeFrom = r.delivered
		c.emit(Output{Attempt: &Attempt{ID: r.id, Attempt: a.id, ResumeFrom: r.delivered}})
	}
	c.emit(Output{ToAgent: &ToAgent{Endpoint: e.id, Request: r.id, Msg: wire.ToAgent{Dispatch: d}}})
	c.log(Event{Kind: EventDispatched, Request: r.in.ExternalID, Account: r.in.Account, Endpoint: e.id, Attempt: a.id, Detail: "slice"})
}

func (g *group) handles() []string {
	var handles []string
	for i := range g.running {
		handles = append(handles, g.members[i].handle)
	}
	return handles
}

// sliceFinished goes on with the next member.
func (c *Core) sliceFinished(r *request, a *attempt, m *wire.Finished) {
	if a.slice != r.group.running {
		return
	}
	c.resolve(a, true)
	r.group.members[a.slice].handle = m.KVHandle
	r.group.running++
	r.group.counted += m.PromptTokens
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
	c.timers.Set(timerKey{kind: timerGroup, id: uint64(r.id)}, c.now+c.cfg.GroupLease/renewals)
}

// reservationLost ends a group whose member's agent is gone.
func (c *Core) reservationLost(a *attempt) {
	r := c.requests.Get(a.request)
	if r == nil || r.group == nil {
		c.attempts.Delete(a.id.Sequence)
		return
	}
	c.groupBroken(r, failure{code: CodeEndpointLost, detail: "group member is lost"})
}

// groupBroken frees everything that a group holds and runs its request again as
// a whole, or ends it.
func (c *Core) groupBroken(r *request, f failure) {
	if r.group == nil {
		return
	}
	ran := r.group.granted == len(r.group.members)
	for i := range r.group.members {
		r.avoidFailed(c, r.group.members[i].endpoint)
	}
	c.releaseGroup(r)
	if r.phase == phaseSettling {
		c.conclude(r)
		return
	}
	r.failure = f
	if ran {
		c.retryLater(r, f)
		return
	}
	c.pauseThenRoute(r, c.jitter(groupPause))
}

// avoidFailed keeps a request away from a member that is not usable now.
func (r *request) avoidFailed(c *Core, id wire.EndpointID) {
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
		c.wake(&m.waiting)
	}
	for i := range r.group.members {
		mb := &r.group.members[i]
		if a := c.attempts.Get(mb.slice); mb.slice != 0 && a != nil {
			c.withdraw(a)
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
