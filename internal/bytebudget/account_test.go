package bytebudget

import (
	"sync"
	"testing"
	"time"
)

// testAccount returns an account with a clock that the test sets.
func testAccount(capacity int64) (a *Account, pass func(time.Duration)) {
	var mu sync.Mutex
	now := time.Hour
	a = New(capacity)
	a.now = func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return now
	}
	return a, func(d time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		now += d
	}
}

func TestShortageKeepsAPartForSmallHolders(t *testing.T) {
	const capacity = 4 << 20
	for _, c := range []struct {
		name                   string
		used, has, n, shortage int64
	}{
		{"large, up to its part", 0, 0, 3 << 20, 0},
		{"large, beyond its part", 0, 0, 3<<20 + 1, 1},
		{"small, beyond the part of large ones", 3 << 20, 0, SmallBytes, 0},
		{"small, all used", capacity, 0, 1, 1},
		{"small that becomes large", 3 << 20, SmallBytes, 1, 1},
	} {
		if got := shortage(capacity, c.used, c.has, c.n); got != c.shortage {
			t.Errorf("%s: %d bytes missing, want %d", c.name, got, c.shortage)
		}
	}
	if got := shortage(0, 1<<40, 0, 1<<30); got != 0 {
		t.Errorf("unlimited: %d bytes missing", got)
	}
}

func TestHolderWithoutRoomIsRefusedAtOnce(t *testing.T) {
	a, _ := testAccount(4 << 20)
	first, second := a.Open(), a.Open()
	if err := first.Grow(3 << 20); err != nil {
		t.Fatal(err)
	}
	if err := second.Grow(1 << 20); err != ErrShort {
		t.Errorf("error %v, want ErrShort", err)
	}
	if first.Close(); a.Used() != 0 {
		t.Errorf("%d bytes used after the end of all holders", a.Used())
	}
	if err := second.Grow(1 << 20); err != nil {
		t.Errorf("error %v with room", err)
	}
}

func TestStalledHolderIsEvictedForAnother(t *testing.T) {
	a, pass := testAccount(4 << 20)
	stalled, moving, settled := a.Open(), a.Open(), a.Open()
	evicted := make(map[*Holder]bool)
	for _, h := range []*Holder{stalled, moving, settled} {
		if err := h.Grow(1 << 20); err != nil {
			t.Fatal(err)
		}
		h.Evictable(func() {
			evicted[h] = true
			go h.Shrink(1 << 20)
		})
	}
	if !settled.Settle() {
		t.Error("a holder counts as evicted that is not")
	}
	pass(StallTime)
	moving.Progress()
	if err := a.Open().Grow(1 << 20); err != nil {
		t.Errorf("error %v, want the stalled holder's room", err)
	}
	if !evicted[stalled] || evicted[moving] || evicted[settled] {
		t.Errorf("evicted: stalled %v, moving %v, settled %v", evicted[stalled], evicted[moving], evicted[settled])
	}
	if err := stalled.Grow(1); err != ErrEvicted {
		t.Errorf("error %v for an evicted holder, want ErrEvicted", err)
	}
	stalled.Close()
	if err := stalled.Grow(1); err != nil {
		t.Errorf("error %v for a holder that is used again", err)
	}
}

func TestEvictionTakesTheLongestWithoutProgress(t *testing.T) {
	a, pass := testAccount(0)
	var order []int
	for i := range 3 {
		h := a.Open()
		h.Evictable(func() { order = append(order, i) })
		pass(time.Millisecond)
	}
	pass(StallTime)
	if n := a.EvictStalled(2); n != 2 || len(order) != 2 || order[0] != 0 || order[1] != 1 {
		t.Errorf("%d evicted: %v, want 0 and 1", n, order)
	}
}

// TestHoldersThatDribbleKeepOthersOut guards against peers that send a byte now and then: each makes
// progress, and none ends.
func TestHoldersThatDribbleKeepOthersOut(t *testing.T) {
	a, pass := testAccount(1 << 20)
	evicted := 0
	for range 16 {
		h := a.Open()
		if err := h.Grow(SmallBytes); err != nil {
			t.Fatal(err)
		}
		h.Evictable(func() {
			evicted++
			go h.Close()
		})
	}
	dribble := func(d time.Duration) {
		pass(d)
		a.mu.Lock()
		defer a.mu.Unlock()
		for h := range a.evictable {
			h.Progress()
		}
	}
	dribble(SlowTime / 2)
	if err := a.Open().Grow(1); err != ErrShort {
		t.Errorf("error %v while all holders are young and make progress, want ErrShort", err)
	}
	dribble(SlowTime)
	if err := a.Open().Grow(1); err != nil || evicted != 1 {
		t.Errorf("error %v, %d evicted, want one", err, evicted)
	}
}

func TestHoldersThatGrowAtOnceStayWithinTheCapacity(t *testing.T) {
	a := New(4 << 20)
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			h := a.Open()
			defer h.Close()
			for range 64 {
				if h.Grow(64<<10) != nil {
					return
				}
				if used := a.Used(); used > 4<<20 {
					t.Errorf("%d bytes used", used)
				}
			}
		})
	}
	wg.Wait()
	if a.Used() != 0 {
		t.Errorf("%d bytes used after the end of all holders", a.Used())
	}
}
