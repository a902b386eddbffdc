package entry

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	// defaultPrefillRate and defaultDecodeRate are used until an endpoint has
	// reported its own.
	defaultPrefillRate = 30_000.0 // tokens a second
	defaultDecodeRate  = 40.0     // tokens a second and sequence
	// defaultOutput is the assumed output of a band until a request of it has
	// completed.
	defaultOutput = 256.0 // tokens
	// longPrefillPenalty is the extra TTFT of a short prompt for each long
	// prefill in progress at the same endpoint.
	longPrefillPenalty = 40 * time.Millisecond
	// sequencePenalty is the extra TTFT for each running sequence.
	sequencePenalty = 400 * time.Microsecond
	// interferencePenalty is added to the score of a prompt that is not short,
	// since its prefill slows down other sequences: once for each sequence in
	// the endpoint's last report and for each attempt of this entry in flight
	// there. An attempt that the report includes counts twice.
	interferencePenalty = 5 * time.Millisecond
	// memoryPenalty is the predicted wait for each KV cache token that is
	// needed but not free.
	memoryPenalty = 200 * time.Microsecond
	// prefixBlockTokens is the number of prompt tokens that one prefix hash
	// stands for.
	prefixBlockTokens = 1024
	// outputSmoothing is the weight of a new sample in the moving averages of
	// output and tokens per byte.
	outputSmoothing = 0.05
)

// prediction is the expected result of routing one request to one endpoint.
type prediction struct {
	ttft time.Duration // time to first token
	// score is ttft plus what the choice costs other requests, by Config.Weights;
	// the lowest is chosen. For a short prompt it weighs the penalty for long
	// prefills, which ttft holds in full.
	score    time.Duration
	uncached int64 // prompt tokens to prefill
}

// predict estimates the time to first token of r at e from the last report, the
// attempts sent since, and the prefix cache.
func (c *Core) predict(e *endpoint, r *request) prediction {
	rate := e.report.PrefillRate
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	uncached := max(r.promptTokens-e.prefixes.match(r.in.Prefixes)*prefixBlockTokens, 1)
	ahead := c.tokensAhead(e, r.band)
	p := prediction{uncached: uncached}
	p.ttft = seconds(float64(ahead+uncached)/rate) + c.transferTime(e) + time.Duration(e.report.Running)*sequencePenalty
	p.ttft += c.memoryWait(e, r)
	p.score = p.ttft
	share := c.cfg.Weights.ShortShare() // 0.5 for even weights, with which a penalty counts once
	if r.band == wire.BandShort {
		p.ttft += time.Duration(e.report.LongRunning) * longPrefillPenalty
		p.score += time.Duration(float64(e.report.LongRunning) * float64(longPrefillPenalty) * 2 * share)
		return p
	}
	sequences := float64(e.report.Running) + float64(e.inFlight)
	p.score += time.Duration(sequences * float64(interferencePenalty) * 2 * share)
	return p
}

// tokensAhead returns the prompt tokens that are prefilled before a request of
// the band. Engines and agents prefer short prompts, so a short one waits only
// for other short ones.
func (c *Core) tokensAhead(e *endpoint, band wire.Band) int64 {
	if band == wire.BandShort {
		return e.report.QueueTokens[wire.BandShort] + e.report.ShortPrefill + e.unreportedTokens[wire.BandShort]
	}
	ahead := e.report.PrefillTokens
	for b := wire.BandShort; b < wire.BandCount; b++ {
		ahead += e.report.QueueTokens[b] + e.unreportedTokens[b]
	}
	return ahead
}

// memoryWait estimates the wait for free memory.
func (c *Core) memoryWait(e *endpoint, r *request) time.Duration {
	missing := r.promptTokens + r.maxOutput - (e.report.FreeTokens - e.unreportedMemory)
	if missing <= 0 || e.report.Sequence == 0 {
		return 0
	}
	return time.Duration(missing) * memoryPenalty
}

// transferTime returns the time that a message to the endpoint takes.
func (c *Core) transferTime(e *endpoint) time.Duration {
	if e.hello.FailureDomain == c.cfg.FailureDomain {
		return TransferSameDomain
	}
	if c.fleet.sameRegion(e.hello.FailureDomain) {
		return TransferSameRegion
	}
	return TransferOtherRegion
}

// bestPrediction returns the shortest predicted time to first token over the
// usable endpoints of the model, or -1 if there is none.
func (c *Core) bestPrediction(m *modelState, r *request) time.Duration {
	best := time.Duration(-1)
	for _, e := range m.endpoints {
		if !c.usable(e) {
			continue
		}
		if p := c.predict(e, r); best < 0 || p.ttft < best {
			best = p.ttft
		}
	}
	return best
}

// decodeTime estimates the time to decode the output.
func (c *Core) decodeTime(m *modelState, r *request) time.Duration {
	output := m.meanOutput[r.band]
	if output <= 0 {
		output = defaultOutput
	}
	tokens := min(output, float64(r.maxOutput))
	rate := 0.0
	n := 0
	for _, e := range m.endpoints {
		if e.report.DecodeRate > 0 {
			rate += e.report.DecodeRate
			n++
		}
	}
	if n == 0 {
		return seconds(tokens / defaultDecodeRate)
	}
	return seconds(tokens / (rate / float64(n)))
}

// learn updates the model's token count, mean output and tokens per byte from a
// completed request.
func (m *modelState) learn(r *request, f *wire.Finished) {
	m.tokensSinceUpdate += float64(f.PromptTokens + f.OutputTokens)
	mean := &m.meanOutput[r.band]
	if *mean == 0 {
		*mean = float64(f.OutputTokens)
	}
	*mean += (float64(f.OutputTokens) - *mean) * outputSmoothing
	if r.in.PromptTokens == 0 && r.in.PromptBytes > 0 && f.PromptTokens > 0 {
		sample := float64(f.PromptTokens) / float64(r.in.PromptBytes)
		if m.tokensPerByte == 0 {
			m.tokensPerByte = sample
		}
		m.tokensPerByte += (sample - m.tokensPerByte) * outputSmoothing
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
