package agent

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	// cacheDeltaBytes and cacheHashBytes bound the encoded size of a
	// CacheDelta: without hashes, and for each hash.
	cacheDeltaBytes = 24
	cacheHashBytes  = 9
)

// report sends a report to all entries at once after a change that they must
// not miss.
func (c *Core) report() {
	if !c.reportToAll {
		return
	}
	c.reportToAll = false
	c.entries.Each(func(_ wire.NodeID, e *entryRow) bool {
		c.reportNow(e)
		return true
	})
}

// reportDue sends an entry a report if it differs from the last one or
// IdleReportIntervals intervals have passed since, and otherwise only the next cache
// changes.
func (c *Core) reportDue(e *entryRow) {
	if e == nil || !e.up {
		return
	}
	r := c.reportFor(e)
	interval := c.reportInterval(e, wire.ReportBytes)
	if r == e.lastSummary && c.now-e.lastReportAt < wire.IdleReportIntervals*interval {
		c.setTimer(e.reportTimer(), c.now+c.reportInterval(e, c.sendCacheDelta(e)))
		return
	}
	c.sendReport(e, r)
}

func (c *Core) reportNow(e *entryRow) {
	if e.up {
		c.sendReport(e, c.reportFor(e))
	}
}

func (c *Core) sendReport(e *entryRow, r reportSummary) {
	e.reportCount++
	msg := c.reportMessage(e, r)
	e.lastSummary = r
	e.lastReportAt = c.now
	c.send(e.id, wire.ToEntry{Report: &msg})
	bytes := int64(wire.ReportBytes) + c.sendCacheDelta(e)
	c.setTimer(e.reportTimer(), c.now+c.reportInterval(e, bytes))
}

// sendCacheDelta sends the next cache changes and returns their size in
// bytes.
func (c *Core) sendCacheDelta(e *entryRow) int64 {
	if c.cfg.Kind != wire.KindEngine {
		return 0
	}
	delta := c.nextCacheDelta(e)
	if delta == nil {
		return 0
	}
	c.send(e.id, wire.ToEntry{CacheDelta: delta})
	return cacheDeltaBytes + cacheHashBytes*int64(len(delta.Add)+len(delta.Remove))
}

// reportInterval returns the wait after sending the given number of bytes,
// so that all agents of the entry together stay within its control budget.
func (c *Core) reportInterval(e *entryRow, bytes int64) time.Duration {
	agents := max(int64(e.agents), 1)
	seconds := float64(bytes*agents) / (float64(c.cfg.ControlBytes) * wire.ReportShare)
	return max(c.cfg.ReportInterval, time.Duration(seconds*float64(time.Second)))
}

// reportSummary is the part of a Report that is compared for changes.
type reportSummary struct {
	lastAttempt        uint64
	queueTokens        [wire.BandCount]int64
	running            int32
	longPrefills       int32 // medium and long prompts in prefill
	prefillTokens      int64
	freeTokens         int64
	prefillRate        float64
	decodeRate         float64
	failing            bool
	loading            bool
	leaving            bool
	revision           uint64
	tokensPerByte      float64
	shortPrefillTokens int64
}

func (c *Core) reportFor(e *entryRow) reportSummary {
	r := reportSummary{
		lastAttempt:        e.lastSequence,
		queueTokens:        c.queue.waitingTokens,
		running:            int32(c.engine.running),
		longPrefills:       int32(c.engine.prefillCount[classLong] + c.engine.prefillCount[classMedium]),
		freeTokens:         c.freeTokens(),
		prefillRate:        c.engine.prefillRate,
		decodeRate:         c.engine.decodeRate,
		failing:            !c.engine.up,
		loading:            c.engine.loading,
		leaving:            c.leaving.active,
		revision:           c.revision,
		shortPrefillTokens: c.engine.prefillTokens[classShort],
	}
	for _, tokens := range c.engine.prefillTokens {
		r.prefillTokens += tokens
	}
	if m := c.models.Get(c.engine.assignment.Model); m != nil {
		r.tokensPerByte = m.tokensPerByte
	}
	return r
}

func (c *Core) reportMessage(e *entryRow, r reportSummary) wire.Report {
	return wire.Report{
		Sequence:      e.reportCount,
		LastAttempt:   r.lastAttempt,
		Have:          c.engine.assignment,
		Loading:       r.loading,
		Leaving:       r.leaving,
		QueueTokens:   r.queueTokens,
		Running:       r.running,
		LongRunning:   r.longPrefills,
		PrefillTokens: r.prefillTokens,
		FreeTokens:    r.freeTokens,
		PrefillRate:   r.prefillRate,
		DecodeRate:    r.decodeRate,
		Failing:       r.failing,
		Revision:      r.revision,
		TokensPerByte: r.tokensPerByte,
		ShortPrefill:  r.shortPrefillTokens,
	}
}
