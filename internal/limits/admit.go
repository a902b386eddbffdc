package limits

import (
	"math"
	"slices"
	"time"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/invariant"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Code identifies the limit that refused a request.
type Code uint8

// The limits that can refuse a request.
const (
	RequestRate Code = 1 // requests per second
	TokenRate   Code = 2 // tokens per second
	Concurrency Code = 3
)

// Decision is the result of Admit.
type Decision struct {
	OK   bool
	Code Code
	// RetryAfter estimates how long until the same request would be admitted.
	RetryAfter time.Duration
	// Pending is set if this entry has no grant yet and has requested one. The
	// reply usually takes one round trip: the caller may wait and call Admit
	// again.
	Pending bool
}

// retryDelay is RetryAfter where no rate predicts it (no grant yet, concurrency
// exhausted), and the pause between attempts to obtain more.
const retryDelay = 20 * time.Millisecond

// Factors of the demand that an entry reports to a home.
const (
	demandHeadroom = 1.25 // times the rate offered
	demandDecay    = 0.7  // of the previous demand, per period
)

// milli converts requests per second to the thousandths that messages carry.
const milli = 1000

// maxDemand bounds the requested rates, in requests or tokens per second.
const maxDemand = 1e12

// requestsPerPeriod bounds the requests to one home in a period, except those
// for an account's first grant.
const requestsPerPeriod = 4

// maxRefusedDemand bounds the concurrency that refusals add to the demand of an
// account with none in use: a caller that retries is counted each time.
const maxRefusedDemand = 4

// maxRetryAfter bounds RetryAfter.
const maxRetryAfter = 30 * time.Second

// allowance is the part of one account's limits that an entry may use.
type allowance struct {
	requests    float64 // per second
	tokens      float64 // per second
	concurrency int64
	expires     time.Duration
}

// account is one client account that this entry serves.
type account struct {
	id           wire.AccountID
	limits       declaration.Limits
	home         wire.NodeID
	homePeer     *peer // nil: this entry is the home
	grant        allowance
	hasGrant     bool               // a grant has been received
	grantedBy    *peer              // its grantsUntil is the end of the grant; nil: grant.expires
	sentDemand   wire.AccountDemand // last demand sent to the home
	sentSequence uint64             // Sequence of that request; 0: none
	withdrawn    bool               // unused: removed once the home has recorded the withdrawal

	inUse              int64
	peak               int64 // highest inUse in this period, plus refused requests up to inUse+maxRefusedDemand
	refusedConcurrency int64 // requests refused for concurrency in this period
	offeredRequests    float64
	offeredTokens      float64       // in this period, as offeredRequests
	periodStart        time.Duration // start of the measuring period
	demand             allowance     // as reported to the home; expires is unused
	requestBucket      bucket
	tokenBucket        bucket
	lastUsed           time.Duration
	exhaustedAt        time.Duration // when this entry, as home, last had nothing left to grant
}

// bucket is a token bucket whose rate may change.
type bucket struct {
	level   float64 // requests or tokens that are available
	updated time.Duration
	filled  bool // level has its initial value
}

// refill updates the level to now. A new bucket starts with one second of the
// rate, but at most depth and no less than least.
func (b *bucket) refill(now time.Duration, rate, depth, least float64) {
	if !b.filled {
		if rate <= 0 {
			b.updated = now
			return
		}
		b.filled = true
		b.level = max(min(depth, rate), least)
	}
	b.level = min(b.level+rate*(now-b.updated).Seconds(), depth)
	b.updated = now
}

func refillTime(missing, rate float64) time.Duration {
	if rate <= 0 {
		return retryDelay
	}
	return time.Duration(min(missing/rate, maxRetryAfter.Seconds()) * float64(time.Second))
}

// Admit decides on one request of the account, estimated to use the given
// tokens, and counts an admitted one as in use until Release. Before
// SetPeers, and for an account that is not declared or has no concurrency in this
// region, a request is refused with Code RequestRate and a RetryAfter of 30 s. An
// account whose concurrency is lowered to 0 while this entry serves it is refused
// with Code Concurrency.
func (m *Core) Admit(now time.Duration, id wire.AccountID, tokens int64) Decision {
	m.detectPause(now)
	a := m.accounts.Get(id)
	if a == nil {
		a = m.addAccount(now, id)
		if a == nil {
			return Decision{Code: RequestRate, RetryAfter: maxRetryAfter}
		}
	}
	a.lastUsed = now
	if a.withdrawn {
		a.withdrawn = false
		a.hasGrant = false // the home may have dropped the grant: request it again
	}
	a.offeredRequests++
	a.offeredTokens += float64(tokens)
	allowed := m.allowed(now, a)
	// No concurrency left, or no request available within a second.
	if a.inUse >= allowed.concurrency || a.requestBucket.level+allowed.requests < 1 {
		allowed = m.requestMore(now, a, allowed)
	}
	d := a.check(now, allowed, tokens)
	if !d.OK {
		d.Pending = a.homePeer != nil && !a.hasGrant && m.reachable(now, a.homePeer)
		return d
	}
	a.requestBucket.level--
	a.tokenBucket.level -= float64(tokens)
	a.inUse++
	a.peak = max(a.peak, a.inUse)
	if a.inUse > allowed.concurrency {
		invariant.Fail("limits-concurrency", "account", id, "in_use", a.inUse, "allowed", allowed.concurrency)
	}
	return d
}

func (a *account) check(now time.Duration, allowed allowance, tokens int64) Decision {
	depth := max(allowed.requests*a.limits.BurstSeconds, 1)
	a.requestBucket.refill(now, allowed.requests, depth, 1)
	tokenDepth := allowed.tokens * a.limits.BurstSeconds
	a.tokenBucket.refill(now, allowed.tokens, tokenDepth, 0)
	needed := min(float64(tokens), tokenDepth)
	switch {
	case a.inUse >= allowed.concurrency:
		a.refusedConcurrency++
		a.peak = max(a.peak, a.inUse+min(a.refusedConcurrency, a.inUse+maxRefusedDemand))
		return Decision{Code: Concurrency, RetryAfter: retryDelay}
	case a.requestBucket.level < 1:
		return Decision{Code: RequestRate, RetryAfter: refillTime(1-a.requestBucket.level, allowed.requests)}
	case a.tokenBucket.level < needed || allowed.tokens <= 0:
		return Decision{Code: TokenRate, RetryAfter: refillTime(needed-a.tokenBucket.level, allowed.tokens)}
	}
	return Decision{OK: true}
}

// Release ends an admitted request and corrects the token bucket by the
// difference between its estimated and its actual tokens.
func (m *Core) Release(now time.Duration, id wire.AccountID, estimated, actual int64) {
	a := m.accounts.Get(id)
	if a == nil {
		return
	}
	if a.inUse <= 0 {
		invariant.Fail("limits-settle", "account", id, "in_use", a.inUse)
	}
	a.inUse--
	a.lastUsed = now
	a.tokenBucket.level += float64(estimated - actual)
}

func (m *Core) addAccount(now time.Duration, id wire.AccountID) *account {
	if m.view.homes.nodes == nil {
		return nil
	}
	limits := m.limitsOf(id)
	if limits.Concurrency == 0 {
		return nil
	}
	a := m.accounts.Put(id, account{id: id, limits: limits, periodStart: now, lastUsed: now})
	m.assignHome(a)
	m.accountTimers.Set(id, now+m.cfg.IdleTimeout)
	if a.homePeer != nil {
		m.requestSoon(now, a.homePeer, retryDelay)
	}
	return a
}

func (m *Core) assignHome(a *account) {
	home := m.view.homes.homeOf(a.id)
	if home != a.home {
		a.detach()
	}
	if a.home == m.cfg.Self && home != m.cfg.Self {
		a.grant = allowance{} // backed by shares that were lent to this entry
	}
	a.home = home
	a.homePeer = nil
	if home == m.cfg.Self {
		return
	}
	a.homePeer = m.peers.Get(a.home)
	a.homePeer.accounts = append(a.homePeer.accounts, a)
}

// expireAccount drops an account that has been unused for a while, once its
// home has recorded that its demand is withdrawn.
func (m *Core) expireAccount(now time.Duration, id wire.AccountID) {
	a := m.accounts.Get(id)
	if a == nil {
		return
	}
	keep := max(m.cfg.IdleTimeout, time.Duration(a.limits.BurstSeconds*float64(time.Second)))
	if a.inUse > 0 || now-a.lastUsed < keep {
		m.accountTimers.Set(id, max(now, a.lastUsed)+keep)
		return
	}
	if p := a.homePeer; p != nil && a.sentSequence != 0 && !(a.withdrawn && a.sentSequence <= p.acceptedRequest) {
		if !a.withdrawn {
			a.withdrawn = true
			a.sentSequence = p.requests.last + 1 // not accepted yet, so mustSendDemand adds the withdrawal to the next request
		}
		m.requestSoon(now, p, m.period()/requestsPerPeriod)
		m.accountTimers.Set(id, now+2*m.period())
		return
	}
	m.removeAccount(a)
}

func (m *Core) removeAccount(a *account) {
	m.accounts.Delete(a.id)
	if a.homePeer == nil {
		return
	}
	at := slices.Index(a.homePeer.accounts, a)
	last := len(a.homePeer.accounts) - 1
	a.homePeer.accounts[at] = a.homePeer.accounts[last]
	a.homePeer.accounts = a.homePeer.accounts[:last]
}

// allowed returns what this entry may use now. At the home that is its valid
// grant. Elsewhere it is the larger of the valid grant and the equal share,
// which counts only while it is not promised to the home and ownShareFree is
// true.
func (m *Core) allowed(now time.Duration, a *account) allowance {
	var al allowance
	if now < a.validUntil() {
		al = a.grant
	}
	if a.homePeer == nil || now < a.homePeer.promisedUntil || !m.ownShareFree(now, a.id) {
		return al
	}
	share := equalShare(a.limits, len(m.view.members))
	al.requests = max(al.requests, share.requests)
	al.tokens = max(al.tokens, share.tokens)
	al.concurrency = max(al.concurrency, share.concurrency)
	return al
}

func equalShare(l declaration.Limits, entries int) allowance {
	n := float64(entries)
	return allowance{
		requests:    l.RequestsPerSecond / n,
		tokens:      l.TokensPerSecond / n,
		concurrency: int64(math.Floor(float64(l.Concurrency) / n)),
	}
}

// requestMore tries to raise the allowance, at once if this entry is the home
// and by a request to the home otherwise. It returns what is allowed now.
func (m *Core) requestMore(now time.Duration, a *account, allowed allowance) allowance {
	if a.homePeer != nil {
		gap := m.period() / requestsPerPeriod
		if !a.hasGrant {
			gap = retryDelay
		}
		m.requestSoon(now, a.homePeer, gap)
		return allowed
	}
	if now < a.exhaustedAt+retryDelay {
		return allowed
	}
	m.grantSelf(now, a)
	if a.inUse >= a.grant.concurrency || a.grant.requests <= allowed.requests {
		a.exhaustedAt = now
	}
	return m.allowed(now, a)
}

// measureDemand returns the demand to report, and starts a new measuring period
// if the present one has lasted for period.
func (a *account) measureDemand(now, period time.Duration) wire.AccountDemand {
	elapsed := max(now-a.periodStart, period)
	requests := demandHeadroom * a.offeredRequests / elapsed.Seconds()
	tokens := demandHeadroom * a.offeredTokens / elapsed.Seconds()
	d := &a.demand
	if now-a.periodStart < period {
		d.requests = max(d.requests, requests)
		d.tokens = max(d.tokens, tokens)
		d.concurrency = max(d.concurrency, a.peak+a.peak/4) // demandHeadroom in whole requests
		return a.reportedDemand()
	}
	d.requests = max(demandDecay*d.requests, requests)
	d.tokens = max(demandDecay*d.tokens, tokens)
	d.concurrency = max(int64(demandDecay*float64(d.concurrency)), a.peak+a.peak/4) // demandHeadroom, as above
	a.offeredRequests = 0
	a.offeredTokens = 0
	a.refusedConcurrency = 0
	a.peak = a.inUse
	a.periodStart = now
	return a.reportedDemand()
}

func (a *account) reportedDemand() wire.AccountDemand {
	if a.withdrawn {
		return wire.AccountDemand{Account: a.id}
	}
	return wire.AccountDemand{
		Account:       a.id,
		MilliRequests: uint64(min(a.demand.requests, maxDemand) * milli),
		Tokens:        uint64(min(a.demand.tokens, maxDemand)),
		Concurrency:   max(a.demand.concurrency, 1), // zero would withdraw the demand
		InUse:         a.inUse,
	}
}
