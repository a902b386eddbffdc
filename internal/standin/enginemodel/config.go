package enginemodel

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/option"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Defaults of Config.
const (
	DefaultCapacityTokens   = 400_000
	DefaultCacheTokens      = 200_000
	DefaultBlockTokens      = 1_024
	DefaultStepTokens       = 2_048
	DefaultMinPrefillTokens = 256
	DefaultMaxRunning       = 256
	DefaultMaxWaiting       = 256
	DefaultPartialPrefills  = 4
	DefaultStepBase         = 14 * time.Millisecond
	DefaultStepPerSequence  = 120 * time.Microsecond
	DefaultStepPerKVToken   = 8 * time.Nanosecond
	DefaultPrefillPerToken  = 18 * time.Microsecond
	DefaultAttentionTokens  = 400_000
	DefaultImportPerToken   = 2 * time.Microsecond
	DefaultLoadTime         = 40 * time.Second
	DefaultAdapterLoadTime  = time.Second
	DefaultProgressSteps    = 64
	DefaultStateLag         = 250 * time.Millisecond
	DefaultCacheLag         = 500 * time.Millisecond
	DefaultCacheBatch       = 64
	maxRunPrefill           = 16_384 // tokens of one prompt in one run, at most; the cost of its steps is that of the first
	maxRunSteps             = 1_024  // steps of one run, at most, for the same reason
	rateSmoothing           = 0.2    // weight of the latest run in the reported rates
	maxDuration             = time.Duration(1<<63 - 1)
	noFault                 = 1 // factor of SlowBy and Misreport without the fault
)

// Config sets the size and the speed of a Model. Zero fields get the defaults.
type Config struct {
	Name     string // prefix of KV cache handles; unique among engines that share an Exchange
	Seed     uint64
	Have     wire.Assignment // assignment at the start and after Restart
	Exchange *Exchange       // KV cache handles of all engines; nil: private to this engine

	CapacityTokens int64 // KV cache memory
	CacheTokens    int64 // prefix cache memory, in addition to CapacityTokens; negative: no cache
	BlockTokens    int64 // prompt tokens that one hash of Submit.Prefixes covers

	StepTokens       int64 // maximum prompt and output tokens of one step
	MinPrefillTokens int64 // prompt tokens allowed in a step even if decoding fills StepTokens
	MaxRunning       int   // maximum number of sequences that hold memory
	MaxWaiting       int   // maximum number of sequences that wait for memory; further ones are refused
	PartialPrefills  int   // maximum number of prompts that one step prefills

	StepBase        time.Duration // duration of an empty step
	StepPerSequence time.Duration // added for each decoding sequence
	StepPerKVToken  time.Duration // added for each KV cache token held
	PrefillPerToken time.Duration // added for each prompt token at position 0
	AttentionTokens int64         // position at which a prompt token adds twice PrefillPerToken
	ImportPerToken  time.Duration // transfer time of an imported KV cache token

	LoadTime        time.Duration // time to switch model or version
	AdapterLoadTime time.Duration // time to switch adapters or role

	ProgressSteps int64         // steps between Progress events
	StateLag      time.Duration // delay from a query to its State event
	CacheLag      time.Duration // delay from a change of the prefix cache to its event
	CacheBatch    int           // maximum number of hashes in one Cache event
	CacheLoss     float64       // fraction of Cache events that are lost

	CheckFence bool // refuse fences and incarnations lower than the highest seen

	// TokensPerEstimate is the ratio of the engine's own count of prompt tokens to
	// the estimate in Submit; 0 means 1.
	TokensPerEstimate float64
	// OutputTokens returns the number of output tokens that the sequence would
	// generate, before MaxOutput is applied; nil means MaxOutput.
	OutputTokens func(engine.Submit) int64
}

func (c Config) withDefaults() Config {
	if c.Exchange == nil {
		c.Exchange = NewExchange()
	}
	if c.CacheTokens < 0 {
		c.CacheTokens = 0
	} else {
		option.Default(&c.CacheTokens, DefaultCacheTokens)
	}
	option.Default(&c.CapacityTokens, DefaultCapacityTokens)
	option.Default(&c.BlockTokens, DefaultBlockTokens)
	option.Default(&c.StepTokens, DefaultStepTokens)
	option.Default(&c.MinPrefillTokens, DefaultMinPrefillTokens)
	option.Default(&c.MaxRunning, DefaultMaxRunning)
	option.Default(&c.MaxWaiting, DefaultMaxWaiting)
	option.Default(&c.PartialPrefills, DefaultPartialPrefills)
	option.Default(&c.StepBase, DefaultStepBase)
	option.Default(&c.StepPerSequence, DefaultStepPerSequence)
	option.Default(&c.StepPerKVToken, DefaultStepPerKVToken)
	option.Default(&c.PrefillPerToken, DefaultPrefillPerToken)
	option.Default(&c.AttentionTokens, DefaultAttentionTokens)
	option.Default(&c.ImportPerToken, DefaultImportPerToken)
	option.Default(&c.LoadTime, DefaultLoadTime)
	option.Default(&c.AdapterLoadTime, DefaultAdapterLoadTime)
	option.Default(&c.ProgressSteps, DefaultProgressSteps)
	option.Default(&c.StateLag, DefaultStateLag)
	option.Default(&c.CacheLag, DefaultCacheLag)
	option.Default(&c.CacheBatch, DefaultCacheBatch)
	option.Default(&c.TokensPerEstimate, 1)
	return c
}
