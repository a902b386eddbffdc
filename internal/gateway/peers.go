package gateway

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// batchDelay collects changes that come together into one message.
	batchDelay = 1500 * time.Microsecond
	// fullInterval is the time between two messages with all of a gateway's work.
	// It grows beyond fullPeers gateways, so that a VM's messages stay bounded.
	fullInterval = 250 * time.Millisecond
	// joinDelay collects the gateways that are first heard at about the same time,
	// as after the start of a fleet, into one full message.
	joinDelay         = 25 * time.Millisecond
	baseIntervalPeers = 10
	// staleIntervals is how many intervals another gateway's work is kept without
	// word of it.
	staleIntervals = 4
	// silentPeerRetention is how long a silent gateway still gets messages; a frozen or cut
	// off VM comes back within it.
	silentPeerRetention = 40 * time.Second
	// unseenPeerRetention is how long a gateway that was only named by others gets messages.
	unseenPeerRetention = 3 * time.Second
	// maxRowsPerMessage keeps a message within one datagram.
	maxRowsPerMessage  = 20
	maxEndedPerMessage = 150
)

// PeerMessage is what gateways tell each other, one datagram each. Any of them
// may be lost: work is told again with each full message.
type PeerMessage struct {
	From        netip.AddrPort   `cbor:"-"` // of the sender, from the datagram
	Incarnation uint64           `cbor:"1,keyasint"`
	Rows        []PeerRow        `cbor:"2,keyasint,omitempty"`
	Waiting     []WaitingRow     `cbor:"7,keyasint,omitempty"`
	Ended       []uint64         `cbor:"3,keyasint,omitempty"` // requests of rows
	Versions    *Versions        `cbor:"4,keyasint,omitempty"` // only in a full message
	Known       []netip.AddrPort `cbor:"5,keyasint,omitempty"` // gateways heard of late
	Paces       []PaceRow        `cbor:"8,keyasint,omitempty"` // only in a full message
	Leaving     bool             `cbor:"6,keyasint,omitempty"`
}

// PeerRow is one work of the sender.
type PeerRow struct {
	Request uint64   `cbor:"1,keyasint"`
	Writing bool     `cbor:"2,keyasint,omitempty"`
	At      []uint64 `cbor:"3,keyasint"` // hashes of the endpoints, the answering one first
	Prompt  int64    `cbor:"4,keyasint,omitempty"`
	Output  int64    `cbor:"5,keyasint,omitempty"`
	PartUS  int64    `cbor:"6,keyasint,omitempty"` // read time of each part
	PauseMS int64    `cbor:"7,keyasint,omitempty"`
	Held    []int64  `cbor:"9,keyasint,omitempty"` // tokens that each keeps for the first
	AgeMS   int64    `cbor:"8,keyasint,omitempty"` // since the dispatch
}

// WaitingRow is a long prompt of the sender that waits for engines.
type WaitingRow struct {
	Request uint64 `cbor:"1,keyasint"`
	Service uint64 `cbor:"2,keyasint"` // hash of the name
	DueUS   int64  `cbor:"3,keyasint"` // until its first event is due; negative once late
	Prompt  int64  `cbor:"4,keyasint"` // tokens
	Output  int64  `cbor:"5,keyasint"`
	LaterMS int64  `cbor:"6,keyasint,omitempty"` // handicap in the order
}

// peerOutbox is what waits to be told to the other gateways.
type peerOutbox struct {
	waiting           []*request // that began to wait
	changedWork       []*workItem
	endedRows         []uint64 // told at once
	recentlyEndedRows []uint64 // told once more with the next full message
	batchScheduled    bool     // a message follows within shareDelay
	batchDue          bool
	fullDue           bool
	otherCellSends    int           // gateways of other cells to be told at once
	nextFullAt        time.Duration // when the next full message is due
}

// workChanged tells others of a new or changed work soon.
func (s *peerOutbox) workChanged(c *Core, w *workItem) {
	if !slices.Contains(s.changedWork, w) {
		s.changedWork = append(s.changedWork, w)
	}
	s.schedule(c)
}

// workEnded tells others that a work is over.
func (s *peerOutbox) workEnded(c *Core, w *workItem) {
	if i := slices.Index(s.changedWork, w); i >= 0 {
		s.changedWork = slices.Delete(s.changedWork, i, i+1)
	}
	s.endedRows = append(s.endedRows, w.key.request)
	s.schedule(c)
}

// waitEnded tells others that a request waits no longer.
func (s *peerOutbox) waitEnded(c *Core, r *request) {
	s.endedRows = append(s.endedRows, rowID(r))
	s.schedule(c)
}

// rowID names the current attempt of a request in messages. The request's ID is
// the number without the last eight bits.
func rowID(r *request) uint64 { return uint64(r.in.ID)<<8 | uint64(r.attempt&0xff) }

// versionsChanged tells others of new versions with a full message.
func (s *peerOutbox) versionsChanged(c *Core) {
	s.fullDue, s.otherCellSends = true, otherCellFanout
	s.schedule(c)
}

// peerJoined tells a gateway that was first heard of all work here, soon.
func (s *peerOutbox) peerJoined(c *Core) {
	if at := c.now + joinDelay; at < s.nextFullAt {
		s.nextFullAt = at
		c.timers.Set(timerKey{kind: timerFullMessage}, at)
	}
}

// schedule has what waits sent shareDelay after the first of the changes.
func (s *peerOutbox) schedule(c *Core) {
	if !s.batchDue && !s.batchScheduled {
		s.batchScheduled = true
		c.timers.Set(timerKey{kind: timerBatch}, c.now+batchDelay)
	}
}

