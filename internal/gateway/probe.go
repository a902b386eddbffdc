package gateway

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// probeInterval is the time between two reports of an engine. Each engine is
	// asked by one gateway, which tells the others.
	probeInterval = time.Second
	// paceAge is how long a report is believed without a newer one.
	paceAge = 3500 * time.Millisecond
	// paceNormal is the pace up to which an engine counts as being as published.
	paceNormal = 1.05
)

// PaceRow is the pace of an engine, as the sender has it from the engine's report.
type PaceRow struct {
	Endpoint uint64  `cbor:"1,keyasint"` // hash
	Pace     float32 `cbor:"2,keyasint"`
}

// probe asks the engines that this gateway is to ask for their reports, and
// forgets reports that are too old.
func (c *Core) probe() {
	c.timers.Set(timerKey{kind: timerProbe}, c.now+probeInterval)
	for e := range c.endpoints.Values() {
		if e.pace != 0 && c.now-e.paceAt > paceAge {
			e.pace, e.summed = 0, false
		}
		if e.engine != nil && !e.gone && e.near && c.probes(e) {
			c.emit(Output{Probe: &Probe{Endpoint: e.reg.ID, Addr: e.reg.Addr}})
		}
	}
}

// probes reports whether this gateway is the one that asks e: of those heard,
// the one whose hash together with that of e is the largest.
func (c *Core) probes(e *endpoint) bool {
	own := pairRank(c.rankHash, e.hash)
	for p := range c.peers.Values() {
		if p.known && p.near && !p.leaving && pairRank(p.rank, e.hash) > own {
			return false
		}
	}
	return true
}

func pairRank(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}

// reportTaken takes an engine's report.
func (c *Core) reportTaken(in *Report) {
	e := c.endpoints.Get(in.Endpoint)
	if e == nil || !in.OK {
		return // failures of requests tell of an engine that does not answer
	}
	c.setPace(e, in.Pace)
}

func (c *Core) setPace(e *endpoint, pace float64) {
	pace = min(max(pace, 1), paceMost)
	if pace <= paceNormal {
		pace = 1
	}
	if (pace > 1) != (e.pace > 1) {
		c.log(Event{Name: "engine-pace", Endpoint: string(e.reg.ID), Detail: "pace=" + formatPace(pace)})
		c.place = true
	}
	e.pace, e.paceAt, e.summed = pace, c.now, false
}

// paceRows returns the engines that are slow by a report that this gateway took.
func (c *Core) paceRows() []PaceRow {
	var out []PaceRow
	for e := range c.endpoints.Values() {
		if e.pace > 0 && c.probes(e) {
			out = append(out, PaceRow{Endpoint: e.hash, Pace: float32(e.pace)})
		}
	}
	return out
}

// peerPaces takes the reports of another gateway.
func (c *Core) peerPaces(rows []PaceRow) {
	for _, row := range rows {
		if e := c.byHash[row.Endpoint]; e != nil && row.Pace > 0 {
			c.setPace(e, float64(row.Pace))
		}
	}
}
