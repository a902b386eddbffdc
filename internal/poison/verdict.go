package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// guiltyEvents is the number of events that make a part guilty when the engines that
	// crashed meanwhile ran it. Each other event needs one more, up to
	// maxGuiltyEvents.
	guiltyEvents    = 3
	maxGuiltyEvents = 8
	// goodEvents is the number of further events for a part with a completed answer shortly
	// before: a part of many requests may run on several engines that crash by chance.
	goodEvents = 2
	// seriesWindow is the time before a part's first crash in which other events count.
	seriesWindow = 10 * time.Second
	// suspectLives is the number of lives from which a part is held until it is known
	// whether it is guilty.
	suspectLives = 3
	// maxUnrelatedRatio is how many endpoints may have ended without a request for each that ended
	// under it, for it to be held.
	maxUnrelatedRatio = 2
	// maxCandidates bounds the parts of prompts, and the requests, that are compared with one
	// another. Those in quarantine beyond it keep their rivals.
	maxCandidates = 128
	// settleTime is the age from which a crash counts for a verdict: all gateways have
	// heard by then what else ran there.
	settleTime = 500 * time.Millisecond
	// firstPause is the time from the crash that led to a quarantine to the first trial.
	// Each trial doubles it, up to maxDoublings.
	firstPause   = 90 * time.Second
	maxDoublings = 10
)

// candidate is a part that may be guilty.
type candidate struct {
	e       *entry
	settled crashes // those that are older than settleTime
	events  int     // of these
	good    bool    // an unlikely cause
}

// evaluate finds the guilty and the held parts, if the evidence has changed or settled.
func (t *Table) evaluate(now time.Duration) {
	if !t.dirty && now < t.nextSettled {
		return
	}
	t.dirty, t.nextSettled = false, forever
	cs := t.candidates(now)
	isRequest := func(c candidate) bool { return c.e.part.IsRequest() }
	prompts := slices.DeleteFunc(slices.Clone(cs), isRequest)
	requests := slices.DeleteFunc(slices.Clone(cs), func(c candidate) bool { return !isRequest(c) })
	// Parts of prompts come first: a part crashes engines whatever request it is in.
	explaining := t.evaluateAll(prompts[:min(len(prompts), maxCandidates)], nil)
	t.evaluateAll(requests[:min(len(requests), maxCandidates)], explaining)
	findRivals(cs[:min(len(cs), 2*maxCandidates)])
}

// evaluateAll finds the guilty and the held ones among parts. The crashes that explaining
// explains are not theirs. It returns explaining with the crashes that these parts explain.
func (t *Table) evaluateAll(cs []candidate, explaining []crashes) []crashes {
	suspects, known, explaining := t.findSuspects(cs, explaining)
	for _, c := range suspects {
		if t.guilty(c, suspects, known) {
			t.startQuarantine(c.e)
		}
	}
	return explaining
}

// findSuspects marks the held parts. It returns those with enough crashes that neither explaining
// nor a part before them explains, the crashes of the parts in quarantine, and explaining with
// those of the parts that explain others.
func (t *Table) findSuspects(cs []candidate, explaining []crashes) (suspects []candidate, known, all []crashes) {
	known = explaining[:len(explaining):len(explaining)]
	for _, c := range cs {
		remaining := c.e.crashes.unexplained(explaining)
		c.settled = c.settled.unexplained(explaining)
		c.events = c.e.part.eventsOf(c.settled)
		switch {
		case c.e.quarantined:
			known = append(known, c.e.crashes)
		case t.suspicious(c.e, remaining):
			c.e.suspect = true
			suspects = append(suspects, c)
		default:
			// Other suspects may explain it by chance, unless it has proved good.
			c.e.suspect = t.suspicious(c.e, c.e.crashes) && !c.good
			continue
		}
		if len(remaining) > 0 {
			explaining = append(explaining, c.e.crashes)
		}
	}
	return suspects, known, explaining
}

