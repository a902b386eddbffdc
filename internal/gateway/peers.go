package gateway

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoilpath.org/trefoilpath/internal/poison"
)

const (
	// batchDelay is how long changes are collected into one message.
	batchDelay = 1500 * time.Microsecond
	// peerReportTime is the time from an event at an engine until a gateway learns of it
	// from another one.
	peerReportTime = 2*transitTime + batchDelay
	// fullInterval is the time between two messages with all of a gateway's work items,
	// for up to baseIntervalPeers peers. With more peers it grows in proportion, so that
	// the message rate of a VM stays bounded.
	fullInterval = 250 * time.Millisecond
	// joinDelay collects gateways whose first messages arrive at about the same time, as
	// after the start of a fleet, into one full message.
	joinDelay = 25 * time.Millisecond
	// baseIntervalPeers is the number of peers up to which fullInterval applies.
	baseIntervalPeers = 10
	// staleIntervals is the number of full message intervals after which a work item or
	// waiting prompt of another gateway is dropped if no message has named it, and after
	// which a silent gateway of the own cell is no longer live.
	staleIntervals = 4
	// silentPeerRetention is how long messages are still sent to a silent gateway. A
	// frozen or partitioned VM comes back within that time.
	silentPeerRetention = 40 * time.Second
	// unseenPeerRetention is how long messages are sent to a gateway that is only known
	// from other gateways' messages.
	unseenPeerRetention = 3 * time.Second
	// maxRowsPerMessage and maxEndedPerMessage keep a message within one datagram.
	maxRowsPerMessage  = 20
	maxEndedPerMessage = 150
)

// PeerMessage is what gateways send each other, in one datagram each. Any message may
// be lost: work items are repeated in each full message.
type PeerMessage struct {
	From        netip.AddrPort   `cbor:"-"` // of the sender, from the datagram
	Incarnation uint64           `cbor:"1,keyasint"`
	Rows        []PeerRow        `cbor:"2,keyasint,omitempty"`
	Waiting     []WaitingRow     `cbor:"7,keyasint,omitempty"`
	Ended       []uint64         `cbor:"3,keyasint,omitempty"` // row IDs of ended attempts, or of requests that no longer wait
	Versions    *Versions        `cbor:"4,keyasint,omitempty"` // only in a full message or one to another cell
	Known       []netip.AddrPort `cbor:"5,keyasint,omitempty"` // live gateways
	Paces       []PaceRow        `cbor:"8,keyasint,omitempty"` // only in a full message
	Parts       []poison.Row     `cbor:"9,keyasint,omitempty"` // that crash endpoints; in messages of their own
	Leaving     bool             `cbor:"6,keyasint,omitempty"` // the sender is shutting down
	// PartsService is the hash of the name of the service to which Parts belong.
	PartsService uint64         `cbor:"13,keyasint,omitempty"`
	Limits       []LimitRow     `cbor:"10,keyasint,omitempty"`
	Demands      []PermitDemand `cbor:"11,keyasint,omitempty"`
	Grants       []PermitGrant  `cbor:"12,keyasint,omitempty"`
	Cold         []ColdRow      `cbor:"16,keyasint,omitempty"`
	Refusals     []RefusalRow   `cbor:"14,keyasint,omitempty"`
	NoHelp       []NoHelpRow    `cbor:"17,keyasint,omitempty"`
	Confirmed    []ConfirmedRow `cbor:"18,keyasint,omitempty"` // only with Versions
}

// PeerRow is one work item of the sender.
type PeerRow struct {
	Request    uint64   `cbor:"1,keyasint"`           // row ID
	Decoding   bool     `cbor:"2,keyasint,omitempty"` // past its first event
	At         []uint64 `cbor:"3,keyasint"`           // hashes of the endpoints, the answering one first
	Prompt     int64    `cbor:"4,keyasint,omitempty"` // tokens
	Output     int64    `cbor:"5,keyasint,omitempty"` // maximum number of output tokens
	PartUS     int64    `cbor:"6,keyasint,omitempty"` // prefill time of each engine's part
	GapLimitMS int64    `cbor:"7,keyasint,omitempty"` // longest gap that the caller accepts
	Reserved   []int64  `cbor:"9,keyasint,omitempty"` // prompt tokens that each stores for the answering one; empty: none
	AgeMS      int64    `cbor:"8,keyasint,omitempty"` // since the dispatch
}

