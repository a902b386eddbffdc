// Package endpointlimit keeps the request rates that endpoints in need ask for, summed over
// all gateways. A Belief is what a gateway knows of the limit of one endpoint; a Keeper gives
// out permits to send requests there. The package has no clock and no I/O.
package endpointlimit

import "time"

// Statement is what an endpoint has said of its limit in one answer.
type Statement struct {
	Limit    float64       // requests a second from all gateways together; 0: it named none
	Sent     time.Duration // when the request was sent; the endpoint spoke no earlier
	Received time.Duration // when the answer was received; the endpoint spoke no later
}

// Belief is the limit of one life of an endpoint by the statements seen so far. The zero value
// is that of an endpoint that has said nothing.
type Belief struct {
	latest Statement
	known  bool // latest has been made
}

// Limit returns the limit in requests a second; 0: none.
func (b *Belief) Limit() float64 { return b.latest.Limit }

// Latest returns the statement that the belief rests on.
func (b *Belief) Latest() Statement { return b.latest }

// Add takes a statement into account and reports whether the limit has changed. Answers
// overtake each other, so a statement replaces another only if its request was sent after the
// other was received. Of two whose order can't be told, the lower limit holds.
func (b *Belief) Add(s Statement) bool {
	before := b.latest.Limit
	switch {
	case !b.known:
		b.latest, b.known = s, true
	case s.Received <= b.latest.Sent:
		return false
	case s.Sent >= b.latest.Received:
		b.latest = s
	case s.Limit != 0 && (before == 0 || s.Limit < before):
		b.latest = Statement{
			Limit: s.Limit, Sent: max(s.Sent, b.latest.Sent), Received: max(s.Received, b.latest.Received),
		}
	}
	return b.latest.Limit != before
}
