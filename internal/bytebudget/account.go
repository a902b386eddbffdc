package bytebudget

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// memoryFraction of a process's memory is the capacity of its Account. The rest is for the process
	// itself, its connections, and memory that the garbage collector has not freed yet.
	memoryFraction = 1.0 / 4
	// reservedFraction of the capacity is kept for holders of at most SmallBytes, so that large
	// ones can't keep ordinary requests out.
	reservedFraction = 1.0 / 4
	// SmallBytes is the size in bytes up to which a holder may use the whole capacity.
	SmallBytes = 64 << 10
	// StallTime is how long a holder must have made no progress to be evicted, SlowTime how long it
	// must have been evictable otherwise: a peer that sends a byte now and then does make progress.
	StallTime = 250 * time.Millisecond
	SlowTime  = 2 * time.Second
	// evictionTime bounds the wait for the bytes of evicted holders.
	evictionTime = 500 * time.Millisecond
)

var (
	// ErrShort is returned if the account has no room.
	ErrShort = errors.New("memory for peers is short")
	// ErrEvicted is returned to a holder that has been evicted.
	ErrEvicted = errors.New("evicted, since memory or connections are short")
)

// Capacity returns the capacity in bytes of the account of a process with a memory limit in
// bytes; 0: unlimited.
func Capacity(memoryBytes int64) int64 { return int64(memoryFraction * float64(memoryBytes)) }

// Account counts the bytes held. It is safe for concurrent use.
type Account struct {
	capacity int64 // bytes; 0: unlimited

	mu        sync.Mutex
	used      int64                // bytes
	evictable map[*Holder]bool     // that are read and may be evicted
	freed     chan struct{}        // closed when bytes are given back; nil: nobody waits
	now       func() time.Duration // since the start, on the monotonic clock
}

// New returns an account with a capacity in bytes; 0: unlimited.
func New(capacity int64) *Account {
	start := time.Now()
	return &Account{
		capacity: capacity, evictable: make(map[*Holder]bool), now: func() time.Duration { return time.Since(start) },
	}
}

// Used returns the number of bytes held.
func (a *Account) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// Holder is what one peer makes the process hold, for example the body of a request. It is safe for
// concurrent use.
type Holder struct {
	account  *Account
	progress atomic.Int64 // time of the latest progress, in ns on the account's clock
	since    int64        // when it became evictable, likewise; guarded by the account's lock

	evicting sync.Mutex // held while evict runs; taken before the account's lock
	evict    func()     // nil: can't be evicted
	evicted  bool

	bytes int64 // guarded by the account's lock
}

// Open returns a holder without bytes. Close must be called at its end.
func (a *Account) Open() *Holder { return &Holder{account: a} }

// Evictable lets the account evict the holder until Settle or Close, if it makes no progress or
// is slow. evict must make the peer's bytes be given up soon, and not block.
func (h *Holder) Evictable(evict func()) {
	h.evicting.Lock()
	defer h.evicting.Unlock()
	h.evict, h.evicted = evict, false
	h.Progress()
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.since = h.progress.Load()
	h.account.evictable[h] = true
}

// Progress records that the peer has made progress.
func (h *Holder) Progress() { h.progress.Store(int64(h.account.now())) }

// Settle ends Evictable, and reports whether the holder has not been evicted. After it, evict does
// not run.
func (h *Holder) Settle() bool {
	h.evicting.Lock()
	defer h.evicting.Unlock()
	h.evict = nil
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	delete(h.account.evictable, h)
	return !h.evicted
}

// Evicted reports whether the holder has been evicted since the latest Evictable.
func (h *Holder) Evicted() bool {
	h.evicting.Lock()
	defer h.evicting.Unlock()
	return h.evicted
}

// Grow charges n more bytes. If the account has no room, it evicts holders that make no progress or
// are slow, and waits for their bytes. It returns ErrShort if that is not enough, and ErrEvicted if the
// holder itself has been evicted; nothing is charged then.
func (h *Holder) Grow(n int64) error {
	a := h.account
	if h.Evicted() {
		return ErrEvicted
	}
	short := h.tryGrow(n)
	if short == 0 {
		return nil
	}
	if a.evictStalled(h, short) < short {
		return ErrShort
	}
	timeout := time.NewTimer(evictionTime)
	defer timeout.Stop()
	for {
		freed := a.awaitFreed()
		if h.tryGrow(n) == 0 {
			return nil
		}
		select {
		case <-freed:
		case <-timeout.C:
			return ErrShort
		}
	}
}

