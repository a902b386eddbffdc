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
	defaultMacroPrefill     = 16_384 // prompt tokens that one run of identical steps may cover
	maxMacroSteps           = 1_024
	rateSmoothing           = 0.2
	maxDuration             = time.Duration(1<<63 - 1)
	misreportNone           = 1
)

// Config sets the size and the speed of a Model. Zero fields take the defaults.
type Config struct {
	Name     string // prefix of KV cache handles; unique among engines that share an Exchange
	Seed     uint64
	Have     wire.Assignment // loaded at the start and after Restart
	Exchange *Exchange       // KV cache handles of all engines; nil: private to this engine

	CapacityTokens int64 // KV cache memory
	CacheTokens    int64 // prefix cache memory, beside CapacityTokens; negative: no cache
	BlockTokens    int64 // prompt tokens behind one hash of Submit.Prefixes

	StepTokens       int64 // prompt and output tokens of one step
	MinPrefillTokens int64 // prompt tokens of a step when decoding fills StepTokens
	MaxRunning       int   // sequences that hold memory
	MaxWaiting       int   // sequences that wait for memory; further ones are refused
	PartialPrefills  int   // prompts that one step may work on

	StepBase        time.Duration // cost of a step
	StepPerSequence time.Duration // and of each decoding sequence in it
	StepPerKVToken  time.Duration // and of each KV cache token held
	PrefillPerToken time.Duration // and of each prompt token at position 0
	AttentionTokens int64         // position at which a prompt token costs twice that
	ImportPerToken  time.Duration // transfer of imported KV cache

	LoadTime        time.Duration // switching model or version
	AdapterLoadTime time.Duration // switching adapters or role

	ProgressSteps int64         // steps between Progress events
	StateLag      time.Duration // between a query and its State event
	CacheLag      time.Duration // between a change of the prefix cache and its event
	CacheBatch    int           // hashes of one Cache event
	CacheLoss     float64       // fraction of Cache events that are lost

	CheckFence bool // refuse old fences and incarnations

	// TokensPerEstimate is the engine's count of a prompt for each token of the
	// estimate in Submit; 0: 1.
	TokensPerEstimate float64
	// OutputTokens returns the number of output tokens that the sequence would
	// generate, before MaxOutput is applied; nil: MaxOutput.
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
