package gateway

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// probeInterval is the time between two reports of an engine. Each engine is
	// queried by one gateway, which sends the result to the others.
	probeInterval = time.Second
	// maxPaceAge is how long a report is used without a newer one.
	maxPaceAge = 3500 * time.Millisecond
	// maxNominalPace is the pace up to which an engine counts as running at its published
	// speed.
	maxNominalPace = 1.05
)

// PaceRow is the pace of an engine, from a report that the sender has received.
type PaceRow struct {
	Endpoint uint64  `cbor:"1,keyasint"` // hash of the endpoint's ID
	Pace     float32 `cbor:"2,keyasint"` // factor over the published times
}

// probe queries the engines that this gateway is responsible for, and drops reports
// that are too old.
func (c *Core) probe() {
	c.timers.Set(timerKey{kind: timerProbe}, c.now+probeInterval)
	for e := range c.endpoints.Values() {
		if e.reportedPace != 0 && c.now-e.reportedPaceAt > maxPaceAge {
			e.reportedPace, e.occupancyValid = 0, false
		}
		if e.engine != nil && !e.unregistered && e.inCell && c.isProber(e) {
			c.emit(Output{Probe: &Probe{Endpoint: e.registration.ID, Addr: e.registration.Addr}})
		}
	}
}

// isProber reports whether this gateway is the one that queries e. By rendezvous
// hashing, it is the live gateway whose hash combined with that of e is the largest.
func (c *Core) isProber(e *endpoint) bool {
	own := rendezvousHash(c.addrHash, e.idHash)
	for p := range c.peers.Values() {
		if p.live && p.inCell && !p.leaving && rendezvousHash(p.addrHash, e.idHash) > own {
			return false
		}
	}
	return true
}

// rendezvousHash combines two hashes into one.
func rendezvousHash(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}

// reportReceived applies an engine's report.
func (c *Core) reportReceived(in *EngineReport) {
	e := c.endpoints.Get(in.Endpoint)
	if e == nil || !in.OK {
		return // an engine that does not answer is detected by its failed requests
	}
	c.applyReportedPace(e, in.Slowdown)
}

func (c *Core) applyReportedPace(e *endpoint, pace float64) {
	pace = min(max(pace, 1), maxPace)
	if pace <= maxNominalPace {
		pace = 1
	}
	if (pace > 1) != (e.reportedPace > 1) {
		c.log(Event{Name: "engine-pace", Endpoint: string(e.registration.ID), Detail: "pace=" + formatPace(pace)})
		c.placementDue = true
	}
	e.reportedPace, e.reportedPaceAt, e.occupancyValid = pace, c.now, false
}

// paceRows returns the paces of the engines that this gateway queries.
func (c *Core) paceRows() []PaceRow {
	var out []PaceRow
	for e := range c.endpoints.Values() {
		if e.reportedPace > 0 && c.isProber(e) {
			out = append(out, PaceRow{Endpoint: e.idHash, Pace: float32(e.reportedPace)})
		}
	}
	return out
}

// applyPeerPaces applies the engine reports of another gateway.
func (c *Core) applyPeerPaces(rows []PaceRow) {
	for _, row := range rows {
		if e := c.endpointsByHash[row.Endpoint]; e != nil && row.Pace > 0 {
			c.applyReportedPace(e, float64(row.Pace))
		}
	}
}
