package endpointlimit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// burst is the time for which unused permits accumulate, which is at least one permit.
	burst = 100 * time.Millisecond
	// DemandTTL is how long a demand that isn't repeated counts.
	DemandTTL = 150 * time.Millisecond
	// maxWait bounds the waits that a keeper tells.
	maxWait = time.Hour
	// Never is the time of an event that doesn't come by itself.
	Never = time.Duration(math.MaxInt64)
)

// Demand is how many permits a gateway wants.
type Demand struct {
	Gateway uint64        // hash of its address
	Count   int           // permits
	Due     time.Duration // when the most urgent of its requests is due
}

// Grant gives permits to a gateway, each for one request.
type Grant struct {
	Gateway uint64
	Count   int
}

// Keeper gives out the permits of one endpoint to all gateways, at most as many a second as its
// limit, the most urgent demand first. It is not safe for concurrent use.
type Keeper struct {
	rate    float64 // permits a second
	permits float64 // that may be given out now
	at      time.Duration
	demands []demand
}

type demand struct {
	Demand
	at time.Duration // when it was made
}

// NewKeeper returns a keeper without permits, since another one may have given out those of the
// time before.
func NewKeeper(now time.Duration, limit float64) *Keeper {
	return &Keeper{rate: limit, at: now}
}

// SetLimit changes the limit, in requests a second.
func (k *Keeper) SetLimit(now time.Duration, limit float64) {
	k.refill(now)
	k.rate = limit
	k.permits = min(k.permits, k.maxPermits())
}

// Demand replaces the demand of a gateway.
func (k *Keeper) Demand(now time.Duration, d Demand) {
	k.demands = slices.DeleteFunc(k.demands, func(x demand) bool { return x.Gateway == d.Gateway })
	if d.Count > 0 {
		k.demands = append(k.demands, demand{d, now})
	}
}

// Grant returns the permits that are given out now.
func (k *Keeper) Grant(now time.Duration) []Grant {
	k.refill(now)
	k.demands = slices.DeleteFunc(k.demands, func(x demand) bool { return now-x.at > DemandTTL })
	slices.SortStableFunc(k.demands, func(a, b demand) int { return cmp.Compare(a.Due, b.Due) })
	var grants []Grant
	for len(k.demands) > 0 && k.permits >= 1 {
		d := &k.demands[0]
		n := min(d.Count, int(k.permits))
		grants = append(grants, Grant{d.Gateway, n})
		k.permits -= float64(n)
		if d.Count -= n; d.Count == 0 {
			k.demands = k.demands[1:]
		}
	}
	return grants
}

// Wait returns how long a gateway waits for its next permit if no more urgent demand comes.
func (k *Keeper) Wait(gateway uint64) time.Duration {
	before := 0
	for _, d := range k.demands {
		if d.Gateway == gateway {
			break
		}
		before += d.Count
	}
	return k.until(float64(before + 1))
}

// Next returns when the next permit may be given out; Never if nobody wants one.
func (k *Keeper) Next() time.Duration {
	if len(k.demands) == 0 {
		return Never
	}
	return k.at + k.until(1)
}

// until returns the time from the last refill until there are n permits.
func (k *Keeper) until(n float64) time.Duration {
	return time.Duration(min(math.Ceil(max(n-k.permits, 0)/k.rate*float64(time.Second)), float64(maxWait)))
}

func (k *Keeper) refill(now time.Duration) {
	k.permits = min(k.permits+k.rate*(now-k.at).Seconds(), k.maxPermits())
	k.at = now
}

func (k *Keeper) maxPermits() float64 { return max(1, k.rate*burst.Seconds()) }
