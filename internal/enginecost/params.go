package enginecost

import "time"

// Params are the constants that an engine publishes.
type Params struct {
	Slots           int           // requests in one batch
	MemoryTokens    int64         // capacity of the KV cache
	Stride          int           // token steps in a pass that decodes
	Step            time.Duration // duration of a token step with an empty batch
	StepPerSequence time.Duration // added to a step by each decoding request
	StepPerContext  time.Duration // added to a step by each thousand tokens of context
	ReadPerSecond   float64       // prefill rate, in prompt tokens per second
	PairsPerMillion time.Duration // prefill time of a million pairs of a token and an earlier token
	Chunk           int64         // maximum number of prompt tokens prefilled in one step
	Hop             time.Duration // added to a step if other engines hold parts of the prompt
	MaxHelpers      int           // maximum number of other engines that prefill parts of a prompt
}

// PrefillTime returns the time to prefill a whole prompt of the given number of
// tokens, without queueing: the sum of the time per token, the time per pair of a
// token and an earlier one, and one token step per chunk. It is 0 if the prefill
// rate is unknown.
func (p *Params) PrefillTime(prompt int64) time.Duration {
	if p.ReadPerSecond <= 0 {
		return 0
	}
	tokens := float64(prompt)
	pairs := tokens * tokens / 2 / 1e6
	steps := time.Duration(0)
	if p.Chunk > 0 {
		steps = time.Duration((prompt+p.Chunk-1)/p.Chunk) * p.Step
	}
	return steps + time.Duration(tokens/p.ReadPerSecond*float64(time.Second)) +
		time.Duration(pairs*float64(p.PairsPerMillion))
}

// DecodePassTime returns the time of the token steps of one pass in which the
// given number of requests decode, with context tokens in total.
func (p *Params) DecodePassTime(decoding int, context int64) time.Duration {
	step := p.Step + time.Duration(decoding)*p.StepPerSequence +
		time.Duration(context)*p.StepPerContext/1000
	return time.Duration(max(p.Stride, 1)) * step
}
