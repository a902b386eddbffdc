package agent

import (
	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	// maxCacheEntries bounds the prefix hashes known of the engine.
	maxCacheEntries = 8192
	// maxCacheLog bounds the changes kept for entries that have not heard them.
	maxCacheChanges = 2048
	// cacheDeltaHashes bounds the hashes in one CacheDelta.
	cacheDeltaHashes = 48
)

// cacheChange is one change of the engine's prefix cache.
type cacheChange struct {
	hash    uint64
	removed bool
}

// cacheState is what the core knows of the engine's prefix cache: a hint, as
// the engine's events come late and with gaps.
type cacheState struct {
	nextEvent     uint64 // expected sequence of the engine's events
	addedAt       map[uint64]uint64
	changes       []cacheChange
	firstPosition uint64 // position of log[0]
}

func (s *cacheState) init() { s.addedAt = make(map[uint64]uint64) }

func (s *cacheState) endPosition() uint64 { return s.firstPosition + uint64(len(s.changes)) }

// uncached returns the prompt tokens that the engine has yet to prefill.
func (s *cacheState) uncachedTokens(prefixes []uint64, prompt int64) int64 {
	var cached int64
	for _, h := range prefixes {
		if _, ok := s.addedAt[h]; !ok {
			break
		}
		cached += engine.PrefixBlockTokens
	}
	return max(prompt-cached, 1)
}

// ingestCache applies an event of the engine. After a gap nothing is known.
func (c *Core) ingestCache(ev *engine.Cache) {
	s := &c.cache
	if s.nextEvent != 0 && ev.Sequence < s.nextEvent {
		return
	}
	if s.nextEvent != 0 && ev.Sequence > s.nextEvent {
		c.resetCache()
	}
	s.nextEvent = ev.Sequence + 1
	for _, h := range ev.Remove {
		if _, ok := s.addedAt[h]; ok {
			delete(s.addedAt, h)
			s.appendChange(cacheChange{hash: h, removed: true})
		}
	}
	for _, h := range ev.Add {
		if _, ok := s.addedAt[h]; !ok && len(s.addedAt) < maxCacheEntries {
			s.addedAt[h] = s.endPosition()
			s.appendChange(cacheChange{hash: h})
		}
	}
}

func (s *cacheState) appendChange(ch cacheChange) {
	s.changes = append(s.changes, ch)
	if len(s.changes) > 2*maxCacheChanges {
		s.firstPosition += uint64(len(s.changes) - maxCacheChanges)
		s.changes = append(s.changes[:0], s.changes[len(s.changes)-maxCacheChanges:]...)
	}
}

// forgetCache drops what is known of the cache, here and at the entries.
func (c *Core) resetCache() {
	clear(c.cache.addedAt)
	c.cache.firstPosition = c.cache.endPosition()
	c.cache.changes = c.cache.changes[:0]
	c.cache.nextEvent = 0
	c.entries.Each(func(_ wire.NodeID, e *entryRow) bool {
		e.cacheReset = true
		return true
	})
}

// nextCacheDelta returns the next part of the changes that an entry has not
// heard, or nil. A reset starts from the changes still in the log.
func (c *Core) nextCacheDelta(e *entryRow) *wire.CacheDelta {
	s := &c.cache
	reset := e.cacheReset || e.cacheSent < s.firstPosition
	if reset {
		e.cacheSent = max(s.firstPosition, s.endPosition()-min(s.endPosition(), maxCacheChanges))
	}
	if !reset && e.cacheSent == s.endPosition() {
		return nil
	}
	e.cacheReset = false
	e.cacheSeq++
	delta := &wire.CacheDelta{Sequence: e.cacheSeq, Reset: reset}
	for e.cacheSent < s.endPosition() && len(delta.Add)+len(delta.Remove) < cacheDeltaHashes {
		c.appendEffectiveChange(delta, s.changes[e.cacheSent-s.firstPosition], e.cacheSent)
		e.cacheSent++
	}
	return delta
}

// addChange adds a change that later ones in the log have not undone.
func (c *Core) appendEffectiveChange(delta *wire.CacheDelta, ch cacheChange, position uint64) {
	added, known := c.cache.addedAt[ch.hash]
	switch {
	case ch.removed && !known:
		delta.Remove = append(delta.Remove, ch.hash)
	case !ch.removed && known && added == position:
		delta.Add = append(delta.Add, ch.hash)
	}
}
