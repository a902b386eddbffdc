package storecopy

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"trefoilpath.org/trefoilpath/internal/sleep"
	"trefoilpath.org/trefoilpath/internal/store"
)

// Timing of the calls to the store.
const (
	// watchWait is how long one watch call may wait for changes. The store counts
	// it as one call.
	watchWait = 20 * time.Second
	// callTimeout bounds one call, which reads one page of a listing. The store usually
	// answers within milliseconds; a slow store, or one that a whole fleet lists after its
	// start, takes some hundred milliseconds a page.
	callTimeout = 1500 * time.Millisecond
	// repeatAfter is how long a page of a listing may take until it is also read on another
	// connection: the first one may have fallen silent. A process without a copy doesn't repeat it,
	// since a store that a whole fleet lists after its start is slow.
	repeatAfter = callTimeout / 2
	// retryMin and retryMax bound the exponential delay after a failed call.
	retryMin = 100 * time.Millisecond
	retryMax = 900 * time.Millisecond
	// watchPause is the delay between two watch calls, which batches changes that
	// come together. Changes must take effect within two seconds.
	watchPause = 150 * time.Millisecond
	// reconcileMin is the shortest period of a process's listings while the store
	// is healthy. With five gateways and staggered listings, one of them lists
	// every 0.4 s.
	reconcileMin = 2 * time.Second
	// reconcilePerWatcher times the number of watching gateways is their period in larger
	// fleets, which keeps the listing rate of the whole fleet constant.
	reconcilePerWatcher = 400 * time.Millisecond
	// reconcilePerPage times the pages of a listing and the number of watching gateways is their period if
	// that is longer: listings of many pages, most of them of other writers, must leave the store and
	// its link to other calls.
	reconcilePerPage = 100 * time.Millisecond
	// partialAfter is how long the first listing takes until the pages that have been read count.
	partialAfter = 500 * time.Millisecond
	// expireInterval is how often keys whose grace period is over are dropped.
	expireInterval = 150 * time.Millisecond
	// fetchTimeout bounds the fetch of a peer's copy, including tries at several peers.
	fetchTimeout = 5 * time.Second
	// peerDelay is how long the watch may lag behind a peer before the peer's copy
	// is fetched.
	peerDelay = 60 * time.Millisecond
)

// Source is the origin of a change of the copy.
type Source string

// The sources of a change.
const (
	SourceWatch   Source = "watch"
	SourceListing Source = "listing"
	SourcePeer    Source = "peer"
	SourceGrace   Source = "grace-over" // missing keys were dropped at the end of their grace period
)

// Update is the state of the copy after a change.
type Update struct {
	Prefix  string
	Version Version
	Listing Listing
	Source  Source
	Late    int           // keys whose latest write has earlier content and was not taken
	Took    time.Duration // duration of the call that brought the change; 0 for SourceGrace
}

