package storecopy

import "trefoilpath.org/trefoilpath/internal/store"

const (
	// MaxCopyBytes bounds the keys and values of a copy, with pairOverhead for each. A large fleet's
	// configuration, or its registrations, take 1.2 MB.
	MaxCopyBytes = 8 << 20
	// MaxSpareBytes bounds those pairs of a copy that are not needed (store.Spare). It has room for the
	// registrations of some hundred endpoints.
	MaxSpareBytes = 128 << 10
	// pairOverhead is about the size in bytes of a pair without its key and value.
	pairOverhead = 100
	// maxPages bounds the pages of a listing, which hold about 500 keys or 1 MB each. Most of them may
	// be of other writers: 2 million keys, or 4 GB.
	maxPages = 4096
)

// pairsSize returns the size in bytes of pairs.
func pairsSize(pairs []store.Pair) int64 {
	var n int64
	for _, p := range pairs {
		n += pairSize(p)
	}
	return n
}

func pairSize(p store.Pair) int64 { return int64(len(p.Key) + len(p.Value) + pairOverhead) }

// hasRoom reports whether the copy stays within MaxCopyBytes with more pairs, even if all of them
// have keys that it lacks.
func (s *Syncer) hasRoom(pairs []store.Pair) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copy.size()+pairsSize(pairs) <= MaxCopyBytes
}

// size returns the size in bytes of the keys and values of the copy.
func (c *Copy) size() int64 {
	var n int64
	for key, p := range c.pairs {
		n += int64(len(key) + len(p.Value) + pairOverhead)
	}
	return n
}
