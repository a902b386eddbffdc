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
	reg     Registration
	hash    uint64 // names it in messages between gateways
	engine  *enginecost.Params
	works   []*work // that run here, the gateway's own and others', by time of dispatch
	gone    bool    // no longer registered; the row stays while own work runs
	near    bool    // of the own cell
	health  health
	slow    float64       // moving ratio of measured to predicted time; 1: as published
	pace    float64       // of its last report; 0: none
	paceAt  time.Duration // when that was taken, here or at another gateway
	full    time.Duration // until which it counts as full, after a refusal
	load    Load
	loadAt  time.Duration
	answers int // of own requests, since the start

	sum      occupancy // of works, at summedAt
	summed   bool      // and nothing has changed since
	summedAt time.Duration
}

// service groups endpoints.
type service struct {
	name      string
	hash      uint64      // names it in messages between gateways
	endpoints []*endpoint // in the order that all gateways share
	budget    *retrybudget.Budget
	waiting   []*request
	ratio     float64 // moving mean of its endpoints' failure ratios
}

// phase is what a request waits for.
type phase uint8

const (
	phaseWaiting phase = 1 // room at an endpoint
	phaseRunning phase = 2 // its attempt
)

// request is one caller's request without an answer so far.
type request struct {
	in        Arrive
	arrived   time.Duration
	phase     phase
	attempt   int // number of the current or last attempt
	sends     int // endpoints to which a byte was sent
	sent      bool
	work      *work
	avoid     []wire.EndpointID
	resume    bool          // a part of the stream has been delivered
	cancelled bool          // the current attempt
	proofs    int           // endpoints that were sent a byte and proved not to have run it
	unproven  int           // attempts that may have run
	unreached int           // attempts that got no connection
	held      bool          // the shell holds a failure answer that may be passed on
	predicted time.Duration // when the first event is due
	divided   bool          // its prompt may be read by several engines
	handicap  time.Duration // by which it comes later in the order of those that wait
	holdUntil time.Duration // until others have heard that it waits
}

// workPhase is how far a request is at its engine.
type workPhase uint8

const (
	workReading workPhase = 1
	workWriting workPhase = 2
)

// workKey names a work among all gateways.
type workKey struct {
	gateway netip.AddrPort
	request uint64
}

// work is a request that runs at an endpoint, with the engines that help to
// read its prompt.
type work struct {
	key       workKey
	phase     workPhase
	at        []*endpoint // the one that answers first, then the helpers
	held      []int64     // tokens of the prompt that each keeps for the first; nil: none
	prompt    int64
	output    int64
	part      time.Duration   // read time of each engine's part
	behind    []time.Duration // at each engine: parts that came later and were read first; nil: none
	pause     time.Duration   // longest pause that its caller accepts
	sent      time.Duration
	refreshed time.Duration // another gateway's: when it last said that it runs
}

// answering returns the endpoint that answers.
func (w *work) answering() *endpoint { return w.at[0] }

// memory returns the tokens that the work takes at the i-th of its endpoints.
func (w *work) memory(i int) int64 {
	if i > 0 {
		if w.held == nil {
			return 0
		}
		return w.held[i]
	}
	total := w.prompt + w.output
	for _, n := range w.held {
		total -= n
	}
	return total
}

// peer is another gateway.
type peer struct {
	addr        netip.AddrPort
	rank        uint64 // hash of the address
	incarnation uint64
	heard       time.Duration
	known       bool // it has been heard
	leaving     bool
	added       time.Duration
	seed        bool
	near        bool // of the own cell, or not heard so far
	greet       bool // it has been heard for the first time, and is to hear this one
	works       map[uint64]*work
	waiting     map[uint64]*waiting
}

// waiting is a request at another gateway that waits for engines.
type waiting struct {
	service   uint64 // hash of the name
	prompt    int64
	output    int64
	due       time.Duration
	handicap  time.Duration
	refreshed time.Duration
}

// timerKind says what a timer is for.
type timerKind uint8

const (
	timerDeadline timerKind = 1
	timerPlace    timerKind = 2
	timerShare    timerKind = 3
	timerFull     timerKind = 4
	timerReturn   timerKind = 5
	timerSilence  timerKind = 6
	timerProbe    timerKind = 7
)

// timerKey names a timer; fields that do not apply are zero.
type timerKey struct {
	kind     timerKind
	request  RequestID
	endpoint wire.EndpointID
}
