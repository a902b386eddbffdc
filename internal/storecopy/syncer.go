package storecopy

import (
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
	// watchWait is how long one watch waits. A waiting watch counts as one call.
	watchWait = 20 * time.Second
	// callTimeout bounds a listing. The store answers in milliseconds; a slow one
	// takes some hundred.
	callTimeout = 1500 * time.Millisecond
	// retryMin and retryMax bound the pause after a failed call.
	retryMin = 100 * time.Millisecond
	retryMax = 900 * time.Millisecond
	// watchPause collects changes that come together into one call. Changes are to
	// be in force within two seconds.
	watchPause = 150 * time.Millisecond
	// reconcileMin is the shortest time between two listings of a healthy store:
	// with five gateways whose listings are spread, some gateway looks every 0.4 s.
	reconcileMin = 2 * time.Second
	// reconcilePerPeer lengthens it with the fleet, at a constant rate of listings
	// of the whole fleet.
	reconcilePerPeer = 400 * time.Millisecond
	// peerDelay is how long the watch may lag behind a peer before its copy is fetched.
	peerDelay = 60 * time.Millisecond
)

// Source says where a change of the copy came from.
type Source string

// The sources of a copy.
const (
	SourceWatch   Source = "watch"
	SourceListing Source = "listing"
	SourcePeer    Source = "peer"
	SourceGrace   Source = "grace-over"
)

// Update is a change of the copy or of the reachability of the store.
type Update struct {
	Prefix  string
	Version Version
	Listing Listing
	Source  Source
	Took    time.Duration // the call
}

// Config connects a Syncer to its surroundings.
type Config struct {
	Prefix string
	Client store.Client
	Now    func() time.Duration // monotonic
	// Gateways returns the number of processes that keep this copy.
	Gateways func() int
	// Watches reports whether this process is one of those that watch; nil: it is.
	// The others learn of changes from them.
	Watches func() bool
	// Fetch returns the copy of the peer that has announced the newest one, or what
	// has changed in it after a revision; 0: all of it.
	Fetch func(ctx context.Context, prefix string, after uint64) (Listing, error)
	// Changed is called, one call at a time, with each new state.
	Changed func(Update)
	// Reachable is called when the store is lost or regained.
	Reachable func(ok bool, status store.Status)
	// Failed is called with errors of peers.
	Failed func(err error)
}

// Syncer keeps one copy up to date. Its methods are safe for concurrent use.
type Syncer struct {
	cfg     Config
	mu      sync.Mutex
	copy    *Copy
	up      bool
	known   bool
	kick    chan struct{}
	behind  chan struct{}
	rewatch atomic.Pointer[context.CancelFunc]

	announced atomic.Pointer[Version] // the newest that a peer told of
	op        atomic.Uint64
}

// NewSyncer returns a Syncer that does nothing until Run.
func NewSyncer(cfg Config) *Syncer {
	return &Syncer{
		cfg: cfg, copy: NewCopy(), up: true,
		kick: make(chan struct{}, 1), behind: make(chan struct{}, 1),
	}
}

// Shared returns the copy for other processes, or what has changed in it after a
// revision, and whether there is a copy.
func (s *Syncer) Shared(after uint64) (Listing, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copy.SharedAfter(after), s.known
}

// Version returns the version of the copy.
func (s *Syncer) Version() Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copy.Version()
}

// Announced says that a peer holds a version. The copy is fetched from a peer
// if the watch does not bring it soon. It never blocks.
func (s *Syncer) Announced(v Version) {
	s.announced.Store(&v)
	signal(s.behind)
}

// Reconcile lists the keys soon, for example after the VM was suspended.
func (s *Syncer) Reconcile() { signal(s.kick) }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run keeps the copy until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){s.watch, s.reconcile, s.follow} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
}

// watch waits for changes of the store.
func (s *Syncer) watch(ctx context.Context) {
	pause := retryMin
	for ctx.Err() == nil {
		version := s.Version()
		if version.Revision == 0 || !s.reached() || s.cfg.Watches != nil && !s.cfg.Watches() {
			sleep.For(ctx, 2*retryMin)
			continue
		}
		if s.watchOnce(ctx, version.Revision) {
			pause = retryMin
			sleep.For(ctx, watchPause)
			continue
		}
		signal(s.kick)
		sleep.For(ctx, jitter(pause))
		pause = min(2*pause, retryMax)
	}
}