// Config holds the settings and dependencies of a Syncer.
type Config struct {
	Prefix string
	// Single is set if Prefix is the key of the only pair. It is the first of all keys with the
	// prefix, so that a listing ends with its page.
	Single bool
	// Partial is set if some of the pairs are better than none, while the first listing is under way.
	Partial bool
	Client  store.Client
	Now     func() time.Duration // time on a monotonic clock
	// Watchers returns the number of processes that watch the store.
	Watchers func() int
	// Sparing halves the rate of listings and of repeated calls, for keys whose changes need not
	// be known as soon as others.
	Sparing bool
	// Keep returns the value to hold for a pair and its use, as store.Op.Keep. It is called from several
	// goroutines. Nil holds all values.
	Keep     func(store.Pair) (value []byte, use store.Use)
	MaxValue int // as store.Op.MaxValue
	// Policy orders values of different eras of the store.
	Policy Policy
	// Watches reports whether this process watches the store. Processes that do not
	// fetch changes from the watching ones. Nil means true.
	Watches func() bool
	// Confirmed returns when the copy is known to have had all changes in the store, from the
	// listings of other processes, on the clock of Now; 0: never. Nil means never.
	Confirmed func() time.Duration
	// Listed is called with the start of each listing that succeeded. Nil means that nobody is told.
	Listed func(began time.Duration)
	// Watching is called when this process begins or ceases to watch the store because
	// Watches has changed. Nil means that nobody is told.
	Watching func(watches bool)
	// Fetch returns the listing of the peer that has announced the newest version:
	// its changes since a version, or all keys if the version is zero. Without such a
	// peer the listing is zero.
	Fetch func(ctx context.Context, prefix string, since Version) (Listing, error)
	// Changed is called, one call at a time and with the copy locked, after each
	// change. It must not call methods of the Syncer that lock the copy.
	Changed func(Update)
	// Reachable is called when the store becomes unreachable or reachable again.
	// It is called with the copy locked, like Changed.
	Reachable func(ok bool, status store.Status)
	// GaveUp is called with each listing that is given up although the store answers. Nil means that
	// nobody is told.
	GaveUp func(GivenUp)
	// EraBegan is called with the copy locked after the first listing of a later era.
	EraBegan func(EraChange)
	// FetchFailed is called with each error of Fetch.
	FetchFailed func(err error)
}

// EraChange describes the first listing of a later era of the store.
type EraChange struct {
	Prefix   string
	Old, New Version
	Source   Source
	Stale    int // keys whose value in the store is out of date
	Missing  int // keys that the store lacks and that are kept for ReturnGrace
}

// announcement is a version that a peer has announced.
type announcement struct {
	version Version
	// ahead reports whether the peer's values are newer whatever their revision.
	ahead func() bool
}

// Syncer keeps one copy up to date. Its methods are safe for concurrent use.
type Syncer struct {
	cfg         Config
	mu          sync.Mutex // guards copy, storeUp and hasCopy
	copy        *Copy
	storeUp     bool          // the last listing succeeded
	hasCopy     bool          // the copy has been listed or fetched
	listNow     chan struct{} // requests a listing
	peerAhead   chan struct{} // signals that a peer has announced a version
	cancelWatch atomic.Pointer[context.CancelFunc]

	announced atomic.Pointer[announcement] // last version announced by a peer
	op        atomic.Uint64                // ID of the last store operation
	// spareBytes is the size in bytes of the pairs that are not needed, in the last listing and the changes
	// since. Over MaxSpareBytes they are left out.
	spareBytes atomic.Int64
	pages      atomic.Int64 // of the last listing that succeeded
	listedAt   atomic.Int64 // start of the last listing that succeeded, on the clock of Config.Now
}

// NewSyncer returns a Syncer that does nothing until Run.
func NewSyncer(cfg Config) *Syncer {
	return &Syncer{
		cfg: cfg, copy: NewCopy(cfg.Policy), storeUp: true,
		listNow: make(chan struct{}, 1), peerAhead: make(chan struct{}, 1),
	}
}

// Shared returns the listing for other processes, or its changes since a version if
// that is not zero, and reports whether there is a copy yet.
func (s *Syncer) Shared(since Version) (Listing, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copy.SharedSince(since), s.hasCopy
}

// Version returns the version of the copy.
func (s *Syncer) Version() Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copy.Version()
}

// Announced records that a peer holds version v. If the watch does not deliver it
// within peerDelay, or if ahead then still returns true, the copy is fetched from the
// peer. Announced never blocks.
func (s *Syncer) Announced(v Version, ahead func() bool) {
	s.announced.Store(&announcement{v, ahead})
	signal(s.peerAhead)
}

// Reconcile triggers a listing, for example after the VM was suspended.
func (s *Syncer) Reconcile() { signal(s.listNow) }

// signal wakes the receiver of c; signals not yet received are merged.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run keeps the copy up to date until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){s.watch, s.reconcile, s.followPeers, s.expire} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
}

