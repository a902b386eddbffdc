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
	// minColdRate is the lowest rate, in requests a second, at which a cold endpoint is used.
	minColdRate = 0.2
)

// Limit is what an endpoint takes from all gateways together. The zero value is no limit.
type Limit struct {
	Rate     float64       // requests a second; 0: any number
	Lifetime time.Duration // how long a permit may be used; what lapses is lost
}

// NamedLimit returns the limit of an endpoint that names a rate in requests a second.
func NamedLimit(rate float64) Limit { return Limit{Rate: rate, Lifetime: permitLifetime} }

// ColdLimit returns the limit of a cold endpoint that tolerates rate requests a second and may
// get no more than rate*ratio+slack in any one second, whoever sends them.
//
// A keeper gives out at most r*w + max(1, r*burst) permits in a time w. The requests that arrive
// within a second used permits that were given out within coldWindow + coldPermitLifetime +
// coldTransit, by coldKeepers keepers. The largest r for which they stay within the bound
// together is the smaller of
//
//	(bound/coldKeepers - 1) / w  and  bound/coldKeepers / (w + burst).
//
// A bound below four requests leaves two keepers next to nothing besides their first permits; the
// rate is minColdRate then.
func ColdLimit(rate, ratio, slack float64) Limit {
	w := (coldWindow + coldPermitLifetime + coldTransit).Seconds()
	share := (rate*ratio + slack) / coldKeepers
	r := min((share-1)/w, share/(w+burst.Seconds()))
	return Limit{Rate: min(rate, max(r, minColdRate)), Lifetime: coldPermitLifetime}
}

// Lower returns the limit that keeps both, of which either may be none.
func (l Limit) Lower(other Limit) Limit {
	switch {
	case l.Rate == 0:
		return other
	case other.Rate == 0:
		return l
	}
	return Limit{Rate: min(l.Rate, other.Rate), Lifetime: min(l.Lifetime, other.Lifetime)}
}
