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
	// wholeFleet is the number of gateways up to which the fleet is one cell.
	wholeFleet = 40
	// cellLeast is the number of gateways that a cell has at least; with fewer, the
	// uneven traffic of single gateways would be that of a cell.
	cellLeast = 12
	// cellEndpoints is how many endpoints of a service a cell has at least. A service
	// with fewer for each cell is used by all gateways.
	cellEndpoints = 4
	// farInterval is the time between two messages from one gateway to one of another
	// cell, and farSilence how long the latter is believed to live without one.
	farInterval = 20 * time.Second
	farSilence  = 50 * time.Second
	// farAtOnce is how many gateways of other cells hear at once of a new version.
	// Each tells as many in turn, so that some hundred know it after three rounds.
	farAtOnce = 6
	// knownPerMessage bounds the addresses of gateways in one message.
	knownPerMessage = 64
)

// cellCount returns the number of cells of a fleet: a power of two, so that it
// changes seldom.
func cellCount(gateways int) int {
	if gateways <= wholeFleet {
		return 1
	}
	return 1 << (bits.Len(uint(gateways/cellLeast)) - 1)
}

// cut returns the cell of the i-th of n in order.
func cut(i, n, cells int) int { return i * cells / max(n, 1) }

// assignCells works out which gateways and endpoints are of the own cell.
func (c *Core) assignCells() {
	var live []*peer
	before := 0
	for p := range c.peers.Values() {
		p.near = true
		if !p.known {
			continue
		}
		live = append(live, p)
		before += bit(p.rank < c.rankHash)
	}
	n := len(live) + 1
	c.cells = cellCount(n)
	c.cell = cut(before, n, c.cells)
	if c.cells > 1 {
		slices.SortFunc(live, func(a, b *peer) int { return cmp.Compare(a.rank, b.rank) })
		for i, p := range live {
			p.near = cut(i+bit(i >= before), n, c.cells) == c.cell
		}
	}
	for s := range c.services.Values() {
		divided := len(s.endpoints) >= cellEndpoints*c.cells
		for i, e := range s.endpoints {
			e.near = !divided || cut(i, len(s.endpoints), c.cells) == c.cell
		}
	}
}

// nearPeers returns the number of gateways of the own cell beside this one.
func (c *Core) nearPeers() int {
	n := 0
	for p := range c.peers.Values() {
		n += bit(p.near)
	}
	return n
}

// tellFar sends addresses and versions to a number of gateways of other cells, in
// turn, and to those that have been heard for the first time.
func (c *Core) tellFar(count int) {
	var far []*peer
	for p := range c.peers.Values() {
		if !p.near {
			far = append(far, p)
		}
	}
	if len(far) == 0 {
		return
	}
	m := c.news(farAtOnce)
	for range min(count, len(far)) {
		c.farTurn = (c.farTurn + 1) % len(far)
		far[c.farTurn].greet = true
	}
	for _, p := range far {
		if p.greet {
			p.greet = false
			c.emit(Output{ToPeer: &ToPeer{Addr: p.addr, Msg: m}})
		}
	}
}

// farDue returns how many gateways of other cells are told after an interval.
func (c *Core) farDue(interval time.Duration) int {
	far := c.peers.Len() - c.nearPeers()
	return int((time.Duration(far)*interval + farInterval - 1) / farInterval)
}
