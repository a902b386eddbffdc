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
	phaseSettling phase = 4 // proof of what became of a withdrawn attempt
	phaseGroup    phase = 5 // a group of engines
	phaseLimit    phase = 6 // its client account's first grant
)

var phaseNames = [...]string{"", "record", "waiting", "running", "settling", "group", "limit"}

func (p phase) String() string { return phaseNames[p] }

// request is one admitted request.
type request struct {
	id           RequestID
	in           Request
	account      *declaration.Account
	admitted     time.Duration
	deadline     time.Duration
	band         wire.Band
	promptTokens int64 // tokens, estimated
	maxOutput    int64 // tokens, the limit
	phase        phase

	current        uint64 // sequence of the current attempt, or 0
	attempts       int
	refusals       int
	limitsCharged  bool          // counted in its client account's limits
	inWaitingList  bool          // among those that wait for room
	mayHaveRun     bool          // an attempt may have run
	unresolved     int           // attempts sent whose fate is not known
	delivered      int64         // output tokens that the caller has
	firstTokenAt   time.Duration // when the caller got the first token; 0: not yet
	usage          *wire.Finished
	answerComplete bool // all data has gone to the caller

	abandoned    []uint64 // attempts that the request has gone on without
	avoid        []avoided
	shortestWait refusalWait // the shortest wait that an agent named in its refusal
	ownsRecord   bool        // an at-most-once record is ours
	repeatable   bool
	group        *group

	// failure is the answer if no other attempt succeeds.
	failure failure
}

// failure says how a request ends if it can't be retried.
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

// refusalWait is an endpoint that would have had room after a wait.
type refusalWait struct {
	endpoint wire.EndpointID
	wait     time.Duration
}

// attempt is one try to run a request at one endpoint.
type attempt struct {
	id            wire.AttemptID
	request       RequestID
	endpoint      wire.EndpointID
	sentAt        time.Duration
	predictedTTFT time.Duration // time to first token
	started       bool
	cancelSent    bool // Cancel has been sent
	orphaned      bool // its stream is lost
	abandoned     bool // its request goes on without it
	sliceIndex    int  // index in a group, or -1
	band          wire.Band
	tokens        int64 // uncached prompt tokens, estimated
}

// health is how an endpoint has answered.
type health uint8

const (
	healthGood      health = 0
	healthEjected   health = 1
	healthReturning health = 2 // a bounded number of attempts at once
)

var healthNames = [...]string{"good", "ejected", "returning"}

func (h health) String() string { return healthNames[h] }

// endpoint is one endpoint whose agent has or had a stream to this entry.
type endpoint struct {
	id           wire.EndpointID
	hello        wire.Hello
	report       wire.Report
	up           bool
	lastReportAt time.Duration // when the last report arrived
	leaving      bool

	inFlight         int
	unreported       []unreportedAttempt   // attempts sent that the last report does not include
	unreportedTokens [wire.BandCount]int64 // sum of recent by band
	unreportedMemory int64                 // memory that they will take

	health      health
	failures    int     // consecutive
	ejections   int     // consecutive
	maxInFlight int     // attempts at once while returning
	ttftRatio   float64 // moving ratio of first-token time to its prediction

	prefixes prefixSet
}

// unreportedAttempt is an attempt that the endpoint's last report does not include.
type unreportedAttempt struct {
	sequence       uint64
	band           wire.Band
	uncachedTokens int64
	memory         int64
}

// recordHandle is an at-most-once record's handle; it equals the request's number.
type recordHandle = uint64

func keyOf(r *request) idempotency.Key {
	return idempotency.Key{Account: r.in.Account, Service: r.in.Call.Service, Key: r.in.Call.IdempotencyKey}
}

// timerKind says what a timer of the core is for.
type timerKind uint8

const (
	timerDeadline  timerKind = 1
	timerSettle    timerKind = 2
	timerRetry     timerKind = 3
	timerOrphan    timerKind = 4 // of an attempt
	timerEject     timerKind = 5 // of an endpoint
	timerHeartbeat timerKind = 6
	timerGroup     timerKind = 7 // lease renewal of a request's group
	timerDrain     timerKind = 8
	timerReport    timerKind = 9 // of an endpoint
	timerGrant     timerKind = 10
	timerStart     timerKind = 12 // of an attempt
	timerReady     timerKind = 11 // readiness is looked at in each tick
)

// timerKey names one timer. The fields that do not apply are zero.
type timerKey struct {
	kind     timerKind
	id       uint64 // request or attempt
	endpoint wire.EndpointID
}
