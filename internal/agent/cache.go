package agent

import (
	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	// maxCacheEntries bounds the prefix hashes known of the engine.
	maxCacheEntries = 8192
	// maxCacheLog bounds the changes kept for entries that have not heard them.
	maxCacheLog = 2048
	// cacheDeltaHashes bounds the hashes in one CacheDelta.
	cacheDeltaHashes = 48
)

// cacheChange is one change of the engine's prefix cache.
type cacheChange struct {
	hash   uint64
	remove bool
}

// cacheState is what the core knows of the engine's prefix cache: a hint, as
// the engine's events come late and with gaps.
type cacheState struct {
	next   uint64 // expected sequence of the engine's events
	known  map[uint64]uint64
	log    []cacheChange
	offset uint64 // position of log[0]
}

func (s *cacheState) init() { s.known = make(map[uint64]uint64) }

func (s *cacheState) end() uint64 { return s.offset + uint64(len(s.log)) }

// uncached returns the prompt tokens that the engine has yet to prefill.
func (s *cacheState) uncached(prefixes []uint64, prompt int64) int64 {
	var cached int64
	for _, h := range prefixes {
		if _, ok := s.known[h]; !ok {
			break
		}
		cached += engine.PrefixBlockTokens
	}
	return max(prompt-cached, 1)
}

// ingestCache applies an event of the engine. After a gap nothing is known.
func (c *Core) ingestCache(ev *engine.Cache) {
	s := &c.cache
	if s.next != 0 && ev.Sequence < s.next {
		return
	}
	if s.next != 0 && ev.Sequence > s.next {
		c.forgetCache()
	}
	s.next = ev.Sequence + 1
	for _, h := range ev.Remove {
		if _, ok := s.known[h]; ok {
			delete(s.known, h)
			s.append(cacheChange{hash: h, remove: true})
		}
	}
	for _, h := range ev.Add {
		if _, ok := s.known[h]; !ok && len(s.known) < maxCacheEntries {
			s.known[h] = s.end()
			s.append(cacheChange{hash: h})
		}
	}
}

func (s *cacheState) append(ch cacheChange) {
	s.log = append(s.log, ch)
	if len(s.log) > 2*maxCacheLog {
		s.offset += uint64(len(s.log) - maxCacheLog)
		s.log = append(s.log[:0], s.log[len(s.log)-maxCacheLog:]...)
	}
}

// forgetCache drops what is known of the cache, here and at the entries.
func (c *Core) forgetCache() {
	clear(c.cache.known)
	c.cache.offset = c.cache.end()
	c.cache.log = c.cache.log[:0]
	c.cache.next = 0
	c.entries.Each(func(_ wire.NodeID, e *entryRow) bool {
		e.cacheReset = true
		return true
	})
}

// nextCacheDelta returns the next part of the changes that an entry has not
// heard, or nil. A reset starts from the changes still in the log.
func (c *Core) nextCacheDelta(e *entryRow) *wire.CacheDelta {
	s := &c.cache
	reset := e.cacheReset || e.cacheSent < s.offset
	if reset {
		e.cacheSent = max(s.offset, s.end()-min(s.end(), maxCacheLog))
	}
	if !reset && e.cacheSent == s.end() {
		return nil
	}
	e.cacheReset = false
	e.cacheSeq++
	delta := &wire.CacheDelta{Sequence: e.cacheSeq, Reset: reset}
	for e.cacheSent < s.end() && len(delta.Add)+len(delta.Remove) < cacheDeltaHashes {
		c.addChange(delta, s.log[e.cacheSent-s.offset], e.cacheSent)
		e.cacheSent++
	}
	return delta
}

// addChange adds a change that later ones in the log have not undone.
func (c *Core) addChange(delta *wire.CacheDelta, ch cacheChange, position uint64) {
	added, known := c.cache.known[ch.hash]
	switch {
	case ch.remove && !known:
		delta.Remove = append(delta.Remove, ch.hash)
	case !ch.remove && known && added == position:
		delta.Add = append(delta.Add, ch.hash)
	}
}