// WaitingRow is a long prompt of the sender that waits for engines.
type WaitingRow struct {
	Request        uint64   `cbor:"1,keyasint"`            // request ID
	Service        uint64   `cbor:"2,keyasint"`            // hash of the name
	DueUS          int64    `cbor:"3,keyasint"`            // until its first event is due; negative once late
	Prompt         int64    `cbor:"4,keyasint"`            // tokens
	Output         int64    `cbor:"5,keyasint"`            // maximum number of output tokens
	OrderPenaltyMS int64    `cbor:"6,keyasint,omitempty"`  // penalty in the order of waiting requests; negative: a head start
	LeftMS         int64    `cbor:"8,keyasint,omitempty"`  // until its caller stops waiting; 0: unknown
	Assured        bool     `cbor:"9,keyasint,omitempty"`  // it keeps its place once it is late
	ObjectiveMS    int64    `cbor:"10,keyasint,omitempty"` // time that its caller accepts until the first event
	Regions        []uint64 `cbor:"7,keyasint,omitempty"`  // hashes of the names of the regions in which it may run; empty: any
}

// peerOutbox holds the changes that are to be sent to the other gateways.
type peerOutbox struct {
	waiting           []*request // that began to wait
	refusals          []RefusalRow
	noHelp            []*endpoint // that refused to help this gateway
	changedWork       []*workItem // new, or in a new phase
	changedLimits     []*endpoint
	changedCold       []*endpoint   // that said so in an answer
	endedRows         []uint64      // row IDs, not sent yet
	recentlyEndedRows []uint64      // row IDs, sent once; repeated in the next full message
	batchScheduled    bool          // timerBatch is set
	batchDue          bool          // the collected changes are to be sent in this tick
	fullDue           bool          // a full message is to be sent in this tick
	otherCellSends    int           // number of gateways of other cells to notify with the next full message
	nextFullAt        time.Duration // when the next full message is due
}

// workChanged schedules a message about a new or changed work item.
func (o *peerOutbox) workChanged(c *Core, w *workItem) {
	if !slices.Contains(o.changedWork, w) {
		o.changedWork = append(o.changedWork, w)
	}
	o.schedule(c)
}

// workEnded schedules a message about the end of a work item.
func (o *peerOutbox) workEnded(c *Core, w *workItem) {
	if i := slices.Index(o.changedWork, w); i >= 0 {
		o.changedWork = slices.Delete(o.changedWork, i, i+1)
	}
	o.endedRows = append(o.endedRows, w.key.request)
	o.schedule(c)
}

// waitEnded schedules a message that a request no longer waits. Its row ID is that of no
// attempt so far.
func (o *peerOutbox) waitEnded(c *Core, r *request) {
	o.endedRows = append(o.endedRows, attemptRowID(r, r.attempts+1))
	o.schedule(c)
}

// rowID identifies the current attempt of a request in messages: the request's ID,
// followed by eight bits of the attempt's number.
func rowID(r *request) uint64 { return attemptRowID(r, r.attempt) }

func attemptRowID(r *request, attempt int) uint64 { return uint64(r.in.ID)<<8 | uint64(attempt&0xff) }

// versionsChanged makes a full message with the new versions due.
func (o *peerOutbox) versionsChanged(c *Core) {
	o.fullDue, o.otherCellSends = true, otherCellFanout
	o.schedule(c)
}

// peerJoined brings the next full message forward to within joinDelay, so that a new
// peer learns this gateway's work items.
func (o *peerOutbox) peerJoined(c *Core) {
	if at := c.now + joinDelay; at < o.nextFullAt {
		o.nextFullAt = at
		c.timers.Set(timerKey{kind: timerFullMessage}, at)
	}
}

