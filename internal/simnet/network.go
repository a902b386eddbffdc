package simnet

import (
	"math/rand/v2"
	"time"
)

// Node names one end of a link.
type Node string

// Link is the state of one direction between two nodes.
type Link struct {
	Delay     time.Duration // one way
	Jitter    time.Duration // uniform, added to Delay
	Cut       bool          // nothing arrives
	Lose      float64       // probability that a message is lost
	Duplicate float64       // probability that a message arrives twice
	Reorder   float64       // probability that later messages can overtake a message
}

// Network delivers messages between nodes. Messages of one direction arrive in
// order unless the link reorders them.
type Network struct {
	clock       *Clock
	rnd         *rand.Rand
	initialLink func(from, to Node) Link
	links       map[direction]*linkState
}

type direction struct{ from, to Node }

type linkState struct {
	Link
	lastArrival time.Duration
}

// NewNetwork returns a network whose fault-free links are given by base.
func NewNetwork(clock *Clock, rnd *rand.Rand, base func(from, to Node) Link) *Network {
	return &Network{clock: clock, rnd: rnd, initialLink: base, links: make(map[direction]*linkState)}
}

// reorderDelay bounds the extra delay of reordered and duplicate messages.
const reorderDelay = 200 * time.Millisecond

// Send schedules deliver at the arrival of a message: once, twice or, if it is
// lost, never. extra is transfer time in addition to the delay of the link.
func (n *Network) Send(from, to Node, extra time.Duration, deliver func()) {
	l := n.link(from, to)
	if l.Cut || n.chance(l.Lose) {
		return
	}
	n.deliver(l, extra, deliver)
	if n.chance(l.Duplicate) {
		n.deliver(l, extra+n.randomUpTo(reorderDelay), deliver)
	}
}

func (n *Network) deliver(l *linkState, extra time.Duration, deliver func()) {
	at := n.clock.Now() + l.Delay + extra + n.randomUpTo(l.Jitter)
	if n.chance(l.Reorder) {
		n.clock.At(at+n.randomUpTo(reorderDelay), deliver)
		return
	}
	l.lastArrival = max(l.lastArrival, at)
	n.clock.At(l.lastArrival, deliver)
}

// Change applies change to both directions between two nodes.
func (n *Network) Change(a, b Node, change func(*Link)) {
	change(&n.link(a, b).Link)
	change(&n.link(b, a).Link)
}

// Heal restores both directions between two nodes to their fault-free state.
func (n *Network) Heal(a, b Node) {
	n.link(a, b).Link = n.initialLink(a, b)
	n.link(b, a).Link = n.initialLink(b, a)
}

// Connected reports whether messages pass in both directions.
func (n *Network) Connected(a, b Node) bool {
	return !n.link(a, b).Cut && !n.link(b, a).Cut
}

// Healthy reports whether both directions are in their fault-free state.
func (n *Network) Healthy(a, b Node) bool {
	return n.link(a, b).Link == n.initialLink(a, b) && n.link(b, a).Link == n.initialLink(b, a)
}

func (n *Network) link(from, to Node) *linkState {
	key := direction{from, to}
	l := n.links[key]
	if l == nil {
		l = &linkState{Link: n.initialLink(from, to)}
		n.links[key] = l
	}
	return l
}

func (n *Network) chance(p float64) bool { return p > 0 && n.rnd.Float64() < p }

func (n *Network) randomUpTo(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(n.rnd.Int64N(int64(d)))
}
