package gateway

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// A large fleet is divided into cells, so that what a gateway is told and looks at
// does not grow with the fleet. A cell is a set of gateways with the endpoints that
// only they fill; within it, work is told and planned as in a small fleet. Gateways
// of other cells hear of each other rarely, for addresses and versions only.
//
// Each gateway works the cells out by itself, from the gateways that it has heard
// and the registrations: both are put in the order of their hashes and cut into
// equal parts. A gateway or endpoint more or less moves few others to the
// neighbouring cell; while views differ, two cells may fill the same endpoint.

const (
	// maxSingleCellGateways is the number of gateways up to which the fleet is one cell.
	maxSingleCellGateways = 40
	// minCellGateways is the number of gateways that a cell has at least; with fewer, the
	// uneven traffic of single gateways would be that of a cell.
	minCellGateways = 12
	// minCellEndpoints is how many endpoints of a service a cell has at least. A service
	// with fewer for each cell is used by all gateways.
	minCellEndpoints = 4
	// otherCellInterval is the time between two messages from one gateway to one of another
	// cell, and farSilence how long the latter is believed to live without one.
	otherCellInterval = 20 * time.Second
	otherCellTimeout  = 50 * time.Second
	// otherCellFanout is how many gateways of other cells hear at once of a new version.
	// Each tells as many in turn, so that some hundred know it after three rounds.
	otherCellFanout = 6
	// maxKnownPerMessage bounds the addresses of gateways in one message.
	maxKnownPerMessage = 64
)

// cellCount returns the number of cells of a fleet: a power of two, so that it
// changes seldom.
func cellCount(gateways int) int {
	if gateways <= maxSingleCellGateways {
		return 1
	}
	return 1 << (bits.Len(uint(gateways/minCellGateways)) - 1)
}

// cellAt returns the cell of the i-th of n in order.
func cellAt(i, n, cells int) int { return i * cells / max(n, 1) }

// assignCells works out which gateways and endpoints are of the own cell.
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
	c.cells = cellCount(n)
	c.ownCell = cellAt(before, n, c.cells)
	if c.cells > 1 {
		slices.SortFunc(live, func(a, b *peer) int { return cmp.Compare(a.addrHash, b.addrHash) })
		for i, p := range live {
			p.inCell = cellAt(i+bit(i >= before), n, c.cells) == c.ownCell
		}
	}
	for s := range c.services.Values() {
		divided := len(s.endpoints) >= minCellEndpoints*c.cells
		for i, e := range s.endpoints {
			e.inCell = !divided || cellAt(i, len(s.endpoints), c.cells) == c.ownCell
		}
	}
}

// cellPeers returns the number of gateways of the own cell beside this one.
func (c *Core) cellPeers() int {
	n := 0
	for p := range c.peers.Values() {
		n += bit(p.inCell)
	}
	return n
}

// sendToOtherCells sends addresses and versions to a number of gateways of other cells, in
// turn, and to those that have been heard for the first time.
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
	m := c.versionMessage(otherCellFanout)
	for range min(count, len(others)) {
		c.otherCellCursor = (c.otherCellCursor + 1) % len(others)
		others[c.otherCellCursor].greetPending = true
	}
	for _, p := range others {
		if p.greetPending {
			p.greetPending = false
			c.emit(Output{ToPeer: &ToPeer{Addr: p.addr, Msg: m}})
		}
	}
}

// otherCellSendsDue returns how many gateways of other cells are told after an interval.
func (c *Core) otherCellSendsDue(interval time.Duration) int {
	others := c.peers.Len() - c.cellPeers()
	return int((time.Duration(others)*interval + otherCellInterval - 1) / otherCellInterval)
}