// schedule sets the time of the next message to batchDelay after the first change
// that it will contain.
func (o *peerOutbox) schedule(c *Core) {
	if !o.batchDue && !o.batchScheduled {
		o.batchScheduled = true
		c.timers.Set(timerKey{kind: timerBatch}, c.now+batchDelay)
	}
}

// flushOutbox sends the changes or the full message that are due.
func (c *Core) flushOutbox() {
	o := &c.outbox
	if !o.batchDue && !o.fullDue {
		return
	}
	m, workItems, waiting, ended := c.message(), o.changedWork, o.waiting, o.endedRows
	if o.fullDue {
		workItems, waiting, ended = c.ownWorkItems(), c.ownWaiting(), append(o.recentlyEndedRows, o.endedRows...)
		o.recentlyEndedRows = nil
		m = c.fullMessage()
	} else {
		o.recentlyEndedRows = append(o.recentlyEndedRows, o.endedRows...)
	}
	for _, r := range waiting {
		m.Waiting = append(m.Waiting, c.waitingRow(r))
	}
	m.Refusals, m.NoHelp = o.takeRefusals(), o.takeNoHelp(c.now)
	c.sendLimits(o.fullDue)
	c.sendParts(o.fullDue) // before the full message, from which on a new gateway sends prompts on
	c.sendRows(m, workItems, ended, o.fullDue)
	o.waiting = o.waiting[:0]
	o.batchScheduled, o.batchDue, o.fullDue = false, false, false
	o.changedWork = o.changedWork[:0]
	o.endedRows = nil
	c.timers.Stop(timerKey{kind: timerBatch})
}

// message returns a message without rows.
func (c *Core) message() *PeerMessage {
	return &PeerMessage{Incarnation: c.cfg.Incarnation, Leaving: c.leaving}
}

// versionMessage returns a message with this gateway's versions and a number of
// addresses of live gateways.
func (c *Core) versionMessage(addresses int) *PeerMessage {
	m := c.message()
	versions := c.versions
	versions.Active = c.activeVersion()
	m.Versions, m.Known, m.Confirmed = &versions, c.livePeers(addresses), c.confirmedRows()
	return m
}

// fullMessage returns the start of a full message. It also updates the table of
// gateways, sends to the gateways of other cells that are due, and schedules the next
// full message.
func (c *Core) fullMessage() *PeerMessage {
	o := &c.outbox
	c.removeSilentPeers()
	c.assignCells()
	interval := c.fullMessageInterval()
	o.nextFullAt = c.now + interval
	c.timers.Set(timerKey{kind: timerFullMessage}, o.nextFullAt)
	c.sendToOtherCells(max(c.otherCellSendsDue(interval), o.otherCellSends))
	o.otherCellSends = 0
	m := c.versionMessage(maxKnownPerMessage)
	m.Paces = c.paceRows()
	return m
}

// sendRows sends m with the rows of workItems and the ended row IDs, in as many messages
// as needed, to the gateways of the cell. The first message of a full set also goes
// to gateways that are not live; in a fleet of one cell, all messages do.
func (c *Core) sendRows(m *PeerMessage, workItems []*workItem, ended []uint64, full bool) {
	for {
		k := min(len(ended), maxEndedPerMessage)
		m.Ended, ended = ended[:k], ended[k:]
		n := min(len(workItems), maxRowsPerMessage)
		for _, w := range workItems[:n] {
			m.Rows = append(m.Rows, c.row(w))
		}
		workItems = workItems[n:]
		c.sendToCell(m, full)
		if len(workItems) == 0 && len(ended) == 0 {
			return
		}
		full = false
		m = c.message()
	}
}

// sendToCell sends m to the live gateways of the cell, and with full to those that may be in it.
func (c *Core) sendToCell(m *PeerMessage, full bool) {
	for p := range c.peers.Values() {
		if p.inCell && (p.live || full || c.cells == 1) {
			c.emit(Output{ToPeer: &ToPeer{Addr: p.addr, Msg: m}})
		}
	}
}

