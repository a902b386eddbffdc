package workload

import (
	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/standin/enginemodel"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// EngineRates describe the speed and memory of one engine.
type EngineRates struct {
	Prefill         float64 // prompt tokens a second with nothing to decode, at position 0
	Decode          float64 // output tokens a second over a full batch, with nothing to prefill
	AttentionTokens float64 // position at which a prompt token costs twice as much
	IdleTokenTime   float64 // seconds between the output tokens of a sequence without prefill beside it
	BusyTokenTime   float64 // and with prefill beside it all the time
	Memory          float64 // KV cache tokens
}

// StandinRates returns the rates of the engine stand-in with its defaults.
func StandinRates() EngineRates {
	step := enginemodel.DefaultStepBase + enginemodel.DefaultStepTokens*enginemodel.DefaultPrefillPerToken
	memory := enginemodel.DefaultCapacityTokens * enginemodel.DefaultStepPerKVToken
	return EngineRates{
		Prefill:         enginemodel.DefaultStepTokens / step.Seconds(),
		Decode:          1 / enginemodel.DefaultStepPerSequence.Seconds(),
		AttentionTokens: enginemodel.DefaultAttentionTokens,
		IdleTokenTime:   (enginemodel.DefaultStepBase + memory).Seconds(),
		BusyTokenTime:   (step + memory).Seconds(),
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

// meanWork is what one request of a mix costs an engine on average.
type meanWork struct {
	tokens  float64 // prompt and output
	prefill float64 // seconds
	decode  float64 // seconds of a full batch
	waiting float64 // token seconds of memory during prefill
	holding float64 // token seconds of memory for each second between output tokens
}

func meanWorkOf(g *Generator, rates EngineRates) meanWork {
	var m meanWork
	seen := make(map[uint64]bool)
	for range capacitySample {
		_, r := g.Next()
		if r.Kind != wire.KindEngine {
			continue
		}
		prompt, output := float64(r.PromptTokens), float64(r.OutputTokens)
		prefill := rates.prefillSeconds(prompt) * (1 - sharedPart(r, seen))
		m.tokens += (prompt + output) / capacitySample
		m.prefill += prefill / capacitySample
		m.decode += output / rates.Decode / capacitySample
		m.waiting += prompt * prefill / capacitySample
		m.holding += (prompt + output/2) * output / capacitySample
	}
	return m
}

// sharedPart returns the part of a prompt whose blocks were seen before, and
// notes its blocks.
func sharedPart(r Request, seen map[uint64]bool) float64 {
	shared := int64(0)
	for i, hash := range r.Prefixes {
		if seen[hash] && shared == int64(i) {
			shared++
		}
		seen[hash] = true
	}
	return float64(shared*engine.PrefixBlockTokens) / float64(r.PromptTokens)
}

// fits reports whether an engine carries rate requests a second.
func (m meanWork) fits(rate float64, e EngineRates) bool {
	busy := rate * m.prefill
	tokenTime := e.IdleTokenTime + (e.BusyTokenTime-e.IdleTokenTime)*busy
	memory := rate * (m.waiting + m.holding*tokenTime)
	return busy+rate*m.decode <= 1 && memory <= e.Memory
}

// capacitySteps is the number of halvings of the interval around the capacity.
const capacitySteps = 40

// CapacityOf returns the arrival rate at which either the processors or the
// memory of the deployment's engines would be busy all the time with the mix of
// cfg, with every shared prefix cached. The rate and burst of cfg are not used.
func CapacityOf(cfg Config, rates EngineRates) (Capacity, error) {
	cfg.Rate = 1
	cfg.Burst = Burst{}
	g, err := New(cfg)
	if err != nil {
		return Capacity{}, err
	}
	m := meanWorkOf(g, rates)
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
