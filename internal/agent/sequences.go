package agent

import (
	"strconv"
	"strings"

	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	statsGain = 0.2 // weight of a new sample in the averages of modelStats
	// minPromptRatio and maxPromptRatio bound the ratio of the engine's
	// prompt count to the entry's estimate.
	minPromptRatio = 0.25
	maxPromptRatio = 4
)

// ingestEngine applies one event of the engine.
func (c *Core) ingestEngine(ev *engine.Event) {
	switch {
	case ev.Accepted != nil:
		c.recordProgress(ev.Accepted.ID, 0)
	case ev.First != nil:
		c.ingestFirst(ev.First)
	case ev.Progress != nil:
		c.recordProgress(ev.Progress.ID, ev.Progress.Output)
	case ev.Finished != nil:
		c.ingestFinished(ev.Finished)
	case ev.Failed != nil:
		c.ingestFailed(ev.Failed)
	case ev.Loaded != nil:
		c.ingestLoaded(ev.Loaded)
	case ev.State != nil:
		c.engineSnapshot = ev.State
	case ev.Cache != nil:
		c.ingestCache(ev.Cache)
	}
}

// attemptBySequence returns the attempt of a sequence that was submitted to
// the engine, or nil.
func (c *Core) attemptBySequence(id engine.SequenceID) *attempt {
	attemptID, ok := ParseSequenceID(id)
	if !ok {
		return nil
	}
	a := c.attempts.Get(attemptID)
	if a == nil || (a.state != attemptRunning && a.state != attemptEnding) {
		return nil
	}
	return a
}

// ParseSequenceID returns the attempt that a sequence belongs to. It reports
// false if id has another form than AttemptID.String.
func ParseSequenceID(id engine.SequenceID) (wire.AttemptID, bool) {
	s := string(id)
	last := strings.LastIndexByte(s, '/')
	if last < 0 {
		return wire.AttemptID{}, false
	}
	middle := strings.LastIndexByte(s[:last], '/')
	if middle < 0 {
		return wire.AttemptID{}, false
	}
	inc, err := strconv.ParseUint(s[middle+1:last], 10, 64)
	if err != nil {
		return wire.AttemptID{}, false
	}
	seq, err := strconv.ParseUint(s[last+1:], 10, 64)
	if err != nil {
		return wire.AttemptID{}, false
	}
	return wire.AttemptID{Entry: wire.NodeID(s[:middle]), Incarnation: wire.Incarnation(inc), Sequence: seq}, true
}

func (c *Core) recordProgress(id engine.SequenceID, output int64) {
	a := c.attemptBySequence(id)
	if a == nil {
		return
	}
	a.progressedAt = c.now
	a.missingStates = 0
	a.outputTokens = max(a.outputTokens, output)
}

// ingestFirst handles the first token: prefill has ended, and the engine has
// counted the prompt.
func (c *Core) ingestFirst(ev *engine.First) {
	a := c.attemptBySequence(ev.ID)
	if a == nil || a.hasFirstToken {
		return
	}
	c.endPrefill(a)
	a.hasFirstToken = true
	a.progressedAt = c.now
	a.missingStates = 0
	if ev.PromptTokens > 0 && !a.adopted {
		c.recordPromptTokens(a, ev.PromptTokens)
	}
}

// recordPromptTokens adjusts the reservation and the estimates for later
// prompts to the engine's count.
func (c *Core) recordPromptTokens(a *attempt, counted int64) {
	a.promptTokens = counted
	if a.dispatch.Slice != nil {
		return
	}
	a.reserveTokens = counted + a.dispatch.MaxOutput
	c.resize(a.reservation, a.reserveTokens)
	m := c.modelStats(a.dispatch.Model)
	if a.dispatch.PromptTokens > 0 {
		ratio := float64(counted) / float64(a.dispatch.PromptTokens)
		m.promptRatio = movingAverage(m.promptRatio, min(max(ratio, minPromptRatio), maxPromptRatio))
	}
	if a.dispatch.BodyBytes > 0 {
		m.tokensPerByte = movingAverage(m.tokensPerByte, float64(counted)/float64(a.dispatch.BodyBytes))
	}
}

func movingAverage(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + statsGain*(sample-old)
}

func (c *Core) modelStats(model string) *modelStats {
	if m := c.models.Get(model); m != nil {
		return m
	}
	return c.models.Put(model, modelStats{})
}

func (c *Core) ingestFinished(ev *engine.Finished) {
	a := c.attemptBySequence(ev.ID)
	if a == nil {
		c.dropUnowned(ev.Handle)
		return
	}
	a.outputTokens = ev.Output
	if ev.PromptTokens > 0 {
		a.promptTokens = ev.PromptTokens
	}
	c.endPrefill(a)
	a.hasFirstToken = true
	kept := ev.Handle != "" && c.attachHandle(a, ev.Handle)
	if !kept {
		c.dropUnowned(ev.Handle)
	}
	switch {
	case a.suppressOutcome:
	case a.exportsKV() && !kept:
		c.reportFailed(a, wire.FailInternal, false)
	default:
		c.recordOutputTokens(a)
		c.reportFinished(a, wire.Finished{
			Attempt:      a.id,
			PromptTokens: ev.PromptTokens,
			CachedTokens: ev.CachedTokens,
			OutputTokens: ev.Output,
			KVHandle:     ev.Handle,
		})
	}
	c.remove(a)
}

func (c *Core) recordOutputTokens(a *attempt) {
	if a.dispatch.Slice != nil {
		return
	}
	m := c.modelStats(a.dispatch.Model)
	m.outputTokens = movingAverage(m.outputTokens, float64(a.outputTokens))
}

func (c *Core) dropUnowned(handle string) {
	if handle == "" {
		return
	}
	c.command(wire.AttemptID{}, engine.Command{Drop: &handle})
}

func (c *Core) ingestFailed(ev *engine.Failed) {
	a := c.attemptBySequence(ev.ID)
	if a == nil {
		return
	}
	if !a.suppressOutcome {
		c.reportFailed(a, failReason(ev.Reason), ev.Rejected)
	}
	if ev.Reason == engine.FailLost && !ev.Rejected {
		c.abandon(a) // the engine may still hold it
		return
	}
	c.remove(a)
}

func failReason(r engine.FailReason) wire.FailReason {
	switch r {
	case engine.FailMemory, engine.FailTooLarge:
		return wire.FailMemory
	case engine.FailInvalid:
		return wire.FailInvalid
	case engine.FailLost:
		return wire.FailEndpointLost
	}
	return wire.FailInternal
}
