package storecopy

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoilpath.org/trefoilpath/internal/store"
)

// ReturnGrace is how long a key that is missing after a store outage, or in a later
// era of the store, is kept before it counts as deleted. The lease of a live owner may
// have expired meanwhile; the platform writes such keys again within about two seconds.
const ReturnGrace = 2300 * time.Millisecond

// DeletionGrace bounds the grace period of a key that was still in the store after the outage. Its
// lease may expire because its owner could not renew it in time, but mostly its owner has left,
// and the shortest time within which its endpoint must get no more requests is two seconds. The
// rest is for the delivery of the deletion and for expireInterval.
const DeletionGrace = 1700 * time.Millisecond

// Listing holds all keys under a prefix at one revision, or only the changes
// since an earlier revision.
type Listing struct {
	Revision uint64       `cbor:"1,keyasint"`           // of the store
	Pairs    []store.Pair `cbor:"2,keyasint"`           // sorted by key; changes: the deletions follow, oldest first
	After    uint64       `cbor:"3,keyasint,omitempty"` // only changes later than this revision; 0: all keys
	Digest   uint64       `cbor:"4,keyasint,omitempty"` // of the sender's full copy; set only if After is
	Era      uint64       `cbor:"5,keyasint,omitempty"` // of the store; see Version
	Stale    []StaleKey   `cbor:"6,keyasint,omitempty"` // keys whose value in the store is out of date; only from a peer
}

// maxDeletions is the number of deletions that a copy records for its peers: more
// than a release or the loss of a failure domain causes between two fetches.
const maxDeletions = 512

// Version identifies the state of a cached copy, to compare it with a peer's. A
// revision is comparable only within one era: the store starts a new era when it is
// restored from a backup, and gives out again the revisions since that backup.
type Version struct {
	Revision uint64 `cbor:"1,keyasint"`           // store revision up to which the copy has all changes
	Digest   uint64 `cbor:"2,keyasint"`           // hash of the keys and their versions, except the stale ones
	Era      uint64 `cbor:"3,keyasint,omitempty"` // of the store; 0: unknown, as in messages of earlier builds
	Stale    uint64 `cbor:"4,keyasint,omitempty"` // hash of the stale keys; 0: none
}

// Behind reports whether other includes changes that v lacks.
func (v Version) Behind(other Version) bool {
	if v.Revision == 0 && v.Era <= other.Era { // no copy yet: also one without keys is ahead
		return other.Revision > 0
	}
	if other.Era != v.Era {
		return other.Era > v.Era
	}
	if other.Stale != 0 && other.Stale != v.Stale {
		return true
	}
	return other.Revision > v.Revision && other.Digest != v.Digest
}

// Copy is a cached copy of the keys under one prefix. It is deterministic and not
// safe for concurrent use.
type Copy struct {
	policy       Policy
	pairs        map[string]store.Pair    // a pair of an earlier era has version 0
	dropAt       map[string]time.Duration // for each missing key in its grace period, when it is dropped
	version      Version
	deleted      []deletion    // the latest deletions, oldest first
	deletedSince uint64        // deleted holds every deletion after this revision
	graceEnd     time.Duration // keys that go missing before this time get a grace period
	storeDown    bool          // the store does not answer
	listed       bool          // a listing has been applied since the grace period of an outage began
	stale        map[string]staleValue
	confirmed    map[string]uint64 // keys once stale that turned out to be current, with their version
	// earlierSince holds, for each key whose latest writes had earlier content than its value, when
	// the first of them was applied.
	earlierSince map[string]time.Duration
}

// deletion is a key that was deleted at a revision of the current era.
type deletion struct {
	key      string
	revision uint64
	value    []byte // before the deletion
}

// NewCopy returns an empty copy.
func NewCopy(policy Policy) *Copy {
	return &Copy{
		policy: policy, pairs: make(map[string]store.Pair), dropAt: make(map[string]time.Duration),
		stale: make(map[string]staleValue), confirmed: make(map[string]uint64),
		earlierSince: make(map[string]time.Duration),
	}
}

