package enginecost

import "time"

// Params are the constants that an engine publishes.
type Params struct {
	Slots                   int           // requests in one batch
	MemoryTokens            int64         // capacity of the KV cache
	StepsPerPass            int           // token steps in a pass that decodes
	Step                    time.Duration // duration of a token step with an empty batch
	StepPerSequence         time.Duration // added to a step by each decoding request
	StepPerThousandTokens   time.Duration // added to a step by each thousand tokens of context
	PrefillRate             float64       // prefill rate, in prompt tokens per second
	TimePerMillionPairs     time.Duration // prefill time of a million pairs of a token and an earlier token
	MaxPrefillTokensPerStep int64         // maximum number of prompt tokens prefilled in one step
	RemotePartStep          time.Duration // added to a step if other engines hold parts of the prompt; not included in PrefillTime and DecodePassTime
	MaxHelpers              int           // maximum number of other engines that prefill parts of a prompt
}

// PrefillTime returns the time to prefill a whole prompt of the given number of
// tokens, without queueing: the sum of the time per token, the time per pair of a
// token and an earlier one, and one Step for each MaxPrefillTokensPerStep tokens or
// part of them. It is 0 if the prefill rate is unknown.
func (p *Params) PrefillTime(prompt int64) time.Duration {
	if p.PrefillRate <= 0 {
		return 0
	}
	tokens := float64(prompt)
	pairs := tokens * tokens / 2 / 1e6
	steps := time.Duration(0)
	if p.MaxPrefillTokensPerStep > 0 {
		steps = time.Duration((prompt+p.MaxPrefillTokensPerStep-1)/p.MaxPrefillTokensPerStep) * p.Step
	}
	return steps + time.Duration(tokens/p.PrefillRate*float64(time.Second)) +
		time.Duration(pairs*float64(p.TimePerMillionPairs))
}

// DecodePassTime returns the time of the token steps of one pass in which the
// given number of requests decode, with context tokens in total.
func (p *Params) DecodePassTime(decoding int, context int64) time.Duration {
	step := p.Step + time.Duration(decoding)*p.StepPerSequence +
		time.Duration(context)*p.StepPerThousandTokens/1000
	return time.Duration(max(p.StepsPerPass, 1)) * step
}
