package gateway

import (
	"slices"
	"time"
)

// maxNoHelpPerMessage keeps a message within one datagram. What is left out is learned from
// further failures.
const maxNoHelpPerMessage = 32

// noHelpRetention is how long after its ejection an engine that refused to help is only taken to
// help if others don't suffice.
const noHelpRetention = maxEjection

// NoHelpRow is an engine that has refused to help with the prompt of another one. While the store
// is down, only refusals tell which engines are draining, and each costs a retry of the fleet.
type NoHelpRow struct {
	Endpoint uint64 `cbor:"1,keyasint"` // hash of its ID
	Failures int    `cbor:"2,keyasint"` // refusals in a row, at all gateways
	LeftMS   int64  `cbor:"3,keyasint"` // until it is asked again
}

// ejectHelper ejects an engine that could not help.
func (c *Core) ejectHelper(e *endpoint) {
	c.eject(e, "could not help", ejectionTime(e.health.helpFailures))
	e.health.helpFailures++
}

// helpRefused ejects an engine that refused to help, here and at the other gateways of the cell.
func (c *Core) helpRefused(e *endpoint) {
	c.ejectHelper(e)
	e.health.mayRefuseUntil = e.health.ejectedUntil + noHelpRetention
	if c.Gateways() > 1 && !slices.Contains(c.outbox.noHelp, e) {
		c.outbox.noHelp = append(c.outbox.noHelp, e)
		c.outbox.schedule(c)
	}
}

// mayRefuseHelp reports whether the endpoint has refused to help lately and not helped since.
func (h *health) mayRefuseHelp(now time.Duration) bool {
	return h.helpFailures > 0 && now < h.mayRefuseUntil
}

// takeNoHelp returns the engines for the next message.
func (o *peerOutbox) takeNoHelp(now time.Duration) []NoHelpRow {
	var rows []NoHelpRow
	for _, e := range o.noHelp[:min(len(o.noHelp), maxNoHelpPerMessage)] {
		rows = append(rows, NoHelpRow{Endpoint: e.idHash, Failures: e.health.helpFailures, LeftMS: (e.health.ejectedUntil - now).Milliseconds()})
	}
	o.noHelp = o.noHelp[:0]
	return rows
}

// mergeNoHelp ejects engines that have refused to help another gateway, unless that would take
// half of the service out of use.
func (c *Core) mergeNoHelp(rows []NoHelpRow) {
	if c.without(mechanismHelpSharing) {
		return
	}
	for _, row := range rows {
		e := c.endpointsByHash[row.Endpoint]
		left := min(milliseconds(row.LeftMS), maxEjection)
		if e == nil || left <= 0 || !c.canEject(c.service(e.registration.Service)) {
			continue
		}
		e.health.helpFailures = max(e.health.helpFailures, min(row.Failures, maxEjectionDoublings))
		e.health.mayRefuseUntil = c.now + left + noHelpRetention
		c.eject(e, "could not help another gateway", left)
	}
}
