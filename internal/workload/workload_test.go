package workload

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"trefoilpath.org/trefoilpath/internal/wire"
)

func testConfig() Config {
	return Config{
		Deployment: Atitlan(),
		Rate:       20,
		Burst:      DefaultBurst(),
		Mix:        DefaultMix(),
		Accounts:   AccountsWithShares([]wire.AccountID{"a", "b", "c", "d", "e", "f"}),
		Seed:       7,
	}
}

type arrival struct {
	At  time.Duration
	Req Request
}

func take(t *testing.T, cfg Config, n int) []arrival {
	t.Helper()
	g, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	out := make([]arrival, 0, n)
	for range n {
		at, r := g.Next()
		out = append(out, arrival{At: at, Req: r})
	}
	return out
}

func TestSameSeedSameRequests(t *testing.T) {
	if diff := cmp.Diff(take(t, testConfig(), 500), take(t, testConfig(), 500)); diff != "" {
		t.Errorf("two generators with the same seed differ (-first +second):\n%s", diff)
	}
}

func TestOmitLongKeepsTheOthers(t *testing.T) {
	all := take(t, testConfig(), 2000)
	cfg := testConfig()
	cfg.Mix.OmitLong = true
	var kept []arrival
	for _, a := range all {
		if a.Req.Kind != wire.KindEngine || a.Req.Band() <= wire.BandMedium {
			kept = append(kept, a)
		}
	}
	if len(kept) == len(all) {
		t.Fatal("none of the 2000 requests is a long prompt, so that OmitLong has nothing to drop")
	}
	if diff := cmp.Diff(kept, take(t, cfg, len(kept))); diff != "" {
		t.Errorf("OmitLong changes the other requests (-with +without):\n%s", diff)
	}
}

func TestMixAndRate(t *testing.T) {
	const n = 50_000
	sample := take(t, testConfig(), n)
	var prompts, long, unkeyed, keyed int
	for _, a := range sample {
		r := a.Req
		if r.Kind == wire.KindService {
			if r.Call.IdempotencyKey != "" {
				keyed++
			} else if !r.Repeatable {
				unkeyed++
			}
			continue
		}
		prompts++
		if r.PromptTokens < minPrompt || r.PromptTokens > maxPrompt {
			t.Fatalf("prompt of %d tokens, want %d to %d", r.PromptTokens, minPrompt, maxPrompt)
		}
		if r.PromptTokens > wire.MediumMaxTokens {
			long++
		}
	}
	if share := float64(long) / float64(prompts); share < 0.015 || share > 0.025 {
		t.Errorf("long prompts are %.3f of all, want one in fifty", share)
	}
	if keyed == 0 || unkeyed == 0 {
		t.Errorf("%d writes with an idempotency key and %d without, want some of each", keyed, unkeyed)
	}
	rate := n / sample[n-1].At.Seconds()
	if rate < 18 || rate > 22 {
		t.Errorf("%.1f arrivals per second, want 18 to 22", rate)
	}
}

func TestPromptsOnlyAccountsMakeNoCalls(t *testing.T) {
	cfg := testConfig()
	cfg.Accounts[0].PromptsOnly = true
	calls := make(map[wire.AccountID]int)
	for _, a := range take(t, cfg, 5_000) {
		if a.Req.Kind == wire.KindService {
			calls[a.Req.Account]++
		}
	}
	if calls["a"] != 0 || calls["b"] == 0 {
		t.Errorf("%d service calls of a PromptsOnly account, want 0; %d of another account, want some", calls["a"], calls["b"])
	}
}

func TestRepeatedKeysCarryTheSameBody(t *testing.T) {
	bodies := map[string]Request{}
	repeats := 0
	for _, a := range take(t, testConfig(), 20_000) {
		if a.Req.Call == nil || a.Req.Call.IdempotencyKey == "" {
			continue
		}
		first, seen := bodies[a.Req.Call.IdempotencyKey]
		if !seen {
			bodies[a.Req.Call.IdempotencyKey] = a.Req
			continue
		}
		repeats++
		if first.BodyDigest != a.Req.BodyDigest || first.Account != a.Req.Account {
			t.Fatalf("key %s is repeated with another body or account", a.Req.Call.IdempotencyKey)
		}
	}
	if repeats == 0 {
		t.Error("no call repeats an earlier key")
	}
}

func TestCapacityFollowsTheRates(t *testing.T) {
	base := StandinRates()
	fast := base
	fast.Prefill *= 2
	fast.Decode *= 2
	fast.IdleTokenTime /= 2
	fast.BusyTokenTime /= 2
	if ratio := rateOf(t, fast) / rateOf(t, base); ratio < 1.999 || ratio > 2.001 {
		t.Errorf("doubling all rates multiplies the capacity by %.3f, want 2", ratio)
	}
	small := base
	small.Memory /= 10
	if ratio := rateOf(t, small) / rateOf(t, base); ratio > 0.5 {
		t.Errorf("a tenth of the memory leaves %.3f of the capacity, want at most 0.5", ratio)
	}
}

func rateOf(t *testing.T, rates EngineRates) float64 {
	t.Helper()
	c, err := CapacityOf(testConfig(), rates)
	if err != nil {
		t.Fatal(err)
	}
	return c.RequestsPerSecond
}
