package enginemodel

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkVirtualHour simulates one engine for an hour of virtual time at about 70%
// load and reports the real time per event and per request.
func BenchmarkVirtualHour(b *testing.B) {
	events, requests := 0, 0
	for b.Loop() {
		e, r := virtualHour(uint64(b.N))
		events += e
		requests += r
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(events), "ns/event")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(requests), "ns/request")
}

func virtualHour(seed uint64) (events, requests int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	m := New(Config{Have: testModel, Seed: seed})
	now := time.Duration(0)
	for now < time.Hour {
		now += time.Duration(rng.ExpFloat64() * float64(640*time.Millisecond))
		events += drain(m, now)
		c := submit(fmt.Sprint("s", requests), 1000+int64(rng.ExpFloat64()*10_000), 200)
		for i := range c.Submit.PromptTokens / DefaultBlockTokens {
			c.Submit.Prefixes = append(c.Submit.Prefixes, uint64(rng.IntN(8)*1000)+uint64(i))
		}
		m.Do(now, c)
		requests++
	}
	return events + drain(m, now+time.Hour), requests
}

func drain(m *Model, until time.Duration) int {
	n := 0
	for m.Next() <= until {
		m.Tick(m.Next())
		n += len(m.TakeEvents())
	}
	return n
}
