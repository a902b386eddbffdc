package agent

import (
	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	// maxCacheEntries bounds the prefix hashes tracked of the engine's
	// cache.
	maxCacheEntries = 8192
	// keptCacheChanges is the number of changes to which the change log is
	// cut when it exceeds twice that. An entry that lags further behind gets
	// a reset.
	keptCacheChanges = 2048
	// maxDeltaHashes bounds the hashes in one CacheDelta.
	maxDeltaHashes = 48
)

// cacheChange is one change of the engine's prefix cache.
type cacheChange struct {
	hash    uint64
	removed bool
}

// cacheState is the core's view of the engine's prefix cache. It is only a
// hint: the engine's events arrive late and with gaps.
type cacheState struct {
	nextEvent     uint64            // expected sequence of the next cache event; 0 accepts any
	addPosition   map[uint64]uint64 // cached hash to the position of the change that added it
	changes       []cacheChange     // recent changes, oldest first
	firstPosition uint64            // position of changes[0]
}

func (s *cacheState) init() { s.addPosition = make(map[uint64]uint64) }

func (s *cacheState) endPosition() uint64 { return s.firstPosition + uint64(len(s.changes)) }

// uncachedTokens returns the prompt tokens that the engine has to prefill,
// at least 1.
func (s *cacheState) uncachedTokens(prefixes []uint64, prompt int64) int64 {
	var cached int64
	for _, h := range prefixes {
		if _, ok := s.addPosition[h]; !ok {
			break
		}
		cached += engine.PrefixBlockTokens
	}
	return max(prompt-cached, 1)
}

// ingestCache applies a cache event of the engine. After a gap in the
// sequence the view starts empty.
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
		if _, ok := s.addPosition[h]; ok {
			delete(s.addPosition, h)
			s.appendChange(cacheChange{hash: h, removed: true})
		}
	}
	for _, h := range ev.Add {
		if _, ok := s.addPosition[h]; !ok && len(s.addPosition) < maxCacheEntries {
			s.addPosition[h] = s.endPosition()
			s.appendChange(cacheChange{hash: h})
		}
	}
}

func (s *cacheState) appendChange(ch cacheChange) {
	s.changes = append(s.changes, ch)
	if len(s.changes) > 2*keptCacheChanges {
		s.firstPosition += uint64(len(s.changes) - keptCacheChanges)
		s.changes = append(s.changes[:0], s.changes[len(s.changes)-keptCacheChanges:]...)
	}
}

// resetCache empties the view of the cache and marks all entries for a
// reset.
func (c *Core) resetCache() {
	clear(c.cache.addPosition)
	c.cache.firstPosition = c.cache.endPosition()
	c.cache.changes = c.cache.changes[:0]
	c.cache.nextEvent = 0
	c.entries.Each(func(_ wire.NodeID, e *entryRow) bool {
		e.cacheReset = true
		return true
	})
}

// nextCacheDelta returns the next changes that an entry has not received, or
// nil. A reset starts from the last keptCacheChanges changes in the log.
func (c *Core) nextCacheDelta(e *entryRow) *wire.CacheDelta {
	s := &c.cache
	reset := e.cacheReset || e.cacheSent < s.firstPosition
	if reset {
		e.cacheSent = max(s.firstPosition, s.endPosition()-min(s.endPosition(), keptCacheChanges))
	}
	if !reset && e.cacheSent == s.endPosition() {
		return nil
	}
	e.cacheReset = false
	e.cacheSeq++
	delta := &wire.CacheDelta{Sequence: e.cacheSeq, Reset: reset}
	for e.cacheSent < s.endPosition() && len(delta.Add)+len(delta.Remove) < maxDeltaHashes {
		c.appendEffectiveChange(delta, s.changes[e.cacheSent-s.firstPosition], e.cacheSent)
		e.cacheSent++
	}
	return delta
}

// appendEffectiveChange adds a change to delta unless a later change in the
// log has undone it.
func (c *Core) appendEffectiveChange(delta *wire.CacheDelta, ch cacheChange, position uint64) {
	added, known := c.cache.addPosition[ch.hash]
	switch {
	case ch.removed && !known:
		delta.Remove = append(delta.Remove, ch.hash)
	case !ch.removed && known && added == position:
		delta.Add = append(delta.Add, ch.hash)
	}
}
