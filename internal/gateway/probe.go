package gateway

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// probeInterval is the time between two reports of an engine that may be slow, and
	// calmProbeInterval that of one whose first events come as predicted. Each engine is
	// queried by one gateway, which sends the result to the others.
	probeInterval     = time.Second
	calmProbeInterval = 4 * time.Second
	// suspectDuration is how long an engine is queried every probeInterval after an attempt
	// there was late or failed.
	suspectDuration = 3 * time.Second
	// lateFirstEventRatio times the predicted time, plus onTimeTolerance, is how late a
	// first event may be without its engines being suspected to be slow. Waits for a pass
	// vary by less.
	lateFirstEventRatio = 1.5
	// maxPaceAge is how long a report is used without a newer one.
	maxPaceAge = 3500 * time.Millisecond
	// maxNominalPace is the pace up to which an engine counts as running at its published
	// speed.
	maxNominalPace = 1.05
)

// PaceRow is the pace of an engine, from a report that the sender has received.
type PaceRow struct {
	Endpoint uint64  `cbor:"1,keyasint"`           // hash of the endpoint's ID
	Pace     float32 `cbor:"2,keyasint"`           // factor over the published times
	AgeMS    int64   `cbor:"3,keyasint,omitempty"` // of the report
}

// probe queries the engines that this gateway is responsible for, and drops reports
// that are too old.
func (c *Core) probe() {
	c.timers.Set(timerKey{kind: timerProbe}, c.now+probeInterval)
	for e := range c.endpoints.Values() {
		if e.reportedPace != 0 && c.now-e.reportedPaceAt > maxPaceAge {
			e.reportedPace, e.occupancyValid = 0, false
		}
		if e.engine != nil && !e.unregistered && e.inCell && c.probeDue(e) && c.isProber(e) {
			c.sendProbe(e)
		}
	}
}

// probeDue reports whether the engine is to be queried again.
func (c *Core) probeDue(e *endpoint) bool {
	suspected := e.reportedPaceAt == 0 || e.reportedPace > 1 || c.now < e.suspectUntil
	return suspected || c.now-e.probedAt >= calmProbeInterval
}

// sendProbe queries an engine for its report, unless it is out of use, has asked this gateway to
// wait or names a limit.
func (c *Core) sendProbe(e *endpoint) {
	if c.without(mechanismProbes) || e.outOfUse || c.now < e.announced.backoffUntil || e.announced.limit.Limit() > 0 {
		return
	}
	e.probedAt = c.now
	c.emit(Output{Probe: &Probe{Endpoint: e.registration.ID, Addr: e.registration.Addr}})
}

// suspect queries the engines of an attempt that was late or failed, unless a report of
// the last probeInterval is known, and has them queried more often for a while. Any
// gateway does so, since the one that usually queries an engine may have no work there.
func (c *Core) suspect(w *workItem) {
	for _, e := range w.endpoints {
		if e.engine == nil || e.unregistered {
			continue
		}
		e.suspectUntil = c.now + suspectDuration
		if c.now-max(e.probedAt, e.reportedPaceAt) >= probeInterval {
			c.sendProbe(e)
		}
	}
}

// checkFirstEvent suspects the engines of r's attempt to be slow if its first event has
// come much later than predicted.
func (c *Core) checkFirstEvent(r *request) {
	predicted := r.predictedFirstAt - r.work.dispatchedAt
	if c.now-r.work.dispatchedAt > time.Duration(lateFirstEventRatio*float64(predicted))+onTimeTolerance {
		c.suspect(r.work)
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
	e.ownReportAt = c.now
	c.applyReportedPace(e, in.Slowdown, c.now)
}

// applyReportedPace applies a report of an engine's pace that was received at a time here
// or at another gateway, unless a later one is known.
func (c *Core) applyReportedPace(e *endpoint, pace float64, at time.Duration) {
	if e.reportedPaceAt > at {
		return
	}
	pace = min(max(pace, 1), maxPace)
	if pace <= maxNominalPace {
		pace = 1
	}
	if (pace > 1) != (e.reportedPace > 1) {
		c.log(Event{Name: "engine-pace", Endpoint: string(e.registration.ID), Detail: "pace=" + formatPace(pace)})
		c.placementDue = true
	}
	e.reportedPace, e.reportedPaceAt, e.occupancyValid = pace, at, false
}

// paceRows returns the paces of the engines from which this gateway has a report.
func (c *Core) paceRows() []PaceRow {
	var out []PaceRow
	for e := range c.endpoints.Values() {
		if e.reportedPace > 0 && e.ownReportAt > 0 && c.now-e.ownReportAt <= maxPaceAge {
			out = append(out, PaceRow{Endpoint: e.idHash, Pace: float32(e.reportedPace), AgeMS: (c.now - e.reportedPaceAt).Milliseconds()})
		}
	}
	return out
}

// applyPeerPaces applies the engine reports of another gateway.
func (c *Core) applyPeerPaces(rows []PaceRow) {
	for _, row := range rows {
		if e := c.endpointsByHash[row.Endpoint]; e != nil && row.Pace > 0 {
			c.applyReportedPace(e, float64(row.Pace), c.now-time.Duration(row.AgeMS)*time.Millisecond)
		}
	}
}