// watchOnce makes one call and reports whether the watch may go on from it.
func (s *Syncer) watchOnce(ctx context.Context, after uint64) bool {
	call, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	s.rewatch.Store(&cancel)
	began := s.cfg.Now()
	r := s.cfg.Client.Do(call, store.Op{
		ID: s.op.Add(1), Kind: store.OpWatch, Key: s.cfg.Prefix, Expect: after, TTL: watchWait,
	})
	switch r.Status {
	case store.StatusTimeout:
		return true
	case store.StatusOK:
	default:
		return false
	}
	s.apply(SourceWatch, s.cfg.Now()-began, func(now time.Duration) bool {
		return s.copy.Change(now, r.Pairs, r.Latest)
	})
	return true
}

// reconcile lists the keys at the start, after each failure and now and then.
func (s *Syncer) reconcile(ctx context.Context) {
	pause := retryMin
	for ctx.Err() == nil {
		if s.list(ctx) {
			pause = retryMin
			period := max(reconcileMin, reconcilePerPeer*time.Duration(s.cfg.Gateways()))
			s.waitKick(ctx, jitter(period))
			continue
		}
		s.fetch(ctx)
		s.apply(SourceGrace, 0, s.copy.Expire)
		sleep.For(ctx, jitter(pause))
		pause = min(2*pause, retryMax)
	}
}

// waitKick waits for a period or a kick, and drops keys whose grace ends.
func (s *Syncer) waitKick(ctx context.Context, period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	grace := time.NewTicker(ReturnGrace / 8)
	defer grace.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-s.kick:
			sleep.For(ctx, retryMin/2)
			return
		case <-grace.C:
			s.apply(SourceGrace, 0, s.copy.Expire)
		}
	}
}

// list reads all keys. A listing that is ahead of a waiting watch by more than
// a moment means that the watch is deaf, so it is started anew.
func (s *Syncer) list(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began := s.cfg.Now()
	r := s.cfg.Client.Do(call, store.Op{ID: s.op.Add(1), Kind: store.OpList, Key: s.cfg.Prefix})
	if ctx.Err() != nil {
		return false
	}
	s.reachable(r.Status == store.StatusOK, r.Status)
	if r.Status != store.StatusOK {
		return false
	}
	changed := s.apply(SourceListing, s.cfg.Now()-began, func(now time.Duration) bool {
		s.known = true
		return s.copy.List(now, Listing{Revision: r.Latest, Pairs: r.Pairs})
	})
	if changed {
		if stop := s.rewatch.Load(); stop != nil {
			(*stop)()
		}
	}
	return true
}

// follow fetches from a peer what the own watch has missed.
func (s *Syncer) follow(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.behind:
			sleep.For(ctx, peerDelay)
			if s.Version().Behind(*s.announced.Load()) {
				s.fetch(ctx)
			}
		}
	}
}

// fetch takes what a peer's copy has that the own one lacks, or all of it if the
// changes alone don't make the same copy.
func (s *Syncer) fetch(ctx context.Context) {
	if !s.fetchAfter(ctx, s.Version().Revision) {
		s.fetchAfter(ctx, 0)
	}
}

// fetchAfter reports whether all keys need not be fetched.
func (s *Syncer) fetchAfter(ctx context.Context, after uint64) bool {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began := s.cfg.Now()
	l, err := s.cfg.Fetch(call, s.cfg.Prefix, after)
	if err != nil {
		s.cfg.Failed(err)
		return true
	}
	if l.Revision == 0 {
		return true
	}
	whole := true
	s.apply(SourcePeer, s.cfg.Now()-began, func(now time.Duration) bool {
		s.known = true
		var changed bool
		changed, whole = s.copy.Take(now, l)
		return changed
	})
	return whole
}

// apply changes the copy and hands the new state on if it differs.
func (s *Syncer) apply(source Source, took time.Duration, change func(now time.Duration) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !change(s.cfg.Now()) {
		return false
	}
	s.cfg.Changed(Update{Prefix: s.cfg.Prefix, Version: s.copy.Version(), Listing: s.copy.Listing(), Source: source, Took: took})
	return true
}

// reached reports whether the last listing succeeded.
func (s *Syncer) reached() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.up
}

func (s *Syncer) reachable(ok bool, status store.Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok {
		s.copy.Answered(s.cfg.Now())
	} else {
		s.copy.Lost()
	}
	if s.up != ok {
		s.up = ok
		s.cfg.Reachable(ok, status)
	}
}

// jitter returns a time between three quarters and five quarters of d, so that
// the calls of many processes spread.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2)
}