// Version returns the version of the copy, zero before the first listing.
func (c *Copy) Version() Version { return c.version }

// Listing returns all keys, also those in their grace period, sorted.
func (c *Copy) Listing() Listing {
	return c.listing(func(store.Pair) bool { return true })
}

// listing returns the pairs that match the filter wanted, sorted by key.
func (c *Copy) listing(wanted func(store.Pair) bool) Listing {
	l := Listing{Revision: c.version.Revision, Era: c.version.Era}
	for _, p := range c.pairs {
		if wanted(p) {
			l.Pairs = append(l.Pairs, p)
		}
	}
	slices.SortFunc(l.Pairs, func(a, b store.Pair) int { return strings.Compare(a.Key, b.Key) })
	return l
}

// Shared returns the keys for other processes: those in their grace period are
// left out, so that a key deleted from the store does not reappear at a peer.
func (c *Copy) Shared() Listing {
	l := c.listing(func(p store.Pair) bool { return !c.inGrace(p.Key) })
	l.Stale = c.staleKeys()
	return l
}

// SharedSince returns the changes of Shared since a peer's version, or the full
// listing if the peer has no copy or one of another era, or if the recorded deletions
// do not cover its revision.
func (c *Copy) SharedSince(v Version) Listing {
	if v.Revision == 0 || v.Era != c.version.Era || v.Revision < c.deletedSince || v.Revision > c.version.Revision {
		return c.Shared()
	}
	l := c.listing(func(p store.Pair) bool {
		_, stale := c.stale[p.Key]
		return (p.Version > v.Revision || stale) && !c.inGrace(p.Key)
	})
	l.After, l.Digest, l.Stale = v.Revision, c.version.Digest, c.staleKeys()
	for _, d := range c.deleted {
		if d.revision > v.Revision {
			l.Pairs = append(l.Pairs, store.Pair{Key: d.key, Version: d.revision, Deleted: true})
		}
	}
	return l
}

// ApplyPeer merges the listing of a peer. It reports whether the keys or their
// values changed, and whether the copy now matches the peer's; if it does not,
// the caller must fetch the full listing.
func (c *Copy) ApplyPeer(now time.Duration, l Listing) (changed, equal bool) {
	if l.After == 0 {
		return c.ApplyListing(now, l), true
	}
	if l.Era != c.version.Era || c.version.Revision < l.After {
		return false, false
	}
	changed = c.applyStale(now, l)
	for _, p := range l.Pairs {
		// The peer has waited for its grace period, so that the key gets no second one.
		if held, ok := c.pairs[p.Key]; p.Deleted && ok && held.Version < p.Version && !c.policy.ContentVersions {
			delete(c.stale, p.Key)
			c.drop(p.Key, p.Version)
			changed = true
		}
	}
	changed = c.ApplyChanges(now, l.Pairs, l.Revision) || changed
	return changed, c.version.Digest == l.Digest
}

// inGrace reports whether key is missing from the store but not dropped yet.
func (c *Copy) inGrace(key string) bool {
	_, kept := c.dropAt[key]
	return kept
}

// InGrace returns the number of keys that are missing from the store but not dropped yet.
func (c *Copy) InGrace() int { return len(c.dropAt) }

// StoreLost records that the store does not answer.
func (c *Copy) StoreLost() { c.storeDown = true }

// StoreAnswered records a response of the store at the monotonic time now. The
// first one after an outage starts the grace period of missing keys.
func (c *Copy) StoreAnswered(now time.Duration) {
	if c.storeDown {
		c.storeDown = false
		c.graceEnd, c.listed = now+ReturnGrace, false
		c.restartConfirmation(now)
	}
}

