package dissemination

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

	Watchers         int           // entries per failure domain that watch the store; 2
	AnnounceInterval time.Duration // time between periodic announcements; 2 s
	WatchTimeout     time.Duration // longest wait of one watch at the store; 15 s
	Fanout           int           // peers that each announcement is sent to; 3
	FetchTimeout     time.Duration // time without progress until another peer is queried; 1 s
	ColdStartWait    time.Duration // how long an entry without a revision waits for peers before it reads the store; 3 s
	ContactTimeout   time.Duration // the entry counts as reachable for this long after a message; 30 s

	NextOp func() uint64 // returns store operation IDs; must be set if the Core shares its store results with other users, as the default counts per Core
	Rand   *rand.Rand    // choice of peers and jitter
}

// Defaults of Config.
const (
	defaultWatchers         = 2
	defaultAnnounceInterval = 2 * time.Second
	defaultWatchTimeout     = 15 * time.Second
	defaultFanout           = 3
	defaultFetchTimeout     = time.Second
	defaultColdStartWait    = 3 * time.Second
	defaultContactTimeout   = 30 * time.Second
)

const (
	// minAnnounceGap is the least time between an announcement and a following
	// announcement of a new revision, so that revisions in quick succession don't
	// each cause one.
	minAnnounceGap = 200 * time.Millisecond
	// minWatchGap is the least time between the starts of root reads or watches, so
	// that revisions in quick succession don't each cause one.
	minWatchGap = 200 * time.Millisecond
	// opTimeoutMargin is added to the duration of a store operation; without an
	// answer by then the operation counts as failed.
	opTimeoutMargin = 5 * time.Second
	// minBackoff and maxBackoff bound the wait after a store failure, before jitter.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxChunkReads bounds the concurrent chunk reads from the store.
	maxChunkReads = 8
	// historyLen is the number of past revisions kept to compute differences from.
	historyLen = 32
	// maxChunkMessage bounds the chunks in one message to a peer, in bytes.
	maxChunkMessage = 128 << 10
	// forgetPeerAfter is how long a peer that is not in the VM list is kept after
	// its last message.
	forgetPeerAfter = time.Minute
	// retryDownAfter is how long a peer whose transport failed gets no announcements.
	retryDownAfter = 10 * time.Second
)

// never is the time of a timer that is not set.
const never = time.Duration(1<<63 - 1)

func (c Config) withDefaults() Config {
	orDefault(&c.Watchers, defaultWatchers)
	orDefault(&c.AnnounceInterval, defaultAnnounceInterval)
	orDefault(&c.WatchTimeout, defaultWatchTimeout)
	orDefault(&c.Fanout, defaultFanout)
	orDefault(&c.FetchTimeout, defaultFetchTimeout)
	orDefault(&c.ColdStartWait, defaultColdStartWait)
	orDefault(&c.ContactTimeout, defaultContactTimeout)
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