// watch applies changes of the store as they come. It waits while the store is
// unreachable, before the first listing, and while Config.Watches returns false.
func (s *Syncer) watch(ctx context.Context) {
	pause := retryMin
	following := false
	for ctx.Err() == nil {
		version := s.Version()
		if version.Revision == 0 || !s.storeReachable() {
			sleep.For(ctx, 2*retryMin)
			continue
		}
		if !s.watches() {
			if !following {
				following = true
				s.watching(false)
			}
			sleep.For(ctx, 2*retryMin)
			continue
		}
		if following {
			following = false
			s.watching(true)
			signal(s.listNow) // its copy may be as old as maxUnconfirmed
		}
		if s.watchOnce(ctx, version) {
			pause = retryMin
			sleep.For(ctx, watchPause)
			continue
		}
		signal(s.listNow)
		sleep.For(ctx, jitter(pause))
		pause = min(2*pause, retryMax)
	}
}

// watches reports whether this process is to watch the store.
func (s *Syncer) watches() bool { return s.cfg.Watches == nil || s.cfg.Watches() }

// watching calls Config.Watching.
func (s *Syncer) watching(watches bool) {
	if s.cfg.Watching != nil {
		s.cfg.Watching(watches)
	}
}

// watchOnce makes one watch call for changes since a version. It returns false if the
// keys must be listed: the call failed, or the store answered from another era, whose
// revisions are not those of the call.
func (s *Syncer) watchOnce(ctx context.Context, since Version) bool {
	call, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	s.cancelWatch.Store(&cancel)
	began := s.cfg.Now()
	r := s.cfg.Client.Do(call, store.Op{
		ID: s.op.Add(1), Kind: store.OpWatch, Key: s.cfg.Prefix, Expect: since.Revision, TTL: watchWait, MaxValue: s.cfg.MaxValue, Keep: s.cfg.Keep,
	})
	if r.Era != 0 && r.Era != since.Era {
		return false
	}
	switch r.Status {
	case store.StatusTimeout:
		return true
	case store.StatusOK:
	default:
		return false
	}
	r.Pairs = s.boundSpare(r.Pairs)
	if !s.hasRoom(r.Pairs) {
		return false
	}
	s.apply(SourceWatch, s.cfg.Now()-began, func(now time.Duration) bool {
		if s.copy.Version().Era != since.Era {
			return false
		}
		return s.copy.ApplyChanges(now, r.Pairs, r.Latest)
	})
	return true
}

// reconcile lists the keys at the start, periodically, after each failed watch call
// and when Reconcile is called. While the store does not answer, it fetches the copy
// from a peer.
func (s *Syncer) reconcile(ctx context.Context) {
	pause := retryMin
	first := true
	for ctx.Err() == nil {
		if s.list(ctx) {
			pause = retryMin
			period := jitter(s.listingPeriod())
			if first {
				// A random phase: the processes of a fleet start at about the same time, and
				// without it none would list for most of the first period.
				period, first = rand.N(period), false
			}
			s.waitForListing(ctx, s.cfg.Now()+period)
			continue
		}
		s.fetch(ctx)
		sleep.For(ctx, jitter(pause))
		pause = min(2*pause, s.spared(retryMax))
	}
}

// listingPeriod returns the time between two listings of this process while it watches
// the store and the store is healthy.
func (s *Syncer) listingPeriod() time.Duration {
	return max(reconcileMin, max(s.spared(reconcilePerWatcher), s.pageTime())*time.Duration(s.cfg.Watchers()))
}

// pageTime returns the least time between two listings of the fleet by their pages.
func (s *Syncer) pageTime() time.Duration { return reconcilePerPage * time.Duration(s.pages.Load()) }

// spared returns d, or twice d with Config.Sparing.
func (s *Syncer) spared(d time.Duration) time.Duration {
	if s.cfg.Sparing {
		return 2 * d
	}
	return d
}

// expire drops keys whose grace period is over, also while the store does not answer.
func (s *Syncer) expire(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.apply(SourceGrace, 0, s.copy.Expire)
		}
	}
}

