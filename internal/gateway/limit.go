package gateway

import (
	"slices"
	"strconv"
	"time"

	"trefoilpath.org/trefoilpath/internal/endpointlimit"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	// maxLimitRows bounds the rows of limits in a message.
	maxLimitRows = 20
	// endedLimitTTL is how long other gateways are told that an endpoint names no limit any more.
	endedLimitTTL = 10 * time.Second
	// limitTransit is how much later than it was sent a message of another gateway may be
	// handled at the latest, for the order of what gateways have heard from an endpoint.
	limitTransit = 100 * time.Millisecond
	// maxLimit is the greatest limit, in requests a second, that is taken from other gateways.
	maxLimit = 1e6
	// limitRecheck is the time without an answer of a limited endpoint after which a request
	// goes there although others have room: only its answers tell that the limit has ended.
	limitRecheck = 500 * time.Millisecond
)

// An endpoint in need names in its answers how many requests a second it takes from all gateways
// together, as long as that holds. Gateways tell each other, and send it only requests for which
// they hold a permit (permits.go).

// EndpointLimit is what an endpoint says in an answer about the rate of requests that it
// accepts.
type EndpointLimit struct {
	Endpoint wire.EndpointID
	Addr     string        // where the answer came from
	Limit    float64       // requests a second from all gateways together; 0: it names none
	Sent     time.Duration // when the request was sent, on this gateway's clock
}

// LimitRow is what an instance has said last about its limit.
type LimitRow struct {
	Endpoint   uint64  `cbor:"1,keyasint"`           // hash of the endpoint's ID
	Born       int64   `cbor:"2,keyasint,omitempty"` // of the instance
	Limit      float64 `cbor:"3,keyasint,omitempty"` // requests a second; 0: none
	SentMS     int64   `cbor:"4,keyasint,omitempty"` // since the request was sent
	ReceivedMS int64   `cbor:"5,keyasint,omitempty"` // since the answer was received
}

// limited reports whether requests to e's instance need permits: it names a limit or is cold.
func (e *endpoint) limited() bool { return e.announced.permits != nil }

// limitStated applies what an endpoint says about its limit.
func (c *Core) limitStated(in *EndpointLimit) {
	e := c.endpoints.Get(in.Endpoint)
	if e == nil || e.registration.Addr != in.Addr {
		return // the instance that answered has been replaced
	}
	c.addLimit(e, endpointlimit.Statement{Limit: in.Limit, Sent: in.Sent, Received: c.now}, "answer")
}

// mergeLimits applies what other gateways have heard from endpoints.
func (c *Core) mergeLimits(rows []LimitRow) {
	for i := range rows {
		row := &rows[i]
		if e := c.instanceByHash(row.Endpoint, row.Born); e != nil && row.Limit >= 0 && row.Limit <= maxLimit {
			c.addLimit(e, endpointlimit.Statement{
				Limit: row.Limit, Sent: c.now - milliseconds(row.SentMS) - limitTransit, Received: c.now - milliseconds(row.ReceivedMS),
			}, "gateway")
		}
	}
}

// instanceByHash returns the registered instance with an ID of the given hash and a start time,
// or nil.
func (c *Core) instanceByHash(idHash uint64, born int64) *endpoint {
	if e := c.endpointsByHash[idHash]; e != nil && e.registration.Born == born {
		return e
	}
	return nil
}

// addLimit takes a statement of an endpoint into account.
func (c *Core) addLimit(e *endpoint, s endpointlimit.Statement, source string) {
	a := e.announced
	if !a.limit.Add(s) {
		return
	}
	limit := a.limit.Limit()
	a.limitChangedAt = c.now
	c.updatePermits(e)
	c.outbox.changedLimits = append(c.outbox.changedLimits, e)
	c.outbox.batchDue = true
	c.outbox.otherCellSends = max(c.outbox.otherCellSends, otherCellFanout)
	c.log(Event{Name: "endpoint-limit", Endpoint: string(e.registration.ID), Detail: "limit=" + formatLimit(limit) + " source=" + source})
}

// updatePermits puts the lower of the limit that e names and that of a cold endpoint in force.
func (c *Core) updatePermits(e *endpoint) {
	a := e.announced
	limit := endpointlimit.Limit{}
	if rate := a.limit.Limit(); rate > 0 {
		limit = endpointlimit.NamedLimit(rate)
	}
	limit = limit.Lower(c.coldLimit(e))
	switch {
	case limit.Rate == 0:
		a.permits = nil
		c.timers.Stop(timerKey{kind: timerPermits, endpoint: e.registration.ID})
	case a.permits == nil:
		a.permits = &permits{limit: limit}
	case a.permits.limit != limit:
		a.permits.limitChanged(c.now, limit)
	default:
		return
	}
	c.limitsKnown, c.placementDue = true, true
}

// formatLimit formats a limit in requests a second.
func formatLimit(limit float64) string {
	if limit == 0 {
		return "none"
	}
	return strconv.FormatFloat(limit, 'g', 4, 64)
}

// limitRow returns what e has said last about its limit.
func (c *Core) limitRow(e *endpoint) LimitRow {
	s := e.announced.limit.Latest()
	return LimitRow{
		Endpoint: e.idHash, Born: e.registration.Born, Limit: s.Limit,
		SentMS: max(c.now-s.Sent, 0).Milliseconds(), ReceivedMS: max(c.now-s.Received, 0).Milliseconds(),
	}
}

// limitRows returns rows of all endpoints that name a limit or have ended one lately.
func (c *Core) limitRows() []LimitRow {
	if !c.limitsKnown {
		return nil
	}
	var rows []LimitRow
	for e := range c.endpoints.Values() {
		if e.announced.limit.Limit() > 0 || e.announced.limitChangedAt > 0 && c.now < e.announced.limitChangedAt+endedLimitTTL {
			rows = append(rows, c.limitRow(e))
		}
	}
	return rows
}

// sendLimits sends the limits that have changed to the gateways of the cell, and with a full
// message all that are known.
func (c *Core) sendLimits(full bool) {
	var rows []LimitRow
	if full {
		rows = c.limitRows()
	} else {
		for _, e := range c.outbox.changedLimits {
			rows = append(rows, c.limitRow(e))
		}
	}
	c.outbox.changedLimits = c.outbox.changedLimits[:0]
	for chunk := range slices.Chunk(rows, maxLimitRows) {
		m := c.message()
		m.Limits = chunk
		c.sendToCell(m, full)
	}
	c.sendCold(full)
}

// recheckDue reports whether a request is to be sent to a limited endpoint to learn whether it
// still names its limit. Coldness ends by time.
func (c *Core) recheckDue(e *endpoint) bool {
	return e.announced.limit.Limit() > 0 && c.now >= max(e.announced.limit.Latest().Received, e.announced.permits.usedAt)+limitRecheck
}

// milliseconds converts the age or time in a message. It is bounded, so that no sum overflows.
func milliseconds(ms int64) time.Duration {
	const limit = int64(24 * time.Hour / time.Millisecond)
	return time.Duration(min(max(ms, -limit), limit)) * time.Millisecond
}