// ApplyListing updates the copy to a full listing from the store or a peer and
// reports whether the keys or their values changed. Of a listing of an earlier era it
// takes only values that are later than the own ones by their content. An older
// listing of the same era is ignored.
func (c *Copy) ApplyListing(now time.Duration, l Listing) bool {
	if l.Era < c.version.Era {
		return c.applyEarlierEra(now, l)
	}
	var gone map[string]deletion
	changed := false
	if l.Era > c.version.Era {
		gone = c.beginEra(now, l)
		changed = true
	} else if l.Revision < c.version.Revision {
		return false
	}
	changed = c.applyStale(now, l) || changed
	present := make(map[string]bool, len(l.Pairs))
	for _, p := range l.Pairs {
		present[p.Key] = true
		if d, ok := gone[p.Key]; ok && c.policy.resurrects(d, p) {
			c.stale[p.Key] = staleValue{version: p.Version, value: d.value, since: now}
			continue
		}
		changed = c.put(now, p) || changed
	}
	for key := range c.pairs {
		if !present[key] {
			changed = c.remove(now, key, l.Revision) || changed
		}
	}
	c.listed = true
	if len(l.Stale) == 0 {
		c.forgetDeleted(present)
	}
	if c.version.Revision == 0 {
		c.deletedSince = l.Revision
	}
	c.updateVersion(l.Revision)
	return changed
}

// ApplyFirst updates a copy that has not been listed to the first pages of a listing, up to the key last,
// and reports whether the keys or their values changed. The version stays zero.
func (c *Copy) ApplyFirst(pairs []store.Pair, last string) bool {
	if c.version.Revision != 0 {
		return false
	}
	changed := false
	listed := make(map[string]bool, len(pairs))
	for _, p := range pairs {
		listed[p.Key] = true
		if held, ok := c.pairs[p.Key]; !ok || held.Version != p.Version {
			c.pairs[p.Key] = p
			changed = true
		}
	}
	for key := range c.pairs { // an earlier listing that failed may have brought more
		if key <= last && !listed[key] {
			delete(c.pairs, key)
			changed = true
		}
	}
	return changed
}

// ApplyChanges applies changes up to a revision of the current era, as a watch or a
// peer delivers them, and reports whether the keys or their values changed. They may be older
// than the copy: a listing, or another answer, may have overtaken them.
func (c *Copy) ApplyChanges(now time.Duration, pairs []store.Pair, revision uint64) bool {
	changed := false
	for _, p := range pairs {
		switch {
		case p.Deleted:
			changed = c.applyDeletion(now, p) || changed
		case !c.deletedAfter(p):
			changed = c.put(now, p) || changed
		}
	}
	c.updateVersion(revision)
	return changed
}

// deletedAfter reports whether the copy has all changes up to that of p, but not its key, so that
// a later one has deleted it.
func (c *Copy) deletedAfter(p store.Pair) bool {
	_, held := c.pairs[p.Key]
	return p.Version <= c.version.Revision && (!held || c.inGrace(p.Key))
}

// applyDeletion applies the deletion of a key.
func (c *Copy) applyDeletion(now time.Duration, p store.Pair) bool {
	held, ok := c.pairs[p.Key]
	if s, stale := c.stale[p.Key]; stale && !ok && s.version < p.Version {
		delete(c.stale, p.Key)
	}
	return ok && held.Version < p.Version && c.remove(now, p.Key, p.Version)
}

// Expire drops keys whose grace period is over and reports whether there were any.
func (c *Copy) Expire(now time.Duration) bool {
	changed := false
	for key, at := range c.dropAt {
		if now >= at {
			c.drop(key, c.version.Revision)
			changed = true
		}
	}
	if changed {
		c.updateVersion(c.version.Revision)
	}
	return changed
}

