package gateway

import (
	"net/netip"
	"time"

	"trefoilpath.org/trefoilpath/internal/route"
	"trefoilpath.org/trefoilpath/internal/table"
	"trefoilpath.org/trefoilpath/internal/timer"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Core is the state of one gateway. It is deterministic and not safe for
// concurrent use.
type Core struct {
	cfg      Config
	addrHash uint64 // hash of the own address
	now      time.Duration
	outputs  []Output

	config          *route.Table
	endpoints       *table.Table[wire.EndpointID, endpoint]
	endpointsByHash map[uint64]*endpoint
	services        *table.Table[string, service]
	requests        *table.Table[RequestID, request]
	peers           *table.Table[netip.AddrPort, peer]
	timers          *timer.Queue[timerKey]

	endpointsReceived bool // a list of endpoints has been taken
	endpointsRevision uint64
	versions          Versions
	ready             Ready
	leaving           bool
	placementDue      bool // something changed that may let a waiting request go
	outbox            peerOutbox
	cells             int // into which the fleet is divided
	ownCell           int // the own one
	otherCellCursor   int // place in the order in which gateways of other cells are told
	knownAddrCursor   int // place in the order in which addresses are told
	counts            Counts
	candidateBuf      []candidate
}

// Counts are totals since the start.
type Counts struct {
	Arrived    uint64
	Dispatched uint64
	Retried    uint64
	Done       uint64
	Refused    uint64
	Unknown    uint64
	TimedOut   uint64
	Gone       uint64
	Ejected    uint64
}

// New returns a gateway that knows no configuration, endpoints or peers.
func New(cfg Config) *Core {
	c := &Core{
		cfg:             cfg,
		addrHash:        hashAddr(cfg.Addr),
		endpoints:       table.New[wire.EndpointID, endpoint](),
		endpointsByHash: make(map[uint64]*endpoint),
		services:        table.New[string, service](),
		requests:        table.New[RequestID, request](),
		peers:           table.New[netip.AddrPort, peer](),
		timers:          timer.New[timerKey](),
		ready:           Ready{Reason: "starting"},
	}
	c.addSeeds(cfg.Seeds)
	c.timers.Set(timerKey{kind: timerFullMessage}, 0)
	c.timers.Set(timerKey{kind: timerProbe}, probeInterval)
	return c
}

// Tick advances the core to now and applies the inputs in order. The returned
// outputs are to be carried out in order; the slice is valid until the next call.
func (c *Core) Tick(now time.Duration, in ...Input) []Output {
	c.now = max(c.now, now)
	c.outputs = c.outputs[:0]
	for i := range in {
		c.ingest(&in[i])
	}
	c.expire()
	c.placeWaiting()
	c.updateReady()
	c.flushOutbox()
	c.requests.Compact()
	c.peers.Compact()
	c.check()
	return c.outputs
}

// Next returns the time at which the core is to be ticked even without input.
func (c *Core) Next() time.Duration { return c.timers.Next() }

func (c *Core) emit(o Output) { c.outputs = append(c.outputs, o) }

func (c *Core) log(e Event) { c.emit(Output{Log: &e}) }

// logRequest logs a decision on r.
func (c *Core) logRequest(name string, r *request, e Event) {
	e.Name, e.Request, e.Attempt, e.Wait = name, r.in.RequestID, r.attempt, c.now-r.arrived
	c.log(e)
}

// Counts returns the totals since the start.
func (c *Core) Counts() Counts { return c.counts }

// InFlight returns the number of requests without an answer.
func (c *Core) InFlight() int { return c.requests.Len() }

// expire handles the timers that are due.
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
		case timerSilence:
			c.checkSilence(key.request)
		}
	}
}

// updateReady tells the platform's balancer whether to send callers here.
func (c *Core) updateReady() {
	r := Ready{OK: true}
	switch {
	case c.leaving:
		r = Ready{Reason: "leaving"}
	case c.config == nil:
		r = Ready{Reason: "no configuration"}
	case !c.endpointsReceived || c.endpoints.Len() == 0:
		r = Ready{Reason: "no endpoints"}
	}
	if r != c.ready {
		c.ready = r
		c.emit(Output{Ready: &r})
		c.log(Event{Name: "ready-changed", Detail: r.Reason, Count: c.endpoints.Len()})
	}
}
