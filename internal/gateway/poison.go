package gateway

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoilpath.org/trefoilpath/internal/poison"
)

const (
	// maxPartRowsPerMessage bounds the rows of parts in a message, maxFullPartRows those that
	// are sent with a full message.
	maxPartRowsPerMessage = 8
	maxFullPartRows       = 24
	// maxPartsPerCrash is the number of parts that the table reads at once.
	maxPartsPerCrash = 64
	// maxDumpedParts bounds the parts in a dump, maxPartIDs the IDs of parts that are kept for
	// logs and dumps.
	maxDumpedParts = 100
	maxPartIDs     = 256
	// crashCellFanout is the number of gateways of other cells that are sent the parts with
	// the next full message after an engine has ended.
	crashCellFanout = 24
	// learnTimeout is the time from the start of the process in which prompts wait until all
	// seeds have told which parts are in quarantine, and the time from its readiness in which
	// they wait until one has.
	learnTimeout = 300 * time.Millisecond
	// turnValidity is how long a request may wait for an engine with the permission to be the
	// next one with a part under suspicion.
	turnValidity = time.Second
	// maxHoldRatio is the part of the time from its arrival to its deadline that a request that
	// was never dispatched may be held, so that its caller has time to try again.
	maxHoldRatio = 0.4
)

// A part of a prompt may crash each engine that begins an answer, and a request each endpoint that
// begins to run it. The package poison finds such parts and requests, which here are both called
// parts; here it learns of answers and ended endpoints, and decides on requests before they are
// dispatched.

// suspicion is what is known of a request because of its parts.
type suspicion struct {
	parts      []poison.Part   // the request itself, and the shared parts of a prompt for an engine
	held       bool            // it waits because of a part under suspicion
	trial      bool            // it is the trial of a part in quarantine and is never repeated
	turnAt     time.Duration   // when it was permitted as the next one with a part under suspicion
	screenedAt time.Duration   // when it was last permitted to be dispatched
	refusal    poison.Decision // why it is refused
	life       poison.Life     // of the engine at which its last answer broke off
}

// serviceParts is what is known of the parts of requests to one service.
type serviceParts struct {
	service uint64 // hash of its name; other gateways may tell of it before it is known here
	table   *poison.Table
}

// maxPartTables bounds the services of which parts are kept.
const maxPartTables = 256

// partTable returns the parts of a service, or nil if there are too many services.
func (c *Core) partTable(service uint64) *poison.Table {
	if s := c.parts.Get(service); s != nil {
		return s.table
	}
	if c.parts.Len() >= maxPartTables {
		return nil
	}
	return c.parts.Put(service, serviceParts{service, poison.New(poison.Config{Gateway: c.addrHash})}).table
}

// partsOf returns the parts of a request.
func (c *Core) partsOf(a *Arrival) []poison.Part {
	var parts []poison.Part
	if c.routing != nil {
		if s := c.routing.Service(a.Service); s != nil && s.Engine != nil {
			parts = hashParts(a.SharedParts)
		}
	}
	if a.Fingerprint != 0 {
		parts = append(parts, poison.WholeRequest(a.Fingerprint))
	}
	return parts
}

func hashParts(ids []string) []poison.Part {
	parts := make([]poison.Part, len(ids), len(ids)+1)
	for i, id := range ids {
		parts[i] = poison.PromptPart(xxhash.Sum64String(id))
	}
	return parts
}

// lifeOf returns the hash of an instance that all gateways share.
func lifeOf(i instance) poison.Life {
	return poison.Life(rendezvousHash(xxhash.Sum64String(string(i.id)), uint64(i.born)))
}

// recordCrash records the end of an instance with the requests that it ran, and tells the other
// gateways.
func (c *Core) recordCrash(b *brokenInstance) {
	life, parts, table := lifeOf(b.instance), hashParts(b.parts), c.partTable(c.service(b.service).nameHash)
	if table == nil {
		return
	}
	table.Crashed(b.brokenAt, life, parts[:min(len(parts), maxPartsPerCrash)])
	for len(parts) > maxPartsPerCrash {
		parts = parts[maxPartsPerCrash:]
		table.Crashed(b.brokenAt, life, parts[:min(len(parts), maxPartsPerCrash)])
	}
	table.RequestsCrashed(b.brokenAt, life, b.requests)
	c.partsKnown, c.placementDue = true, true
	c.outbox.batchDue = true
	c.outbox.otherCellSends = max(c.outbox.otherCellSends, crashCellFanout)
}

// recordAnswer records a complete answer to r.
func (c *Core) recordAnswer(r *request, end *AttemptEnded) {
	if end.Status >= 200 && end.Status < 300 && len(r.parts) > 0 {
		if table := c.partTable(c.service(r.in.Service).nameHash); table != nil {
			table.Completed(c.now, r.parts)
		}
	}
}

