package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxChangedRows bounds the rows of a small message.
	maxChangedRows = 4
	// coincidenceTTL is how long other gateways are told again of a request that ran on a single
	// endpoint that has ended.
	coincidenceTTL = 2 * time.Second
	// maxAge bounds the ages and pauses that are read from rows.
	maxAge = 48 * time.Hour
	// maxTrials bounds the trials that are read from rows.
	maxTrials = 1 << 20
)

// Row is what a gateway knows of one part, or with part 0 of the ends of engines whatever
// ran there.
type Row struct {
	Part        uint64     `cbor:"1,keyasint,omitempty"`
	Crashes     []CrashRow `cbor:"2,keyasint,omitempty"`
	Cleared     bool       `cbor:"3,keyasint,omitempty"` // an answer was completed at the sender
	ClearedMS   int64      `cbor:"4,keyasint,omitempty"` // since the last such answer
	Quarantined bool       `cbor:"5,keyasint,omitempty"`
	SinceMS     int64      `cbor:"6,keyasint,omitempty"`  // since the crash that led to the quarantine
	Trials      int        `cbor:"7,keyasint,omitempty"`  // started so far
	NextMS      int64      `cbor:"8,keyasint,omitempty"`  // until the next trial
	AskedMS     int64      `cbor:"9,keyasint,omitempty"`  // since a request for the part last came
	BeganMS     []int64    `cbor:"10,keyasint,omitempty"` // of a whole request: since its run began, for each of Crashes
}

// CrashRow is the end of one life.
type CrashRow struct {
	_     struct{} `cbor:",toarray"`
	Life  uint64
	AgeMS int64
}

// Changed returns rows that have changed since they were last returned, for the next small
// message. What doesn't fit is returned by the next call.
func (t *Table) Changed(now time.Duration) []Row {
	t.expire(now)
	t.evaluate(now)
	var rows []Row
	if t.livesChanged {
		t.livesChanged = false
		rows = append(rows, t.livesRow(now))
	}
	n := min(len(t.changed), maxChangedRows-len(rows))
	for _, p := range t.changed[:n] {
		if e := t.parts.Get(p); e != nil {
			e.listed = false
			rows = append(rows, e.row(now))
		}
	}
	t.changed = slices.Delete(t.changed, 0, n)
	return rows
}

// Rows returns at most limit rows of what other gateways must know, the most important
// first. When there are more, half of the rows are the most important ones, and the other
// half rotates.
func (t *Table) Rows(now time.Duration, limit int) []Row {
	t.expire(now)
	t.evaluate(now)
	if limit <= 0 || t.parts.Len() == 0 && len(t.lives) == 0 {
		return nil
	}
	rows := []Row{t.livesRow(now)}
	all := slices.DeleteFunc(t.byImportance(), func(e *entry) bool { return e.coincidence(now) })
	fixed := limit - 1
	if len(all) > fixed {
		fixed /= 2
	}
	fixed = min(fixed, len(all))
	for _, e := range all[:fixed] {
		rows = append(rows, e.row(now))
	}
	rest := all[fixed:]
	for range min(len(rest), limit-len(rows)) {
		t.rotation++
		rows = append(rows, rest[t.rotation%len(rest)].row(now))
	}
	return rows
}

func (t *Table) byImportance() []*entry {
	var all []*entry
	for e := range t.parts.Values() {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.importance(), a.importance()), cmp.Compare(len(b.crashes), len(a.crashes)),
			cmp.Compare(b.changedAt, a.changedAt), cmp.Compare(a.part, b.part))
	})
	return all
}

// coincidence reports whether e is a request that ran on a single endpoint that has ended, some
// time ago. Many do, and other gateways were told of it when it was new.
func (e *entry) coincidence(now time.Duration) bool {
	return e.part.IsRequest() && !e.quarantined && len(e.crashes) < 2 && now > e.changedAt+coincidenceTTL
}

func (e *entry) importance() int {
	switch {
	case e.quarantined:
		return 2
	case e.suspect:
		return 1
	}
	return 0
}

