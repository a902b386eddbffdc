package entry

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	// defaultPrefillRate and defaultDecodeRate stand in until an endpoint has
	// reported its own.
	defaultPrefillRate = 30_000.0 // tokens a second
	defaultDecodeRate  = 40.0     // tokens a second and sequence
	// defaultOutput is the usual output of a band that has not been seen.
	defaultOutput = 256.0 // tokens
	// longPrefillPenalty is the extra time to first token that a long prefill
	// under way costs a short prompt at the same endpoint.
	longPrefillPenalty = 40 * time.Millisecond
	// sequencePenalty is the extra time that each running sequence costs.
	sequencePenalty = 400 * time.Microsecond
	// interferencePenalty is what each running sequence counts against sending a
	// long prompt to the same endpoint.
	interferencePenalty = 5 * time.Millisecond
	// memoryPenalty is the wait for each token of memory that is not free.
	memoryPenalty = 200 * time.Microsecond
	// prefixBlockTokens is the number of prompt tokens that one prefix hash
	// stands for.
	prefixBlockTokens = 1024
	// outputSmoothing is the weight of a new sample in the moving output length.
	outputSmoothing = 0.05
)

// prediction is what routing expects of one endpoint for one request.
type prediction struct {
	ttft     time.Duration // time to first token
	score    time.Duration // first, plus what the choice costs other requests
	uncached int64
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
	share := c.cfg.Weights.ShortShare()
	if r.band == wire.BandShort {
		p.ttft += time.Duration(e.report.LongRunning) * longPrefillPenalty
		p.score += time.Duration(float64(e.report.LongRunning) * float64(longPrefillPenalty) * 2 * share)
		return p
	}
	crowd := float64(e.report.Running) + float64(e.inFlight)
	p.score += time.Duration(crowd * float64(interferencePenalty) * 2 * share)
	return p
}

// tokensAhead returns the prompt tokens that run before a request of the band.
// Engines and agents prefer short prompts, so a short one waits only for others.
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

// memoryWait estimates the wait for memory to come free.
func (c *Core) memoryWait(e *endpoint, r *request) time.Duration {
	short := r.promptTokens + r.maxOutput - (e.report.FreeTokens - e.unreportedMemory)
	if short <= 0 || e.report.Sequence == 0 {
		return 0
	}
	return time.Duration(short) * memoryPenalty
}

// transferTime returns the time that messages to the endpoint take.
func (c *Core) transferTime(e *endpoint) time.Duration {
	if e.hello.FailureDomain == c.cfg.FailureDomain {
		return DefaultTransferSameDomain
	}
	if c.fleet.sameRegion(e.hello.FailureDomain) {
		return DefaultTransferSameRegion
	}
	return DefaultTransferOtherRegion
}

// bestPrediction returns the shortest predicted time to first token over the
// usable endpoints of the model, or -1 if there is none.
func (c *Core) bestPrediction(m *modelRow, r *request) time.Duration {
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

// decodeTime estimates how long the output takes.
func (c *Core) decodeTime(m *modelRow, r *request) time.Duration {
	usual := m.meanOutput[r.band]
	if usual <= 0 {
		usual = defaultOutput
	}
	tokens := min(usual, float64(r.maxOutput))
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

// learn updates the model's usual output and bytes a token.
func (m *modelRow) learn(r *request, f *wire.Finished) {
	m.tokensSinceUpdate += float64(f.PromptTokens + f.OutputTokens)
	usual := &m.meanOutput[r.band]
	if *usual == 0 {
		*usual = float64(f.OutputTokens)
	}
	*usual += (float64(f.OutputTokens) - *usual) * outputSmoothing
	if r.in.PromptTokens == 0 && r.in.PromptBytes > 0 && f.PromptTokens > 0 {
		sample := float64(f.PromptTokens) / float64(r.in.PromptBytes)
		if m.tokensPerByte == 0 {
			m.tokensPerByte = sample
		}
		m.tokensPerByte += (sample - m.tokensPerByte) * outputSmoothing
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
