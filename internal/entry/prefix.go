package entry

import "trefoilpath.org/trefoilpath/internal/wire"

// prefixSet holds the hashes of the prompt blocks that an endpoint has cached
// according to its cache events. It is a hint: events come late and with gaps.
type prefixSet struct {
	cached      map[uint64]struct{}
	order       []uint64 // in order of arrival; entries before start are evicted
	start       int
	sequence    uint64 // of the last delta
	hasSequence bool   // a delta has been applied since the last reset, so that sequence is set
}

// apply applies one delta. A gap before it empties the set first.
func (p *prefixSet) apply(d *wire.CacheDelta, limit int) {
	gap := p.hasSequence && d.Sequence != p.sequence+1
	if d.Reset || gap || p.cached == nil {
		p.cached = make(map[uint64]struct{})
		p.order = p.order[:0]
		p.start = 0
	}
	p.hasSequence = true
	p.sequence = d.Sequence
	for _, h := range d.Remove {
		delete(p.cached, h)
	}
	for _, h := range d.Add {
		p.add(h, limit)
	}
}

// add adds a hash and evicts the oldest ones beyond limit.
func (p *prefixSet) add(h uint64, limit int) {
	if p.cached == nil {
		p.cached = make(map[uint64]struct{})
	}
	if _, ok := p.cached[h]; ok {
		return
	}
	p.cached[h] = struct{}{}
	p.order = append(p.order, h)
	for len(p.cached) > limit || len(p.order)-p.start > 2*limit {
		delete(p.cached, p.order[p.start])
		p.start++
	}
	if p.start > limit {
		p.order = append(p.order[:0], p.order[p.start:]...)
		p.start = 0
	}
}

// match returns how many leading blocks are cached.
func (p *prefixSet) match(blocks []uint64) int64 {
	for i, h := range blocks {
		if _, ok := p.cached[h]; !ok {
			return int64(i)
		}
	}
	return int64(len(blocks))
}

// reset empties the set and accepts any sequence next.
func (p *prefixSet) reset() { *p = prefixSet{} }
