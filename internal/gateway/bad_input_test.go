package gateway

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"trefoilpath.org/trefoilpath/internal/enginecost"
	"trefoilpath.org/trefoilpath/internal/retrybudget"
	"trefoilpath.org/trefoilpath/internal/route"
)

// TestExtremeEngineParamsAndTokenCounts checks that a gateway ends every request,
// whatever constants an engine publishes and whatever token counts a caller sends,
// including zero and very large values.
func TestExtremeEngineParamsAndTokenCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		edgeValues := rapid.SampledFrom([]int64{0, 1, 2, 16, 1000, 450_000, 1 << 40})
		duration := func(name string) time.Duration { return time.Duration(edgeValues.Draw(t, name)) * time.Microsecond }
		engine := &enginecost.Params{
			Slots: int(edgeValues.Draw(t, "slots")), StepsPerPass: int(min(edgeValues.Draw(t, "stride"), 1000)), MemoryTokens: edgeValues.Draw(t, "memory"),
			Step: duration("step"), PrefillRate: float64(edgeValues.Draw(t, "read")), TimePerMillionPairs: duration("pairs"),
			MaxPrefillTokensPerStep: edgeValues.Draw(t, "chunk"), MaxHelpers: int(min(edgeValues.Draw(t, "helpers"), 16)),
		}
		r := testRoutes()[rapid.SampledFrom([]string{"short", "medium", "long"}).Draw(t, "kind")]
		table, err := route.Compile(&route.Config{Version: 2, Routes: []route.Route{*r}, Services: []route.Service{{Name: engineService, Engine: engine}}})
		if err != nil {
			t.Skip("route.Compile rejects the drawn configuration")
		}
		c := New(Config{
			Incarnation: 1, Addr: gatewayAddr(0), Placement: DefaultPlacement(),
			Retry: retrybudget.Config{Ratio: 0.2, FleetRetriesPerWindow: 100, Window: 10 * time.Second},
		})
		c.Tick(0, Input{Config: table}, Input{Endpoints: testEndpoints(rapid.IntRange(1, 20).Draw(t, "engines"), 0)})
		now := time.Second
		for id := RequestID(1); id < 6; id++ {
			c.Tick(now, Input{Arrive: &Arrival{
				ID: id, RequestID: "r", Route: r, Service: engineService, PromptTokens: edgeValues.Draw(t, "prompt"), MaxOutputTokens: edgeValues.Draw(t, "output"), Deadline: now + r.Timeout,
			}})
			now += 10 * time.Millisecond
		}
		for range 40 {
			now += time.Second
			c.Tick(now)
		}
		if n := c.InFlight(); n > 0 {
			t.Errorf("%d requests have not ended", n)
		}
	})
}

// TestAnyOrderOfLimitsAndPermits checks that a gateway keeps its invariants, as that it dispatches
// only with a permit, and ends every request, whatever limits and permits come in which order.
func TestAnyOrderOfLimitsAndPermits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(Config{
			Incarnation: 1, Addr: gatewayAddr(0), Placement: DefaultPlacement(),
			Retry: retrybudget.Config{Ratio: 0.2, FleetRetriesPerWindow: 100, Window: 10 * time.Second},
		})
		routes := testRoutes()
		cfg := &route.Config{Version: 1, Services: []route.Service{{Name: engineService, Engine: testEngine()}, {Name: plainService}}}
		for _, name := range []string{"short", "medium", "long", "safe", "unsafe"} {
			cfg.Routes = append(cfg.Routes, *routes[name])
		}
		table, err := route.Compile(cfg)
		if err != nil {
			t.Fatal(err)
		}
		rows := testEndpoints(3, 2)
		c.Tick(0, Input{Config: table}, Input{Endpoints: rows})
		limit := rapid.SampledFrom([]float64{0, 0.2, 1, 2.7, 50, 1e6})
		number := rapid.SampledFrom([]int64{-1 << 62, -1000, 0, 1, 3, 200, 1 << 62})
		now, lastID := time.Second, RequestID(0)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			row := rows.Rows[rapid.IntRange(0, len(rows.Rows)-1).Draw(t, "endpoint")]
			hash := xxhash.Sum64String(string(row.ID))
			m := &PeerMessage{From: gatewayAddr(rapid.IntRange(1, 3).Draw(t, "peer")), Incarnation: 1, Versions: &Versions{}}
			in := Input{Peer: m}
			switch rapid.IntRange(0, 5).Draw(t, "input") {
			case 0:
				in = Input{Limit: &EndpointLimit{Endpoint: row.ID, Addr: row.Addr, Limit: limit.Draw(t, "limit"), Sent: now - 20*time.Millisecond}}
			case 1:
				m.Limits = []LimitRow{{Endpoint: hash, Limit: limit.Draw(t, "limit"), SentMS: number.Draw(t, "sent"), ReceivedMS: number.Draw(t, "received")}}
			case 2:
				m.Demands = []PermitDemand{{Endpoint: hash, Count: int(number.Draw(t, "count")), DueMS: number.Draw(t, "due")}}
			case 3:
				m.Grants = []PermitGrant{{Endpoint: hash, Count: int(number.Draw(t, "count")), WaitMS: number.Draw(t, "wait")}}
				if keeper := gatewayAddr(rapid.IntRange(0, 4).Draw(t, "keeper")); rapid.Bool().Draw(t, "redirect") {
					m.Grants[0].Keeper = &keeper
				}
			default:
				lastID++
				r := routes[rapid.SampledFrom([]string{"short", "medium", "long", "safe", "unsafe"}).Draw(t, "kind")]
				in = Input{Arrive: &Arrival{
					ID: lastID, RequestID: "r", Route: r, Service: r.Targets[0].Service,
					PromptTokens: rapid.SampledFrom([]int64{400, 40_000, 300_000}).Draw(t, "prompt"), MaxOutputTokens: 100, Deadline: now + r.Timeout,
				}}
			}
			out := c.Tick(now, in)
			for d := dispatchOf(out); d != nil; d = nil {
				c.Tick(now, Input{Sent: &Sent{ID: d.ID, Attempt: d.Attempt}})
				c.Tick(now, Input{Ended: &AttemptEnded{ID: d.ID, Attempt: d.Attempt, Result: ResultDone, Status: 200}})
			}
		}
		for range 40 {
			now += time.Second
			c.Tick(now)
		}
		if n := c.InFlight(); n > 0 {
			t.Errorf("%d requests have not ended", n)
		}
	})
}
