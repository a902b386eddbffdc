package workload

import (
	"trefoilpath.org/trefoilpath/internal/standin/enginemodel"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// EngineRates describe the speed and memory of one engine.
type EngineRates struct {
	Prefill         float64 // prompt tokens a second with nothing to decode, at position 0
	Decode          float64 // output tokens a second over a full batch, with nothing to prefill
	AttentionTokens float64 // position at which a prompt token costs twice as much
	TokenTime       float64 // seconds between the output tokens of a sequence at full load
	Memory          float64 // KV cache tokens
}

// StandinRates returns the rates of the engine stand-in with its defaults.
func StandinRates() EngineRates {
	step := enginemodel.DefaultStepBase + enginemodel.DefaultStepTokens*enginemodel.DefaultPrefillPerToken
	return EngineRates{
		Prefill:         enginemodel.DefaultStepTokens / step.Seconds(),
		Decode:          1 / enginemodel.DefaultStepPerSequence.Seconds(),
		AttentionTokens: enginemodel.DefaultAttentionTokens,
		TokenTime:       step.Seconds(),
		Memory:          enginemodel.DefaultCapacityTokens,
	}
}

// prefillSeconds returns the time to prefill a prompt alone.
func (r EngineRates) prefillSeconds(prompt float64) float64 {
	return prompt / r.Prefill * (1 + prompt/2/r.AttentionTokens)
}

// Capacity is the load that a deployment carries at most.
type Capacity struct {
	RequestsPerSecond float64
	TokensPerSecond   float64 // prompt and output tokens
}

// capacitySample is the number of requests from which the mean work is taken.
const capacitySample = 20_000

// CapacityOf returns the arrival rate at which either the processors or the
// memory of the deployment's engines would be busy all the time with the mix of
// cfg, without any prefix cached. The rate and burst of cfg are not used.
func CapacityOf(cfg Config, rates EngineRates) (Capacity, error) {
	cfg.Rate = 1
	cfg.Burst = Burst{}
	g, err := New(cfg)
	if err != nil {
		return Capacity{}, err
	}
	var seconds, memory, tokens float64 // sums over the sample
	for range capacitySample {
		_, r := g.Next()
		if r.Kind != wire.KindEngine {
			continue
		}
		prompt, output := float64(r.PromptTokens), float64(r.OutputTokens)
		prefill := rates.prefillSeconds(prompt)
		seconds += prefill + output/rates.Decode
		memory += (prompt + output/2) * (prefill + output*rates.TokenTime)
		tokens += prompt + output
	}
	busy := max(seconds, memory/rates.Memory) / capacitySample
	rate := float64(cfg.Deployment.Engines) / busy
	return Capacity{
		RequestsPerSecond: rate,
		TokensPerSecond:   rate * tokens / capacitySample,
	}, nil
}
