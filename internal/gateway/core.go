package gateway

import (
	"net/netip"
	"time"

	"trefoilpath.org/trefoilpath/internal/admission"
	"trefoilpath.org/trefoilpath/internal/poison"
	"trefoilpath.org/trefoilpath/internal/route"
	"trefoilpath.org/trefoilpath/internal/table"
	"trefoilpath.org/trefoilpath/internal/timer"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Core is the state of one gateway. It is deterministic and not safe for
// concurrent use.
type Core struct {
	cfg      Config
	addrHash uint64 // for rendezvous hashing and the order of gateways in cells
	now      time.Duration
	outputs  []Output // of the current tick

	routing         *route.Table // active configuration; nil: none yet
	endpoints       *table.Table[wire.EndpointID, endpoint]
	endpointsByHash map[uint64]*endpoint // by hash of the ID
	announcements   *table.Table[instance, announcement]
	broken          *table.Table[wire.EndpointID, brokenInstance]
	services        *table.Table[string, service]
	requests        *table.Table[RequestID, request]
	peers           *table.Table[netip.AddrPort, peer]
	timers          *timer.Queue[timerKey]

	checkedVersion    uint64          // of the configuration that was in force at the last check
	endpointsReceived bool            // a list of endpoints has been received
	registered        []Registration  // the latest list, also of services that are not named
	endpointsRevision uint64          // of the store, at the latest list of endpoints
	namedServices     map[string]bool // by the configurations that have been in force
	versions          Versions        // of the cached copies, as sent to peers
	confirmed         confirmations
	evacuated         evacuated
	ready             Ready
	readyAt           time.Duration // when it was first OK
	learned           bool          // the seeds have told their parts, or too much time has passed
	leaving           bool          // a graceful shutdown has begun
	leftWaiting       bool          // requests still waited after the last placement attempt
	newWaiting        bool          // a request has come to wait since
	placedAt          time.Duration // when that was
	placementDue      bool          // something changed that may let a waiting request be placed
	outbox            peerOutbox    // changes to be sent to peers
	cells             int           // number of cells in the fleet
	ownCell           int           // index of the own cell
	otherCellCursor   int           // position in the rotation of sendToOtherCells
	knownAddrCursor   int           // position in the rotation of livePeers
	counts            Counts
	predictions       predictionErrors
	candidateBuf      []candidate // reused by candidates
	plan              planBuffers
	refusals          admission.Refusals
	limitsKnown       bool                               // an endpoint has named a limit
	parts             *table.Table[uint64, serviceParts] // by the hash of the service's name
	partsKnown        bool                               // the table poison has been given evidence
	partIDs           *table.Table[poison.Part, string]  // of parts of prompts that were logged
}

// Counts are totals since the start of the process.
type Counts struct {
	Arrived    uint64 // requests received
	Dispatched uint64 // attempts, including retries
	Retried    uint64 // attempts after the first of a request
	Done       uint64 // requests ended with VerdictDone
	Refused    uint64 // requests refused: none of their attempts has run
	Returned   uint64 // requests that came back after a refusal
	Unknown    uint64 // requests ended with VerdictUnknown: they may have run
	TimedOut   uint64 // requests whose deadline passed during an attempt
	Gone       uint64 // requests whose caller disconnected
	Ejected    uint64 // ejections of endpoints and prolongations of them
	Placements uint64 // attempts to place the waiting requests
	Cold       uint64 // times that an endpoint became cold
	ColdSends  uint64 // attempts that were sent to cold endpoints
}

// New returns a gateway without configuration, endpoints or peers other than the
// seeds of cfg.
func New(cfg Config) *Core {
	if cfg.Disabled&mechanismSpareSlots != 0 {
		cfg.Placement.SpareSlots = 0
	}
	c := &Core{
		cfg:             cfg,
		addrHash:        hashAddr(cfg.Addr),
		endpoints:       table.New[wire.EndpointID, endpoint](),
		endpointsByHash: make(map[uint64]*endpoint),
		announcements:   table.New[instance, announcement](),
		broken:          table.New[wire.EndpointID, brokenInstance](),
		services:        table.New[string, service](),
		requests:        table.New[RequestID, request](),
		peers:           table.New[netip.AddrPort, peer](),
		timers:          timer.New[timerKey](),
		namedServices:   make(map[string]bool),
		ready:           Ready{Reason: "starting"},
	}
	c.parts = table.New[uint64, serviceParts]()
	c.partIDs = table.New[poison.Part, string]()
	c.addSeeds(cfg.Seeds)
	c.timers.Set(timerKey{kind: timerFullMessage}, 0)
	c.timers.Set(timerKey{kind: timerProbe}, probeInterval)
	return c
}

// Tick advances the core to now and applies the inputs in order. The caller carries
// out the returned outputs in order; the slice is valid until the next call.
func (c *Core) Tick(now time.Duration, in ...Input) []Output {
	c.now = max(c.now, now)
	c.outputs = c.outputs[:0]
	for i := range in {
		c.ingest(&in[i])
	}
	c.expire()
	c.placeWaiting()
	c.updateReady()
	c.reportParts()
	c.flushOutbox()
	c.requests.Compact()
	c.peers.Compact()
	c.check()
	return c.outputs
}

// Next returns the time of the next call of Tick that is due even without inputs.
func (c *Core) Next() time.Duration { return c.timers.Next() }

func (c *Core) emit(o Output) { c.outputs = append(c.outputs, o) }

func (c *Core) log(e Event) { c.emit(Output{Log: &e}) }

// logRequest logs an event that concerns r.
func (c *Core) logRequest(name string, r *request, e Event) {
	e.Name, e.Request, e.Attempt, e.Wait = name, r.in.RequestID, r.attempt, c.now-r.arrived
	c.log(e)
}

// Counts returns the totals since the start.
func (c *Core) Counts() Counts { return c.counts }

// InFlight returns the number of requests that wait or run.
func (c *Core) InFlight() int { return c.requests.Len() }

// expire handles all timers that are due.
func (c *Core) expire() {
	for {
		key, due := c.timers.Pop(c.now)
		if !due {
			return
		}
		switch key.kind {
		case timerDeadline:
			c.deadline(key.request)
		case timerPlace:
			c.placementDue = true
		case timerBatch:
			c.outbox.batchDue = true
		case timerFullMessage:
			c.outbox.fullDue = true
		case timerReturn:
			c.returnEndpoint(key.endpoint)
		case timerProbe:
			c.probe()
		case timerCheck:
			c.checkInstance(key.endpoint)
		case timerSilence:
			c.checkSilence(key.request)
		case timerPermits:
			c.grantByTimer(c.endpoints.Get(key.endpoint))
		case timerCold:
			c.endCold(c.endpoints.Get(key.endpoint))
		case timerStandby:
			c.releaseStandby(key.request)
		}
	}
}

// updateReady emits a Ready output, for the platform's load balancer, when this gateway's
// readiness to serve callers or the reason against it has changed.
func (c *Core) updateReady() {
	r := Ready{OK: true}
	switch {
	case c.leaving:
		r = Ready{Reason: "leaving"}
	case c.routing == nil:
		r = Ready{Reason: "no configuration"}
	case !c.endpointsReceived || c.endpoints.Len() == 0:
		r = Ready{Reason: "no endpoints"}
	case c.cfg.Evacuations && !c.evacuated.known:
		r = Ready{Reason: "no evacuations"}
	}
	if r != c.ready {
		if r.OK && c.readyAt == 0 {
			c.readyAt = c.now
		}
		c.ready = r
		c.emit(Output{Ready: &r})
		c.log(Event{Name: "ready-changed", Detail: r.Reason, Count: c.endpoints.Len()})
	}
}
