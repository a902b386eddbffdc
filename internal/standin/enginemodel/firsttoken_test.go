package enginemodel

import (
	"fmt"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/engine"
)

// BenchmarkFirstToken reports, in virtual milliseconds, the time to first token and
// the inter-token latency of the only prompt in the engine.
func BenchmarkFirstToken(b *testing.B) {
	for _, prompt := range []int64{1_000, 16_000, 100_000, 333_000} {
		b.Run(fmt.Sprint(prompt), func(b *testing.B) {
			var first, between time.Duration
			for b.Loop() {
				m := New(Config{Have: testModel})
				m.Do(0, submit("a", prompt, 101))
				events := drive(m, time.Hour)
				first = eventAt(events, func(ev engine.Event) bool { return ev.First != nil })
				end := eventAt(events, func(ev engine.Event) bool { return ev.Finished != nil })
				between = (end - first) / 100
			}
			b.ReportMetric(first.Seconds()*1000, "ttft-ms")
			b.ReportMetric(between.Seconds()*1000, "itl-ms")
		})
	}
}

// BenchmarkFirstTokenBehindLongPrompts reports the time to first token of a 2,000-token
// prompt that arrives 500 ms after 0 to 4 prompts of 90,000 tokens and priority 0, in
// virtual milliseconds. The short prompt has priority 0 or 1.
func BenchmarkFirstTokenBehindLongPrompts(b *testing.B) {
	for _, longs := range []int{0, 1, 2, 3, 4} {
		for _, priority := range []int32{0, 1} {
			b.Run(fmt.Sprintf("long=%d/priority=%d", longs, priority), func(b *testing.B) {
				var first time.Duration
				for b.Loop() {
					first = firstTokenBehind(longs, priority)
				}
				b.ReportMetric(first.Seconds()*1000, "ttft-ms")
			})
		}
	}
}

func firstTokenBehind(longs int, priority int32) time.Duration {
	m := New(Config{Have: testModel})
	for i := range longs {
		m.Do(0, submit(fmt.Sprint("long", i), 90_000, 10))
	}
	c := submit("short", 2000, 10)
	c.Submit.Priority = priority
	const arrival = 500 * time.Millisecond
	m.Do(arrival, c)
	at := eventAt(drive(m, time.Hour), func(ev engine.Event) bool { return ev.First != nil && ev.First.ID == "short" })
	return at - arrival
}

func eventAt(events []timed, match func(engine.Event) bool) time.Duration {
	for _, e := range events {
		if match(e.ev) {
			return e.at
		}
	}
	return 0
}