func (c *Core) row(w *workItem) PeerRow {
	row := PeerRow{
		Request: w.key.request, Decoding: w.phase == workDecoding, Prompt: w.prompt, Output: w.output,
		PartUS: w.partTime.Microseconds(), GapLimitMS: w.gapLimit.Milliseconds(), AgeMS: (c.now - w.dispatchedAt).Milliseconds(),
	}
	row.Reserved = w.reserved
	for _, e := range w.endpoints {
		row.At = append(row.At, e.idHash)
	}
	return row
}

func (c *Core) ownWorkItems() []*workItem {
	var out []*workItem
	for r := range c.requests.Values() {
		if r.work != nil {
			out = append(out, r.work)
		}
		if r.standby != nil {
			out = append(out, r.standby.work)
		}
	}
	return out
}

// ownWaiting returns the long prompts that wait at this gateway.
func (c *Core) ownWaiting() []*request {
	var out []*request
	for r := range c.requests.Values() {
		if r.phase == phaseWaiting && r.divisible && !r.held {
			out = append(out, r)
		}
	}
	return out
}

// fullMessageInterval returns the time between full messages.
func (c *Core) fullMessageInterval() time.Duration {
	n := max(c.cellPeers(), baseIntervalPeers)
	return fullInterval * time.Duration(n) / baseIntervalPeers
}

func (c *Core) addSeeds(seeds []netip.AddrPort) {
	for _, addr := range seeds {
		if addr != c.cfg.Addr {
			c.peer(addr).seed = true
		}
	}
}

// peer returns the row of a gateway and creates it on first use.
func (c *Core) peer(addr netip.AddrPort) *peer {
	if p := c.peers.Get(addr); p != nil {
		return p
	}
	return c.peers.Put(addr, peer{
		addr: addr, addrHash: hashAddr(addr), addedAt: c.now, inCell: true,
		workItems: make(map[uint64]*workItem), waiting: make(map[uint64]*remoteWaiting),
	})
}

// Gateways returns how many gateways are known: this one and those in its table that have
// sent it a message.
func (c *Core) Gateways() int {
	n := 1
	for p := range c.peers.Values() {
		if p.lastSeen > 0 {
			n++
		}
	}
	return n
}

// maxWatchers is the number of gateways that watch the store in a large fleet. A
// pending watch and each change that ends it are calls to the store, whose permitted
// call rates grow more slowly than the fleet.
const maxWatchers = 6

// Watches reports whether this gateway is to watch the store: it is one of the first
// live gateways, by the hash of the address, that reach the store. Hashing distributes
// the watchers over failure domains.
func (c *Core) Watches() bool {
	before := 0
	for p := range c.peers.Values() {
		if p.live && !p.leaving && !p.storeLost && p.addrHash < c.addrHash {
			before++
		}
	}
	return before < maxWatchers
}

// Watchers returns the number of gateways that watch the store.
func (c *Core) Watchers() int { return min(c.Gateways(), maxWatchers) }

func hashAddr(addr netip.AddrPort) uint64 { return xxhash.Sum64String(addr.String()) }

// livePeers returns addresses of live gateways, at most limit at a time, in rotation.
func (c *Core) livePeers(limit int) []netip.AddrPort {
	var out []netip.AddrPort
	for p := range c.peers.Values() {
		if p.live {
			out = append(out, p.addr)
		}
	}
	if len(out) <= limit {
		return out
	}
	c.knownAddrCursor = (c.knownAddrCursor + limit) % len(out)
	return slices.Concat(out, out)[c.knownAddrCursor : c.knownAddrCursor+limit]
}

// viewAge returns the time since the last message of that live gateway of the cell
// that has been silent longest.
func (c *Core) viewAge() time.Duration {
	age := time.Duration(0)
	for p := range c.peers.Values() {
		if p.live && p.inCell {
			age = max(age, c.now-p.lastSeen)
		}
	}
	return age
}
