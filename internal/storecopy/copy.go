package storecopy

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoilpath.org/trefoilpath/internal/store"
)

// ReturnGrace is how long a key that is missing after a store outage is kept
// before it counts as deleted. The lease of a live owner may have expired during
// the outage; the platform writes such keys again within about two seconds.
const ReturnGrace = 2300 * time.Millisecond

// Listing holds all keys under a prefix at one revision, or only the changes
// since an earlier revision.
type Listing struct {
	Revision uint64       `cbor:"1,keyasint"`           // of the store
	Pairs    []store.Pair `cbor:"2,keyasint"`           // sorted by key; changes: the deletions follow, oldest first
	After    uint64       `cbor:"3,keyasint,omitempty"` // only changes later than this revision; 0: all keys
	Digest   uint64       `cbor:"4,keyasint,omitempty"` // of the sender's full copy; set only if After is
}

// maxDeletions is the number of deletions that a copy records for its peers: more
// than a release or the loss of a failure domain causes between two fetches.
const maxDeletions = 512

// Version identifies the state of a cached copy, to compare it with a peer's.
type Version struct {
	Revision uint64 `cbor:"1,keyasint"` // store revision up to which the copy has all changes
	Digest   uint64 `cbor:"2,keyasint"` // hash of the keys and their versions
}

// Behind reports whether other includes changes that v lacks.
func (v Version) Behind(other Version) bool {
	return other.Revision > v.Revision && other.Digest != v.Digest
}

// Copy is a cached copy of the keys under one prefix. It is deterministic and not
// safe for concurrent use.
type Copy struct {
	pairs        map[string]store.Pair
	dropAt       map[string]time.Duration // for each missing key in its grace period, when it is dropped
	version      Version
	deleted      []store.Pair  // the latest deletions, oldest first
	deletedSince uint64        // deleted holds every deletion after this revision
	graceEnd     time.Duration // keys that go missing before this time get a grace period
	storeDown    bool          // the store does not answer
}

// NewCopy returns an empty copy.
func NewCopy() *Copy {
	return &Copy{pairs: make(map[string]store.Pair), dropAt: make(map[string]time.Duration)}
}

// Version returns the version of the copy, zero before the first listing.
func (c *Copy) Version() Version { return c.version }

// Listing returns all keys, also those in their grace period, sorted.
func (c *Copy) Listing() Listing {
	return c.listing(func(store.Pair) bool { return true })
}

// listing returns the pairs that match the filter wanted, sorted by key.
func (c *Copy) listing(wanted func(store.Pair) bool) Listing {
	l := Listing{Revision: c.version.Revision}
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
	return c.listing(func(p store.Pair) bool { return !c.inGrace(p.Key) })
}

// SharedAfter returns the changes of Shared after a revision, or the full listing
// if after is 0 or the recorded deletions do not cover that revision.
func (c *Copy) SharedAfter(after uint64) Listing {
	if after == 0 || after < c.deletedSince || after > c.version.Revision {
		return c.Shared()
	}
	l := c.listing(func(p store.Pair) bool { return p.Version > after && !c.inGrace(p.Key) })
	l.After, l.Digest = after, c.version.Digest
	for _, p := range c.deleted {
		if p.Version > after {
			l.Pairs = append(l.Pairs, p)
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
	if c.version.Revision < l.After {
		return false, false
	}
	changed = c.ApplyChanges(now, l.Pairs, l.Revision)
	return changed, c.version.Digest == l.Digest
}

// inGrace reports whether key is missing from the store but not dropped yet.
func (c *Copy) inGrace(key string) bool {
	_, kept := c.dropAt[key]
	return kept
}

// StoreLost records that the store does not answer.
func (c *Copy) StoreLost() { c.storeDown = true }

// StoreAnswered records a response of the store at the monotonic time now. The
// first one after an outage starts the grace period of missing keys.
func (c *Copy) StoreAnswered(now time.Duration) {
	if c.storeDown {
		c.storeDown = false
		c.graceEnd = now + ReturnGrace
	}
}

// ApplyListing updates the copy to a full listing from the store or a peer and
// reports whether the keys or their values changed. A listing older than the copy
// is ignored.
func (c *Copy) ApplyListing(now time.Duration, l Listing) bool {
	if l.Revision < c.version.Revision {
		return false
	}
	changed := false
	present := make(map[string]bool, len(l.Pairs))
	for _, p := range l.Pairs {
		present[p.Key] = true
		changed = c.put(p) || changed
	}
	for key := range c.pairs {
		if !present[key] {
			changed = c.remove(now, key, l.Revision) || changed
		}
	}
	if c.version.Revision == 0 {
		c.deletedSince = l.Revision
	}
	c.updateVersion(l.Revision)
	return changed
}

// ApplyChanges applies changes up to a revision, as a watch or a peer delivers
// them, and reports whether the keys or their values changed.
func (c *Copy) ApplyChanges(now time.Duration, pairs []store.Pair, revision uint64) bool {
	changed := false
	for _, p := range pairs {
		if p.Deleted {
			if held, ok := c.pairs[p.Key]; ok && held.Version < p.Version {
				changed = c.remove(now, p.Key, p.Version) || changed
			}
			continue
		}
		changed = c.put(p) || changed
	}
	c.updateVersion(revision)
	return changed
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

// put stores a pair unless the copy has the key at the same or a later version, and
// ends the grace period of the key. It reports whether the copy changed.
func (c *Copy) put(p store.Pair) bool {
	delete(c.dropAt, p.Key)
	if held, ok := c.pairs[p.Key]; ok && held.Version >= p.Version {
		return false
	}
	c.pairs[p.Key] = p
	return true
}

// remove drops a key that was deleted at a revision. During an outage of the store
// and shortly after it, the key gets a grace period instead.
func (c *Copy) remove(now time.Duration, key string, revision uint64) bool {
	if now < c.graceEnd || c.storeDown {
		if !c.inGrace(key) {
			c.dropAt[key] = c.graceEnd
			if c.storeDown {
				c.dropAt[key] = now + ReturnGrace
			}
		}
		return false
	}
	c.drop(key, revision)
	return true
}

// drop deletes a key and records the deletion for SharedAfter.
func (c *Copy) drop(key string, revision uint64) {
	delete(c.dropAt, key)
	delete(c.pairs, key)
	c.deleted = append(c.deleted, store.Pair{Key: key, Version: revision, Deleted: true})
	if n := len(c.deleted) - maxDeletions; n > 0 {
		c.deletedSince = max(c.deletedSince, c.deleted[n-1].Version)
		c.deleted = slices.Delete(c.deleted, 0, n)
	}
}

// updateVersion recomputes the version after a change. Keys in their grace period
// do not count, and the digest does not depend on the order of keys.
func (c *Copy) updateVersion(revision uint64) {
	var digest uint64
	var buf [8]byte
	for key, p := range c.pairs {
		if c.inGrace(key) {
			continue
		}
		h := xxhash.New()
		binary.LittleEndian.PutUint64(buf[:], p.Version)
		_, _ = h.WriteString(key) // a Digest never fails
		_, _ = h.Write(buf[:])
		digest += h.Sum64()
	}
	c.version = Version{Revision: max(revision, c.version.Revision), Digest: digest}
}
