package storecopy

import (
	"bytes"
	"time"

	"trefoilpath.org/trefoilpath/internal/store"
)

// When the store is restored from a backup, a new era begins: writes since the backup
// are lost, and their revisions are given out again. The copy then tells a value that
// was written again from one that the backup brought back:
//
//   - A value whose content is later than the known one is taken (Policy.Compare).
//   - A value whose content is earlier is stale. The known value, or the knowledge that
//     the key is deleted, is kept until the key is written in the new era, which shows
//     in a revision above that of the stale value.
//   - A key that is missing gets the grace period of an outage.
//
// Stale keys are part of the shared copy, so that a process that starts after the
// restore learns of them from its peers.

// staleConfirmation is how long a key that is known as deleted must be listed by the
// store, without an outage, until it counts as registered again: the lease of an owner
// that is gone ends within three heartbeats.
const staleConfirmation = 10 * time.Second

// Policy says how values of the keys are ordered if they come from different eras.
type Policy struct {
	// Compare returns a positive number if the value a was written after b, a negative
	// one if before, and 0 if the values do not tell. Nil means 0 for all values.
	Compare func(a, b []byte) int
	// ContentVersions is set if each value states its own version. A value of an earlier
	// era then gives way only to a later version, and no deletion takes effect.
	ContentVersions bool
}

func (p Policy) compare(a, b []byte) int {
	if p.Compare == nil || bytes.Equal(a, b) {
		return 0
	}
	return p.Compare(a, b)
}

// resurrects reports whether the first listing of an era may have brought back a key
// that was deleted in the era before: its revision is not later than the deletion, and
// its value not later than the last one.
func (p Policy) resurrects(d deletion, listed store.Pair) bool {
	return listed.Version <= d.revision && p.compare(listed.Value, d.value) <= 0
}

// staleValue is a value in the store that is known to be out of date.
type staleValue struct {
	version uint64 // 0: the store lacks the key
	value   []byte // if the key is deleted: the value before the deletion
	since   time.Duration
}

// StaleKey names a key whose value at a version of the store is out of date. If the
// listing that contains it has no pair of that key, the key is deleted.
type StaleKey struct {
	Key     string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// Stale returns the number of keys whose value in the store is out of date.
func (c *Copy) Stale() int { return len(c.stale) }

func (c *Copy) staleKeys() []StaleKey {
	var out []StaleKey
	for key, s := range c.stale {
		out = append(out, StaleKey{key, s.version})
	}
	return out
}

// beginEra prepares the copy for the first listing of a later era. It returns the keys
// that were deleted before, which that listing may bring back.
func (c *Copy) beginEra(now time.Duration, l Listing) map[string]deletion {
	gone := make(map[string]deletion)
	for _, d := range c.deleted {
		if _, held := c.pairs[d.key]; !held {
			gone[d.key] = d
		}
	}
	for key, s := range c.stale {
		if _, held := c.pairs[key]; !held {
			gone[key] = deletion{key: key, revision: c.version.Revision, value: s.value}
		}
	}
	for key, p := range c.pairs {
		p.Version = 0
		c.pairs[key] = p
	}
	clear(c.stale)
	clear(c.confirmed)
	clear(c.dropAt)
	c.deleted, c.deletedSince = nil, l.Revision
	if c.version.Revision > 0 {
		c.graceEnd, c.listed = max(c.graceEnd, now+ReturnGrace), false
	}
	c.version = Version{Era: l.Era}
	return gone
}

// outOfDate reports whether the copy must not take p, a later version of the key than
// the held pair. It records p as stale if so.
func (c *Copy) outOfDate(now time.Duration, held, p store.Pair) bool {
	s, stale := c.stale[p.Key]
	_, ok := c.pairs[p.Key]
	switch {
	case stale && !ok && p.Version <= s.version:
		if now-s.since >= staleConfirmation {
			c.confirmed[p.Key] = p.Version
			return false
		}
		return c.policy.compare(p.Value, s.value) <= 0
	case stale && p.Version <= s.version:
		return c.policy.compare(p.Value, held.Value) < 0
	case !ok || held.Version > 0:
		return false
	}
	if c.policy.compare(p.Value, held.Value) >= 0 {
		return false
	}
	writtenInThisEra := stale || c.inGrace(p.Key)
	if writtenInThisEra && !c.policy.ContentVersions {
		return false
	}
	c.stale[p.Key] = staleValue{version: p.Version, since: now}
	return true
}

// applyEarlierEra takes from a peer's listing of an earlier era what states a later
// version than the own value, and reports whether there was any.
func (c *Copy) applyEarlierEra(now time.Duration, l Listing) bool {
	if !c.policy.ContentVersions {
		return false
	}
	changed := false
	for _, p := range l.Pairs {
		changed = c.keepAgainstStore(now, p) || changed
	}
	if changed {
		c.updateVersion(c.version.Revision)
	}
	return changed
}

// keepAgainstStore stores a pair of an earlier era if its value is later than the held
// one, and reports whether it is.
func (c *Copy) keepAgainstStore(now time.Duration, p store.Pair) bool {
	held, ok := c.pairs[p.Key]
	if ok && c.policy.compare(p.Value, held.Value) <= 0 {
		return false
	}
	if _, stale := c.stale[p.Key]; !stale {
		c.stale[p.Key] = staleValue{version: held.Version, since: now}
	}
	p.Version = 0
	c.pairs[p.Key] = p
	delete(c.dropAt, p.Key)
	return true
}

// applyStale merges the stale keys of a peer's listing of the same era and reports
// whether the keys or their values changed.
func (c *Copy) applyStale(now time.Duration, l Listing) bool {
	if len(l.Stale) == 0 {
		return false
	}
	pairs := make(map[string]store.Pair)
	for _, p := range l.Pairs {
		if p.Version == 0 {
			pairs[p.Key] = p
		}
	}
	changed := false
	for _, s := range l.Stale {
		p, kept := pairs[s.Key]
		held, ok := c.pairs[s.Key]
		if own := c.stale[s.Key].version; held.Version > s.Version || own > s.Version || s.Version > 0 && c.confirmed[s.Key] >= s.Version {
			continue // the own copy has a later write
		}
		if kept {
			changed = c.keepAgainstStore(now, p) || changed
		} else if ok {
			c.drop(s.Key, s.Version)
			changed = true
		}
		if _, known := c.stale[s.Key]; !known {
			c.stale[s.Key] = staleValue{version: s.Version, value: held.Value, since: now}
		}
	}
	return changed
}

// forgetDeleted drops stale keys of deleted owners that the store no longer lists.
func (c *Copy) forgetDeleted(listed map[string]bool) {
	for key, s := range c.stale {
		if _, held := c.pairs[key]; !held && !listed[key] && s.version > 0 {
			delete(c.stale, key)
		}
	}
}

// restartConfirmation makes the confirmation of deleted keys that the store lists
// begin anew, since leases may not expire during an outage.
func (c *Copy) restartConfirmation(now time.Duration) {
	for key, s := range c.stale {
		s.since = now
		c.stale[key] = s
	}
}
