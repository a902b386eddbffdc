package storecopy

import "trefoilpath.org/trefoilpath/internal/store"

// collection gathers the pairs of a whole listing. Those that are not needed are left out once they
// exceed MaxSpareBytes.
type collection struct {
	pairs []store.Pair
	size  int64 // bytes of pairs
	spare int64 // bytes of all that are not needed, also of those left out
}

// add adds the pairs of a page, without the keys that have no use.
func (c *collection) add(page []store.Pair) {
	for _, p := range page {
		if p.Deleted {
			continue
		}
		n := pairSize(p)
		if p.Spare {
			if c.spare <= MaxSpareBytes && c.spare+n > MaxSpareBytes {
				c.dropSpare()
			}
			if c.spare += n; c.spare > MaxSpareBytes {
				continue
			}
		}
		c.pairs = append(c.pairs, p)
		c.size += n
	}
}

func (c *collection) dropSpare() {
	kept := c.pairs[:0]
	for _, p := range c.pairs {
		if p.Spare {
			c.size -= pairSize(p)
			continue
		}
		kept = append(kept, p)
	}
	clear(c.pairs[len(kept):])
	c.pairs = kept
}

// boundSpare returns changes, in which the pairs that are not needed count as deleted if the copy has no
// room for them. After a listing without room, changes leave them out until there is room again, so that
// all processes hold the same keys.
func (s *Syncer) boundSpare(changes []store.Pair) []store.Pair {
	var size int64
	for _, p := range changes {
		if p.Spare {
			size += pairSize(p)
		}
	}
	if size == 0 || s.spareBytes.Add(size) <= MaxSpareBytes {
		return changes
	}
	bounded := make([]store.Pair, len(changes))
	for i, p := range changes {
		if p.Spare {
			p = store.Pair{Key: p.Key, Version: p.Version, Deleted: true}
		}
		bounded[i] = p
	}
	return bounded
}

// LacksSpare reports whether pairs that were not needed have been left out. If they are needed now,
// Reconcile reads them again.
func (s *Syncer) LacksSpare() bool { return s.spareBytes.Load() > MaxSpareBytes }

// selectPairs returns the pairs of a peer's listing, or of its changes, as they are held. A peer of an
// earlier build also sends those without a use.
func (s *Syncer) selectPairs(l Listing) []store.Pair {
	op := store.Op{Keep: s.cfg.Keep}
	selected := make([]store.Pair, len(l.Pairs))
	for i, p := range l.Pairs {
		selected[i] = op.Select(p)
	}
	if l.After != 0 {
		return s.boundSpare(selected)
	}
	var listed collection
	listed.add(selected)
	s.spareBytes.Store(listed.spare)
	return listed.pairs
}
