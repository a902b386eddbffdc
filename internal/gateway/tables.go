package gateway

import (
	"net/netip"
	"time"

	"trefoilpath.org/trefoilpath/internal/admission"
	"trefoilpath.org/trefoilpath/internal/enginecost"
	"trefoilpath.org/trefoilpath/internal/retrybudget"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// endpoint is a registered endpoint, or one that is no longer registered but still
// runs requests of this gateway.
type endpoint struct {
	registration   Registration
	idHash         uint64             // hash of the ID; identifies the endpoint in messages between gateways
	engine         *enginecost.Params // nil for a plain service, whose endpoints are not engines
	workItems      []*workItem        // of all gateways, by time of dispatch
	unregistered   bool               // no longer registered; the row stays while own requests run
	inCell         bool               // in the own cell, or used by all cells
	outOfUse       bool               // its failure domain is out of use, or it isn't known whether it is
	region         uint64             // hash of the name of its region; 0: unknown
	health         health
	announced      *announcement // of its instance
	observedPace   float64       // moving ratio of measured to predicted time to first event; 1: as published, and always for a plain service
	reportedPace   float64       // from its latest report; 0: none
	reportedPaceAt time.Duration // when this or another gateway received that report
	ownReportAt    time.Duration // when this gateway received a report; 0: never
	probedAt       time.Duration // when this gateway last queried it
	suspectUntil   time.Duration // until which it is queried more often
	fullUntil      time.Duration // until which it counts as full after a refusal
	load           EndpointLoad  // latest report with an answer
	loadAt         time.Duration
	endedAttempts  int // of this gateway, since the endpoint was registered here

	passEnd         time.Duration // end of the engine's latest pass that an event of a stream showed; 0: none
	prefilledBefore time.Duration // prompts that arrived until then have been prefilled

	cachedOccupancy occupancy // computed at occupancyAt
	occupancyValid  bool      // no work item or pace has changed since
	occupancyAt     time.Duration
}

// service is a group of endpoints and the requests that wait for them.
type service struct {
	name         string
	nameHash     uint64      // identifies the service in messages between gateways
	endpoints    []*endpoint // in the order that all gateways share
	budget       *retrybudget.Budget
	waiting      []*request
	drain        admission.Drain // of the prompts that one engine prefills
	failureRatio float64         // moving mean of the failure ratios of its endpoints, taken at each failure
}

// phase is the state of a request.
type phase uint8

const (
	phaseWaiting phase = 1 // for capacity at an endpoint
	phaseRunning phase = 2 // at an endpoint
)

// request is a caller's request that has not ended.
type request struct {
	in               Arrival
	arrived          time.Duration
	phase            phase
	attempt          int               // number of the current attempt; while the request waits, of an earlier one
	attempts         int               // attempts so far
	sends            int               // attempts of which a byte was sent
	sent             bool              // a byte of the current attempt was sent
	work             *workItem         // current attempt; nil while the request waits
	avoid            []wire.EndpointID // endpoints that get no further attempt
	partlyDelivered  bool              // the caller has received a part of the stream
	cancelled        bool              // the current attempt is cancelled
	helperFailed     bool              // a helper of the current attempt has failed before anything was sent
	retryTaken       bool              // its next retry is taken from the budget already
	standby          *standby          // a silent attempt that is kept until another has begun to answer; nil: none
	replaceAfter     time.Duration     // a silent attempt is not replaced before
	silenceDue       time.Duration     // when timerSilence is due
	provenNotRun     int               // attempts of which a byte was sent and that the endpoint proved not to have run
	refusedHelp      bool              // an engine refused to help with its prompt
	mayHaveRun       int               // attempts that may have run
	unsentAttempts   int               // attempts of which nothing was sent
	failureHeld      bool              // the shell holds an endpoint's failure answer that may be passed on
	predictedFirstAt time.Duration     // predicted time of the first event
	sharesPass       bool              // its attempt shares the passes of an engine with other streams
	divisible        bool              // several engines may prefill its prompt
	demand           admission.Demand  // what its place in the order depends on
	verdict          admission.Verdict // latest prediction of its start while it waits
	returned         bool              // it has come back after a refusal
	waitedBefore     time.Duration     // since it was first received, if it has come back
	holdUntil        time.Duration     // no dispatch before, so that other gateways learn that it waits
	permitWait       time.Duration     // if it is refused because of limits: until it may get a permit
	regions          regionSet         // in which it may run

	suspicion
}

// workPhase is the state of a request at its engine.
type workPhase uint8

const (
	workPrefilling workPhase = 1
	workDecoding   workPhase = 2
)

// workKey identifies a work item among those of all gateways.
type workKey struct {
	gateway netip.AddrPort
	request uint64 // row ID
}

// workItem is an attempt of a request that runs at an endpoint, with the engines that
// help to prefill its prompt.
type workItem struct {
	key            workKey
	phase          workPhase
	endpoints      []*endpoint     // the answering one first, then the helpers
	reserved       []int64         // prompt tokens that each stores for the answering one; nil: none
	prompt         int64           // tokens
	output         int64           // maximum number of output tokens
	partTime       time.Duration   // prefill time of each engine's part
	overtakenBy    []time.Duration // prefill time, at each engine, of parts that were dispatched later and finished first; nil: none
	gapLimit       time.Duration   // longest gap that its caller accepts
	helpersMissing int             // of another gateway's item: helpers that are not registered here
	permitted      bool            // a permit was used for it, or none was needed
	dispatchedAt   time.Duration
	lastSeen       time.Duration // if it runs at another gateway: last message that named it
}

// answering returns the endpoint that answers the request.
func (w *workItem) answering() *endpoint { return w.endpoints[0] }

// memory returns the tokens that w stores at the i-th of its endpoints.
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
	addr        netip.AddrPort
	addrHash    uint64
	incarnation uint64
	lastSeen    time.Duration // when its last message was received; 0: never
	live        bool          // messages arrive from it
	heardFull   bool          // a full message has arrived from its incarnation
	leaving     bool          // it is shutting down
	storeLost   bool          // the store does not answer it
	addedAt     time.Duration
	seed        bool                      // named in the settings; never removed
	inCell      bool                      // in the own cell, or not live, so that its cell is unknown
	sendPending bool                      // if in another cell: it is sent versions and addresses with the next full message
	workItems   map[uint64]*workItem      // by row ID
	waiting     map[uint64]*remoteWaiting // by request ID

	keeperSilent  bool          // it does not answer demands for permits
	keeperAskedAt time.Duration // when it was last asked since
}

// remoteWaiting is a long prompt that waits for engines at another gateway.
type remoteWaiting struct {
	service  uint64           // hash of the name
	prompt   int64            // tokens
	output   int64            // maximum number of output tokens
	demand   admission.Demand // what its place in the shared order depends on; no work
	regions  regionSet        // in which it may run
	lastSeen time.Duration    // last message that named it
}

// timerKind is the purpose of a timer.
type timerKind uint8

const (
	timerDeadline    timerKind = 1
	timerPlace       timerKind = 2
	timerBatch       timerKind = 3
	timerFullMessage timerKind = 4
	timerReturn      timerKind = 5
	timerSilence     timerKind = 6
	timerProbe       timerKind = 7
	timerCheck       timerKind = 8
	timerStandby     timerKind = 9
	timerPermits     timerKind = 10
	timerCold        timerKind = 11
)

// timerKey identifies a timer; fields that do not apply to its kind are zero.
type timerKey struct {
	kind     timerKind
	request  RequestID
	endpoint wire.EndpointID
}
