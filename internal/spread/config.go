package spread

import (
	"math/rand/v2"
	"time"

	"trefoilpath.org/trefoilpath/internal/membership"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Config sets up a Core. Zero fields take the defaults.
type Config struct {
	Self          wire.NodeID
	Incarnation   wire.Incarnation
	Region        wire.Region
	FailureDomain wire.FailureDomain

	Watchers      int           // entries of a failure domain that watch the store; 2
	AnnounceEvery time.Duration // time between periodic announcements; 2 s
	WatchFor      time.Duration // how long a watch waits at the store; 15 s
	Fanout        int           // peers that one announcement goes to; 3
	FetchTimeout  time.Duration // without progress, another peer is asked; 1 s
	ColdWait      time.Duration // how long an entry without a revision asks peers alone; 3 s
	ReachFor      time.Duration // how long what was heard last counts as being in touch; 30 s

	NextOp func() uint64 // numbers store operations, unique in the process
	Rand   *rand.Rand    // choice of peers and jitter
}

// Defaults of Config.
const (
	defaultWatchers      = 2
	defaultAnnounceEvery = 2 * time.Second
	defaultWatchFor      = 15 * time.Second
	defaultFanout        = 3
	defaultFetchTimeout  = time.Second
	defaultColdWait      = 3 * time.Second
	defaultReachFor      = 30 * time.Second
)

const (
	// minAnnounceGap separates announcements of revisions that follow closely.
	minAnnounceGap = 200 * time.Millisecond
	// minWatchGap separates the starts of watches when revisions follow closely.
	minWatchGap = 200 * time.Millisecond
	// answerAfter is how long past its own time an operation may take before
	// its answer is taken as lost.
	answerAfter = 5 * time.Second
	// minBackoff and maxBackoff bound the pause after the store failed.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 2 * time.Second
	// storeReads is the number of chunks read from the store at once.
	storeReads = 8
	// historyLen is the number of past revisions from which differences are made.
	historyLen = 32
	// maxChunkMessage bounds the chunks in one message to a peer, in bytes.
	maxChunkMessage = 128 << 10
	// forgetPeerAfter is how long a peer that the VM list lacks is remembered
	// after it was heard last.
	forgetPeerAfter = time.Minute
	// retryDownAfter is how long a peer whose transport failed is left out.
	retryDownAfter = 10 * time.Second
)

const never = time.Duration(1<<63 - 1)

func (c Config) withDefaults() Config {
	orDefault(&c.Watchers, defaultWatchers)
	orDefault(&c.AnnounceEvery, defaultAnnounceEvery)
	orDefault(&c.WatchFor, defaultWatchFor)
	orDefault(&c.Fanout, defaultFanout)
	orDefault(&c.FetchTimeout, defaultFetchTimeout)
	orDefault(&c.ColdWait, defaultColdWait)
	orDefault(&c.ReachFor, defaultReachFor)
	if c.NextOp == nil {
		c.NextOp = counter()
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(membership.Hash(string(c.Self)), uint64(c.Incarnation)))
	}
	return c
}

func orDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

func counter() func() uint64 {
	n := uint64(0)
	return func() uint64 {
		n++
		return n
	}
}
