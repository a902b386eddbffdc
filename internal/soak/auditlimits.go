package soak

import (
	"fmt"
	"math"
	"slices"
	"strings"
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
)

// tighten gives the last account of the lists limits that it will reach.
func tighten(l *declaration.Lists) wire.AccountID {
	a := &l.Plans.Accounts[len(l.Plans.Accounts)-1]
	concurrency, rate := int64(tightConcurrency), float64(tightRate)
	a.Limits = &declaration.LimitOverrides{Concurrency: &concurrency, RequestsPerSecond: &rate}
	return a.ID
}

// limitAudit follows the account with the tight limits through all entries.
type limitAudit struct {
	account wire.AccountID
	depth   float64 // requests that may come at once
	open    map[*call]bool
	level   float64 // requests that may still come at once
	at      time.Duration
}

func newLimitAudit(a *declaration.Account) *limitAudit {
	depth := a.Limits.RequestsPerSecond*a.Limits.BurstSeconds + 1
	return &limitAudit{account: a.ID, depth: depth, open: make(map[*call]bool), level: depth}
}

// admitted checks the limits when an entry admits a call.
func (a *audit) admitted(c *call) {
	l := a.limits
	if l == nil || c.req.Account != l.account {
		return
	}
	now := a.world.clock.Now()
	l.level = min(l.level+tightRate*(now-l.at).Seconds(), l.depth)
	l.at = now
	l.level--
	if l.level < 0 {
		a.fail(promiseLimits, c.external, "%s admits it %.2f requests above the rate", c.entry.name, -l.level)
	}
	l.open[c] = true
	if n := l.inFlight(); n > tightConcurrency && a.world.entriesCalmFor() > now-l.oldest()+limitsSettle {
		a.fail(promiseLimits, c.external, "%s admits it as call %d in flight, limit %d: %s", c.entry.name, n, tightConcurrency, l.list())
	}
}

// limitsSettle is how long shares may still move after a disturbance.
const limitsSettle = 25 * time.Second

// oldest returns when the oldest call in flight was admitted. Requests outlive
// the grants under which they were admitted; an entry that can't be reached
// keeps its own in flight while its part goes to the others.
func (l *limitAudit) oldest() time.Duration {
	oldest := time.Duration(math.MaxInt64)
	for c := range l.open {
		oldest = min(oldest, c.admitted)
	}
	return oldest
}

// list names the calls in flight with their entries and times of admission.
func (l *limitAudit) list() string {
	var calls []string
	for c := range l.open {
		calls = append(calls, fmt.Sprintf("%s at %s since %.3f s", c.external, c.entry.name, c.admitted.Seconds()))
	}
	slices.Sort(calls)
	return strings.Join(calls, ", ")
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
