package agent

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// attemptState is the one state that an attempt is in.
type attemptState uint8

const (
	attemptBody    attemptState = 1 // the body has not arrived
	attemptQueued  attemptState = 2 // waits for the endpoint
	attemptRunning attemptState = 3 // handed to the endpoint
	attemptEnding  attemptState = 4 // ended for the entry; the endpoint has not confirmed
)

var attemptStateNames = [...]string{"none", "body", "queued", "running", "ending"}

func (s attemptState) String() string { return attemptStateNames[s] }

// class separates prompts that must not wait behind one another.
type class uint8

const (
	classShort  class = 0
	classMedium class = 1
	classLong   class = 2 // long and huge bands

	classCount = 3
)

func classOf(b wire.Band) class {
	switch b {
	case wire.BandShort:
		return classShort
	case wire.BandMedium:
		return classMedium
	}
	return classLong
}

// arrival is a Dispatch of this tick.
type arrival struct {
	dispatch  wire.Dispatch
	bodyReady bool
}

// attempt is one row of the Attempts table.
type attempt struct {
	id       wire.AttemptID
	dispatch wire.Dispatch
	state    attemptState
	band     wire.Band
	class    class

	arrivedAt    time.Duration
	startBy      time.Duration
	deadline     time.Duration
	startedAt    time.Duration
	progressedAt time.Duration

	promptTokens    int64 // tokens: corrected estimate, then the engine's count
	uncachedTokens  int64 // of these, still to prefill as far as known
	reserveTokens   int64 // KV cache tokens to reserve
	outputTokens    int64 // tokens generated
	chargedTokens   int64 // tokens charged to the account
	hasFirstToken   bool  // the first token has come
	adopted         bool  // left by a predecessor; nobody hears of it
	suppressOutcome bool  // the entry has heard the outcome
	missingStates   int   // successive engine states that lack the sequence

	reservation wire.AttemptID
	sequence    engine.SequenceID

	queueKey time.Duration // order within the account's queue
	queuePos int           // position in the account's queue plus one
}

// account is one row of the Accounts table: a client account with waiting or
// recent attempts.
type account struct {
	id            wire.AccountID
	weight        float64
	virtualStart  float64 // virtual start time of its next attempt
	virtualFinish float64 // virtual finish time of its last attempt
	queues        [classCount]attemptQueue
	heapPos       [classCount]int // position in the class heaps plus one
	queued        int             // attempts waiting
	waitingTokens int64           // prompt tokens waiting
	running       int             // attempts running
	servedTokens  int64           // tokens of service so far
}

// reservationKind says what engine memory a reservation stands for.
type reservationKind uint8

const (
	reservationSequence reservationKind = 1 // one attempt
	reservationGroup    reservationKind = 2 // leased ahead of a group member's work
)

// reservation is one row of the Reservations table.
type reservation struct {
	id             wire.AttemptID
	kind           reservationKind
	class          class
	tokens         int64
	expiresAt      time.Duration  // groups: end of the lease
	runningAttempt wire.AttemptID // groups: attempt that runs in it
	everUsed       bool           // groups: an attempt has started in it
	handle         string         // groups: exported KV cache that it holds
}

// orderKey identifies an order. A new lease holder may number anew.
type orderKey struct{ fence, id uint64 }

// order is one row of the Orders table.
type order struct {
	wire.Order
	from       wire.NodeID
	receivedAt time.Duration
	loadSentAt time.Duration // when the engine was told
	state      orderState
}

type orderState uint8

const (
	orderWaiting orderState = 1
	orderLoading orderState = 2
)

// entryRow is one row of the Entries table.
type entryRow struct {
	id             wire.NodeID
	incarnation    wire.Incarnation
	up             bool
	firstSequence  uint64 // lowest sequence that can be proven not to have run
	tombstoneFloor uint64 // sequences up to here are no longer remembered one by one
	lastSequence   uint64 // highest sequence received
	storeDown      bool
	starvedModels  []string
	agents         int32         // agents that share the entry's control budget
	confirmed      bool          // the entry has sent something on the open stream
	recentOutcomes []keptOutcome // outcomes that a broken stream may have lost

	reportCount  uint64
	lastReportAt time.Duration
	lastSummary  reportSummary
	cacheSent    uint64 // position in the cache log
	cacheSeq     uint64
	cacheReset   bool
}

// outcomeRow is an outcome kept for a stream that may not have delivered it.
type keptOutcome struct {
	at  time.Duration
	msg wire.ToEntry
}

// tombstone is one row of the Tombstones table: an attempt that has ended.
type tombstone struct {
	ran       bool
	expiresAt time.Duration
}

// modelStats corrects the entries' estimates by the engine's counts.
type modelStats struct {
	promptRatio   float64 // engine's count over the estimate
	tokensPerByte float64
	outputTokens  float64 // typical output tokens
}
