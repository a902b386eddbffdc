package poison

import "time"

// maxEvents bounds the events that wait for Events.
const maxEvents = 64

// EventKind is what happened to a part.
type EventKind string

const (
	EventQuarantined EventKind = "part-quarantined"
	EventTrial       EventKind = "part-trial"
	EventCleared     EventKind = "part-cleared" // an answer with the part was completed
	EventExpired     EventKind = "part-expired" // no request for the part came for an hour
)

// Event is a change of a quarantine, for the log.
type Event struct {
	Kind    EventKind
	Part    Part
	Crashes int // crashes kept of the part
	Trials  int // started so far
}

func (t *Table) report(kind EventKind, e *entry) {
	if len(t.events) < maxEvents {
		t.events = append(t.events, Event{Kind: kind, Part: e.part, Crashes: len(e.crashes), Trials: e.quarantine.trials})
	}
}

// Events returns the events since the last call, at most 64.
func (t *Table) Events() []Event {
	events := t.events
	t.events = nil
	return events
}

// PartState is one part under suspicion or in quarantine, for operators.
type PartState struct {
	Part        Part
	Quarantined bool
	Held        bool
	Crashes     int           // crashes kept since the last completed answer
	Events      int           // of these, those apart in time
	LastCrash   time.Duration // age; zero if no crash is kept
	Trials      int           // started so far
	NextTrial   time.Duration // time until the next trial; negative once overdue
	Rivals      []Part        // without all of which a request is not refused
}

// Dump returns the parts under suspicion and in quarantine, at most limit, the most
// important first.
func (t *Table) Dump(now time.Duration, limit int) []PartState {
	t.expire(now)
	t.evaluate(now)
	var out []PartState
	for _, e := range t.byImportance() {
		if len(out) >= limit {
			break
		}
		if len(e.crashes) == 0 && !e.quarantined {
			continue
		}
		s := PartState{
			Part: e.part, Quarantined: e.quarantined, Held: e.suspect, Crashes: len(e.crashes),
			Events: e.crashes.events(), Trials: e.quarantine.trials, Rivals: e.rivals,
		}
		if len(e.crashes) > 0 {
			s.LastCrash = now - e.crashes.last()
		}
		if e.quarantined {
			s.NextTrial = e.quarantine.next - now
		}
		out = append(out, s)
	}
	return out
}
