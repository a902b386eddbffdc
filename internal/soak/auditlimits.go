package soak

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// promiseLimits: entries together admit no more than an account may use.
const promiseLimits Promise = "limits-never-exceeded"

// Limits of the account that a run keeps short, so that it meets them often.
const (
	tightConcurrency = 3
	tightRate        = 0.5 // requests a second
	tightBurst       = 10  // seconds
)

// tighten gives the last account of the lists limits that it will reach.
func tighten(l *declaration.Lists) wire.AccountID {
	a := &l.Plans.Accounts[len(l.Plans.Accounts)-1]
	concurrency, rate, burst := int64(tightConcurrency), float64(tightRate), float64(tightBurst)
	a.Limits = &declaration.LimitOverrides{Concurrency: &concurrency, RequestsPerSecond: &rate, BurstSeconds: &burst}
	return a.ID
}

// limitAudit follows the account with the tight limits through all entries.
type limitAudit struct {
	account wire.AccountID
	open    map[*call]bool
	level   float64 // requests that may still come at once
	at      time.Duration
}

func newLimitAudit(account wire.AccountID) *limitAudit {
	return &limitAudit{account: account, open: make(map[*call]bool), level: tightRate*tightBurst + 1}
}

// admitted checks the limits when an entry admits a call.
func (a *audit) admitted(c *call) {
	l := a.limits
	if l == nil || c.req.Account != l.account {
		return
	}
	now := a.world.clock.Now()
	l.level = min(l.level+tightRate*(now-l.at).Seconds(), tightRate*tightBurst+1)
	l.at = now
	l.level--
	if l.level < 0 {
		a.fail(promiseLimits, c.external, "%s admits it %.2f requests above the rate", c.entry.name, -l.level)
	}
	l.open[c] = true
	if n := l.inFlight(); n > tightConcurrency {
		a.fail(promiseLimits, c.external, "%s admits it as call %d in flight, limit %d", c.entry.name, n, tightConcurrency)
	}
}

// inFlight counts the calls that living entries have admitted.
func (l *limitAudit) inFlight() int {
	n := 0
	for c := range l.open {
		switch {
		case c.ended || c.entry.incarnation != c.life || !c.entry.alive():
			delete(l.open, c)
		default:
			n++
		}
	}
	return n
}
