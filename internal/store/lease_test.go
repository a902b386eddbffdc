package store_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"trefoilpath.org/trefoilpath/internal/standin/storemodel"
	"trefoilpath.org/trefoilpath/internal/store"
	"trefoilpath.org/trefoilpath/internal/store/storetest"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}

const leaseKey = "lease/fd-1"

// candidate is one process that competes for the key.
type candidate struct {
	lease       *store.Lease
	link        *storetest.Link
	pausedUntil time.Duration
}

func newCandidate(m *storemodel.Model, i int, choose func(store.Op) storetest.Outcome) *candidate {
	id := uint64(i) << 32
	return &candidate{
		lease: store.NewLease(store.LeaseConfig{
			Key:    leaseKey,
			Holder: fmt.Sprintf("entry-%d", i),
			NextOp: func() uint64 { id++; return id },
			Rand:   rand.New(rand.NewPCG(uint64(i), 7)),
		}),
		link: &storetest.Link{Model: m, Delay: time.Millisecond, LateBy: 2 * time.Second, Choose: choose},
	}
}

// step runs the candidate at now unless it is paused. Answers stay on the link
// meanwhile.
func (c *candidate) step(now time.Duration) {
	if now < c.pausedUntil {
		return
	}
	for _, r := range c.link.Receive(now) {
		c.lease.StoreResult(now, r)
	}
	c.lease.Tick(now)
	c.link.Send(now, c.lease.TakeStore())
}

func runUntilHeld(t *testing.T, c *candidate, now, limit time.Duration) time.Duration {
	t.Helper()
	for end := now + limit; now < end; now += time.Millisecond {
		c.step(now)
		if c.lease.Held(now) {
			return now
		}
	}
	t.Fatalf("key not held after %s", limit)
	return 0
}

func TestLeaseSurvivesLostAnswerOfEachWrite(t *testing.T) {
	for _, kind := range []store.OpKind{store.OpGrant, store.OpPut, store.OpRenew} {
		for _, outcome := range []storetest.Outcome{storetest.Refuse, storetest.LoseRequest, storetest.LoseAnswer, storetest.ExecuteLate} {
			t.Run(fmt.Sprintf("kind=%d/fate=%d", kind, outcome), func(t *testing.T) {
				hit := 0
				c := newCandidate(storemodel.New(), 1, func(op store.Op) storetest.Outcome {
					if op.Kind == kind && hit == 0 {
						hit++
						return outcome
					}
					return storetest.Deliver
				})
				now := runUntilHeld(t, c, 0, 10*time.Second)
				for end := now + 20*time.Second; now < end; now += time.Millisecond {
					c.step(now)
					if !c.lease.Held(now) {
						t.Fatalf("lost the key at %s", now)
					}
				}
				if hit == 0 {
					t.Fatalf("no operation of kind %d was sent, so no fault was injected", kind)
				}
			})
		}
	}
}

func TestLeaseNotHeldAfterPausePastExpiry(t *testing.T) {
	m := storemodel.New()
	a, b := newCandidate(m, 1, nil), newCandidate(m, 2, nil)
	now := runUntilHeld(t, a, 0, 10*time.Second)
	oldFence := a.lease.Fence()
	now = runUntilHeld(t, b, now, 20*time.Second)
	if a.lease.Held(now) {
		t.Fatal("both hold the key")
	}
	if b.lease.Fence() <= oldFence {
		t.Fatalf("fence %d of the new holder, want more than %d", b.lease.Fence(), oldFence)
	}
	a.step(now)
	a.step(now + 5*time.Millisecond)
	if a.lease.Held(now + 5*time.Millisecond) {
		t.Fatal("the paused holder claims the key again")
	}
}

