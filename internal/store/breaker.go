package store

import (
	"math/rand/v2"
	"time"
)

// minBudgetFraction is the fraction of the budget that is available right after
// an outage, and the fraction of the read budget that watches can't use up.
const minBudgetFraction = 0.1

type breakerState uint8

const (
	breakerClosed  breakerState = iota
	breakerOpen                 // refuses everything until probeAt
	breakerProbing              // one probe is in flight; refuses everything else
)

// breaker is a circuit breaker that stops calls to a store that does not answer.
type breaker struct {
	cfg       ThrottleConfig
	rand      *rand.Rand
	state     breakerState
	failures  int // consecutive
	backoff   time.Duration
	probeAt   time.Duration
	rampStart time.Duration // time of the first success after an outage
	ramping   bool
}

func newBreaker(cfg ThrottleConfig) breaker {
	return breaker{cfg: cfg, rand: cfg.Rand}
}

func (b *breaker) closed() bool { return b.state == breakerClosed }

// accepts reports whether an operation may be queued.
func (b *breaker) accepts(now time.Duration) bool {
	switch b.state {
	case breakerOpen:
		return now >= b.probeAt
	case breakerProbing:
		return false
	}
	return true
}

// canSend reports whether a queued operation may be sent; the rule is that of accepts.
func (b *breaker) canSend(now time.Duration) bool { return b.accepts(now) }

// recordSend records that an operation is being sent.
func (b *breaker) recordSend() {
	if b.state == breakerOpen {
		b.state = breakerProbing
	}
}

func (b *breaker) recordSuccess(now time.Duration) {
	b.failures = 0
	if b.state == breakerClosed {
		return
	}
	b.state = breakerClosed
	b.backoff = 0
	b.ramping = true
	b.rampStart = now
}

func (b *breaker) recordFailure(now time.Duration) {
	b.failures++
	if b.state == breakerClosed && b.failures < b.cfg.FailureThreshold {
		return
	}
	if b.state == breakerOpen {
		return
	}
	b.state = breakerOpen
	b.backoff = min(max(2*b.backoff, b.cfg.MinBackoff), b.cfg.MaxBackoff)
	b.probeAt = now + b.jittered(b.backoff)
}

// jittered returns a duration between half of d and one and a half of d.
func (b *breaker) jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(b.rand.Int64N(int64(d)+1))
}

// fraction returns the fraction of the budget that is available at now.
func (b *breaker) fraction(now time.Duration) float64 {
	if !b.ramping {
		return 1
	}
	passed := float64(now-b.rampStart) / float64(b.cfg.Ramp)
	if passed >= 1 {
		b.ramping = false
		return 1
	}
	return minBudgetFraction + (1-minBudgetFraction)*max(passed, 0)
}
