package agent

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// attemptState is the state of an attempt.
type attemptState uint8

const (
	attemptBody    attemptState = 1 // waits for its body
	attemptQueued  attemptState = 2 // waits for the endpoint
	attemptRunning attemptState = 3 // sent to the endpoint
	attemptEnding  attemptState = 4 // abandoned; the endpoint has not confirmed the end
)

var attemptStateNames = [...]string{"none", "body", "queued", "running", "ending"}

func (s attemptState) String() string { return attemptStateNames[s] }

// class groups the bands of prompts that are queued and limited together, so
// that a class that can't start does not delay the others.
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

// arrival is a Dispatch received in this tick.
type arrival struct {
	dispatch  wire.Dispatch
	bodyReady bool
	noRoom    bool // for its body
}

// attempt is one row of the Attempts table.
type attempt struct {
	id       wire.AttemptID
	dispatch wire.Dispatch
	state    attemptState
	band     wire.Band
	class    class

	arrivedAt    time.Duration
	startBy      time.Duration // refused if it has not started by then
	deadline     time.Duration
	startedAt    time.Duration
	progressedAt time.Duration // last progress reported by the engine

	promptTokens    int64 // corrected estimate, then the engine's count
	uncachedTokens  int64 // part of promptTokens expected not to be in the prefix cache
	reserveTokens   int64 // KV cache tokens to reserve; 0 under a group reservation
	outputTokens    int64 // generated so far
	chargedTokens   int64 // charged to the account at the start
	hasFirstToken   bool  // prefill has ended
	adopted         bool  // left in the engine by an earlier incarnation of the agent
	suppressOutcome bool  // the outcome has been sent, or nobody waits for it
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
	virtualStart  float64 // of the next attempt
	virtualFinish float64 // of the last attempt
	queues        [classCount]attemptQueue
	heapPos       [classCount]int // position in the class heaps plus one
	queued        int             // attempts waiting
	waitingTokens int64           // uncached prompt tokens waiting
	running       int             // attempts running
	servedTokens  int64           // service so far
}

// reservationKind is the purpose of a reservation of engine memory.
type reservationKind uint8

const (
	reservationSequence reservationKind = 1 // one attempt
	reservationGroup    reservationKind = 2 // leased for a group member before its attempt arrives
)

// reservation is one row of the Reservations table.
type reservation struct {
	id             wire.AttemptID
	kind           reservationKind
	class          class
	tokens         int64
	expiresAt      time.Duration  // groups: end of the lease
	runningAttempt wire.AttemptID // groups: attempt running under it
	everUsed       bool           // groups: an attempt has started under it
	handle         string         // groups: exported KV cache held under it
}

// orderKey identifies an order. IDs are unique only within a fencing number,
// as a new holder of the controller's lease may number its orders from the
// start again.
type orderKey struct{ fence, id uint64 }

// order is one row of the Orders table.
type order struct {
	wire.Order
	from       wire.NodeID
	receivedAt time.Duration
	loadSentAt time.Duration // when the load was sent to the engine
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
	firstSequence  uint64 // lowest sequence provable as not run; lower ones may have run under an earlier agent incarnation
	tombstoneFloor uint64 // highest sequence whose tombstone was dropped
	lastSequence   uint64 // highest sequence received
	storeDown      bool
	starvedModels  []string      // models that lack capacity according to the entry, worst first
	agents         int32         // agents that share the entry's control budget
	confirmed      bool          // the entry has sent something on the open stream
	recentOutcomes []keptOutcome // sent again on a new stream

	reportCount  uint64 // sequence of the last Report
	lastReportAt time.Duration
	lastSummary  reportSummary
	cacheSent    uint64 // position in cacheState up to which changes were sent
	cacheSeq     uint64 // sequence of the last CacheDelta
	cacheReset   bool   // the next CacheDelta must be a reset
}

// keptOutcome is an outcome kept for sending again, as a stream may break
// before it delivers it.
type keptOutcome struct {
	at  time.Duration
	msg wire.ToEntry
}

// tombstone is one row of the Tombstones table: an attempt that has ended.
type tombstone struct {
	ran       bool
	expiresAt time.Duration
}

// modelStats holds moving averages of the engine's counts for a model.
type modelStats struct {
	promptRatio   float64 // engine's prompt count over the entry's estimate
	tokensPerByte float64 // prompt tokens per byte of body
	outputTokens  float64 // output tokens of a finished attempt
}
