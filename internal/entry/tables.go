package entry

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/idempotency"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// phase is what a request waits for.
type phase uint8

const (
	phaseRecord   phase = 1 // the verdict of its at-most-once record
	phaseWaiting  phase = 2 // an endpoint
	phaseRunning  phase = 3 // its current attempt
	phaseSettling phase = 4 // the outcome of a cancelled attempt
	phaseGroup    phase = 5 // a group of engines
	phaseLimit    phase = 6 // its client account's limits
)

var phaseNames = [...]string{"", "record", "waiting", "running", "settling", "group", "limit"}

func (p phase) String() string { return phaseNames[p] }

// request is one request that was not refused at once. It may still wait for
// its account's limits.
type request struct {
	id           RequestID
	in           Request // as received, with Priority capped by the plan
	account      *declaration.Account
	arrivedAt    time.Duration // when the request arrived
	deadline     time.Duration
	band         wire.Band
	promptTokens int64 // estimated
	maxOutput    int64 // tokens
	phase        phase

	currentAttempt uint64         // sequence of the current attempt, or 0
	attempts       int            // sent so far
	refusals       int            // by agents
	lostRuns       int            // attempts that had started and were lost with their endpoint
	retryTaken     bool           // its next retry is taken from the budget already
	limitsCharged  bool           // charged to its client account's limits
	inWaitingList  bool           // of its model or service
	mayHaveRun     bool           // an attempt has started or ended without proof that it has not run, or an earlier call with its key may have run; see unresolved
	unresolved     int            // attempts sent whose outcome is not known; mayHaveRun does not cover those that are not known to have started
	delivered      int64          // output tokens queued for the caller
	firstTokenAt   time.Duration  // when the first data was queued for the caller; 0: not yet
	usage          *wire.Finished // token counts of the complete answer
	answerComplete bool           // the shell has received and checked the whole answer

	abandoned    []uint64 // attempts without a known outcome that the request no longer waits for
	avoid        []avoided
	shortestWait refusalWait // the shortest wait named in a refusal, see noteShortestWait
	ownsRecord   bool        // its at-most-once record is requested, and neither denied nor closed
	repeatable   bool        // may run more than once: a model request or an idempotent call
	group        *group

	// failure is the answer if no further attempt succeeds.
	failure failure
}

// failure says how a request is answered that did not complete. CodeOK: no
// failure.
type failure struct {
	code       Code
	detail     string
	retryAfter time.Duration
}

// avoided is an endpoint that a request does not try again before a time.
type avoided struct {
	endpoint wire.EndpointID
	until    time.Duration
}

// refusalWait is the wait that an endpoint named when it refused.
type refusalWait struct {
	endpoint wire.EndpointID
	wait     time.Duration
}

// attempt is one try to run a request at one endpoint.
type attempt struct {
	id             wire.AttemptID
	request        RequestID
	endpoint       wire.EndpointID
	sentAt         time.Duration
	predictedTTFT  time.Duration // time to first token
	started        bool
	cancelSent     bool
	orphaned       bool // its agent's stream is lost or its reports are overdue, the agent came back without it, or it did not start in time
	disowned       bool // its agent has restarted or has come back without it
	abandoned      bool // its request no longer waits for it
	sliceIndex     int  // of its group; -1: not in a group; or reservationSlice
	band           wire.Band
	uncachedTokens int64 // of the prompt, estimated
}

// health says whether an endpoint is ejected, for failures or slow first
// tokens, or returns from an ejection.
type health uint8

const (
	healthGood      health = 0
	healthEjected   health = 1
	healthReturning health = 2 // after an ejection: a bounded number of attempts at once
)

var healthNames = [...]string{"good", "ejected", "returning"}

func (h health) String() string { return healthNames[h] }

// endpoint is one endpoint whose agent has or had a stream to this entry.
type endpoint struct {
	id           wire.EndpointID
	hello        wire.Hello
	report       wire.Report
	up           bool
	lastReportAt time.Duration // time of the last hello or report
	leaving      bool          // its agent is shutting down or its VM is about to be removed

	inFlight         int
	unreported       []unreportedAttempt   // attempts sent that the last report does not include
	unreportedTokens [wire.BandCount]int64 // uncached prompt tokens of unreported, by band
	unreportedMemory int64                 // KV cache tokens of unreported

	health      health
	failures    int     // consecutive
	ejections   int     // consecutive
	maxInFlight int     // attempts at once while returning
	ttftRatio   float64 // moving ratio of TTFT to its prediction

	prefixes prefixSet
}

// unreportedAttempt is an attempt that the endpoint's last report does not
// include.
type unreportedAttempt struct {
	sequence       uint64
	band           wire.Band
	uncachedTokens int64
	memory         int64 // KV cache tokens
}

// recordHandle is the handle under which package idempotency keeps a plain
// service call. It equals the RequestID.
type recordHandle = uint64

func keyOf(r *request) idempotency.Key {
	return idempotency.Key{Account: r.in.Account, Service: r.in.Call.Service, Key: r.in.Call.IdempotencyKey}
}

// timerKind says what a timer of the core is for.
type timerKind uint8

const (
	timerDeadline  timerKind = 1
	timerSettle    timerKind = 2 // cancels an attempt that has not started
	timerRetry     timerKind = 3
	timerOrphan    timerKind = 4 // of an attempt
	timerEject     timerKind = 5 // of an endpoint
	timerHeartbeat timerKind = 6
	timerGroup     timerKind = 7  // lease renewal of a request's group
	timerDrain     timerKind = 8  // end of BalancerLag
	timerReport    timerKind = 9  // report timeout of an endpoint
	timerLimits    timerKind = 10 // only causes a tick, in which waiting requests are tried again
	timerStart     timerKind = 12 // of an attempt
	timerReady     timerKind = 11 // only causes a tick, in which readiness is updated
)

// timerKey names one timer. The fields that do not apply are zero.
type timerKey struct {
	kind     timerKind
	id       uint64 // request or attempt
	endpoint wire.EndpointID
}