// flushOutbox sends what is due.
func (c *Core) flushOutbox() {
	s := &c.outbox
	if !s.batchDue && !s.fullDue {
		return
	}
	m, workItems, waiting, ended := c.message(), s.changedWork, s.waiting, s.endedRows
	if s.fullDue {
		workItems, waiting, ended = c.ownWorkItems(), c.ownWaiting(), append(s.recentlyEndedRows, s.endedRows...)
		s.recentlyEndedRows = nil
		m = c.fullMessage()
	} else {
		s.recentlyEndedRows = append(s.recentlyEndedRows, s.endedRows...)
	}
	for _, r := range waiting {
		m.Waiting = append(m.Waiting, WaitingRow{
			Request: uint64(r.in.ID), Service: c.service(r.in.Service).nameHash, DueUS: (r.due() - c.now).Microseconds(),
			Prompt: r.in.Prompt, Output: r.in.Output, LaterMS: r.orderPenalty.Milliseconds(),
		})
	}
	c.sendRows(m, workItems, ended, s.fullDue)
	s.waiting = s.waiting[:0]
	s.batchScheduled, s.batchDue, s.fullDue = false, false, false
	s.changedWork = s.changedWork[:0]
	s.endedRows = nil
	c.timers.Stop(timerKey{kind: timerBatch})
}

// message returns an empty message.
func (c *Core) message() *PeerMessage {
	return &PeerMessage{Incarnation: c.cfg.Incarnation, Leaving: c.leaving}
}

// versionMessage returns a message with the versions held here and some addresses.
func (c *Core) versionMessage(addresses int) *PeerMessage {
	m := c.message()
	versions := c.versions
	m.Versions, m.Known = &versions, c.livePeers(addresses)
	return m
}

// fullMessage begins a full message: it brings the table of gateways up to date,
// tells those of other cells that are due, and sets the time of the next one.
func (c *Core) fullMessage() *PeerMessage {
	s := &c.outbox
	c.removeSilentPeers()
	c.assignCells()
	interval := c.fullMessageInterval()
	s.nextFullAt = c.now + interval
	c.timers.Set(timerKey{kind: timerFullMessage}, s.nextFullAt)
	c.sendToOtherCells(max(c.otherCellSendsDue(interval), s.otherCellSends))
	s.otherCellSends = 0
	m := c.versionMessage(maxKnownPerMessage)
	m.Paces = c.paceRows()
	return m
}

// sendRows sends m with the rows of works and the requests that ended, in as many
// messages as they need, to the gateways of the cell; the first one of a full set
// also goes to those that have not been heard.
func (c *Core) sendRows(m *PeerMessage, workItems []*workItem, ended []uint64, full bool) {
	for {
		k := min(len(ended), maxEndedPerMessage)
		m.Ended, ended = ended[:k], ended[k:]
		n := min(len(workItems), maxRowsPerMessage)
		for _, w := range workItems[:n] {
			m.Rows = append(m.Rows, c.row(w))
		}
		workItems = workItems[n:]
		for p := range c.peers.Values() {
			if p.inCell && (p.live || full || c.cells == 1) {
				c.emit(Output{ToPeer: &ToPeer{Addr: p.addr, Msg: m}})
			}
		}
		if len(workItems) == 0 && len(ended) == 0 {
			return
		}
		full = false
		m = c.message()
	}
}

func (c *Core) row(w *workItem) PeerRow {
	row := PeerRow{
		Request: w.key.request, Writing: w.phase == workDecoding, Prompt: w.prompt, Output: w.output,
		PartUS: w.partTime.Microseconds(), PauseMS: w.gapLimit.Milliseconds(), AgeMS: (c.now - w.dispatchedAt).Milliseconds(),
	}
	row.Held = w.reserved
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
	}
	return out
}

// ownWaiting returns the long prompts that wait here.
func (c *Core) ownWaiting() []*request {
	var out []*request
	for r := range c.requests.Values() {
		if r.phase == phaseWaiting && r.divisible {
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

// peer returns the row of a gateway, made when it is first named.
func (c *Core) peer(addr netip.AddrPort) *peer {
	if p := c.peers.Get(addr); p != nil {
		return p
	}
	return c.peers.Put(addr, peer{
		addr: addr, addrHash: hashAddr(addr), addedAt: c.now, inCell: true,
		workItems: make(map[uint64]*workItem), waiting: make(map[uint64]*remoteWaiting),
	})
}

// Gateways returns how many gateways share the fleet's budgets: this one and
// those heard lately.
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
// waiting watch and each change that ends it are calls, and the store's rates
// grow more slowly than the fleet.
const maxWatchers = 8

// Watches reports whether this gateway is one of those that watch the store: the
// first by rank among those heard, where the rank is a hash of the address, so
// that the watchers are spread over failure domains.
func (c *Core) Watches() bool {
	before := 0
	for p := range c.peers.Values() {
		if p.live && !p.leaving && p.addrHash < c.addrHash {
			before++
		}
	}
	return before < maxWatchers
}

func hashAddr(addr netip.AddrPort) uint64 { return xxhash.Sum64String(addr.String()) }

// livePeers returns the addresses of gateways that are heard, most at a time, in turn.
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

// viewAge returns the age of the oldest view of a gateway that is heard.
func (c *Core) viewAge() time.Duration {
	age := time.Duration(0)
	for p := range c.peers.Values() {
		if p.live && p.inCell {
			age = max(age, c.now-p.lastSeen)
		}
	}
	return age
}
