package gateway

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// A large fleet is divided into cells, so that the messages that a gateway receives
// and the tables that it scans don't grow with the fleet. A cell is a set of gateways
// with the endpoints that only they use; within it, work is shared and planned as in a
// small fleet. Gateways of different cells exchange only addresses and versions, at
// long intervals.
//
// Each gateway computes the cells by itself from the gateways that it has received
// messages from and the registrations: both are sorted by hash and cut into equal
// parts. A gateway or endpoint that joins or leaves moves few others, and those only to
// the neighbouring cell. While views differ, two cells may use the same endpoint.

const (
	// maxSingleCellGateways is the largest number of gateways that form a single cell.
	maxSingleCellGateways = 40
	// minCellGateways is the minimum number of gateways in a cell. In a smaller cell, the
	// uneven traffic of single gateways would dominate the load of the cell, and the longest
	// prompts would seldom find as many idle engines as they need.
	minCellGateways = 24
	// maxCellEndpoints is the number of endpoints of a service per cell above which cells
	// are divided further, as long as they keep half of minCellGateways: placement looks at
	// each of them, and the processor of a small VM binds first.
	maxCellEndpoints = 150
	// minCellEndpoints is the minimum number of endpoints of a service per cell. A
	// service with fewer endpoints per cell is used by all gateways.
	minCellEndpoints = 4
	// otherCellInterval is the time between two messages from one gateway to a gateway of
	// another cell. otherCellTimeout is the silence after which that
	// gateway is no longer live.
	otherCellInterval = 20 * time.Second
	otherCellTimeout  = 50 * time.Second
	// otherCellFanout is the number of gateways of other cells that are notified
	// immediately of a new version. Each notifies as many in turn, so that more than two
	// hundred gateways know it after three rounds.
	otherCellFanout = 6
	// otherCellAddresses bounds the gateway addresses in a message to another cell.
	otherCellAddresses = 6
	// maxKnownPerMessage bounds the gateway addresses in a full message.
	maxKnownPerMessage = 64
)

// cellCount returns the number of cells of a fleet whose largest service has the given
// number of endpoints. It is a power of two, so that it seldom changes.
func cellCount(gateways, endpoints int) int {
	if gateways <= maxSingleCellGateways {
		return 1
	}
	cells := 1 << (bits.Len(uint(gateways/minCellGateways)) - 1)
	for endpoints > maxCellEndpoints*cells && gateways >= minCellGateways*cells {
		cells *= 2
	}
	return cells
}

// cellAt returns the cell of the i-th of n gateways or endpoints in hash order.
func cellAt(i, n, cells int) int { return i * cells / max(n, 1) }

// assignCells computes which gateways and endpoints are in the own cell.
func (c *Core) assignCells() {
	var live []*peer
	before := 0
	for p := range c.peers.Values() {
		p.inCell = true
		if !p.live {
			continue
		}
		live = append(live, p)
		before += bit(p.addrHash < c.addrHash)
	}
	n := len(live) + 1
	largest := 0
	for s := range c.services.Values() {
		largest = max(largest, len(s.endpoints))
	}
	c.cells = cellCount(n, largest)
	c.ownCell = cellAt(before, n, c.cells)
	if c.cells > 1 {
		slices.SortFunc(live, func(a, b *peer) int { return cmp.Compare(a.addrHash, b.addrHash) })
		for i, p := range live {
			p.inCell = cellAt(i+bit(i >= before), n, c.cells) == c.ownCell
		}
	}
	for s := range c.services.Values() {
		divided := s.inUse(nil) >= minCellEndpoints*c.cells
		for i, e := range s.endpoints {
			e.inCell = !divided || cellAt(i, len(s.endpoints), c.cells) == c.ownCell
		}
	}
}

// cellPeers returns the number of other gateways in the own cell, including those that
// are not live, whose cell is unknown.
func (c *Core) cellPeers() int {
	n := 0
	for p := range c.peers.Values() {
		n += bit(p.inCell)
	}
	return n
}

// sendToOtherCells sends addresses and versions to the next count gateways of other
// cells, in rotation, and to those that have become live since the last call.
func (c *Core) sendToOtherCells(count int) {
	var others []*peer
	for p := range c.peers.Values() {
		if !p.inCell {
			others = append(others, p)
		}
	}
	if len(others) == 0 {
		return
	}
	m := c.versionMessage(otherCellAddresses)
	messages := []*PeerMessage{m}
	if c.partsKnown {
		messages = append(messages, c.partMessages()...)
	}
	rows := c.limitRows()
	m.Limits = rows[:min(len(rows), maxLimitRows)]
	for range min(count, len(others)) {
		c.otherCellCursor = (c.otherCellCursor + 1) % len(others)
		others[c.otherCellCursor].sendPending = true
	}
	for _, p := range others {
		if p.sendPending {
			p.sendPending = false
			for _, m := range messages {
				c.emit(Output{ToPeer: &ToPeer{Addr: p.addr, Msg: m}})
			}
		}
	}
}

// partMessages returns a message for each service with the most important of what is known of
// its parts.
func (c *Core) partMessages() []*PeerMessage {
	var out []*PeerMessage
	for s := range c.parts.Values() {
		if rows := s.table.Rows(c.now, maxPartRowsPerMessage); len(rows) > 0 {
			out = append(out, c.partMessage(s, rows))
		}
	}
	return out
}

// otherCellSendsDue returns how many gateways of other cells to send to after the
// given interval, so that each gets a message about every otherCellInterval.
func (c *Core) otherCellSendsDue(interval time.Duration) int {
	others := c.peers.Len() - c.cellPeers()
	return int((time.Duration(others)*interval + otherCellInterval - 1) / otherCellInterval)
}
