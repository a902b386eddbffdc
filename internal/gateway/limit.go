package gateway

import (
	"strconv"
	"time"

	"trefoilpath.org/trefoilpath/internal/endpointlimit"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// EndpointLimit is what an endpoint says in an answer about the rate of requests that it
// accepts.
type EndpointLimit struct {
	Endpoint wire.EndpointID
	Addr     string        // where the answer came from
	Limit    float64       // requests a second from all gateways together; 0: it names none
	Sent     time.Duration // when the request was sent, on this gateway's clock
}

// limitStated applies what an endpoint says about its limit.
func (c *Core) limitStated(in *EndpointLimit) {
	e := c.endpoints.Get(in.Endpoint)
	if e == nil || e.registration.Addr != in.Addr {
		return // the instance that answered has been replaced
	}
	if e.announced.limit.Add(endpointlimit.Statement{Limit: in.Limit, Sent: in.Sent, Received: c.now}) {
		c.logLimit(e.announced, "answer")
	}
}

// logLimit logs a limit that has changed.
func (c *Core) logLimit(a *announcement, source string) {
	c.log(Event{Name: "endpoint-limit", Endpoint: string(a.instance.id), Detail: "limit=" + formatLimit(a.limit.Limit()) + " source=" + source})
}

// formatLimit formats a limit in requests a second.
func formatLimit(limit float64) string {
	if limit == 0 {
		return "none"
	}
	return strconv.FormatFloat(limit, 'g', 4, 64)
}
