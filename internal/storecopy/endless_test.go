package storecopy

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/store"
)

// endlessStore answers each listing with one more page, and each watch with new keys.
type endlessStore struct {
	pairs   func(n int64) []store.Pair // of the page or watch with a number
	lists   bool                       // listings are endless; else empty
	watches bool                       // watches are endless; else they wait
	calls   atomic.Int64
}

// Do implements store.Client for OpList and OpWatch.
func (s *endlessStore) Do(ctx context.Context, op store.Op) store.Result {
	r := store.Result{ID: op.ID, Status: store.StatusOK, Latest: 10, More: s.lists}
	switch {
	case ctx.Err() != nil:
		r.Status = store.StatusUnavailable
	case op.Kind == store.OpWatch && !s.watches:
		<-ctx.Done()
		r.Status = store.StatusUnavailable
	case op.Kind == store.OpWatch || s.lists:
		n := s.calls.Add(1)
		r.Latest, r.Pairs = 10+uint64(n), s.pairs(n)
	}
	return r
}

// keysOf returns a function that returns n new keys with values of a size.
func keysOf(n, size int) func(int64) []store.Pair {
	value := make([]byte, size)
	return func(page int64) []store.Pair {
		pairs := make([]store.Pair, n)
		for i := range pairs {
			pairs[i] = store.Pair{Key: fmt.Sprintf("k/%012d/%06d", page, i), Value: value, Version: 10 + uint64(page)}
		}
		return pairs
	}
}

// endlessSyncer returns a syncer of an endless store, and the largest number of keys in its copy.
func endlessSyncer(s *endlessStore) (*Syncer, *atomic.Int64) {
	start, most := time.Now(), new(atomic.Int64)
	return NewSyncer(Config{
		Prefix: "k", Client: s, Now: func() time.Duration { return time.Since(start) },
		Watchers:  func() int { return 1 },
		Fetch:     func(context.Context, string, Version) (Listing, error) { return Listing{}, nil },
		Changed:   func(u Update) { most.Store(max(most.Load(), int64(len(u.Listing.Pairs)))) },
		Reachable: func(bool, store.Status) {}, FetchFailed: func(error) {},
	}), most
}

func TestListingWithoutAnEndIsGivenUp(t *testing.T) {
	for name, s := range map[string]*endlessStore{
		"large values": {lists: true, pairs: keysOf(1, 1<<20)},
		"many keys":    {lists: true, pairs: keysOf(1000, 0)},
		"one key":      {lists: true, pairs: keysOf(1, 0)},
		"the same page": {lists: true, pairs: func(int64) []store.Pair {
			return []store.Pair{{Key: "k/a", Version: 1}, {Key: "k/b", Version: 1}}
		}},
	} {
		syncer, _ := endlessSyncer(s)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan bool, 1)
		go func() { done <- syncer.list(ctx) }()
		select {
		case ok := <-done:
			if ok {
				t.Errorf("%s: a listing without an end succeeded", name)
			}
		case <-time.After(5 * time.Second):
			t.Errorf("%s: still listing after %d pages", name, s.calls.Load())
		}
		cancel()
	}
}

func TestWatchesWithoutAnEndDoNotFillTheCopy(t *testing.T) {
	const maxKeys = 16 // of 1 MiB each
	s := &endlessStore{watches: true, pairs: keysOf(2, 1<<20)}
	syncer, most := endlessSyncer(s)
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { syncer.Run(ctx) })
	wg.Wait()
	if n := most.Load(); n > maxKeys || n == 0 {
		t.Errorf("the copy had %d keys of 1 MiB, want some, and at most %d", n, maxKeys)
	}
}
