package enginemodel

import (
	"container/list"

	"trefoilpath.org/trefoilpath/internal/engine"
)

// prefixCache is a bounded set of prompt block hashes with least recently used
// eviction. It records which hashes were added or removed since the last event.
type prefixCache struct {
	capacity int // blocks
	index    map[uint64]*list.Element
	recent   *list.List      // of uint64; most recently used first
	changed  []uint64        // hashes not yet reported, in order of their first change
	pending  map[uint64]bool // the hashes in changed
}

func newPrefixCache(blocks int64) *prefixCache {
	return &prefixCache{
		capacity: int(blocks),
		index:    make(map[uint64]*list.Element),
		recent:   list.New(),
		pending:  make(map[uint64]bool),
	}
}

// lookup returns how many leading blocks are in the cache.
func (c *prefixCache) lookup(prefixes []uint64) int64 {
	for i, h := range prefixes {
		if _, ok := c.index[h]; !ok {
			return int64(i)
		}
	}
	return int64(len(prefixes))
}

// insert adds the blocks of a prompt. The first blocks become the most recently
// used, so that eviction shortens a prefix from its end.
func (c *prefixCache) insert(prefixes []uint64) {
	prefixes = prefixes[:min(len(prefixes), c.capacity)]
	for i := len(prefixes) - 1; i >= 0; i-- {
		c.touch(prefixes[i])
	}
	for c.recent.Len() > c.capacity {
		last := c.recent.Back()
		h := c.recent.Remove(last).(uint64)
		delete(c.index, h)
		c.markChanged(h)
	}
}

func (c *prefixCache) touch(h uint64) {
	if e, ok := c.index[h]; ok {
		c.recent.MoveToFront(e)
		return
	}
	c.index[h] = c.recent.PushFront(h)
	c.markChanged(h)
}

func (c *prefixCache) markChanged(h uint64) {
	if c.pending[h] {
		return
	}
	c.pending[h] = true
	c.changed = append(c.changed, h)
}

func (c *prefixCache) clear() {
	for e := c.recent.Front(); e != nil; e = e.Next() {
		c.markChanged(e.Value.(uint64))
	}
	c.recent.Init()
	clear(c.index)
}

// takeChanges removes up to n changes and returns them as one event.
func (c *prefixCache) takeChanges(n int) engine.Cache {
	var ev engine.Cache
	n = min(n, len(c.changed))
	for _, h := range c.changed[:n] {
		delete(c.pending, h)
		if _, ok := c.index[h]; ok {
			ev.Add = append(ev.Add, h)
		} else {
			ev.Remove = append(ev.Remove, h)
		}
	}
	c.changed = c.changed[n:]
	if len(c.changed) == 0 {
		c.changed = nil
	}
	return ev
}

// cachePrompt adds the complete blocks of a prefilled prompt to the prefix cache.
func (m *Model) cachePrompt(s *sequence) {
	blocks := min(s.prompt/m.cfg.BlockTokens, int64(len(s.submit.Prefixes)))
	m.cache.insert(s.submit.Prefixes[:blocks])
	m.scheduleFlush()
}

func (m *Model) scheduleFlush() {
	if m.flushQueued || len(m.cache.changed) == 0 {
		return
	}
	m.flushQueued = true
	m.schedule(timer{at: m.now + m.cfg.CacheLag, flush: true})
}

// flushCache emits the pending changes, except for events lost under CacheLoss.
func (m *Model) flushCache() {
	m.flushQueued = false
	for len(m.cache.changed) > 0 {
		ev := m.cache.takeChanges(m.cfg.CacheBatch)
		m.cacheSeq++
		ev.Sequence = m.cacheSeq
		if m.cfg.CacheLoss > 0 && m.rng.Float64() < m.cfg.CacheLoss {
			continue
		}
		m.emit(engine.Event{Cache: &ev})
	}
}
