package storecopy

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/store"
)

// The bounds of a page of the platform's store.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

// keyedStore is a store whose listings have pages. Its watches wait.
type keyedStore struct {
	mu     sync.Mutex
	pairs  []store.Pair // sorted by key
	lists  int
	latest uint64        // revision; 0: 10
	delay  time.Duration // of each page
}

// Do implements store.Client for OpList and OpWatch.
func (s *keyedStore) Do(ctx context.Context, op store.Op) store.Result {
	if op.Kind == store.OpWatch {
		<-ctx.Done()
		return store.Result{ID: op.ID, Status: store.StatusUnavailable}
	}
	time.Sleep(s.delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	r := store.Result{ID: op.ID, Status: store.StatusOK, Era: 1, Latest: cmp.Or(s.latest, 10)}
	from, _ := slices.BinarySearchFunc(s.pairs, op.After+"\x00", func(p store.Pair, key string) int { return strings.Compare(p.Key, key) })
	size := 0
	for _, p := range s.pairs[from:] {
		if len(r.Pairs) == pageItems || size >= pageBytes {
			r.More = true
			break
		}
		size += len(p.Value)
		r.Pairs = append(r.Pairs, op.Select(p))
	}
	return r
}

var ownValue = []byte("own")

// keepOwn holds the values of the own writers.
func keepOwn(p store.Pair) ([]byte, store.Use) {
	if !bytes.Equal(p.Value, ownValue) {
		return nil, store.Unusable
	}
	return p.Value, store.Needed
}

// storeOf returns a store with an own key before n keys of another writer with values of a size, and
// one after them.
func storeOf(n, size int) *keyedStore {
	s := &keyedStore{pairs: []store.Pair{{Key: "k/a", Value: ownValue, Version: 1}}}
	value := make([]byte, size)
	for i := range n {
		s.pairs = append(s.pairs, store.Pair{Key: fmt.Sprintf("k/b/%06d", i), Value: value, Version: 2})
	}
	s.pairs = append(s.pairs, store.Pair{Key: "k/c", Value: ownValue, Version: 3})
	return s
}

// syncerOf returns a syncer of a store that keeps own values, and a function that returns the keys of
// its last change.
func syncerOf(s store.Client) (*Syncer, func() []string) {
	start := time.Now()
	var mu sync.Mutex
	var keys []string
	syncer := NewSyncer(Config{
		Prefix: "k/", Client: s, Keep: keepOwn, Now: func() time.Duration { return time.Since(start) },
		Watchers: func() int { return 1 },
		Fetch:    func(context.Context, string, Version) (Listing, error) { return Listing{}, nil },
		Changed: func(u Update) {
			mu.Lock()
			defer mu.Unlock()
			keys = nil
			for _, p := range u.Listing.Pairs {
				keys = append(keys, p.Key)
			}
		},
		Reachable: func(bool, store.Status) {}, FetchFailed: func(error) {},
	})
	return syncer, func() []string {
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(keys)
	}
}

// TestKeysOfAnotherWriterDoNotEndAListing guards against bounds on the size and the pages of a listing
// that count the keys of other writers.
func TestKeysOfAnotherWriterDoNotEndAListing(t *testing.T) {
	for name, s := range map[string]*keyedStore{"large values": storeOf(40, 1<<20), "many keys": storeOf(150_000, 0)} {
		syncer, keys := syncerOf(s)
		if !syncer.list(t.Context()) {
			t.Errorf("%s: the listing was given up after %d pages", name, s.lists)
		}
		if got := keys(); !slices.Equal(got, []string{"k/a", "k/c"}) {
			t.Errorf("%s: the copy has %d keys, want the own two", name, len(got))
		}
	}
}

// TestKeysOfAnotherWriterInAPeersCopyAreLeftOut guards against a peer of an earlier build that fills the
// copy of a process that starts.
func TestKeysOfAnotherWriterInAPeersCopyAreLeftOut(t *testing.T) {
	syncer, keys := syncerOf(&keyedStore{})
	syncer.cfg.Fetch = func(_ context.Context, _ string, since Version) (Listing, error) {
		l := Listing{Revision: 10, Pairs: storeOf(3, 100).pairs}
		if since.Revision != 0 {
			l.Revision, l.After, l.Pairs = 11, since.Revision, []store.Pair{{Key: "k/b/7", Version: 11}, {Key: "k/c", Value: []byte("unreadable"), Version: 11}}
		}
		return l, nil
	}
	syncer.fetch(t.Context())
	if got := keys(); !slices.Equal(got, []string{"k/a", "k/c"}) {
		t.Errorf("the copy has %q, want the own two", got)
	}
	syncer.fetchSince(t.Context(), syncer.Version())
	if got := keys(); !slices.Equal(got, []string{"k/a"}) {
		t.Errorf("the copy has %q, want only the key whose latest value can be read", got)
	}
}

// TestSingleKeyIsListedFromOnePage guards against a configuration that waits for the keys of other
// writers that begin with its key.
func TestSingleKeyIsListedFromOnePage(t *testing.T) {
	s := storeOf(40, 1<<20)
	s.pairs[0].Key = "k/"
	syncer, keys := syncerOf(s)
	syncer.cfg.Single = true
	if !syncer.list(t.Context()) || s.lists != 1 || !slices.Equal(keys(), []string{"k/"}) {
		t.Errorf("%d pages were read for %q, want one for the key", s.lists, keys())
	}
}

// keepSpare holds all values, and needs the own ones.
func keepSpare(p store.Pair) ([]byte, store.Use) {
	if !bytes.Equal(p.Value, ownValue) {
		return p.Value, store.Spare
	}
	return p.Value, store.Needed
}

// TestPairsThatAreNotNeededDoNotFillTheCopy guards against registrations of services of nobody that take
// the room of the own ones, in a listing, in changes and in a peer's copy.
func TestPairsThatAreNotNeededDoNotFillTheCopy(t *testing.T) {
	s := storeOf(5000, 200)
	syncer, keys := syncerOf(s)
	syncer.cfg.Keep = keepSpare
	if !syncer.list(t.Context()) || !syncer.LacksSpare() || !slices.Equal(keys(), []string{"k/a", "k/c"}) {
		t.Errorf("listing: the copy has %d keys, want the own two", len(keys()))
	}
	change := func(version uint64) []store.Pair {
		op := store.Op{Keep: keepSpare}
		return []store.Pair{op.Select(store.Pair{Key: "k/b/1", Value: []byte("new"), Version: version}), op.Select(store.Pair{Key: "k/d", Value: ownValue, Version: version})}
	}
	if got := syncer.boundSpare(change(11)); !got[0].Deleted || got[1].Deleted {
		t.Errorf("changes after a listing without room: %+v, want only the own one", got)
	}
	syncer.cfg.Fetch = func(context.Context, string, Version) (Listing, error) {
		return Listing{Revision: 12, Pairs: s.pairs}, nil
	}
	syncer.fetchSince(t.Context(), Version{})
	if n := len(keys()); n != 2 {
		t.Errorf("peer: the copy has %d keys, want the own two", n)
	}
	s.mu.Lock()
	s.pairs = slices.Delete(s.pairs, 11, 5001)
	s.mu.Unlock()
	s.latest = 13
	if !syncer.list(t.Context()) || syncer.LacksSpare() || len(keys()) != 12 {
		t.Errorf("with room: the copy has %d keys, want all 12", len(keys()))
	}
	if got := syncer.boundSpare(change(14)); got[0].Deleted || got[1].Deleted {
		t.Errorf("changes after a listing with room: %+v, want all", got)
	}
}

// TestChangesThatAreNotNeededAreBoundedUntilAListing guards against changes that each have room, and
// fill the copy together.
func TestChangesThatAreNotNeededAreBoundedUntilAListing(t *testing.T) {
	syncer, _ := syncerOf(storeOf(0, 0))
	size := int64(0)
	for i := range 10_000 {
		p := store.Pair{Key: fmt.Sprintf("k/b/%06d", i), Value: []byte("spare"), Spare: true}
		if got := syncer.boundSpare([]store.Pair{p}); !got[0].Deleted {
			size += pairSize(p)
		}
	}
	if size > MaxSpareBytes || size == 0 {
		t.Errorf("%d bytes are held, want some and at most %d", size, MaxSpareBytes)
	}
}

// TestListingsOfManyPagesAreRare guards against listings of the keys of another writer that take the
// store's link from all other calls.
func TestListingsOfManyPagesAreRare(t *testing.T) {
	t.Parallel()
	const pages = 100
	s := storeOf(pages, pageBytes)
	syncer, _ := syncerOf(s)
	ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
	defer cancel()
	syncer.Run(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lists < pages || s.lists > 2*(pages+2) {
		t.Errorf("%d pages were read in 6 s, want those of one or two listings of about %d", s.lists, pages)
	}
}

// TestFirstPagesOfALongFirstListingCount guards against a process that knows none of the own keys for as
// long as those of another writer take to be read, and checks that the whole listing counts after it.
func TestFirstPagesOfALongFirstListingCount(t *testing.T) {
	for _, partial := range []bool{true, false} {
		s := storeOf(20, pageBytes)
		s.delay = 60 * time.Millisecond
		syncer, keys := syncerOf(s)
		syncer.cfg.Partial = partial
		syncer.cfg.EraBegan = func(EraChange) { t.Error("an era has begun, want none: there was no copy") }
		listed := make(chan bool)
		go func() { listed <- syncer.list(t.Context()) }()
		time.Sleep(partialAfter + 300*time.Millisecond)
		if got := keys(); partial != slices.Equal(got, []string{"k/a"}) {
			t.Errorf("partial %v: the copy has %q in the middle of the listing", partial, got)
		}
		if _, known := syncer.Shared(Version{}); known {
			t.Error("a part of a listing is shared with peers")
		}
		if !<-listed || !slices.Equal(keys(), []string{"k/a", "k/c"}) {
			t.Errorf("partial %v: the copy has %q after the listing, want both keys", partial, keys())
		}
	}
}

// TestFirstPagesFollowTheStoreUntilAListingIsComplete guards against an endpoint that leaves, or is gone,
// while one listing after the other fails in the middle.
func TestFirstPagesFollowTheStoreUntilAListingIsComplete(t *testing.T) {
	c := NewCopy(Policy{})
	pairs := []store.Pair{{Key: "k/a", Version: 1}, {Key: "k/b", Version: 2}, {Key: "k/d", Version: 3}}
	if !c.ApplyFirst(pairs, "k/d") || c.ApplyFirst(pairs[:1], "k/a") {
		t.Error("want a change by new keys, and none by the first page of the same")
	}
	if !c.ApplyFirst([]store.Pair{{Key: "k/a", Version: 4}}, "k/c") {
		t.Error("want a change: k/a was written and k/b deleted")
	}
	var got []string
	for _, p := range c.Listing().Pairs {
		got = append(got, fmt.Sprint(p.Key, p.Version))
	}
	if !slices.Equal(got, []string{"k/a4", "k/d3"}) || c.Version() != (Version{}) {
		t.Errorf("%q at version %+v, want k/a at 4 and k/d at 3, at none", got, c.Version())
	}
	c.ApplyListing(0, Listing{Revision: 9, Era: 1, Pairs: []store.Pair{{Key: "k/a", Version: 4}}})
	if c.ApplyFirst(pairs, "k/d") || len(c.Listing().Pairs) != 1 {
		t.Errorf("%+v: the first pages of a listing count for a copy that has been listed", c.Listing())
	}
}
