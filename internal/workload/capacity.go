package workload

import (
	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/standin/enginemodel"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// EngineRates holds the speed and memory of one engine.
type EngineRates struct {
	Prefill         float64 // prompt tokens per second with no decode beside it, at position 0
	Decode          float64 // output tokens per second of all sequences of a full batch together, with no prefill beside it
	AttentionTokens float64 // position at which a prompt token takes twice as long to prefill as at position 0
	IdleTokenTime   float64 // inter-token latency in seconds with a full KV cache when no prefill runs
	BusyTokenTime   float64 // inter-token latency in seconds with a full KV cache when every step also prefills
	Memory          float64 // KV cache tokens
}

// StandinRates returns the rates of the engine stand-in with its defaults.
func StandinRates() EngineRates {
	step := enginemodel.DefaultStepBase + enginemodel.DefaultStepTokens*enginemodel.DefaultPrefillPerToken
	kvTime := enginemodel.DefaultCapacityTokens * enginemodel.DefaultStepPerKVToken
	return EngineRates{
		Prefill:         enginemodel.DefaultStepTokens / step.Seconds(),
		Decode:          1 / enginemodel.DefaultStepPerSequence.Seconds(),
		AttentionTokens: enginemodel.DefaultAttentionTokens,
		IdleTokenTime:   (enginemodel.DefaultStepBase + kvTime).Seconds(),
		BusyTokenTime:   (step + kvTime).Seconds(),
		Memory:          enginemodel.DefaultCapacityTokens,
	}
}

// prefillSeconds returns the time in seconds to prefill a prompt of that many
// tokens with nothing beside it.
func (r EngineRates) prefillSeconds(prompt float64) float64 {
	return prompt / r.Prefill * (1 + prompt/2/r.AttentionTokens)
}

// Capacity is the highest load that a deployment can sustain.
type Capacity struct {
	RequestsPerSecond float64
	TokensPerSecond   float64 // prompt and output tokens
}

// capacitySample is the number of requests over which the mean cost is taken.
const capacitySample = 20_000

// meanCost is the mean cost of one request of a mix to an engine.
type meanCost struct {
	tokens        float64 // prompt and output
	prefill       float64 // seconds
	decode        float64 // seconds of decoding in a full batch
	prefillMemory float64 // KV cache token-seconds held during prefill
	decodeMemory  float64 // KV cache token-seconds held during decode, per second of inter-token latency
}

// meanCostOf averages the cost over capacitySample requests. Prefix blocks that
// an earlier request had are counted as cached. Service calls count as requests
// that cost the engines nothing.
func meanCostOf(g *Generator, rates EngineRates) meanCost {
	var m meanCost
	seen := make(map[uint64]bool)
	for range capacitySample {
		_, r := g.Next()
		if r.Kind != wire.KindEngine {
			continue
		}
		prompt, output := float64(r.PromptTokens), float64(r.OutputTokens)
		prefill := rates.prefillSeconds(prompt) * (1 - cachedFraction(r, seen))
		m.tokens += (prompt + output) / capacitySample
		m.prefill += prefill / capacitySample
		m.decode += output / rates.Decode / capacitySample
		m.prefillMemory += prompt * prefill / capacitySample
		m.decodeMemory += (prompt + output/2) * output / capacitySample
	}
	return m
}

// cachedFraction returns the fraction of a prompt, from its start, whose blocks
// are in seen, and adds all its blocks to seen.
func cachedFraction(r Request, seen map[uint64]bool) float64 {
	shared := int64(0)
	for i, hash := range r.Prefixes {
		if seen[hash] && shared == int64(i) {
			shared++
		}
		seen[hash] = true
	}
	return float64(shared*engine.PrefixBlockTokens) / float64(r.PromptTokens)
}

// fits reports whether one engine can sustain rate requests per second.
func (m meanCost) fits(rate float64, e EngineRates) bool {
	busy := rate * m.prefill
	tokenTime := e.IdleTokenTime + (e.BusyTokenTime-e.IdleTokenTime)*busy
	memory := rate * (m.prefillMemory + m.decodeMemory*tokenTime)
	return busy+rate*m.decode <= 1 && memory <= e.Memory
}

// capacitySteps is the number of bisection steps in the search for the capacity.
const capacitySteps = 40

// CapacityOf returns the arrival rate at which either the processors or the
// memory of the deployment's engines would be fully used by the mix of cfg, with
// every shared prefix cached. The rate and burst of cfg are not used.
func CapacityOf(cfg Config, rates EngineRates) (Capacity, error) {
	cfg.Rate = 1
	cfg.Burst = Burst{}
	g, err := New(cfg)
	if err != nil {
		return Capacity{}, err
	}
	m := meanCostOf(g, rates)
	low, high := 0.0, 1/m.prefill
	for range capacitySteps {
		if mid := (low + high) / 2; m.fits(mid, rates) {
			low = mid
		} else {
			high = mid
		}
	}
	rate := low * float64(cfg.Deployment.Engines)
	return Capacity{RequestsPerSecond: rate, TokensPerSecond: rate * m.tokens}, nil
}