// tryGrow charges n bytes if there is room, and returns the number of bytes that are missing.
func (h *Holder) tryGrow(n int64) (missing int64) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if missing := shortage(a.capacity, a.used, h.bytes, n); missing > 0 {
		return missing
	}
	a.used += n
	h.bytes += n
	return 0
}

// shortage returns how many bytes are missing to add n to a holder that has some.
func shortage(capacity, used, has, n int64) int64 {
	if capacity <= 0 {
		return 0
	}
	if has+n > SmallBytes {
		capacity -= int64(reservedFraction * float64(capacity))
	}
	return max(used+n-capacity, 0)
}

// awaitFreed returns a channel that is closed when bytes are given back.
func (a *Account) awaitFreed() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.freed == nil {
		a.freed = make(chan struct{})
	}
	return a.freed
}

// Shrink gives n bytes back.
func (h *Holder) Shrink(n int64) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	h.shrink(min(n, h.bytes))
}

func (h *Holder) shrink(n int64) {
	a := h.account
	h.bytes -= n
	a.used -= n
	if n > 0 && a.freed != nil {
		close(a.freed)
		a.freed = nil
	}
}

// Close gives all bytes back. The holder can be used again, as a new one.
func (h *Holder) Close() {
	h.Settle()
	h.forgetEviction()
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	h.shrink(h.bytes)
}

func (h *Holder) forgetEviction() {
	h.evicting.Lock()
	defer h.evicting.Unlock()
	h.evicted = false
}

// EvictStalled evicts up to n holders that make no progress or are slow, in the order of stalled, and
// returns how many.
func (a *Account) EvictStalled(n int) int {
	evicted := 0
	for _, h := range a.stalled() {
		if evicted == n {
			break
		}
		if h.evictNow() {
			evicted++
		}
	}
	return evicted
}

// evictStalled evicts holders other than one, until they have a number of bytes together, and returns
// the number of bytes that they have.
func (a *Account) evictStalled(except *Holder, bytes int64) int64 {
	evicted := int64(0)
	for _, h := range a.stalled() {
		if evicted >= bytes {
			break
		}
		if held := h.Bytes(); h != except && held > 0 && h.evictNow() {
			evicted += held
		}
	}
	return evicted
}

// stalled returns the evictable holders without progress for StallTime and then those that are
// slow, each the longest first.
func (a *Account) stalled() []*Holder {
	now := a.now()
	stalledAt, slowAt := int64(now-StallTime), int64(now-SlowTime)
	a.mu.Lock()
	defer a.mu.Unlock()
	var stalled, slow []candidate
	for h := range a.evictable {
		switch progress := h.progress.Load(); {
		case progress <= stalledAt:
			stalled = append(stalled, candidate{h, progress})
		case h.since <= slowAt:
			slow = append(slow, candidate{h, h.since})
		}
	}
	return append(longestFirst(stalled), longestFirst(slow)...)
}

// candidate is a holder that may be evicted, and since when.
type candidate struct {
	holder *Holder
	since  int64 // ns on the account's clock
}

func longestFirst(candidates []candidate) []*Holder {
	slices.SortFunc(candidates, func(x, y candidate) int { return cmp.Compare(x.since, y.since) })
	out := make([]*Holder, len(candidates))
	for i := range candidates {
		out[i] = candidates[i].holder
	}
	return out
}

// Bytes returns the number of bytes that the holder has.
func (h *Holder) Bytes() int64 {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.bytes
}

// evictNow evicts the holder, and reports whether it could.
func (h *Holder) evictNow() bool {
	h.evicting.Lock()
	defer h.evicting.Unlock()
	if h.evict == nil || h.evicted {
		return false
	}
	h.evicted = true
	h.evict()
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.evictable, h)
	return true
}
