// Package poison finds the parts of prompts and the requests that crash endpoints (a query
// of death) and decides which requests may be sent. Each gateway has one Table for a service;
// the tables of a service exchange rows, whose merge is commutative and idempotent, so that
// rows may be lost, repeated and reordered. The package has no clock and no I/O.
package poison

import (
	"math"
	"slices"
	"time"

	"trefoilpath.org/trefoilpath/internal/table"
)

// Part is a part of a prompt, or a whole request, by its hash. Zero stands for no part.
type Part uint64

// requestBit marks a whole request.
const requestBit = 1 << 63

// PromptPart returns the part of a prompt whose ID has a hash.
func PromptPart(hash uint64) Part { return Part(hash &^ requestBit) }

// WholeRequest returns the part that all requests with a fingerprint have.
func WholeRequest(fingerprint uint64) Part { return Part(fingerprint | requestBit) }

// IsRequest reports whether the part is a whole request.
func (p Part) IsRequest() bool { return p&requestBit != 0 }

// Run is a request that ran at an endpoint when that ended.
type Run struct {
	Request Part
	Began   time.Duration // when the earliest of its runs there began
}

// Life identifies one life of an engine, from start to end, by the same hash at all
// gateways.
type Life uint64

const (
	// maxParts bounds the parts in a table, maxPartsRead those that are read of a request.
	maxParts     = 1024
	maxPartsRead = 64
	// evictedAtOnce is the number of parts that leave a full table together, so that the
	// search for them is shared by as many insertions.
	evictedAtOnce = maxParts / 4
	// crashRetention is how long crashes of parts that are not quarantined are kept.
	crashRetention = 10 * time.Minute
	// quarantineRetention is how long a quarantine lasts without a request for the part.
	quarantineRetention = time.Hour
	// expireInterval is the time between two searches for what has become too old.
	expireInterval = 5 * time.Second
	// clockSlack is the time after a completed answer in which crashes are taken as
	// earlier: times from other gateways are late by the delay of the message.
	clockSlack = 50 * time.Millisecond
	// never is a time before all others.
	never = time.Duration(math.MinInt64)
	// forever is a time after all others.
	forever = time.Duration(math.MaxInt64)
)

// Config is what a table must know of its gateway.
type Config struct {
	Gateway uint64 // hash of the own gateway, as in the parameter live of Decide
}

// Table holds the crashes of parts and the quarantines of one gateway. It is not safe
// for concurrent use.
type Table struct {
	cfg          Config
	parts        *table.Table[Part, entry]
	completions  completions
	lives        crashes       // of engines, whatever ran there
	dirty        bool          // the evidence has changed since the last evaluation
	nextSettled  time.Duration // when the evaluation changes without new evidence
	nextExpire   time.Duration
	changed      []Part // whose rows are to be sent, in order of their change
	livesChanged bool   // the row of the engines is to be sent
	rotation     int    // of the rows that don't fit into a message
	events       []Event
}

// entry is what is known of one part.
type entry struct {
	part        Part
	crashes     crashes       // since the last completed answer
	cleared     time.Duration // when an answer was completed last at any gateway; or never
	ownCleared  time.Duration // the same at this gateway, which is what its rows say
	changedAt   time.Duration // when evidence was last added or removed
	listed      bool          // in Table.changed
	quarantined bool
	quarantine  quarantine
	suspect     bool          // held, since its crashes are no coincidence but too close to tell more
	lastSent    time.Duration // when this gateway last let a request with the held part pass
	rivals      []Part        // without all of which a request is not refused, in order
}

// quarantine is the lasting state of a guilty part.
type quarantine struct {
	since  time.Duration // of the crash that led to it
	trials int           // started so far
	next   time.Duration // when the next trial is due
	asked  time.Duration // when a request for the part last came
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, parts: table.New[Part, entry](), completions: newCompletions(), nextSettled: forever, nextExpire: never}
}

// Crashed records that a life has ended for certain while requests with these parts,
// whose answers had begun, ran there at this gateway. It may be called again for a life,
// with the same or other parts, and without parts if none ran: such crashes tell that
// engines end for other reasons.
func (t *Table) Crashed(now time.Duration, life Life, parts []Part) {
	t.expire(now)
	at := t.lifeEnded(crash{at: now, life: life}, true)
	for _, p := range read(parts) {
		if p != 0 {
			t.addCrash(now, t.entry(now, p), crash{at: at, life: life}, true)
		}
	}
}