// mergeParts adds what another gateway knows of the parts of a service.
func (c *Core) mergeParts(service uint64, rows []poison.Row) {
	if len(rows) == 0 {
		return
	}
	if table := c.partTable(service); table != nil {
		table.Merge(c.now, rows)
		c.partsKnown, c.placementDue = true, true
	}
}

// screenWaiting decides on the waiting requests of a service by the parts of their prompts.
func (c *Core) screenWaiting(s *service) {
	var live []uint64
	for _, r := range s.waiting {
		if r.phase != phaseWaiting || len(r.parts) == 0 {
			continue
		}
		if c.partsKnown && live == nil {
			live = c.liveGateways()
		}
		c.screen(r, c.decide(r, live))
	}
}

// liveGateways returns the hashes of the live gateways, the own one included.
func (c *Core) liveGateways() []uint64 {
	live := []uint64{c.addrHash}
	for p := range c.peers.Values() {
		if p.live && !p.leaving {
			live = append(live, p.addrHash)
		}
	}
	return live
}

// decide says whether a waiting request may be dispatched.
func (c *Core) decide(r *request, live []uint64) poison.Decision {
	if c.learning() {
		return poison.Decision{Verdict: poison.Held}
	}
	if !c.partsKnown || r.trial {
		return poison.Decision{}
	}
	table := c.partTable(c.service(r.in.Service).nameHash)
	if table == nil {
		return poison.Decision{}
	}
	d := table.Decide(c.now, r.parts, live)
	switch {
	case d.Verdict == poison.Allowed && d.Part != 0:
		r.turnAt = c.now
	case d.Verdict == poison.Held && r.turnAt > 0 && c.now < r.turnAt+turnValidity:
		d.Verdict = poison.Allowed // its own permission is what the others wait for
	}
	return d
}

// learning reports whether this gateway has just started and may not know yet which parts are
// in quarantine.
func (c *Core) learning() bool {
	if c.learned {
		return false
	}
	seeds, heard := 0, 0
	for p := range c.peers.Values() {
		seeds += bit(p.seed)
		heard += bit(p.seed && p.heardFull)
	}
	from := time.Duration(0)
	if heard == 0 {
		from = c.readyAt // a starved process may have handled no message yet
	}
	c.learned = heard == seeds || c.now >= from+learnTimeout
	return !c.learned
}

// screen applies a decision on a waiting request.
func (c *Core) screen(r *request, d poison.Decision) {
	switch {
	case d.Verdict == poison.Refused, d.Verdict == poison.Held && c.now+d.RetryAfter > r.heldBefore():
		r.refusal = d
		c.endUnserved(r, c.crashReason(r))
		return
	case d.Verdict == poison.Held:
		c.hold(r)
		return
	case d.Verdict == poison.Trial:
		r.trial = true
	}
	r.screenedAt = c.now
	if r.held {
		r.held = false
		if r.divisible {
			c.announce(r)
		}
	}
}

// heldBefore returns the time until which r may be held because of its parts. Most are held for
// less than the longest time that is announced.
func (r *request) heldBefore() time.Duration {
	latest := r.in.Deadline - minAttemptTime
	if r.attempt == 0 {
		latest = min(latest, r.arrived+time.Duration(maxHoldRatio*float64(r.in.Deadline-r.arrived)))
	}
	return latest
}

// crashReason is the reason why r is not sent because of its parts.
func (c *Core) crashReason(r *request) Reason {
	if c.service(r.in.Service).engine() == nil {
		return ReasonCrashesEndpoints
	}
	return ReasonCrashesEngines
}

// hold keeps a waiting request from being dispatched. Other gateways leave it out of their
// plans.
func (c *Core) hold(r *request) {
	if r.held {
		return
	}
	r.held = true
	if r.divisible {
		c.outbox.waiting = slices.DeleteFunc(c.outbox.waiting, func(x *request) bool { return x == r })
		c.outbox.waitEnded(c, r)
	}
}

// mayRepeat reports whether the parts of its prompt allow that r is sent to another engine
// after an attempt that may have run.
func (c *Core) mayRepeat(r *request, end *AttemptEnded) bool {
	if r.trial {
		return false
	}
	s := c.service(r.in.Service)
	ran := end.brokeOff() || s.engine() == nil && end.Result == ResultBroken
	table := c.partTable(s.nameHash)
	return !ran || len(r.parts) == 0 || table == nil || table.MayRepeat(c.now, r.parts, r.life)
}