// suspicious reports whether crashes of a part are enough for it to be held. Those of a request
// must include two that are independent of each other, and not be few among many others.
func (t *Table) suspicious(e *entry, cs crashes) bool {
	if len(cs) < suspectLives || !e.part.IsRequest() {
		return len(cs) >= suspectLives
	}
	around := t.lives.between(cs[0].at-seriesWindow, cs.last())
	unrelated := len(around.unexplained([]crashes{e.crashes}))
	return cs.sequence() > 1 && unrelated <= maxUnrelatedRatio*len(cs)
}

// candidates returns the parts with several crashes and those in quarantine: first those
// without a completed answer shortly before, and of these the ones with the most events.
// It ends the suspicion of all parts.
func (t *Table) candidates(now time.Duration) []candidate {
	var cs []candidate
	for e := range t.parts.Values() {
		e.suspect = false
		if len(e.crashes) < 2 && !e.quarantined {
			continue
		}
		settled := e.crashes.between(never, now-settleTime)
		if len(settled) < len(e.crashes) {
			t.nextSettled = min(t.nextSettled, e.crashes[len(settled)].at+settleTime)
		}
		good := now < e.goodUntil()
		if good {
			t.nextSettled = min(t.nextSettled, e.goodUntil())
		}
		cs = append(cs, candidate{e: e, settled: settled, events: e.part.eventsOf(settled), good: good})
	}
	slices.SortFunc(cs, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(bit(a.good), bit(b.good)), cmp.Compare(b.events, a.events), cmp.Compare(len(b.settled), len(a.settled)),
			cmp.Compare(len(b.e.crashes), len(a.e.crashes)), cmp.Compare(a.e.part, b.e.part))
	})
	return cs
}

// guilty reports whether the crashes of a suspect are no coincidence. They are compared
// with all ends of engines in that time and shortly before, except those under parts in
// quarantine and under the first other suspect: the more events there are without the
// part, or in which at most half of the engines ran it, the more must be with it.
func (t *Table) guilty(c candidate, suspects []candidate, known []crashes) bool {
	required := guiltyEvents + bit(c.good)*goodEvents
	if c.events < required {
		return false
	}
	if i := slices.IndexFunc(suspects, func(s candidate) bool { return s.e != c.e }); i >= 0 {
		known = append(known[:len(known):len(known)], suspects[i].e.crashes)
	}
	with, without := t.eventsAround(c.e, c.settled, known)
	if c.e.part.IsRequest() {
		with = c.events
	}
	return with >= min(required+without, maxGuiltyEvents)
}

// eventsAround counts the events in the time of crashes of a part and shortly before, but those
// that the crashes of known parts explain: those in which most of the endpoints ran it, and the
// others.
func (t *Table) eventsAround(e *entry, cs crashes, known []crashes) (with, without int) {
	for event := range t.lives.unexplained(known).between(cs[0].at-seriesWindow, cs.last()).byEvent() {
		ran := 0
		for _, x := range event {
			ran += bit(e.crashes.explain(x))
		}
		if 2*ran > len(event) {
			with++
		} else {
			without++
		}
	}
	return with, without
}

func bit(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (t *Table) startQuarantine(e *entry) {
	e.suspect = false
	since := e.crashes.last()
	e.quarantined = true
	e.quarantine = quarantine{since: since, next: since + firstPause, asked: since}
	t.list(e)
	t.report(EventQuarantined, e)
}

// findRivals sets the rivals of quarantined and held parts: the parts that ran on all
// the engines that crashed under them, and are no less likely the cause.
func findRivals(cs []candidate) {
	for _, c := range cs {
		c.e.rivals = nil
		if !c.e.quarantined && !c.e.suspect || len(c.e.crashes) == 0 {
			continue
		}
		for _, x := range cs {
			if x.e != c.e && (c.good || !x.good) && x.e.crashes.explainAll(c.e.crashes) {
				c.e.rivals = append(c.e.rivals, x.e.part)
			}
		}
	}
}
