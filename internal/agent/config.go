package agent

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/option"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// QueuePolicy selects how waiting attempts are ordered.
type QueuePolicy uint8

// The queue policies.
const (
	// QueueFair shares service between client accounts by weight and limits how
	// far long prompts delay short ones.
	QueueFair QueuePolicy = 0
	// QueueFIFO starts attempts in order of arrival while memory is free. It is
	// the baseline of experiments.
	QueueFIFO QueuePolicy = 1
)

// FenceMode says whether the engine itself checks fencing numbers.
type FenceMode uint8

// The fence modes.
const (
	FenceChecked FenceMode = 0 // the engine refuses orders with an old fencing number
	FenceIgnored FenceMode = 1 // the engine carries out any order
)

// Weights holds the relative weights of time to first token and of the
// slowdown of short requests.
type Weights = option.Weights

// Defaults of Config.
const (
	defaultMaxLongPrefills   = 1
	defaultMaxMediumPrefills = 2
	defaultMaxCalls          = 64
	defaultMaxQueued         = 4096
	defaultMaxTombstones     = 1 << 15
	defaultMemoryHeadroom    = 0.03
	defaultShortReserve      = 0.25
	defaultPrefillWindow     = 500 * time.Millisecond
	defaultReportInterval    = time.Second
	defaultQueryInterval     = time.Second
	defaultEntryGrace        = 5 * time.Second
	defaultClaimGrace        = 5 * time.Second
	defaultTombstoneTTL      = 2 * time.Minute
	defaultStallAfter        = 15 * time.Second
	defaultOrderMaxAge       = 10 * time.Second
	defaultAgeAfter          = 15 * time.Second
	defaultLeavingGrace      = 2 * time.Second
)

// Config holds the options of a Core. Zero values of the optional fields stand
// for the defaults.
type Config struct {
	Endpoint      wire.EndpointID
	FailureDomain wire.FailureDomain
	Kind          wire.Kind
	Service       string // for KindService
	Incarnation   wire.Incarnation
	Fence         FenceMode

	Queue   QueuePolicy
	Weights Weights

	// MaxLongPrefills and MaxMediumPrefills bound how many prompts of the long
	// and huge bands, and of the medium band, are in prefill at once.
	MaxLongPrefills   int
	MaxMediumPrefills int
	// MaxCalls bounds the calls of a plain service that run at once.
	MaxCalls int
	// MaxQueued bounds the attempts that wait to start.
	MaxQueued int
	// MaxTombstones bounds the tombstones kept for ended attempts.
	MaxTombstones int

	// MemoryHeadroom is the fraction of the engine's memory that is never
	// reserved.
	MemoryHeadroom float64
	// ShortReserve is the least fraction of the memory that only short
	// prompts may use. It grows with their use up to maxShortReserve, which
	// also bounds this value.
	ShortReserve float64
	// ControlBytes is the budget for control messages at each entry, in
	// bytes per second, shared by all agents of the entry.
	ControlBytes int64

	// PrefillWindow is the prefill time of short prompts that the engine is
	// given at once. The rest waits in the agent, which shares it fairly.
	PrefillWindow  time.Duration
	ReportInterval time.Duration
	QueryInterval  time.Duration // between queries of the engine's state
	// EntryGrace is how long attempts are kept after the stream to their
	// entry is lost.
	EntryGrace time.Duration
	// ClaimGrace is how long sequences left in the engine by an earlier
	// incarnation of the agent may run on.
	ClaimGrace time.Duration
	// TombstoneTTL is how long the tombstone of an ended attempt is kept. It
	// must exceed the longest start-by allowance.
	TombstoneTTL time.Duration
	// StallAfter is the time without progress after which a sequence fails.
	// It is longer before the first token (see stallPrefillFactor).
	StallAfter time.Duration
	// OrderMaxAge must be at least the largest MaxAge that controllers give an
	// order; the agent does not check that. It is also the MaxAge of the
	// agent's own orders and, if the engine ignores fencing numbers, the time
	// after the agent's start in which it loads nothing.
	OrderMaxAge time.Duration
	// AgeAfter is the wait after which memory is held back from shorter
	// prompts for a longer one. It also extends the time after which a long
	// prompt in prefill is overdue (see overdueFactor).
	AgeAfter time.Duration
	// LeavingGrace is how long a draining endpoint still starts attempts
	// that arrived before draining began.
	LeavingGrace time.Duration

	disabledMechanisms mechanism
}

// mechanism is a bit set of protections that tests can disable.
type mechanism uint32

