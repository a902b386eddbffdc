package workload

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// Generator yields the requests of one workload in order of arrival. It is not
// safe for concurrent use.
type Generator struct {
	cfg      Config
	arrivals *rand.Rand
	content  *rand.Rand
	now      time.Duration // of the last arrival
	number   uint64        // Number of the next request
	bursting bool
	phaseEnd time.Duration // of the current burst, or of the current pause between bursts
	shares   float64       // sum over all accounts
	calls    []Request     // last keyed calls, at most maxRecentCalls, for repeats
	texts    sharedTexts
}

// Streams of the random generators. They are separate, so that arrival times do
// not depend on the random numbers used for the content.
const (
	arrivalStream = 1
	contentStream = 2
)

// New returns a generator for the workload, or an error if cfg has no positive
// rate or no account.
func New(cfg Config) (*Generator, error) {
	if cfg.Rate <= 0 {
		return nil, errors.Errorf("rate is %v requests per second: want more than 0", cfg.Rate)
	}
	if len(cfg.Accounts) == 0 {
		return nil, errors.New("workload has no client accounts")
	}
	g := &Generator{
		cfg:      cfg,
		arrivals: rand.New(rand.NewPCG(cfg.Seed, arrivalStream)),
		content:  rand.New(rand.NewPCG(cfg.Seed, contentStream)),
	}
	for _, a := range cfg.Accounts {
		g.shares += a.Share
	}
	if cfg.Burst.Factor > 0 {
		g.phaseEnd = g.exponential(cfg.Burst.Off)
	}
	g.texts = newSharedTexts(cfg.Seed)
	return g, nil
}

// Next returns the next request and the time at which it arrives, counted from
// the start of the workload. The sequence has no end.
func (g *Generator) Next() (time.Duration, Request) {
	for {
		g.advance()
		r := g.draw()
		if g.cfg.Mix.OmitLong && r.Kind == wire.KindEngine && r.Band() > wire.BandMedium {
			continue
		}
		return g.now, r
	}
}

// advance moves now to the next arrival.
func (g *Generator) advance() {
	if g.cfg.Burst.Factor <= 0 {
		g.now += g.exponential(secondsToDuration(1 / g.cfg.Rate))
		return
	}
	for {
		at := g.now + g.exponential(secondsToDuration(1/g.phaseRate()))
		if at < g.phaseEnd {
			g.now = at
			return
		}
		g.now = g.phaseEnd
		g.bursting = !g.bursting
		mean := g.cfg.Burst.Off
		if g.bursting {
			mean = g.cfg.Burst.On
		}
		g.phaseEnd = g.now + g.exponential(mean)
	}
}

// minQuietFraction is the lowest arrival rate between bursts as a fraction of the
// mean, so that arrivals never stop.
const minQuietFraction = 0.05

// phaseRate returns the current arrival rate per second: in a burst, or between
// bursts.
func (g *Generator) phaseRate() float64 {
	b := g.cfg.Burst
	if g.bursting {
		return b.Factor * g.cfg.Rate
	}
	on := b.On.Seconds() / (b.On + b.Off).Seconds()
	quiet := (1 - b.Factor*on) / (1 - on)
	return max(quiet, minQuietFraction) * g.cfg.Rate
}

// Deadlines are drawn uniformly from whole seconds, 20 to 119.
const (
	minDeadlineSeconds   = 20
	deadlineRangeSeconds = 100
)

// draw generates the next request.
func (g *Generator) draw() Request {
	account := g.account()
	r := Request{Number: g.number, Account: account.ID}
	g.number++
	if g.chance(g.cfg.Mix.AskDeadline) {
		r.Deadline = time.Duration(minDeadlineSeconds+g.content.IntN(deadlineRangeSeconds)) * time.Second
	}
	if g.chance(g.cfg.Mix.Service) && !account.PromptsOnly {
		return g.service(r)
	}
	return g.prompt(r)
}

