package storecopy

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoilpath.org/trefoilpath/internal/store"
)

// ReturnGrace is how long a key may stay away after the store has returned from
// an outage before it counts as deleted. Its owner's lease may have lapsed in the
// outage; the platform puts the keys of live owners back within about two seconds.
const ReturnGrace = 2300 * time.Millisecond

// Listing is the state of all keys under a prefix at one revision, or what has
// changed in it since an earlier one.
type Listing struct {
	Revision uint64       `cbor:"1,keyasint"`           // of the store
	Pairs    []store.Pair `cbor:"2,keyasint"`           // sorted by key
	After    uint64       `cbor:"3,keyasint,omitempty"` // only changes later than this revision; 0: all keys
	Digest   uint64       `cbor:"4,keyasint,omitempty"` // of the whole copy, if only changes are given
}

// deletionLog is how many deletions a copy remembers for others: more than a
// release or the loss of a failure domain makes between two fetches.
const deletionLog = 512

// Version orders copies of one prefix.
type Version struct {
	Revision uint64 `cbor:"1,keyasint"` // of the store, up to which all changes are in
	Digest   uint64 `cbor:"2,keyasint"` // of keys and their versions
}

// Behind reports whether other holds changes that v lacks.
func (v Version) Behind(other Version) bool {
	return other.Revision > v.Revision && other.Digest != v.Digest
}

// Copy is the state of one prefix. It is deterministic and not safe for
// concurrent use.
type Copy struct {
	pairs    map[string]store.Pair
	removals map[string]time.Duration // when a key that has gone missing is dropped
	version  Version
	deleted  []store.Pair  // the latest deletions, oldest first
	since    uint64        // revision from which on they are complete
	graceEnd time.Duration // until which missing keys are kept
	down     bool
}

// NewCopy returns an empty copy.
func NewCopy() *Copy {
	return &Copy{pairs: make(map[string]store.Pair), removals: make(map[string]time.Duration)}
}

// Version returns the version of the copy; zero before the first listing.
func (c *Copy) Version() Version { return c.version }

// Listing returns the keys, sorted.
func (c *Copy) Listing() Listing {
	return c.listing(func(store.Pair) bool { return true })
}

// listing returns the keys that are wanted, sorted.
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

// Shared returns the keys without those that are only kept for a while. It is what
// other processes are given: a key that the store no longer holds must not come
// back at them.
func (c *Copy) Shared() Listing {
	return c.listing(func(p store.Pair) bool { return !c.kept(p.Key) })
}

// SharedAfter returns what has changed in Shared since a revision, or all of it if
// the copy does not reach back so far.
func (c *Copy) SharedAfter(after uint64) Listing {
	if after == 0 || after < c.since || after > c.version.Revision {
		return c.Shared()
	}
	l := c.listing(func(p store.Pair) bool { return p.Version > after && !c.kept(p.Key) })
	l.After, l.Digest = after, c.version.Digest
	for _, p := range c.deleted {
		if p.Version > after {
			l.Pairs = append(l.Pairs, p)
		}
	}
	return l
}

// Take takes the listing of a peer and reports whether the keys or their values
// changed, and whether the copy is now that of the peer. If it isn't, all keys are
// needed.
func (c *Copy) Take(now time.Duration, l Listing) (changed, whole bool) {
	if l.After == 0 {
		return c.List(now, l), true
	}
	if c.version.Revision < l.After {
		return false, false
	}
	changed = c.Change(now, l.Pairs, l.Revision)
	return changed, c.version.Digest == l.Digest
}

func (c *Copy) kept(key string) bool {
	_, kept := c.removals[key]
	return kept
}

// Lost records that the store does not answer.
func (c *Copy) Lost() { c.down = true }

// Answered records an answer of the store.
func (c *Copy) Answered(now time.Duration) {
	if c.down {
		c.down = false
		c.graceEnd = now + ReturnGrace
	}
}

// List takes a listing, from the store or from a peer, and reports whether the
// keys or their values changed. A listing older than the copy is ignored.
func (c *Copy) List(now time.Duration, l Listing) bool {
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
		c.since = l.Revision
	}
	c.advance(l.Revision)
	return changed
}

// Change takes the changes of a watch up to a revision and reports whether the
// keys or their values changed.
func (c *Copy) Change(now time.Duration, pairs []store.Pair, revision uint64) bool {
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
	c.advance(revision)
	return changed
}

// Expire drops keys whose grace is over and reports whether there were any.
func (c *Copy) Expire(now time.Duration) bool {
	changed := false
	for key, at := range c.removals {
		if now >= at {
			c.drop(key, c.version.Revision)
			changed = true
		}
	}
	if changed {
		c.advance(c.version.Revision)
	}
	return changed
}

func (c *Copy) put(p store.Pair) bool {
	delete(c.removals, p.Key)
	if held, ok := c.pairs[p.Key]; ok && held.Version >= p.Version {
		return false
	}
	c.pairs[p.Key] = p
	return true
}

// remove drops a key that was deleted at a revision, or marks it if the store has
// just returned.
func (c *Copy) remove(now time.Duration, key string, revision uint64) bool {
	if now < c.graceEnd || c.down {
		if !c.kept(key) {
			c.removals[key] = c.graceEnd
			if c.down {
				c.removals[key] = now + ReturnGrace
			}
		}
		return false
	}
	c.drop(key, revision)
	return true
}

// drop deletes a key and remembers that for others.
func (c *Copy) drop(key string, revision uint64) {
	delete(c.removals, key)
	delete(c.pairs, key)
	c.deleted = append(c.deleted, store.Pair{Key: key, Version: revision, Deleted: true})
	if n := len(c.deleted) - deletionLog; n > 0 {
		c.since = max(c.since, c.deleted[n-1].Version)
		c.deleted = slices.Delete(c.deleted, 0, n)
	}
}

// advance sets the version. The digest does not depend on the order of keys.
func (c *Copy) advance(revision uint64) {
	var digest uint64
	var buf [8]byte
	for key, p := range c.pairs {
		if c.kept(key) {
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
