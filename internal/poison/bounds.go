package poison

import (
	"cmp"
	"slices"
	"time"
)

// expire removes what has become too old. It searches at most once per expireInterval.
func (t *Table) expire(now time.Duration) {
	if now < t.nextExpire {
		return
	}
	t.nextExpire = now + expireInterval
	limit := now - crashRetention
	for e := range t.parts.Values() {
		if e.quarantined {
			if now-e.quarantine.asked > quarantineRetention {
				t.report(EventExpired, e)
				t.remove(e)
			}
			continue
		}
		if kept := e.crashes.after(limit); len(kept) < len(e.crashes) {
			e.crashes = kept
			t.dirty = true
		}
		if len(e.crashes) == 0 && e.changedAt <= limit {
			t.remove(e)
		}
	}
	t.lives = t.lives.after(limit)
	t.parts.Compact()
}

// evict removes the parts with the fewest events, of those the ones whose evidence has
// changed least recently, and quarantined ones only after all others.
func (t *Table) evict() {
	all := make([]candidate, 0, t.parts.Len())
	free := 0
	for e := range t.parts.Values() {
		all = append(all, candidate{e: e, events: e.part.eventsOf(e.crashes)})
		if !e.quarantined {
			free++
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		if a.e.quarantined != b.e.quarantined {
			if b.e.quarantined {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.events, b.events), cmp.Compare(a.e.changedAt, b.e.changedAt), cmp.Compare(a.e.part, b.e.part))
	})
	for _, c := range all[:max(1, min(evictedAtOnce, free))] {
		t.remove(c.e)
	}
	t.parts.Compact()
}

func (t *Table) remove(e *entry) {
	if len(e.crashes) > 1 || e.quarantined {
		t.dirty = true
	}
	t.parts.Delete(e.part)
}

// age returns the time since at in whole milliseconds, for a row.
func age(now, at time.Duration) int64 { return max(0, (now - at).Milliseconds()) }