const (
	mechanismFairness    mechanism = 1 << iota // share service between client accounts by weight
	mechanismLongBound                         // bound the prompts of each class in prefill
	mechanismMemoryCheck                       // reserve no more than the memory capacity
	mechanismReconcile                         // compare the engine's sequences with the attempts
	mechanismDeadline                          // end attempts at their deadline
	mechanismTombstones                        // refuse attempts that have a tombstone
	mechanismStartBy                           // refuse attempts that have not started by their start-by time
	mechanismOrphans                           // end attempts and group reservations of lost entries and of earlier entry incarnations
	mechanismOrderAge                          // refuse orders older than their MaxAge
	mechanismFence                             // refuse orders with an old fencing number or ID, or for another agent incarnation
	mechanismQuietTime                         // load nothing while orders of an earlier agent incarnation may reach an engine that ignores fencing numbers
	mechanismDrain                             // let running work end before another model is loaded
	mechanismLeaving                           // refuse new attempts while draining, and waiting ones after LeavingGrace
	mechanismStall                             // fail sequences that make no progress
	mechanismAgeing                            // hold back memory for refused groups and for longer prompts that have waited, and prefill for overdue ones
	mechanismLease                             // end group reservations when their lease expires
	mechanismFloor                             // refuse attempts that may have run but have no tombstone
	mechanismStray                             // restore the assignment after a load that no order gave
)

func (c *Config) disabled(m mechanism) bool { return c.disabledMechanisms&m != 0 }

// OptionError reports an option of Config that is out of range.
type OptionError = option.Error

func (c *Config) setDefaults() {
	option.Default(&c.Weights, option.EqualWeights)
	option.Default(&c.MaxLongPrefills, defaultMaxLongPrefills)
	option.Default(&c.MaxMediumPrefills, defaultMaxMediumPrefills)
	option.Default(&c.MaxCalls, defaultMaxCalls)
	option.Default(&c.MaxQueued, defaultMaxQueued)
	option.Default(&c.MaxTombstones, defaultMaxTombstones)
	option.Default(&c.MemoryHeadroom, defaultMemoryHeadroom)
	option.Default(&c.ShortReserve, defaultShortReserve)
	option.Default(&c.ControlBytes, wire.ControlBudget)
	option.Default(&c.PrefillWindow, defaultPrefillWindow)
	option.Default(&c.ReportInterval, defaultReportInterval)
	option.Default(&c.QueryInterval, defaultQueryInterval)
	option.Default(&c.EntryGrace, defaultEntryGrace)
	option.Default(&c.ClaimGrace, defaultClaimGrace)
	option.Default(&c.TombstoneTTL, defaultTombstoneTTL)
	option.Default(&c.StallAfter, defaultStallAfter)
	option.Default(&c.OrderMaxAge, defaultOrderMaxAge)
	option.Default(&c.AgeAfter, defaultAgeAfter)
	option.Default(&c.LeavingGrace, defaultLeavingGrace)
}

// Validate returns an *OptionError for the first option that is out of range.
func (c Config) Validate() error {
	c.setDefaults()
	checks := []struct {
		ok     bool
		option string
		value  any
		want   string
	}{
		{c.Endpoint != "", "Endpoint", c.Endpoint, "a name"},
		{c.Kind == wire.KindEngine || c.Kind == wire.KindService, "Kind", c.Kind, "an engine or a service"},
		{c.Kind != wire.KindService || c.Service != "", "Service", c.Service, "a name for a plain service"},
		{c.Queue <= QueueFIFO, "Queue", c.Queue, "a known policy"},
		{c.Fence <= FenceIgnored, "Fence", c.Fence, "a known mode"},
		{c.Weights.FirstToken >= 0 && c.Weights.ShortSlowdown >= 0, "Weights", c.Weights, "no negative weight"},
		{c.Weights.FirstToken+c.Weights.ShortSlowdown > 0, "Weights", c.Weights, "a positive sum"},
		{c.MaxLongPrefills > 0, "MaxLongPrefills", c.MaxLongPrefills, "at least 1"},
		{c.MaxMediumPrefills > 0, "MaxMediumPrefills", c.MaxMediumPrefills, "at least 1"},
		{c.MaxCalls > 0, "MaxCalls", c.MaxCalls, "at least 1"},
		{c.MaxQueued > 0, "MaxQueued", c.MaxQueued, "at least 1"},
		{c.MaxTombstones > 0, "MaxTombstones", c.MaxTombstones, "at least 1"},
		{c.MemoryHeadroom > 0 && c.MemoryHeadroom < 1, "MemoryHeadroom", c.MemoryHeadroom, "between 0 and 1"},
		{c.ShortReserve > 0 && c.ShortReserve < 1, "ShortReserve", c.ShortReserve, "between 0 and 1"},
		{c.ControlBytes > 0, "ControlBytes", c.ControlBytes, "a positive rate"},
	}
	for _, k := range checks {
		if !k.ok {
			return &OptionError{Option: k.option, Value: k.value, Want: k.want}
		}
	}
	return c.validateDurations()
}

func (c Config) validateDurations() error {
	durations := []struct {
		option string
		value  time.Duration
	}{
		{"PrefillWindow", c.PrefillWindow},
		{"ReportInterval", c.ReportInterval},
		{"QueryInterval", c.QueryInterval},
		{"EntryGrace", c.EntryGrace},
		{"ClaimGrace", c.ClaimGrace},
		{"TombstoneTTL", c.TombstoneTTL},
		{"StallAfter", c.StallAfter},
		{"OrderMaxAge", c.OrderMaxAge},
		{"AgeAfter", c.AgeAfter},
		{"LeavingGrace", c.LeavingGrace},
	}
	for _, d := range durations {
		if d.value <= 0 {
			return &OptionError{Option: d.option, Value: d.value, Want: "a positive duration"}
		}
	}
	return nil
}