func (e *entry) row(now time.Duration) Row {
	r := Row{Part: uint64(e.part), Crashes: crashRows(now, e.crashes)}
	for _, c := range e.crashes {
		if e.part.IsRequest() {
			r.BeganMS = append(r.BeganMS, age(now, max(c.began, now-maxAge)))
		}
	}
	if e.ownCleared != never {
		r.Cleared, r.ClearedMS = true, age(now, e.ownCleared)
	}
	if q := e.quarantine; e.quarantined {
		r.Quarantined, r.SinceMS, r.Trials = true, age(now, q.since), q.trials
		// Rounded up, so that being passed on doesn't move these times in the direction that wins.
		r.NextMS = (max(q.next-now, 0) + time.Millisecond - 1).Milliseconds()
		r.AskedMS = age(now+time.Millisecond-1, q.asked)
	}
	return r
}

// livesRow returns the row of the engines that ended last.
func (t *Table) livesRow(now time.Duration) Row {
	return Row{Crashes: crashRows(now, t.lives[max(0, len(t.lives)-maxCrashesPerPart):])}
}

func crashRows(now time.Duration, cs crashes) []CrashRow {
	var rows []CrashRow
	for _, c := range cs {
		rows = append(rows, CrashRow{Life: uint64(c.life), AgeMS: age(now, c.at)})
	}
	return rows
}

// Merge adds the rows of another gateway. As long as no more crashes of a part are known
// than are kept, and all rows agree when its quarantine began, the result doesn't depend on
// the order of the rows, or on how often they come.
func (t *Table) Merge(now time.Duration, rows []Row) {
	t.expire(now)
	for i := range rows {
		t.mergeRow(now, &rows[i])
	}
}

func (t *Table) mergeRow(now time.Duration, r *Row) {
	var e *entry
	if r.Part != 0 {
		e = t.entry(now, Part(r.Part))
		if r.Cleared {
			t.clear(now, e, timeAgo(now, r.ClearedMS))
		}
		t.mergeQuarantine(now, e, r)
	}
	for i, c := range r.Crashes[:min(len(r.Crashes), maxCrashesPerPart)] {
		sent := timeAgo(now, c.AgeMS)
		at := t.lifeEnded(crash{at: sent, life: Life(c.Life)}, false)
		if e == nil || now-sent >= crashRetention && !r.Quarantined {
			continue
		}
		if at <= e.clearedUntil() && e.ownCleared == e.cleared {
			t.list(e) // the sender hasn't heard of the completed answer
		}
		ended := crash{at: at, life: Life(c.Life)}
		if e.part.IsRequest() {
			ended.began = never // a run whose begin is unknown is independent of no other
			if i < len(r.BeganMS) {
				ended.began = timeAgo(now, r.BeganMS[i])
			}
		}
		t.addCrash(now, e, ended, false)
	}
}

// mergeQuarantine takes the earlier start, the higher number of trials with its next trial,
// and the later request. Of the times that others estimate for the same event, the earlier
// has been delayed less.
func (t *Table) mergeQuarantine(now time.Duration, e *entry, r *Row) {
	if !r.Quarantined {
		return
	}
	other := quarantine{
		since: timeAgo(now, r.SinceMS), trials: min(max(r.Trials, 0), maxTrials),
		next: now + milliseconds(r.NextMS), asked: timeAgo(now, r.AskedMS),
	}
	if other.since <= e.clearedUntil() || now-other.asked > quarantineRetention {
		return
	}
	q := &e.quarantine
	if !e.quarantined {
		e.quarantined, *q = true, other
		t.dirty = true
		t.report(EventQuarantined, e)
		return
	}
	if other.trials > q.trials || other.trials == q.trials && other.next < q.next {
		q.trials, q.next = other.trials, other.next
	}
	q.since, q.asked = min(q.since, other.since), max(q.asked, other.asked)
}

func timeAgo(now time.Duration, ms int64) time.Duration { return now - milliseconds(max(ms, 0)) }

// milliseconds converts ms of a row, bounded by maxAge.
func milliseconds(ms int64) time.Duration {
	limit := maxAge.Milliseconds()
	return time.Duration(min(max(ms, -limit), limit)) * time.Millisecond
}