// RequestsCrashed records that a life has ended for certain while these requests ran there at
// this gateway. It may be called again for a life.
func (t *Table) RequestsCrashed(now time.Duration, life Life, runs []Run) {
	t.expire(now)
	at := t.lifeEnded(crash{at: now, life: life}, true)
	for _, r := range runs {
		t.addCrash(now, t.entry(now, r.Request), crash{at: at, life: life, began: r.Began}, true)
	}
}

// addCrash adds a crash to those of a part, and lists its row if asked to.
func (t *Table) addCrash(now time.Duration, e *entry, c crash, list bool) {
	if c.at <= e.clearedUntil() {
		return
	}
	var added bool
	if e.crashes, added = e.crashes.add(c, partBounds); !added {
		return
	}
	t.dirty, e.changedAt = true, now
	if list {
		t.list(e)
	}
}

// Completed records that an answer on a prompt with these parts was complete.
func (t *Table) Completed(now time.Duration, parts []Part) {
	t.expire(now)
	for _, p := range read(parts) {
		if !p.IsRequest() { // most requests occur once
			t.completions.add(now, p)
		}
		if e := t.parts.Get(p); e != nil {
			e.ownCleared = max(e.ownCleared, now)
			t.clear(now, e, now)
		}
	}
}

// clear removes what a completed answer at the time at disproves.
func (t *Table) clear(now time.Duration, e *entry, at time.Duration) {
	if at <= e.cleared {
		return
	}
	e.cleared = at
	kept := e.crashes.after(e.clearedUntil())
	released := e.quarantined && e.quarantine.since <= e.clearedUntil()
	if len(kept) == len(e.crashes) && !released {
		return
	}
	if released {
		t.report(EventCleared, e)
		e.quarantined, e.quarantine = false, quarantine{}
	}
	e.crashes = kept
	t.evidenceChanged(now, e)
}

func (e *entry) clearedUntil() time.Duration {
	if e.cleared == never {
		return never
	}
	return e.cleared + clockSlack
}

// goodUntil returns the time until which the part is an unlikely cause of its crashes,
// since an answer with it was completed shortly before the first one.
func (e *entry) goodUntil() time.Duration {
	if e.cleared == never || len(e.crashes) == 0 || e.crashes[0].at-e.cleared >= goodFor {
		return never
	}
	return e.crashes[0].at + goodWithout
}

func (t *Table) evidenceChanged(now time.Duration, e *entry) {
	t.dirty = true
	e.changedAt = now
	t.list(e)
}

// list adds the row of e to those of the next small message.
func (t *Table) list(e *entry) {
	if !e.listed && len(t.changed) < maxParts {
		e.listed = true
		t.changed = append(t.changed, e.part)
	}
}

// lifeEnded records the end of an engine, and lists it for the next small message if asked
// to. It returns the earliest time known of it, to which it moves the crashes of all parts.
func (t *Table) lifeEnded(c crash, list bool) time.Duration {
	i := t.lives.index(c.life)
	if i >= 0 && t.lives[i].at <= c.at {
		return t.lives[i].at
	}
	t.lives, _ = t.lives.add(c, lifeBounds)
	t.dirty = true
	t.livesChanged = t.livesChanged || list
	if i >= 0 {
		for e := range t.parts.Values() {
			e.move(c)
		}
	}
	return c.at
}

// move changes the time of a crash to an earlier one.
func (e *entry) move(c crash) {
	i := e.crashes.index(c.life)
	if i < 0 || e.crashes[i].at <= c.at {
		return
	}
	c.began = e.crashes[i].began
	e.crashes = slices.Delete(e.crashes, i, i+1)
	if c.at > e.clearedUntil() {
		e.crashes, _ = e.crashes.add(c, partBounds)
	}
}

// entry returns the entry of a part and creates it on first use.
func (t *Table) entry(now time.Duration, p Part) *entry {
	if e := t.parts.Get(p); e != nil {
		return e
	}
	if t.parts.Len() >= maxParts {
		t.evict()
	}
	cleared := t.completions.last(p)
	return t.parts.Put(p, entry{part: p, cleared: cleared, ownCleared: cleared, changedAt: now, lastSent: never})
}

// read returns the parts of a request that are read.
func read(parts []Part) []Part { return parts[:min(len(parts), maxPartsRead)] }
