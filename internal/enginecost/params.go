package enginecost

import "time"

// Params are the published constants of an engine.
type Params struct {
	Slots           int           // requests in one batch
	MemoryTokens    int64         // tokens that the KV cache holds
	Stride          int           // token steps in a pass that writes
	Step            time.Duration // of one token for a batch of none
	StepPerSequence time.Duration // added to a step by each writing request
	StepPerContext  time.Duration // added to a step by each thousand tokens of context
	ReadPerSecond   float64       // prompt tokens
	PairsPerMillion time.Duration // of reading: a million pairs of a token and an earlier one
	Chunk           int64         // prompt tokens read in one step at most
	Hop             time.Duration // added to a step by parts that others hold
	MaxHelpers      int           // other engines that may read parts of a prompt
}

// PrefillTime returns the time that a whole prompt takes to read, without waiting: for
// the tokens, for the pairs of a token with any earlier one, and for one token
// step a chunk.
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

// DecodePassTime returns the time that the token steps of one pass take while a number
// of requests with a total context in tokens write.
func (p *Params) DecodePassTime(writers int, context int64) time.Duration {
	step := p.Step + time.Duration(writers)*p.StepPerSequence +
		time.Duration(context)*p.StepPerContext/1000
	return time.Duration(max(p.Stride, 1)) * step
}
