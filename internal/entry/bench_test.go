package entry

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/limits"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// benchEndpoints is the number of endpoints that keep a stream to one entry at
// the scale that the project is designed for.
const benchEndpoints = 170

// loadedBench returns a bench with n engines that report some load.
func loadedBench(tb testing.TB, n int) *bench {
	cfg := Config{Self: "entry-1", Incarnation: 1, FailureDomain: "fd-a", Rand: rand.New(rand.NewPCG(1, 2)), NoStore: true}
	core, err := New(cfg)
	if err != nil {
		tb.Fatal(err)
	}
	b := &bench{core: core}
	core.Tick(0, []Input{{LocalDeclarations: testDeclarations()}})
	for b.now < limits.DefaultListLag+time.Second { // the account's concurrency is granted in steps
		b.now += 100 * time.Millisecond
		core.Tick(b.now, nil)
	}
	for i := range n {
		id := wire.EndpointID(fmt.Sprintf("e%03d", i))
		hello := wire.Hello{Endpoint: id, FailureDomain: "fd-a", Incarnation: 1, Kind: wire.KindEngine, Capacity: 400_000, Have: wire.Assignment{Model: "m"}}
		core.Tick(b.now, []Input{{AgentUp: &AgentUp{Hello: hello}}})
		core.Tick(b.now, []Input{{FromAgent: &FromAgent{Endpoint: id, Msg: wire.ToEntry{Report: benchReport(1, i)}}}})
	}
	return b
}

func benchReport(seq uint64, i int) *wire.Report {
	return &wire.Report{
		Sequence: seq, Have: wire.Assignment{Model: "m"}, FreeTokens: 300_000, PrefillRate: 40_000, DecodeRate: 40,
		Running: int32(i % 20), QueueTokens: [wire.BandCount]int64{int64(i % 7 * 1000), 0, 0, 0},
	}
}

// BenchmarkChoose measures one routing decision for a request with prefix
// hashes, which are compared with those of all endpoints. No endpoint here has
// any cached, so each comparison ends at the first hash. Without hashes the time
// does not depend on the number of endpoints beyond the sample.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{18, 60, benchEndpoints} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			s := loadedBench(b, n)
			c := s.core
			m := c.models.Get("m")
			r := &request{in: Request{Model: "m"}, account: c.snapshot.Accounts["shop"], promptTokens: 4000, maxOutput: 300, deadline: s.now + time.Minute}
			r.in.Prefixes = []uint64{1, 2, 3}
			b.ReportAllocs()
			for b.Loop() {
				if e, _ := c.choose(m, r); e == nil {
					b.Fatal("no endpoint")
				}
			}
		})
	}
}

// BenchmarkRequestLife measures a request from admission to its answer, with
// the messages of its agent, while the given number (held) of other requests
// are in flight.
func BenchmarkRequestLife(b *testing.B) {
	for _, held := range []int{0, 100, 1000} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			s := loadedBench(b, benchEndpoints)
			next := RequestID(0)
			for range held {
				next++
				s.begin(b, next)
			}
			b.ReportAllocs()
			for b.Loop() {
				next++
				at, id := s.begin(b, next)
				s.core.Tick(s.now, []Input{{FromAgent: &FromAgent{Endpoint: at, Msg: wire.ToEntry{Started: &wire.Started{Attempt: id}}}}})
				s.core.Tick(s.now, []Input{{StreamProgress: &StreamProgress{ID: next, Attempt: id, Event: StreamFirst, Delivered: 1}}})
				s.core.Tick(s.now, []Input{{StreamProgress: &StreamProgress{ID: next, Attempt: id, Event: StreamDone, Delivered: 20, Total: wire.FrameTotal{OutputTokens: 20}}}})
				s.now += time.Microsecond
			}
		})
	}
}

// begin admits a request and returns its dispatch.
func (b *bench) begin(tb testing.TB, id RequestID) (wire.EndpointID, wire.AttemptID) {
	out := b.core.Tick(b.now, []Input{{Request: &Request{ID: id, ExternalID: "r", Account: "shop", Kind: wire.KindEngine, Model: "m", PromptTokens: 1000, MaxOutput: 20}}})
	for _, o := range out {
		if o.ToAgent != nil && o.ToAgent.Msg.Dispatch != nil {
			return o.ToAgent.Endpoint, o.ToAgent.Msg.Dispatch.Attempt
		}
		if o.Answer != nil {
			tb.Fatalf("refused: %s %s", o.Answer.Code, o.Answer.Detail)
		}
	}
	tb.Fatal("nothing was dispatched")
	return "", wire.AttemptID{}
}

// BenchmarkReport measures what one load report costs an entry.
func BenchmarkReport(b *testing.B) {
	for _, n := range []int{18, 60, benchEndpoints} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			s := loadedBench(b, n)
			seq := uint64(1)
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				if i++; i == n {
					i = 0
				}
				seq++
				s.now += time.Microsecond
				id := wire.EndpointID(fmt.Sprintf("e%03d", i))
				s.core.Tick(s.now, []Input{{FromAgent: &FromAgent{Endpoint: id, Msg: wire.ToEntry{Report: benchReport(seq, i)}}}})
			}
		})
	}
}

// BenchmarkState reports the memory of an entry for each request and endpoint.
func BenchmarkState(b *testing.B) {
	const requests = 10_000
	for b.Loop() {
		before := heap()
		s := loadedBench(b, benchEndpoints)
		endpoints := heap()
		for id := range RequestID(requests) {
			s.begin(b, id+1)
			s.now += time.Microsecond
		}
		all := heap()
		b.ReportMetric(float64(endpoints-before)/benchEndpoints, "B/endpoint")
		b.ReportMetric(float64(all-endpoints)/requests, "B/request")
		runtime.KeepAlive(s)
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