// prompt completes r as a request for the model.
func (g *Generator) prompt(r Request) Request {
	r.Kind = wire.KindEngine
	r.Model = g.cfg.Deployment.Model
	r.PromptTokens = g.promptTokens()
	r.OutputTokens = g.logUniform(minOutput, maxOutput)
	r.MaxOutput = min(r.OutputTokens*2, maxOutput)
	r.BodyBytes = r.PromptTokens * BytesPerToken
	r.BodyDigest = g.content.Uint64()
	r.Prefixes = g.prefixes(r)
	r.Repeatable = true
	return r
}

// Bounds of prompt and output lengths, in tokens.
const (
	minPrompt = 1_000
	maxPrompt = 1_000_000
	minOutput = 32
	maxOutput = 1_024
)

// promptTokens draws the length of a prompt.
func (g *Generator) promptTokens() int64 {
	switch x := g.content.Float64(); {
	case x >= g.cfg.Mix.Long+g.cfg.Mix.Medium:
		return g.logUniform(minPrompt, wire.ShortMaxTokens)
	case x >= g.cfg.Mix.Long:
		return g.logUniform(wire.ShortMaxTokens+1, wire.MediumMaxTokens)
	}
	if g.chance(g.cfg.Mix.Huge) {
		return g.logUniform(wire.LongMaxTokens+1, maxPrompt)
	}
	return g.logUniform(wire.MediumMaxTokens+1, wire.LongMaxTokens)
}

// Constants of plain service calls.
const (
	callBytes      = 600 // body
	maxRecentCalls = 64  // kept for repeats
)

// service completes r as a plain service call.
func (g *Generator) service(r Request) Request {
	d := g.cfg.Deployment
	r.Kind = wire.KindService
	r.BodyBytes = callBytes
	r.BodyDigest = g.content.Uint64()
	if !g.chance(g.cfg.Mix.WriteCalls) {
		r.Call = &wire.ServiceCall{Service: d.Service, Method: d.Read.Method, Path: d.Read.Path}
		r.Repeatable = true
		return r
	}
	if len(g.calls) > 0 && g.chance(g.cfg.Mix.Repeats) {
		return g.repeat(r)
	}
	r.Call = &wire.ServiceCall{Service: d.Service, Method: d.Write.Method, Path: d.Write.Path}
	if g.chance(g.cfg.Mix.Unkeyed) {
		return r
	}
	r.Call.IdempotencyKey = "key-" + strconv.FormatUint(r.Number, 10)
	g.remember(r)
	return r
}

// repeat makes r a repetition of an earlier call, with the same account, key and
// body.
func (g *Generator) repeat(r Request) Request {
	earlier := g.calls[g.content.IntN(len(g.calls))]
	call := *earlier.Call
	r.Account = earlier.Account
	r.BodyDigest = earlier.BodyDigest
	r.Call = &call
	return r
}

func (g *Generator) remember(r Request) {
	if len(g.calls) == maxRecentCalls {
		g.calls = g.calls[1:]
	}
	g.calls = append(g.calls, r)
}

// account draws an account with a probability proportional to its share.
func (g *Generator) account() Account {
	x := g.content.Float64() * g.shares
	for _, a := range g.cfg.Accounts {
		if x < a.Share {
			return a
		}
		x -= a.Share
	}
	return g.cfg.Accounts[len(g.cfg.Accounts)-1]
}

// chance returns true with probability p.
func (g *Generator) chance(p float64) bool { return g.content.Float64() < p }

// logUniform draws from [low, high], uniformly in the logarithm.
func (g *Generator) logUniform(low, high int64) int64 {
	x := math.Log(float64(low)) + g.content.Float64()*(math.Log(float64(high))-math.Log(float64(low)))
	return min(max(int64(math.Exp(x)), low), high)
}

// exponential draws an interval of an arrival process with the given mean.
func (g *Generator) exponential(mean time.Duration) time.Duration {
	return time.Duration(g.arrivals.ExpFloat64() * float64(mean))
}

func secondsToDuration(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
