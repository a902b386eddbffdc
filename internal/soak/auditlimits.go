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

// promiseLimits is that all entries together stay within an account's limits.
const promiseLimits Promise = "limits-never-exceeded"

// Lowered limits of one account, so that a run reaches them often.
const (
	lowConcurrency = 3
	lowRate        = 0.5 // requests a second
)

// setLowLimits lowers the limits of the last account of the lists and returns
// its ID.
func setLowLimits(l *declaration.Lists) wire.AccountID {
	a := &l.Plans.Accounts[len(l.Plans.Accounts)-1]
	concurrency, rate := int64(lowConcurrency), float64(lowRate)
	a.Limits = &declaration.LimitOverrides{Concurrency: &concurrency, RequestsPerSecond: &rate}
	return a.ID
}

// limitAudit tracks the account with lowered limits across all entries. Its rate
// is checked with a token bucket, one token per request.
type limitAudit struct {
	account   wire.AccountID
	burst     float64 // capacity of the bucket in requests
	open      map[*call]bool
	tokens    float64 // requests left in the bucket at updatedAt
	updatedAt time.Duration
}

func newLimitAudit(a *declaration.Account) *limitAudit {
	burst := a.Limits.RequestsPerSecond*a.Limits.BurstSeconds + 1
	return &limitAudit{account: a.ID, burst: burst, open: make(map[*call]bool), tokens: burst}
}

// checkLimits checks the lowered limits of an account against a call just
// admitted. The concurrency is checked only if all entries were undisturbed from
// limitsSettleTime before the arrival of the oldest open call, as their shares
// of the limit may differ until then.
func (a *audit) checkLimits(c *call) {
	l := a.limits
	if l == nil || c.req.Account != l.account {
		return
	}
	now := a.world.clock.Now()
	l.tokens = min(l.tokens+lowRate*(now-l.updatedAt).Seconds(), l.burst)
	l.updatedAt = now
	l.tokens--
	if l.tokens < 0 {
		a.fail(promiseLimits, c.externalID, "%s admits it %.2f requests above the rate", c.entry.name, -l.tokens)
	}
	l.open[c] = true
	if n := l.inFlight(); n > lowConcurrency && a.world.entriesUndisturbedFor() > now-l.oldest()+limitsSettleTime {
		a.fail(promiseLimits, c.externalID, "%s admits it as call %d in flight, limit %d: %s", c.entry.name, n, lowConcurrency, l.list())
	}
}

// limitsSettleTime is how long after a disturbance the entries' shares of an
// account's limits may change.
const limitsSettleTime = 25 * time.Second

// oldest returns when the oldest call in flight arrived at its entry. A call can
// outlive the grant under which it was admitted: an unreachable entry keeps its
// calls in flight while its share goes to other entries.
func (l *limitAudit) oldest() time.Duration {
	oldest := time.Duration(math.MaxInt64)
	for c := range l.open {
		oldest = min(oldest, c.arrivedAt)
	}
	return oldest
}

// list formats the calls in flight with their entries and times of admission.
func (l *limitAudit) list() string {
	var calls []string
	for c := range l.open {
		calls = append(calls, fmt.Sprintf("%s at %s since %.3f s", c.externalID, c.entry.name, c.arrivedAt.Seconds()))
	}
	slices.Sort(calls)
	return strings.Join(calls, ", ")
}

// inFlight returns the number of open calls at entries whose process has not
// ended. It removes the others.
func (l *limitAudit) inFlight() int {
	n := 0
	for c := range l.open {
		switch {
		case c.ended || c.entry.incarnation != c.incarnation || !c.entry.alive():
			delete(l.open, c)
		default:
			n++
		}
	}
	return n
}
