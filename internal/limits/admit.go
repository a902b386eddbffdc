package limits

import (
	"math"
	"slices"
	"time"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/invariant"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Code says which limit refused a request.
type Code uint8

// The limits that can refuse a request.
const (
	Rate        Code = 1 // requests a second
	Tokens      Code = 2 // tokens a second
	Concurrency Code = 3
)

// Decision answers Admit.
type Decision struct {
	OK   bool
	Code Code
	// RetryAfter estimates when the same request would be admitted.
	RetryAfter time.Duration
	// Pending is set if this entry has no grant yet and has asked for one. The
	// answer usually takes one round trip: the caller may wait and ask again.
	Pending bool
}

// askAgain is RetryAfter of a pending decision.
const askAgain = 20 * time.Millisecond

// Factors of the demand that an entry reports to a home.
const (
	demandHeadroom = 1.25 // over what was offered
	demandDecay    = 0.7  // of the earlier demand in each period
)

// milli is the number of thousandths in one: rates of requests are sent in them.
const milli = 1000

// maxDemand bounds the rates that an entry asks for.
const maxDemand = 1e12

// asksPerPeriod bounds the requests to a home in a period, beside the first for
// an account.
const asksPerPeriod = 4

// maxRefusedDemand bounds the concurrency that refusals add to the demand of an
// account that uses none: callers that ask again are counted again.
const maxRefusedDemand = 4

// maxRetryAfter bounds RetryAfter.
const maxRetryAfter = 30 * time.Second

// allowance is what an entry may use of one account's limits.
type allowance struct {
	requests    float64 // a second
	tokens      float64 // a second
	concurrency int64
	until       time.Duration
}

// account is one client account that this entry serves.
type account struct {
	id        wire.AccountID
	limits    declaration.Limits
	home      wire.NodeID
	homePeer  *peer // nil: this entry
	grant     allowance
	granted   bool           // a grant has been received
	grantedBy *peer          // whose session says when the grant lapses; nil: grant.until
	sent      wire.GrantWant // last want sent to the home
	sentIn    uint64         // Sequence of that request; 0: none
	withdrawn bool           // unused; the row goes once the home has heard

	inUse     int64
	peak      int64 // of inUse and what was refused, in this period
	refused   int64 // for concurrency in this period
	offered   float64
	tokens    float64       // offered
	since     time.Duration // start of the period
	demand    allowance     // reported; until is unused
	requests  bucket
	budget    bucket // of tokens
	used      time.Duration
	exhausted time.Duration // when this entry, the home, last had no more to give
}

// bucket is a token bucket whose rate may change.
type bucket struct {
	level  float64
	at     time.Duration
	filled bool
}

// refill brings the level to now. A new bucket holds a second of the rate.
func (b *bucket) refill(now time.Duration, rate, depth, least float64) {
	if !b.filled {
		if rate <= 0 {
			b.at = now
			return
		}
		b.filled = true
		b.level = max(min(depth, rate), least)
	}
	b.level = min(b.level+rate*(now-b.at).Seconds(), depth)
	b.at = now
}

func wait(missing, rate float64) time.Duration {
	if rate <= 0 {
		return askAgain
	}
	return time.Duration(min(missing/rate, maxRetryAfter.Seconds()) * float64(time.Second))
}

// Admit decides on one request of the account and, if it is admitted, counts it
// until Settle.
func (m *Core) Admit(now time.Duration, id wire.AccountID, tokens int64) Decision {
	m.wake(now)
	a := m.accounts.Get(id)
	if a == nil {
		a = m.addAccount(now, id)
		if a == nil {
			return Decision{Code: Rate, RetryAfter: maxRetryAfter}
		}
	}
	a.used = now
	if a.withdrawn {
		a.withdrawn = false
		a.granted = false
	}
	a.offered++
	a.tokens += float64(tokens)
	allowed := m.allowed(now, a)
	if a.inUse >= allowed.concurrency || a.requests.level+allowed.requests < 1 {
		allowed = m.ask(now, a, allowed)
	}
	d := a.check(now, allowed, tokens)
	if !d.OK {
		d.Pending = a.homePeer != nil && !a.granted && m.reachable(now, a.homePeer)
		return d
	}
	a.requests.level--
	a.budget.level -= float64(tokens)
	a.inUse++
	a.peak = max(a.peak, a.inUse)
	if a.inUse > allowed.concurrency {
		invariant.Fail("limits-concurrency", "account", id, "in_use", a.inUse, "allowed", allowed.concurrency)
	}
	return d
}

func (a *account) check(now time.Duration, allowed allowance, tokens int64) Decision {
	depth := max(allowed.requests*a.limits.BurstSeconds, 1)
	a.requests.refill(now, allowed.requests, depth, 1)
	tokenDepth := allowed.tokens * a.limits.BurstSeconds
	a.budget.refill(now, allowed.tokens, tokenDepth, 0)
	needed := min(float64(tokens), tokenDepth)
	switch {
	case a.inUse >= allowed.concurrency:
		a.refused++
		a.peak = max(a.peak, a.inUse+min(a.refused, a.inUse+maxRefusedDemand))
		return Decision{Code: Concurrency, RetryAfter: askAgain}
	case a.requests.level < 1:
		return Decision{Code: Rate, RetryAfter: wait(1-a.requests.level, allowed.requests)}
	case a.budget.level < needed || allowed.tokens <= 0:
		return Decision{Code: Tokens, RetryAfter: wait(needed-a.budget.level, allowed.tokens)}
	}
	return Decision{OK: true}
}

// Settle ends a request that was admitted and corrects the token rate by what
// it has really used.
func (m *Core) Settle(now time.Duration, id wire.AccountID, estimated, actual int64) {
	a := m.accounts.Get(id)
	if a == nil {
		return
	}
	if a.inUse <= 0 {
		invariant.Fail("limits-settle", "account", id, "in_use", a.inUse)
	}
	a.inUse--
	a.used = now
	a.budget.level += float64(estimated - actual)
}

func (m *Core) addAccount(now time.Duration, id wire.AccountID) *account {
	if m.view.homes.ring == nil {
		return nil
	}
	limits := m.limitsOf(id)
	if limits.Concurrency == 0 {
		return nil
	}
	a := m.accounts.Put(id, account{id: id, limits: limits, since: now, used: now})
	m.assignHome(a)
	m.idle.Set(id, now+m.cfg.Idle)
	if a.homePeer != nil {
		m.requestSoon(now, a.homePeer, askAgain)
	}
	return a
}

func (m *Core) assignHome(a *account) {
	home := m.view.homes.of(a.id)
	if home != a.home {
		a.detach()
	}
	if a.home == m.cfg.Self && home != m.cfg.Self {
		a.grant = allowance{} // it rests on shares that were lent to this entry
	}
	a.home = home
	a.homePeer = nil
	if home == m.cfg.Self {
		return
	}
	a.homePeer = m.peers.Get(a.home)
	a.homePeer.accounts = append(a.homePeer.accounts, a)
}

// expireAccount drops an account that has not been used for a while, once its
// home has heard that the grant is not needed.
func (m *Core) expireAccount(now time.Duration, id wire.AccountID) {
	a := m.accounts.Get(id)
	if a == nil {
		return
	}
	keep := max(m.cfg.Idle, time.Duration(a.limits.BurstSeconds*float64(time.Second)))
	if a.inUse > 0 || now-a.used < keep {
		m.idle.Set(id, max(now, a.used)+keep)
		return
	}
	if p := a.homePeer; p != nil && a.sentIn != 0 && !(a.withdrawn && a.sentIn <= p.taken) {
		if !a.withdrawn {
			a.withdrawn = true
			a.sentIn = p.requests.last + 1 // list it in the next request
		}
		m.requestSoon(now, p, m.period()/asksPerPeriod)
		m.idle.Set(id, now+2*m.period())
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

// allowed returns what this entry may use now: its grant while that is valid,
// or its equal share while that is promised to nobody.
func (m *Core) allowed(now time.Duration, a *account) allowance {
	var al allowance
	if now < a.validUntil() {
		al = a.grant
	}
	if a.homePeer == nil || now < a.homePeer.promised || !m.ownFree(now, a.id) {
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

// ask seeks more than is allowed now: at once if this entry is the home, by a
// message otherwise.
func (m *Core) ask(now time.Duration, a *account, allowed allowance) allowance {
	if a.homePeer != nil {
		gap := m.period() / asksPerPeriod
		if !a.granted {
			gap = askAgain
		}
		m.requestSoon(now, a.homePeer, gap)
		return allowed
	}
	if now < a.exhausted+askAgain {
		return allowed
	}
	m.grantSelf(now, a)
	if a.inUse >= a.grant.concurrency || a.grant.requests <= allowed.requests {
		a.exhausted = now
	}
	return m.allowed(now, a)
}

// measure returns the demand to report. It closes a period of measurement that
// has lasted long enough.
func (a *account) measure(now, period time.Duration) wire.GrantWant {
	elapsed := max(now-a.since, period)
	requests := demandHeadroom * a.offered / elapsed.Seconds()
	tokens := demandHeadroom * a.tokens / elapsed.Seconds()
	d := &a.demand
	if now-a.since < period {
		d.requests = max(d.requests, requests)
		d.tokens = max(d.tokens, tokens)
		d.concurrency = max(d.concurrency, a.peak+a.peak/4)
		return a.want()
	}
	d.requests = max(demandDecay*d.requests, requests)
	d.tokens = max(demandDecay*d.tokens, tokens)
	d.concurrency = max(int64(demandDecay*float64(d.concurrency)), a.peak+a.peak/4)
	a.offered = 0
	a.tokens = 0
	a.refused = 0
	a.peak = a.inUse
	a.since = now
	return a.want()
}

func (a *account) want() wire.GrantWant {
	if a.withdrawn {
		return wire.GrantWant{Account: a.id}
	}
	return wire.GrantWant{
		Account:       a.id,
		MilliRequests: uint64(min(a.demand.requests, maxDemand) * milli),
		Tokens:        uint64(min(a.demand.tokens, maxDemand)),
		Concurrency:   max(a.demand.concurrency, 1), // zero would withdraw the want
		InUse:         a.inUse,
	}
}
