package agent

import (
	"fmt"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/transport"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const controlRunTime = 5 * time.Minute

// controlRate returns the bytes per second of reports and cache deltas that
// an entry receives from the given number of agents. It measures one agent,
// which is busy and whose prefix cache changes every second, and assumes the
// same rate for all.
func controlRate(tb testing.TB, agents int) float64 {
	h := newHarness(tb, Config{})
	h.input(Input{EntryUp: &EntryUp{Entry: "entry-1"}})
	h.fromEntry("entry-1", wire.ToAgent{Heartbeat: &wire.Heartbeat{Agents: int32(agents)}})
	h.run(30 * time.Second) // the first reports are paced as if the agent were the only one
	h.resetRecords()
	for i := range uint64(controlRunTime / time.Second) {
		d := dispatch("entry-1", i+1, "antigua", 5000, 100)
		h.fromEntry("entry-1", wire.ToAgent{Dispatch: &d})
		h.input(Input{Engine: &engine.Event{Cache: &engine.Cache{Sequence: i + 1, Add: []uint64{i * 1e15, i*1e15 + 1, i*1e15 + 2}}}})
		h.run(time.Second)
	}
	bytes := 0
	for _, msg := range h.sent["entry-1"] {
		if msg.Report == nil && msg.CacheDelta == nil {
			continue
		}
		n, err := transport.EncodedSize(msg)
		if err != nil {
			tb.Fatal(err)
		}
		bytes += n
	}
	return float64(bytes*agents) / controlRunTime.Seconds()
}

// TestReportsKeepToBudget checks that all agents of an entry together stay
// within its budget for control messages.
func TestReportsKeepToBudget(t *testing.T) {
	for _, agents := range []int{1, 19, 170} {
		if rate := controlRate(t, agents); rate > wire.ControlBudget {
			t.Errorf("%d agents send %.0f bytes per second, want at most %d", agents, rate, wire.ControlBudget)
		}
	}
}

// TestReportSizes checks the message sizes from which the core computes its
// report interval.
func TestReportSizes(t *testing.T) {
	report := wire.ToEntry{Report: &wire.Report{
		Sequence:      100_000,
		LastAttempt:   1 << 40,
		Have:          wire.Assignment{Model: fakeModelName, Version: "2026-11", Role: wire.RoleServe},
		QueueTokens:   [wire.BandCount]int64{20_000, 200_000, 400_000, 0},
		Running:       40,
		PrefillTokens: 100_000,
		FreeTokens:    100_000,
		PrefillRate:   40_123.5,
		DecodeRate:    20.5,
		Revision:      1 << 20,
		TokensPerByte: 0.2512,
	}}
	if n, err := transport.EncodedSize(report); err != nil || n > wire.ReportBytes {
		t.Errorf("a report takes %d bytes, the core assumes at most %d (error %v)", n, wire.ReportBytes, err)
	}
	delta := &wire.CacheDelta{Sequence: 100_000, Reset: true}
	for i := range uint64(maxDeltaHashes) {
		delta.Add = append(delta.Add, ^i)
	}
	limit := cacheDeltaBytes + cacheHashBytes*maxDeltaHashes
	if n, err := transport.EncodedSize(wire.ToEntry{CacheDelta: delta}); err != nil || n > limit {
		t.Errorf("a cache delta takes %d bytes, the core assumes at most %d (error %v)", n, limit, err)
	}
}

// BenchmarkControlBytes reports the control bytes per second at an entry.
func BenchmarkControlBytes(b *testing.B) {
	for _, agents := range []int{1, 19, 60, 170} {
		b.Run(fmt.Sprintf("agents-%d", agents), func(b *testing.B) {
			var rate float64
			for b.Loop() {
				rate = controlRate(b, agents)
			}
			b.ReportMetric(rate, "bytes/s")
			b.ReportMetric(rate/float64(agents), "bytes/s/agent")
		})
	}
}
