package agent

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// memoryState accounts for the engine's KV cache memory.
type memoryState struct {
	total           int64 // tokens, as the engine reports
	capacity        int64 // tokens that may be reserved
	reserved        int64 // sum over the Reservations table
	reservedByClass [classCount]int64
	hold            memoryHold
	freedTokens     int64   // tokens freed since freedAt
	freeRate        float64 // tokens a second, recent
	freedAt         time.Duration
	shortTokens     float64 // tokens that short prompts hold, moving
}

// memoryHold keeps memory free for a group that was refused for lack of it, so
// that a stream of short prompts can't keep it out for good.
type memoryHold struct {
	id     wire.AttemptID
	tokens int64
	until  time.Duration
}

const (
	memoryHoldTime     = 5 * time.Second
	freeRateInterval   = 2 * time.Second
	freeRateGain       = 0.3
	shortTokensGain    = 0.1
	shortReserveFactor = 1.8
	maxShortReserve    = 0.5
)

// setCapacity takes the engine's size. A smaller one than what is reserved
// takes effect as memory is released.
func (c *Core) setCapacity(total int64) {
	c.memory.total = total
	usable := int64(float64(total) * (1 - c.cfg.MemoryHeadroom))
	c.memory.capacity = max(usable, c.memory.reserved)
}

// freeTokens returns the memory that is not reserved.
func (c *Core) freeTokens() int64 { return c.memory.capacity - c.memory.reserved }

// fits reports whether tokens can be reserved for a class now. keepFree is
// memory that must stay free for something else.
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

// freeForShort returns the memory that a short prompt may take now. What is kept
// free for a longer one can be taken from short ones only beyond their reserve,
// which shrinks to what such a one leaves of the whole memory.
func (c *Core) freeForShort(keepFree int64) int64 {
	free := c.freeTokens()
	reserve := min(c.memory.capacity-c.sharedCapacity(), c.memory.capacity-keepFree)
	own := reserve - c.memory.reservedByClass[classShort]
	return max(free-keepFree, min(free, own))
}

// sharedCapacity is the memory that prompts other than short ones may use.
func (c *Core) sharedCapacity() int64 {
	least := float64(c.memory.capacity) * c.cfg.ShortReserve
	most := float64(c.memory.capacity) * maxShortReserve
	reserve := min(max(c.memory.shortTokens*shortReserveFactor, least), most)
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

// resize corrects a reservation to the engine's own count, as far as memory
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

// measureFreeRate updates the rate at which memory comes free.
func (c *Core) measureFreeRate() {
	elapsed := c.now - c.memory.freedAt
	if elapsed < freeRateInterval {
		return
	}
	rate := float64(c.memory.freedTokens) / elapsed.Seconds()
	c.memory.freeRate += freeRateGain * (rate - c.memory.freeRate)
	c.memory.shortTokens += shortTokensGain * (float64(c.memory.reservedByClass[classShort]) - c.memory.shortTokens)
	c.memory.freedTokens = 0
	c.memory.freedAt = c.now
}

// keepFree returns the memory held back from a class for work that has waited
// too long for it.
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

// agedNeed returns the memory that the first waiting attempt of a class needs,
// if it has waited long enough for memory to be kept free for it.
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
