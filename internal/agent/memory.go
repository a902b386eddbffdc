package agent

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// memoryState accounts for the engine's KV cache memory.
type memoryState struct {
	total           int64 // tokens, as the engine reports
	capacity        int64 // tokens that may be reserved
	reserved        int64 // tokens in the Reservations table
	reservedByClass [classCount]int64
	hold            memoryHold
	freedTokens     int64         // tokens released since freedAt
	freeRate        float64       // tokens released per second, moving average
	measuredAt      time.Duration // time of the last measurement
	shortTokens     float64       // tokens reserved for short prompts, moving average
}

// memoryHold keeps memory free for a group that was refused for lack of it,
// so that a steady stream of short prompts can't starve it.
type memoryHold struct {
	id     wire.AttemptID
	tokens int64
	until  time.Duration
}

const (
	memoryHoldTime     = 5 * time.Second
	freeRateInterval   = 2 * time.Second // least time between two measurements
	freeRateGain       = 0.3             // weight of a new sample in freeRate
	shortTokensGain    = 0.1             // weight of a new sample in shortTokens
	shortReserveFactor = 1.8             // reserve of short prompts over their average use
	maxShortReserve    = 0.5             // largest reserve, as a fraction of the capacity
)

// setMemoryTotal sets the engine's memory size in tokens and the capacity that
// follows from it. If more is reserved, the capacity falls as reservations are
// released.
func (c *Core) setMemoryTotal(total int64) {
	c.memory.total = total
	usable := int64(float64(total) * (1 - c.cfg.MemoryHeadroom))
	c.memory.capacity = max(usable, c.memory.reserved)
}

// freeTokens returns the memory that is not reserved.
func (c *Core) freeTokens() int64 { return c.memory.capacity - c.memory.reserved }

// fits reports whether tokens can be reserved for a class now while keepFree
// tokens stay free for other work. Short prompts may use keepFree up to their
// own reserve (see freeForShort). Under QueueFair longer prompts together stay
// within sharedCapacity, except that one alone may exceed it, as it could
// otherwise never start.
func (c *Core) fits(cl class, tokens, keepFree int64) bool {
	if c.cfg.disabled(mechanismMemoryCheck) {
		return true
	}
	if cl == classShort && tokens <= c.freeForShort(keepFree) {
		return true
	}
	if tokens > c.freeTokens()-keepFree {
		return false
	}
	if cl == classShort || c.cfg.Queue == QueueFIFO {
		return true
	}
	shared := c.sharedCapacity()
	used := c.memory.reservedByClass[classMedium] + c.memory.reservedByClass[classLong]
	return used == 0 || used+tokens <= shared
}

// freeForShort returns the tokens that a short prompt may reserve now.
// Memory kept free for a longer prompt is taken from short ones only beyond
// their own reserve, which is limited to the capacity that the longer prompt
// leaves.
func (c *Core) freeForShort(keepFree int64) int64 {
	free := c.freeTokens()
	reserve := min(c.memory.capacity-c.sharedCapacity(), c.memory.capacity-keepFree)
	ownReserve := reserve - c.memory.reservedByClass[classShort]
	return max(free-keepFree, min(free, ownReserve))
}

// sharedCapacity returns the tokens that prompts other than short ones may
// use.
func (c *Core) sharedCapacity() int64 {
	minReserve := float64(c.memory.capacity) * c.cfg.ShortReserve
	maxReserve := float64(c.memory.capacity) * maxShortReserve
	reserve := min(max(c.memory.shortTokens*shortReserveFactor, minReserve), maxReserve)
	return c.memory.capacity - int64(reserve)
}

// reserve adds a reservation. The caller has checked that it fits.
func (c *Core) reserve(id wire.AttemptID, kind reservationKind, cl class, tokens int64) *reservation {
	c.memory.reserved += tokens
	c.memory.reservedByClass[cl] += tokens
	return c.reservations.Put(id, reservation{
		id:        id,
		kind:      kind,
		class:     cl,
		tokens:    tokens,
		expiresAt: never,
	})
}

// resize adjusts a reservation to the engine's count, as far as free memory
// allows.
func (c *Core) resize(id wire.AttemptID, tokens int64) {
	r := c.reservations.Get(id)
	if r == nil || r.kind != reservationSequence {
		return
	}
	delta := min(tokens-r.tokens, c.freeTokens())
	r.tokens += delta
	c.memory.reserved += delta
	c.memory.reservedByClass[r.class] += delta
}

// release ends a reservation.
func (c *Core) release(id wire.AttemptID) {
	r := c.reservations.Get(id)
	if r == nil {
		return
	}
	c.timers.Stop(r.timer())
	c.memory.reserved -= r.tokens
	c.memory.reservedByClass[r.class] -= r.tokens
	c.memory.freedTokens += r.tokens
	c.reservations.Delete(id)
	usable := int64(float64(c.memory.total) * (1 - c.cfg.MemoryHeadroom))
	c.memory.capacity = max(usable, c.memory.reserved)
}

// updateMemoryAverages updates the moving averages of the rate at which memory
// is released and of the memory reserved for short prompts.
func (c *Core) updateMemoryAverages() {
	elapsed := c.now - c.memory.measuredAt
	if elapsed < freeRateInterval {
		return
	}
	rate := float64(c.memory.freedTokens) / elapsed.Seconds()
	c.memory.freeRate += freeRateGain * (rate - c.memory.freeRate)
	c.memory.shortTokens += shortTokensGain * (float64(c.memory.reservedByClass[classShort]) - c.memory.shortTokens)
	c.memory.freedTokens = 0
	c.memory.measuredAt = c.now
}

// heldBackTokens returns the tokens that a class must leave free for a
// refused group or for attempts of longer classes that have waited too long.
func (c *Core) heldBackTokens(cl class) int64 {
	if c.cfg.disabled(mechanismAgeing) {
		return 0
	}
	var held int64
	if c.memory.hold.until > c.now {
		held = c.memory.hold.tokens
	}
	for higher := cl + 1; higher < classCount; higher++ {
		held = max(held, c.agedReserveTokens(higher))
	}
	return held
}

// agedReserveTokens returns the tokens that the first waiting attempt of a
// class needs, or 0 if it has waited less than AgeAfter or is kept back by
// the limit of long prefills.
func (c *Core) agedReserveTokens(cl class) int64 {
	a := c.queue.head(cl)
	if a == nil || c.now-a.arrivedAt < c.cfg.AgeAfter {
		return 0
	}
	if cl == classLong && c.engine.prefillCount[classLong] >= c.cfg.MaxLongPrefills {
		return 0
	}
	return a.reserveTokens
}
