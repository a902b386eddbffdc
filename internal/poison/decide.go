package poison

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// turn is the time for which one gateway at a time may send a request with a held
	// part, but in its last turnGuard: a crash under the request is known at all gateways
	// before the next turn begins.
	turn      = time.Second
	turnGuard = 500 * time.Millisecond
	// heldPause is the time after a crash in which no request with the held part is sent: a
	// verdict may follow once the crash has settled.
	heldPause = settleTime + 100*time.Millisecond
	// otherTrialPause is how long a gateway refuses when the trial is due at another.
	otherTrialPause = 5 * time.Second
)

// Verdict says whether a request may be sent to an engine.
type Verdict int

const (
	// Allowed requests may be sent.
	Allowed Verdict = iota
	// Held requests have a part under suspicion. They may wait, or be refused.
	Held
	// Refused requests have a part in quarantine.
	Refused
	// Trial requests may be sent. They are the one trial of a part in quarantine.
	Trial
)

func (v Verdict) String() string {
	return [...]string{"allowed", "held", "refused", "trial"}[v]
}

// Decision is the answer of Decide.
type Decision struct {
	Verdict    Verdict
	RetryAfter time.Duration // time after which it may be worth asking again; only of Held and Refused
	Part       Part          // that is the reason; zero if Allowed
}

// Decide says whether a request with these parts, which is about to be sent, may be sent.
// The parameter live has the hashes of the live gateways, the own included. An allowed
// request is taken as sent.
func (t *Table) Decide(now time.Duration, parts []Part, live []uint64) Decision {
	t.expire(now)
	t.evaluate(now)
	parts = read(parts)
	var quarantined, held *entry
	for _, p := range parts {
		e := t.parts.Get(p)
		if e == nil || !e.quarantined && !e.suspect {
			continue
		}
		if e.quarantined {
			e.quarantine.asked = max(e.quarantine.asked, now)
		}
		if !containsAll(parts, e.rivals) {
			continue
		}
		if e.quarantined && (quarantined == nil || laterTrial(e, quarantined)) {
			quarantined = e
		}
		if e.suspect && (held == nil || e.part < held.part) {
			held = e
		}
	}
	switch {
	case quarantined != nil:
		return t.tryQuarantined(now, quarantined, parts, live)
	case held != nil:
		return t.tryHeld(now, held, live)
	}
	return Decision{}
}

// laterTrial reports whether the next trial of a is due after that of b.
func laterTrial(a, b *entry) bool {
	return cmp.Or(cmp.Compare(a.quarantine.next, b.quarantine.next), cmp.Compare(b.part, a.part)) > 0
}

// tryQuarantined decides on a request with parts in quarantine, of which e is the one
// whose next trial is due last.
func (t *Table) tryQuarantined(now time.Duration, e *entry, parts []Part, live []uint64) Decision {
	refused := Decision{Verdict: Refused, Part: e.part}
	if now < e.quarantine.next {
		refused.RetryAfter = e.quarantine.next - now
		return refused
	}
	if t.rank(e.part, live) != 0 {
		refused.RetryAfter = otherTrialPause
		return refused
	}
	for _, p := range parts {
		if x := t.parts.Get(p); x != nil && x.quarantined && now >= x.quarantine.next {
			t.startTrial(now, x)
		}
	}
	return Decision{Verdict: Trial, Part: e.part}
}

func (t *Table) startTrial(now time.Duration, e *entry) {
	q := &e.quarantine
	q.trials++
	q.next = now + firstPause<<min(q.trials, maxDoublings)
	t.list(e)
	t.report(EventTrial, e)
}

// tryHeld decides on a request with a held part. Once the part's last crash has settled,
// the gateways take turns; each may send one request in its turn.
func (t *Table) tryHeld(now time.Duration, e *entry, live []uint64) Decision {
	n := time.Duration(max(len(live), 1))
	rank := time.Duration(t.rank(e.part, live))
	first := e.crashes.last() + heldPause + rank*turn // start of the own first turn
	round := max(now-first, 0) / (n * turn)
	start := first + round*n*turn
	switch {
	case now < start:
		return Decision{Verdict: Held, RetryAfter: start - now, Part: e.part}
	case now >= start+turn-turnGuard || e.lastSent >= start:
		return Decision{Verdict: Held, RetryAfter: start + n*turn - now, Part: e.part}
	}
	e.lastSent = now
	return Decision{Verdict: Allowed, Part: e.part}
}

// rank returns the number of live gateways before the own one in the rendezvous order of
// a part.
func (t *Table) rank(p Part, live []uint64) int {
	own := rendezvousHash(t.cfg.Gateway, uint64(p))
	before := 0
	for _, g := range live {
		if rendezvousHash(g, uint64(p)) > own {
			before++
		}
	}
	return before
}

// MayRepeat reports whether a request with these parts may be sent again, after an attempt
// broke off together with an engine's life, whose crash need not be recorded yet.
func (t *Table) MayRepeat(now time.Duration, parts []Part, pending Life) bool {
	t.expire(now)
	t.evaluate(now)
	parts = read(parts)
	for _, p := range parts {
		e := t.parts.Get(p)
		if e == nil {
			continue
		}
		if (e.quarantined || e.suspect) && containsAll(parts, e.rivals) {
			return false
		}
		if len(e.crashes) > 0 && (len(e.crashes) > 1 || !e.crashes.has(pending)) && !t.dominated(e, pending) {
			return false
		}
	}
	return true
}

// dominated reports whether another part has all crashes of e and more, without regard to
// the life pending, about which not all gateways have been heard yet.
func (t *Table) dominated(e *entry, pending Life) bool {
	for x := range t.parts.Values() {
		if x != e && x.crashes.contain(e.crashes, pending) && !e.crashes.contain(x.crashes, pending) {
			return true
		}
	}
	return false
}

func containsAll(parts, wanted []Part) bool {
	if len(wanted) > len(parts) {
		return false
	}
	return !slices.ContainsFunc(wanted, func(p Part) bool { return !slices.Contains(parts, p) })
}

// rendezvousHash combines two hashes into one.
func rendezvousHash(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}