// TestLeaseRenewalReadAfterPause pauses the holder between a renewal and its
// answer. The answer must not extend the lease from the time it is read.
func TestLeaseRenewalReadAfterPause(t *testing.T) {
	m := storemodel.New()
	renewals := 0
	a := newCandidate(m, 1, func(op store.Op) storetest.Outcome {
		if op.Kind == store.OpRenew {
			renewals++
		}
		return storetest.Deliver
	})
	now := runUntilHeld(t, a, 0, 10*time.Second)
	for renewals == 0 {
		now += time.Millisecond
		a.step(now)
	}
	a.link.Receive(now + time.Millisecond) // executes the renewal; its answer is not read yet
	b := newCandidate(m, 2, nil)
	now = runUntilHeld(t, b, now+time.Millisecond, 20*time.Second)
	a.step(now)
	if a.lease.Held(now) {
		t.Fatal("key held because of an answer from before the pause")
	}
}

func TestLeaseExpiresDuringOutageAndNoneAcquiresIt(t *testing.T) {
	down := false
	choose := func(store.Op) storetest.Outcome {
		if down {
			return storetest.Refuse
		}
		return storetest.Deliver
	}
	m := storemodel.New()
	a, b := newCandidate(m, 1, choose), newCandidate(m, 2, choose)
	now := runUntilHeld(t, a, 0, 10*time.Second)
	down = true
	for end := now + time.Hour; now < end; now += 50 * time.Millisecond {
		a.step(now)
		b.step(now)
	}
	if a.lease.Held(now) || b.lease.Held(now) {
		t.Fatal("key held during an outage of the store")
	}
	down = false
	runUntilHeld(t, a, now, 10*time.Second)
}

func TestReleasedLeaseIsAcquiredPromptly(t *testing.T) {
	m := storemodel.New()
	a, b := newCandidate(m, 1, nil), newCandidate(m, 2, nil)
	now := runUntilHeld(t, a, 0, 10*time.Second)
	a.lease.SetWanted(now, false)
	if a.lease.Held(now) {
		t.Fatal("key held after SetWanted(false)")
	}
	a.step(now)
	for i := range 3 {
		a.link.Receive(now + time.Duration(i)*time.Millisecond)
	}
	runUntilHeld(t, b, now, store.DefaultLeaseRetry*2)
}

// TestLeaseExclusive runs three candidates under random faults and pauses. At
// no time do two hold the key, and the fence never decreases.
func TestLeaseExclusive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		faults := rapid.IntRange(0, 40).Draw(t, "fault percent")
		choose := func(store.Op) storetest.Outcome {
			if r.IntN(100) >= faults {
				return storetest.Deliver
			}
			return storetest.Outcome(1 + r.IntN(4)) // any but Deliver
		}
		m := storemodel.New()
		var all []*candidate
		for i := range 3 {
			all = append(all, newCandidate(m, i+1, choose))
		}
		var highest uint64
		var heldAt time.Duration
		for now := time.Duration(0); now < 3*time.Minute; now += 20 * time.Millisecond {
			holders := 0
			for _, c := range all {
				if r.IntN(2000) == 0 {
					c.pausedUntil = now + time.Duration(r.IntN(15000))*time.Millisecond
				}
				c.step(now)
				if !c.lease.Held(now) {
					continue
				}
				holders++
				heldAt = now
				if f := c.lease.Fence(); f < highest {
					t.Fatalf("fence %d of the holder, want at least %d, at %s", f, highest, now)
				}
				highest = max(highest, c.lease.Fence())
			}
			if holders > 1 {
				t.Fatalf("%d holders at %s", holders, now)
			}
		}
		if faults == 0 && heldAt == 0 {
			t.Fatal("nobody ever held the key")
		}
	})
}

// BenchmarkLeaseOperations reports the operations per second of one holder and
// one waiting candidate.
func BenchmarkLeaseOperations(b *testing.B) {
	for b.Loop() {
		m := storemodel.New()
		all := []*candidate{newCandidate(m, 1, nil), newCandidate(m, 2, nil)}
		const measured = 10 * time.Minute
		for now := time.Duration(0); now < measured; now += 10 * time.Millisecond {
			for _, c := range all {
				c.step(now)
			}
		}
		b.ReportMetric(float64(m.Counts().Writes)/measured.Seconds(), "writes/s")
		b.ReportMetric(float64(m.Counts().Reads)/measured.Seconds(), "reads/s")
	}
}