// list reads all keys from the store and reports whether that succeeded. If the
// listing holds changes that the watch has not delivered, the watch is restarted,
// since it may have stopped delivering.
func (s *Syncer) list(ctx context.Context) bool {
	began := s.cfg.Now()
	r := s.listPages(ctx)
	if ctx.Err() != nil {
		return false
	}
	s.setReachable(r.Status == store.StatusOK, r.Status)
	if r.Status != store.StatusOK {
		return false
	}
	changed := s.apply(SourceListing, s.cfg.Now()-began, func(now time.Duration) bool {
		first := !s.hasCopy // a change also if there are no keys
		s.hasCopy = true
		era := cmp.Or(r.Era, s.copy.Version().Era)
		return s.copy.ApplyListing(now, Listing{Era: era, Revision: r.Latest, Pairs: r.Pairs}) || first
	})
	if changed {
		s.restartWatch()
	}
	s.listedAt.Store(int64(began))
	if s.cfg.Listed != nil {
		s.cfg.Listed(began)
	}
	return true
}

// restartWatch ends the current watch call.
func (s *Syncer) restartWatch() {
	if stop := s.cancelWatch.Load(); stop != nil {
		(*stop)()
	}
}

// followPeers fetches the copy of a peer that stays ahead for longer than
// peerDelay.
func (s *Syncer) followPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.peerAhead:
			sleep.For(ctx, peerDelay)
			a := s.announced.Load()
			if s.Version().Behind(a.version) || a.ahead() {
				s.fetch(ctx)
			}
		}
	}
}

// fetch applies the changes of a peer's copy. If the result differs from the
// peer's copy, it fetches all keys.
func (s *Syncer) fetch(ctx context.Context) {
	if !s.fetchSince(ctx, s.Version()) {
		s.fetchSince(ctx, Version{})
	}
}

// fetchSince applies a peer's changes since a version. It returns false if the copy
// then differs from the peer's, so that all keys must be fetched.
func (s *Syncer) fetchSince(ctx context.Context, since Version) bool {
	call, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	began := s.cfg.Now()
	l, err := s.cfg.Fetch(call, s.cfg.Prefix, since)
	if err != nil {
		s.cfg.FetchFailed(err)
		return true
	}
	if l.Revision == 0 {
		return true
	}
	l.Pairs = s.selectPairs(l)
	if l.After != 0 && !s.hasRoom(l.Pairs) {
		return false
	}
	equal := true
	s.apply(SourcePeer, s.cfg.Now()-began, func(now time.Duration) bool {
		first := !s.hasCopy
		s.hasCopy = true
		var changed bool
		changed, equal = s.copy.ApplyPeer(now, l)
		return changed || first
	})
	return equal
}

// apply runs change on the copy and calls Config.Changed if it reports a change.
// It returns what change returns. took is the duration of the call to the source.
func (s *Syncer) apply(source Source, took time.Duration, change func(now time.Duration) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.copy.Version()
	if !change(s.cfg.Now()) {
		return false
	}
	if v := s.copy.Version(); v.Era != before.Era && before.Revision > 0 {
		s.restartWatch()
		s.cfg.EraBegan(EraChange{
			Prefix: s.cfg.Prefix, Old: before, New: v, Source: source, Stale: s.copy.Stale(), Missing: s.copy.InGrace(),
		})
	}
	s.cfg.Changed(Update{Prefix: s.cfg.Prefix, Version: s.copy.Version(), Listing: s.copy.Listing(), Source: source, Late: s.copy.Late(), Took: took})
	return true
}

// storeReachable reports whether the last listing succeeded.
func (s *Syncer) storeReachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeUp
}

// setReachable records the outcome of a listing and calls Config.Reachable if the
// reachability has changed.
func (s *Syncer) setReachable(ok bool, status store.Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok {
		s.copy.StoreAnswered(s.cfg.Now())
	} else {
		s.copy.StoreLost()
	}
	if s.storeUp != ok {
		s.storeUp = ok
		s.cfg.Reachable(ok, status)
	}
}

// jitter returns a random duration between 0.75 and 1.25 times d, so that the
// calls of many processes do not coincide.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2)
}