// sendParts sends what has changed of parts to the gateways of the cell, and with a full
// message the most important of what is known.
func (c *Core) sendParts(full bool) {
	if !c.partsKnown {
		return
	}
	for s := range c.parts.Values() {
		c.sendPartRows(s, s.table.Changed(c.now), full)
		if full {
			for rows := range slices.Chunk(s.table.Rows(c.now, maxFullPartRows), maxPartRowsPerMessage) {
				c.sendPartRows(s, rows, true)
			}
		}
	}
}

func (c *Core) sendPartRows(s *serviceParts, rows []poison.Row, full bool) {
	if len(rows) > 0 {
		c.sendToCell(c.partMessage(s, rows), full)
	}
}

// partMessage returns a message with rows of the parts of a service.
func (c *Core) partMessage(s *serviceParts, rows []poison.Row) *PeerMessage {
	m := c.message()
	m.Parts, m.PartsService = rows, s.service
	return m
}

// reportParts logs what has happened to parts. A new quarantine is sent to all cells at once.
func (c *Core) reportParts() {
	if !c.partsKnown {
		return
	}
	for s := range c.parts.Values() {
		for _, e := range s.table.Events() {
			c.logPart(s, &e)
			if e.Kind == poison.EventQuarantined {
				c.outbox.versionsChanged(c)
			}
		}
	}
}

// logPart logs what has happened to a part.
func (c *Core) logPart(s *serviceParts, e *poison.Event) {
	name := "prompt-" + string(e.Kind)
	if e.Part.IsRequest() {
		name = "request-" + strings.TrimPrefix(string(e.Kind), "part-")
	}
	c.log(Event{Name: name, Count: e.Crashes, Detail: c.partLabel(e.Part) + " service=" + c.serviceName(s.service) + " trials=" + itoa(e.Trials)})
}

// serviceName returns the name of a service, or its hash if it is not known here.
func (c *Core) serviceName(hash uint64) string {
	for s := range c.services.Values() {
		if s.nameHash == hash {
			return s.name
		}
	}
	return "#" + strconv.FormatUint(hash, 16)
}

// partLabel names a part for the log.
func (c *Core) partLabel(p poison.Part) string {
	if p.IsRequest() {
		return "fingerprint=" + c.partName(p)
	}
	return "part=" + c.partName(p)
}

// partName returns the fingerprint of a request, and the ID of a part of a prompt if it is known,
// else its hash.
func (c *Core) partName(p poison.Part) string {
	if p.IsRequest() {
		return formatFingerprint(uint64(p))
	}
	if id := c.partIDs.Get(p); id != nil {
		return *id
	}
	for r := range c.requests.Values() {
		if i := slices.Index(r.parts, p); i >= 0 {
			return c.rememberPart(p, r.in.SharedParts[i])
		}
	}
	for b := range c.broken.Values() {
		if i := slices.Index(hashParts(b.parts), p); i >= 0 {
			return c.rememberPart(p, b.parts[i])
		}
	}
	return "#" + strconv.FormatUint(uint64(p), 16)
}

// rememberPart keeps the ID of a part for logs and dumps, and returns it.
func (c *Core) rememberPart(p poison.Part, id string) string {
	if c.partIDs.Len() >= maxPartIDs {
		c.partIDs.Delete(c.partIDs.Keys()[0])
		c.partIDs.Compact()
	}
	c.partIDs.Put(p, id)
	return id
}

// PartDump is the state of one part of prompts, or request, under suspicion or in quarantine.
type PartDump struct {
	Service     string
	Part        string // ID, or a hash after #, or the fingerprint of a request
	Request     bool   // a whole request
	Quarantined bool
	Held        bool
	Crashes     int // of engines, without a complete answer since
	Events      int // of these, those apart in time
	LastCrash   time.Duration
	Trials      int
	NextTrial   time.Duration // negative once overdue
	Rivals      []string      // parts without which a prompt is not refused
}

func (c *Core) dumpParts() []PartDump {
	var out []PartDump
	for s := range c.parts.Values() {
		out = append(out, c.dumpPartsOf(s)...)
	}
	return out
}

func (c *Core) dumpPartsOf(svc *serviceParts) []PartDump {
	var out []PartDump
	for _, s := range svc.table.Dump(c.now, maxDumpedParts) {
		d := PartDump{
			Service: c.serviceName(svc.service), Part: c.partName(s.Part), Request: s.Part.IsRequest(), Quarantined: s.Quarantined, Held: s.Held, Crashes: s.Crashes, Events: s.Events,
			LastCrash: s.LastCrash, Trials: s.Trials, NextTrial: s.NextTrial,
		}
		for _, rival := range s.Rivals {
			d.Rivals = append(d.Rivals, c.partName(rival))
		}
		out = append(out, d)
	}
	return out
}
