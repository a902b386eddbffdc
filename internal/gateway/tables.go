package gateway

import (
	"net/netip"
	"time"

	"trefoilpath.org/trefoilpath/internal/enginecost"
	"trefoilpath.org/trefoilpath/internal/retrybudget"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// endpoint is one registered endpoint.
type endpoint struct {
	registration   Registration
	idHash         uint64 // names it in messages between gateways
	engine         *enginecost.Params
	workItems      []*workItem // that run here, the gateway's own and others', by time of dispatch
	unregistered   bool        // no longer registered; the row stays while own work runs
	inCell         bool        // of the own cell
	health         health
	observedPace   float64       // moving ratio of measured to predicted time; 1: as published
	reportedPace   float64       // of its last report; 0: none
	reportedPaceAt time.Duration // when that was taken, here or at another gateway
	fullUntil      time.Duration // until which it counts as full, after a refusal
	load           Load
	loadAt         time.Duration
	answers        int // of own requests, since the start

	cachedOccupancy occupancy // of works, at summedAt
	occupancyValid  bool      // and nothing has changed since
	occupancyAt     time.Duration
}

// service groups endpoints.
type service struct {
	name         string
	nameHash     uint64      // names it in messages between gateways
	endpoints    []*endpoint // in the order that all gateways share
	budget       *retrybudget.Budget
	waiting      []*request
	failureRatio float64 // moving mean of its endpoints' failure ratios
}

// phase is what a request waits for.
type phase uint8

const (
	phaseWaiting phase = 1 // room at an endpoint
	phaseRunning phase = 2 // its attempt
)

// request is one caller's request without an answer so far.
type request struct {
	in              Arrive
	arrived         time.Duration
	phase           phase
	attempt         int // number of the current or last attempt
	sends           int // endpoints to which a byte was sent
	sent            bool
	work            *workItem
	avoid           []wire.EndpointID
	partlyDelivered bool          // a part of the stream has been delivered
	cancelled       bool          // the current attempt
	provenNotRun    int           // endpoints that were sent a byte and proved not to have run it
	mayHaveRun      int           // attempts that may have run
	connectFailures int           // attempts that got no connection
	failureHeld     bool          // the shell holds a failure answer that may be passed on
	predictedFirst  time.Duration // when the first event is due
	divisible       bool          // its prompt may be read by several engines
	orderPenalty    time.Duration // by which it comes later in the order of those that wait
	holdUntil       time.Duration // until others have heard that it waits
}

// workPhase is how far a request is at its engine.
type workPhase uint8

const (
	workPrefilling workPhase = 1
	workDecoding   workPhase = 2
)

// workKey names a work among all gateways.
type workKey struct {
	gateway netip.AddrPort
	request uint64
}

// workItem is a request that runs at an endpoint, with the engines that help to
// read its prompt.
type workItem struct {
	key          workKey
	phase        workPhase
	endpoints    []*endpoint // the one that answers first, then the helpers
	reserved     []int64     // tokens of the prompt that each keeps for the first; nil: none
	prompt       int64
	output       int64
	partTime     time.Duration   // read time of each engine's part
	overtakenBy  []time.Duration // at each engine: parts that came later and were read first; nil: none
	gapLimit     time.Duration   // longest pause that its caller accepts
	dispatchedAt time.Duration
	lastSeen     time.Duration // another gateway's: when it last said that it runs
}

// answering returns the endpoint that answers.
func (w *workItem) answering() *endpoint { return w.endpoints[0] }

// memory returns the tokens that the work takes at the i-th of its endpoints.
func (w *workItem) memory(i int) int64 {
	if i > 0 {
		if w.reserved == nil {
			return 0
		}
		return w.reserved[i]
	}
	total := w.prompt + w.output
	for _, n := range w.reserved {
		total -= n
	}
	return total
}

// peer is another gateway.
type peer struct {
	addr         netip.AddrPort
	addrHash     uint64 // hash of the address
	incarnation  uint64
	lastSeen     time.Duration
	live         bool // it has been heard
	leaving      bool
	addedAt      time.Duration
	seed         bool
	inCell       bool // of the own cell, or not heard so far
	greetPending bool // it has been heard for the first time, and is to hear this one
	workItems    map[uint64]*workItem
	waiting      map[uint64]*remoteWaiting
}

// remoteWaiting is a request at another gateway that waits for engines.
type remoteWaiting struct {
	service      uint64 // hash of the name
	prompt       int64
	output       int64
	due          time.Duration
	orderPenalty time.Duration
	lastSeen     time.Duration
}

// timerKind says what a timer is for.
type timerKind uint8

const (
	timerDeadline    timerKind = 1
	timerPlace       timerKind = 2
	timerBatch       timerKind = 3
	timerFullMessage timerKind = 4
	timerReturn      timerKind = 5
	timerSilence     timerKind = 6
	timerProbe       timerKind = 7
)

// timerKey names a timer; fields that do not apply are zero.
type timerKey struct {
	kind     timerKind
	request  RequestID
	endpoint wire.EndpointID
}