// put stores a pair unless the copy has the key at the same or a later version or
// knows the pair to be out of date. A pair that was written late gets the value of the one that
// it replaces. put ends the grace period of the key and reports whether the copy changed.
func (c *Copy) put(now time.Duration, p store.Pair) bool {
	held, ok := c.pairs[p.Key]
	if ok && held.Version >= p.Version {
		if held.Version > 0 {
			delete(c.dropAt, p.Key)
		}
		return false
	}
	if c.outOfDate(now, held, p) {
		delete(c.dropAt, p.Key)
		return false
	}
	delete(c.dropAt, p.Key)
	delete(c.stale, p.Key)
	if c.writtenLate(now, held, p) {
		p.Value = held.Value
	}
	c.pairs[p.Key] = p
	return true
}

// lateWriteTime is how long a key may have only writes of earlier content until these count. The
// store may carry out a write seconds after later ones, but a live owner goes on writing.
const lateWriteTime = 10 * time.Second

// Late returns the number of keys whose latest write had earlier content than an earlier one.
func (c *Copy) Late() int { return len(c.earlierSince) }

// writtenLate reports whether p, a later version than the held pair, has earlier content, which the
// store has only now written.
func (c *Copy) writtenLate(now time.Duration, held, p store.Pair) bool {
	if held.Version == 0 || c.policy.ContentVersions || c.policy.compare(p.Value, held.Value) >= 0 {
		delete(c.earlierSince, p.Key)
		return false
	}
	since, ok := c.earlierSince[p.Key]
	if !ok {
		c.earlierSince[p.Key], since = now, now
	}
	return now-since < lateWriteTime
}

// remove drops a key that was deleted at a revision. During an outage of the store
// and shortly after it, the key gets a grace period instead.
func (c *Copy) remove(now time.Duration, key string, revision uint64) bool {
	if c.policy.ContentVersions {
		if _, known := c.stale[key]; !known {
			c.stale[key] = staleValue{since: now}
		}
		return false
	}
	delete(c.stale, key)
	if now < c.graceEnd || c.storeDown {
		if !c.inGrace(key) {
			c.dropAt[key] = c.graceOver(now)
		}
		return false
	}
	c.drop(key, revision)
	return true
}

// graceOver returns when a key that goes missing now, during or shortly after an outage, is dropped.
func (c *Copy) graceOver(now time.Duration) time.Duration {
	switch {
	case c.storeDown:
		return now + ReturnGrace
	case c.listed:
		return min(c.graceEnd, now+DeletionGrace)
	}
	return c.graceEnd
}

// drop deletes a key and records the deletion for SharedSince and for the next era.
func (c *Copy) drop(key string, revision uint64) {
	c.deleted = append(c.deleted, deletion{key: key, revision: revision, value: c.pairs[key].Value})
	delete(c.dropAt, key)
	delete(c.pairs, key)
	delete(c.earlierSince, key)
	if n := len(c.deleted) - maxDeletions; n > 0 {
		c.deletedSince = max(c.deletedSince, c.deleted[n-1].revision)
		c.deleted = slices.Delete(c.deleted, 0, n)
	}
}

// updateVersion recomputes the version after a change. Keys in their grace period
// do not count, and the digests do not depend on the order of keys.
func (c *Copy) updateVersion(revision uint64) {
	v := Version{Revision: max(revision, c.version.Revision), Era: c.version.Era}
	for key, p := range c.pairs {
		if _, stale := c.stale[key]; !stale && !c.inGrace(key) {
			v.Digest += hashKey(key, p.Version, nil)
		}
	}
	for key, s := range c.stale {
		v.Stale += cmp.Or(hashKey(key, s.version, c.pairs[key].Value), 1)
	}
	c.version = v
}

// hashKey returns a hash of a key with a version and a value.
func hashKey(key string, version uint64, value []byte) uint64 {
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], version)
	h := xxhash.New()
	_, _ = h.WriteString(key) // a Digest never fails
	_, _ = h.Write(buf[:])
	_, _ = h.Write(value)
	return h.Sum64()
}
