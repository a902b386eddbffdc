package gateway

import (
	"testing"
	"time"

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
