package workload

import (
	"trefoilpath.org/trefoilpath/internal/wire"
)

// EngineRates are the steady rates of one engine in tokens a second.
type EngineRates struct {
	Prefill float64 // with nothing to decode
	Decode  float64 // over a full batch, with nothing to prefill
}

// Capacity is the load that a deployment carries at most.
type Capacity struct {
	RequestsPerSecond float64
	TokensPerSecond   float64 // prompt and output tokens
}

// capacitySample is the number of requests from which the mean work is taken.
const capacitySample = 20_000

// CapacityOf returns the arrival rate at which the engines of the deployment
// would be busy all the time with the mix of cfg, without any prefix cached.
// The rate and burst of cfg are not used.
func CapacityOf(cfg Config, rates EngineRates) (Capacity, error) {
	cfg.Rate = 1
	cfg.Burst = Burst{}
	g, err := New(cfg)
	if err != nil {
		return Capacity{}, err
	}
	var seconds, tokens float64
	for range capacitySample {
		_, r := g.Next()
		if r.Kind != wire.KindEngine {
			continue
		}
		seconds += float64(r.PromptTokens)/rates.Prefill + float64(r.OutputTokens)/rates.Decode
		tokens += float64(r.PromptTokens + r.OutputTokens)
	}
	rate := float64(cfg.Deployment.Engines) * capacitySample / seconds
	return Capacity{
		RequestsPerSecond: rate,
		TokensPerSecond:   rate * tokens / capacitySample,
	}, nil
}
