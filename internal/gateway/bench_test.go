package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// BenchmarkRequest measures the core's work for one short request, from its arrival
// to its end, with ten running streams per engine.
func BenchmarkRequest(b *testing.B) {
	for _, engines := range []int{18, 60, 170, 1000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			c := newTestCore(b, 0, 1)
			c.Tick(0, Input{Endpoints: testEndpoints(engines, 3)})
			id := RequestID(0)
			for range engines * 10 {
				id++
				submit(c, time.Second, id, "short")
				c.Tick(time.Second, Input{First: &FirstEvent{ID: id, Attempt: 1}})
			}
			now := 2 * time.Second
			b.ReportAllocs()
			for b.Loop() {
				id++
				now += time.Millisecond
				submit(c, now, id, "short")
				c.Tick(now, Input{Sent: &Sent{ID: id, Attempt: 1}})
				c.Tick(now, Input{First: &FirstEvent{ID: id, Attempt: 1}})
				c.Tick(now, Input{Ended: &AttemptEnded{ID: id, Attempt: 1, Result: ResultDone, Status: 200}})
			}
		})
	}
}

// BenchmarkPlaceLong measures one placement of sixteen long prompts on busy engines.
func BenchmarkPlaceLong(b *testing.B) {
	for _, engines := range []int{18, 60, 170} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			c := newTestCore(b, 0, 1)
			c.Tick(0, Input{Endpoints: testEndpoints(engines, 0)})
			id := RequestID(0)
			for len(c.service(engineService).waiting) < maxPlanJobs {
				id++
				r := testRoutes()["long"]
				c.Tick(time.Second, Input{Arrive: &Arrival{ID: id, RequestID: "l", Route: r, Service: engineService, PromptTokens: 300_000, MaxOutputTokens: 500, Deadline: 16 * time.Second}})
			}
			b.ReportAllocs()
			for b.Loop() {
				c.placeLong(c.service(engineService))
			}
		})
	}
}

// BenchmarkPeerMessages reports the bytes and messages per second that one gateway
// sends to its peers, with the load of one small VM at each gateway.
func BenchmarkPeerMessages(b *testing.B) {
	for _, gateways := range []int{5, 22, 31, 100} {
		b.Run(fmt.Sprint(gateways), func(b *testing.B) {
			for b.Loop() {
				s := newSimulation(b, gateways)
				s.run(3 * time.Second) // every gateway has received a message from every other
				bytes, messages := 0, 0
				s.onPeerMessage = func(m *PeerMessage) {
					raw, err := cbor.Marshal(m)
					if err != nil {
						b.Fatal(err)
					}
					bytes += len(raw)
					messages++
				}
				const length = 4 * time.Second
				s.offerLoad(rand.New(rand.NewPCG(1, 1)), requestRates{short: 40, medium: 2.9, long: 1.2}, length)
				per := float64(gateways) * length.Seconds()
				b.ReportMetric(float64(bytes)/per, "B/s/gateway")
				b.ReportMetric(float64(messages)/per, "messages/s/gateway")
			}
		})
	}
}
