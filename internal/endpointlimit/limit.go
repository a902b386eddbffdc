package endpointlimit

import "time"

const (
	// permitLifetime is how long a permit may be used.
	permitLifetime = time.Second
	// coldPermitLifetime is the same for a cold endpoint, whose requests are bounded in any one
	// second.
	coldPermitLifetime = 100 * time.Millisecond
	// coldTransit bounds the times on the way of a grant and of the request that uses it, both
	// together.
	coldTransit = 100 * time.Millisecond
	// coldWindow is the time in which the requests to a cold endpoint are bounded.
	coldWindow = time.Second
	// coldKeepers is the number of keepers that may give out permits of one endpoint at the same
	// time: the gateways on the two sides of a partition have one each, and the one that follows a
	// keeper begins before all others have heard of it.
	coldKeepers = 2
	// coldShareRatio is the part of the bound that gateways may send without permits.
	coldShareRatio = 0.125
	// minColdRate is the lowest rate, in requests a second, at which a cold endpoint is used.
	minColdRate = 0.2
)

// ShareInterval is the time in which a share may be used once, so that no two of its requests
// arrive within the second in which those to a cold endpoint are bounded.
const ShareInterval = coldWindow + coldTransit

// Limit is what an endpoint takes from all gateways together. The zero value is no limit.
type Limit struct {
	Rate     float64       // requests a second; 0: any number
	Lifetime time.Duration // how long a permit may be used; what lapses is lost
	// Shares is the number of requests in any ShareInterval that gateways may send without a
	// permit, all together. The gateways that have one agree on it without messages.
	Shares int
}

// NamedLimit returns the limit of an endpoint that names a rate in requests a second.
func NamedLimit(rate float64) Limit { return Limit{Rate: rate, Lifetime: permitLifetime} }

// ColdLimit returns the limit of a cold endpoint that tolerates rate requests a second and may
// get no more than rate*ratio+slack in any one second, whoever sends them.
//
// The two sides of a partition may each take other gateways for those that have the Shares. What
// coldKeepers times the Shares leave of the bound is for permits. A keeper gives out at most
// r*w + max(1, r*burst) permits in a time w. The requests that arrive within a second used permits
// that were given out within coldWindow + coldPermitLifetime + coldTransit, by coldKeepers keepers.
// The largest r for which they stay within the bound together is, with p = rest/coldKeepers, the
// smaller of
//
//	(p - 1) / w  and  p / (w + burst).
//
// A bound of a few requests leaves two keepers next to nothing besides their first permits; the
// rate is minColdRate then.
func ColdLimit(rate, ratio, slack float64) Limit {
	bound := rate*ratio + slack
	shares := int(bound * coldShareRatio)
	w := (coldWindow + coldPermitLifetime + coldTransit).Seconds()
	p := bound/coldKeepers - float64(shares)
	r := min((p-1)/w, p/(w+burst.Seconds()))
	return Limit{Rate: min(rate, max(r, minColdRate)), Lifetime: coldPermitLifetime, Shares: shares}
}

// Lower returns the limit that keeps both, of which either may be none. There are no shares of it:
// a named limit holds for all requests.
func (l Limit) Lower(other Limit) Limit {
	switch {
	case l.Rate == 0:
		return other
	case other.Rate == 0:
		return l
	}
	return Limit{Rate: min(l.Rate, other.Rate), Lifetime: min(l.Lifetime, other.Lifetime)}
}
