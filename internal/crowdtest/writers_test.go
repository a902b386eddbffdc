package crowdtest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/platform/standin"
)

const (
	// leavingBound is the platform's time within which a leaving endpoint must get no more requests, and
	// recoveryBound that within which gateways must serve after the loss of all.
	leavingBound  = 2 * time.Second
	recoveryBound = 12 * time.Second
	largestValue  = 1 << 20
	// writingTime is how long another program writes before the tests look.
	writingTime = 2 * time.Second
)

// writer is another program that writes registrations which name no endpoint of this fleet.
type writer struct {
	keys  int
	value func(i, round int) []byte
	every time.Duration // one key is written again each time; 0: never
	turns bool          // each key is removed when the next one is written, and there are few at a time
}

// text returns a function that returns a registration of a service, with n bytes in a field that nobody
// reads.
func text(service func(i, round int) string, state string, n int) func(int, int) []byte {
	more := strings.Repeat("x", n)
	return func(i, round int) []byte {
		return fmt.Appendf(nil, `{"service":%q,"addr":"127.9.%d.%d:9","zone":"z","version":"v1","slots":1,"state":%q,"coldLeftMs":0,"sequence":%d,"born":1700000000000,"more":%q}`,
			service(i, round), i/250%250+1, i%250+1, state, round+1, more)
	}
}

func unreadable(size int) func(int, int) []byte {
	return func(i, round int) []byte {
		value := make([]byte, size)
		r := rand.New(rand.NewPCG(uint64(i), uint64(round)))
		for i := range value {
			value[i] = byte(r.Uint32())
		}
		return value
	}
}

func desk(int, int) string { return "desk" }

// ownService is another service for each write.
func ownService(i, round int) string { return fmt.Sprintf("of-another-%d-%d", i, round) }

var writers = map[string]writer{
	"large":                     {keys: 40, value: unreadable(largestValue)},
	"large and rewritten":       {keys: 8, value: unreadable(largestValue), every: 20 * time.Millisecond},
	"very large and rewritten":  {keys: 200, value: unreadable(largestValue), every: 20 * time.Millisecond},
	"many":                      {keys: 50_000, value: unreadable(20)},
	"many and rewritten":        {keys: 5_000, value: unreadable(20), every: time.Millisecond},
	"in an unknown state":       {keys: 400, value: text(desk, "odd", 60<<10), every: 5 * time.Millisecond},
	"of services of nobody":     {keys: 30_000, value: text(ownService, "ready", 0), every: time.Millisecond},
	"long, of other services":   {keys: 400, value: text(ownService, "ready", 60<<10), every: 5 * time.Millisecond},
	"long and short-lived":      {keys: 1000, value: text(desk, "draining", 60<<10), every: 3 * time.Millisecond, turns: true},
	"long and leaving":          {keys: 200, value: text(desk, "draining", 60<<10), every: 5 * time.Millisecond},
	"long service names":        {keys: 400, value: text(func(i, round int) string { return strings.Repeat("s", 60<<10) + ownService(i, round) }, "ready", 0), every: 5 * time.Millisecond},
	"numbers of 100,000 digits": {keys: 40, value: func(int, int) []byte { return []byte(`{"slots":` + strings.Repeat("9", 100_000) + "}") }},
}

// run writes all keys, and then again by turns until ctx ends.
func (w writer) run(ctx context.Context, s *standin.Store, prefix string) {
	key := func(i int) string { return fmt.Sprintf("%szz-%06d", prefix, i%w.keys) }
	for i := range w.keys {
		s.Put(key(i), w.value(i, 0))
		if w.turns {
			time.Sleep(w.every)
			s.Remove(key(i))
		}
	}
	if w.every == 0 {
		return
	}
	ticker := time.NewTicker(w.every)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if w.turns {
				s.Remove(key(n + w.keys - 1))
			}
			s.Put(key(n), w.value(n%w.keys, n/w.keys+1))
		}
	}
}

// TestRegistrationsOfAnotherWriterTakeNeitherMemoryNorEndpoints guards against registrations that name no
// endpoint, but fill the memory or keep the gateway from following those that do.
func TestRegistrationsOfAnotherWriterTakeNeitherMemoryNorEndpoints(t *testing.T) {
	for name, w := range writers {
		t.Run(name, func(t *testing.T) {
			g := startGateway(t, manyDescriptors)
			g.store.SetPageSize(standin.LargestPage)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go w.run(ctx, g.store, "servers/")
			time.Sleep(writingTime)
			g.checkLeavingIsFollowed()
			g.serveOrdinary()
			g.checkBounds(memoryMB, manyDescriptors)
			g.process = g.process.restart()
			g.checkRecovery()
			time.Sleep(writingTime)
			g.checkBounds(memoryMB, manyDescriptors)
			g.serveOrdinary()
		})
	}
}

// checkLeavingIsFollowed makes the first endpoint leave and fails the test if a request reaches it later
// than leavingBound.
func (g *gateway) checkLeavingIsFollowed() {
	g.t.Helper()
	leaving := g.replicas[0]
	left := time.Now()
	g.store.Register(leaving.ID, "desk", leaving.Addr(), "draining")
	for time.Since(left) < leavingBound+time.Second {
		g.send(strings.NewReader("an ordinary body"))
		time.Sleep(10 * time.Millisecond)
	}
	var last time.Duration
	for _, at := range leaving.ArrivalTimes() {
		last = max(last, at.Sub(left))
	}
	if last > leavingBound {
		g.t.Errorf("a request reached a leaving endpoint after %v, want %v at most", last, leavingBound)
	}
	g.t.Logf("the last request reached the leaving endpoint after %v", last)
}

// checkRecovery fails the test if the gateway, which has just started, serves no request within
// recoveryBound.
func (g *gateway) checkRecovery() {
	g.t.Helper()
	began := time.Now()
	for g.send(strings.NewReader("an ordinary body")) != http.StatusOK {
		if time.Since(began) > recoveryBound {
			g.t.Fatalf("no request is served %v after the start", recoveryBound)
		}
		time.Sleep(20 * time.Millisecond)
	}
	g.t.Logf("served %v after the start", time.Since(began))
}
