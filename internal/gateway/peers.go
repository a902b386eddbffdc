package gateway

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// shareDelay collects changes that come together into one message.
	shareDelay = 1500 * time.Microsecond
	// fullInterval is the time between two messages with all of a gateway's work.
	// It grows beyond fullPeers gateways, so that a VM's messages stay bounded.
	fullInterval = 250 * time.Millisecond
	// joinDelay collects the gateways that are first heard at about the same time,
	// as after the start of a fleet, into one full message.
	joinDelay = 25 * time.Millisecond
	fullPeers = 10
	// staleFactor is how many intervals another gateway's work is kept without
	// word of it.
	staleFactor = 4
	// forgetPeer is how long a silent gateway still gets messages; a frozen or cut
	// off VM comes back within it.
	forgetPeer = 40 * time.Second
	// tryPeer is how long a gateway that was only named by others gets messages.
	tryPeer = 3 * time.Second
	// rowsPerMessage keeps a message within one datagram.
	rowsPerMessage  = 20
	endedPerMessage = 150
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

// sharing is what waits to be told to the other gateways.
type sharing struct {
	waiting      []*request // that began to wait
	touchedWorks []*work
	endedWorks   []uint64 // told at once
	recentEnded  []uint64 // told once more with the next full message
	scheduled    bool     // a message follows within shareDelay
	due          bool
	full         bool
	news         int           // gateways of other cells to be told at once
	fullAt       time.Duration // when the next full message is due
}

// touched tells others of a new or changed work soon.
func (s *sharing) touched(c *Core, w *work) {
	if !slices.Contains(s.touchedWorks, w) {
		s.touchedWorks = append(s.touchedWorks, w)
	}
	s.schedule(c)
}

// ended tells others that a work is over.
func (s *sharing) ended(c *Core, w *work) {
	if i := slices.Index(s.touchedWorks, w); i >= 0 {
		s.touchedWorks = slices.Delete(s.touchedWorks, i, i+1)
	}
	s.endedWorks = append(s.endedWorks, w.key.request)
	s.schedule(c)
}

// endedRequest tells others that a request waits no longer.
func (s *sharing) endedRequest(c *Core, r *request) {
	s.endedWorks = append(s.endedWorks, rowID(r))
	s.schedule(c)
}

// rowID names the current attempt of a request in messages. The request's ID is
// the number without the last eight bits.
func rowID(r *request) uint64 { return uint64(r.in.ID)<<8 | uint64(r.attempt&0xff) }

// changed tells others of new versions with a full message.
func (s *sharing) changed(c *Core) {
	s.full, s.news = true, farAtOnce
	s.schedule(c)
}

// joined tells a gateway that was first heard of all work here, soon.
func (s *sharing) joined(c *Core) {
	if at := c.now + joinDelay; at < s.fullAt {
		s.fullAt = at
		c.timers.Set(timerKey{kind: timerFull}, at)
	}
}

// schedule has what waits sent shareDelay after the first of the changes.
func (s *sharing) schedule(c *Core) {
	if !s.due && !s.scheduled {
		s.scheduled = true
		c.timers.Set(timerKey{kind: timerShare}, c.now+shareDelay)
	}
}

// flushShare sends what is due.
func (c *Core) flushShare() {
	s := &c.share
	if !s.due && !s.full {
		return
	}
	m, works, waiting, ended := c.message(), s.touchedWorks, s.waiting, s.endedWorks
	if s.full {
		works, waiting, ended = c.ownWorks(), c.ownWaiting(), append(s.recentEnded, s.endedWorks...)
		s.recentEnded = nil
		m = c.fullMessage()
	} else {
		s.recentEnded = append(s.recentEnded, s.endedWorks...)
	}
	for _, r := range waiting {
		m.Waiting = append(m.Waiting, WaitingRow{
			Request: uint64(r.in.ID), Service: c.service(r.in.Service).hash, DueUS: (r.due() - c.now).Microseconds(),
			Prompt: r.in.Prompt, Output: r.in.Output, LaterMS: r.handicap.Milliseconds(),
		})
	}
	c.sendRows(m, works, ended, s.full)
	s.waiting = s.waiting[:0]
	s.scheduled, s.due, s.full = false, false, false
	s.touchedWorks = s.touchedWorks[:0]
	s.endedWorks = nil
	c.timers.Stop(timerKey{kind: timerShare})
}

// message returns an empty message.
func (c *Core) message() *PeerMessage {
	return &PeerMessage{Incarnation: c.cfg.Incarnation, Leaving: c.leaving}
}

// news returns a message with the versions held here and some addresses.
func (c *Core) news(addresses int) *PeerMessage {
	m := c.message()
	versions := c.versions
	m.Versions, m.Known = &versions, c.livePeers(addresses)
	return m
}

// fullMessage begins a full message: it brings the table of gateways up to date,
// tells those of other cells that are due, and sets the time of the next one.
func (c *Core) fullMessage() *PeerMessage {
	s := &c.share
	c.forgetPeers()
	c.assignCells()
	interval := c.fullEvery()
	s.fullAt = c.now + interval
	c.timers.Set(timerKey{kind: timerFull}, s.fullAt)
	c.tellFar(max(c.farDue(interval), s.news))
	s.news = 0
	m := c.news(knownPerMessage)
	m.Paces = c.paceRows()
	return m
}

// sendRows sends m with the rows of works and the requests that ended, in as many
// messages as they need, to the gateways of the cell; the first one of a full set
// also goes to those that have not been heard.
func (c *Core) sendRows(m *PeerMessage, works []*work, ended []uint64, full bool) {
	for {
		k := min(len(ended), endedPerMessage)
		m.Ended, ended = ended[:k], ended[k:]
		n := min(len(works), rowsPerMessage)
		for _, w := range works[:n] {
			m.Rows = append(m.Rows, c.row(w))
		}
		works = works[n:]
		for p := range c.peers.Values() {
			if p.near && (p.known || full || c.cells == 1) {
				c.emit(Output{ToPeer: &ToPeer{Addr: p.addr, Msg: m}})
			}
		}
		if len(works) == 0 && len(ended) == 0 {
			return
		}
		full = false
		m = c.message()
	}
}

func (c *Core) row(w *work) PeerRow {
	row := PeerRow{
		Request: w.key.request, Writing: w.phase == workWriting, Prompt: w.prompt, Output: w.output,
		PartUS: w.part.Microseconds(), PauseMS: w.pause.Milliseconds(), AgeMS: (c.now - w.sent).Milliseconds(),
	}
	row.Held = w.held
	for _, e := range w.at {
		row.At = append(row.At, e.hash)
	}
	return row
}

func (c *Core) ownWorks() []*work {
	var out []*work
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
		if r.phase == phaseWaiting && r.divided {
			out = append(out, r)
		}
	}
	return out
}

// fullEvery returns the time between full messages.
func (c *Core) fullEvery() time.Duration {
	n := max(c.nearPeers(), fullPeers)
	return fullInterval * time.Duration(n) / fullPeers
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
		addr: addr, rank: addrRank(addr), added: c.now, near: true,
		works: make(map[uint64]*work), waiting: make(map[uint64]*waiting),
	})
}

// Gateways returns how many gateways share the fleet's budgets: this one and
// those heard lately.
func (c *Core) Gateways() int {
	n := 1
	for p := range c.peers.Values() {
		if p.heard > 0 {
			n++
		}
	}
	return n
}

// watchers is the number of gateways that watch the store in a large fleet. A
// waiting watch and each change that ends it are calls, and the store's rates
// grow more slowly than the fleet.
const watchers = 8

// Watches reports whether this gateway is one of those that watch the store: the
// first by rank among those heard, where the rank is a hash of the address, so
// that the watchers are spread over failure domains.
func (c *Core) Watches() bool {
	before := 0
	for p := range c.peers.Values() {
		if p.known && !p.leaving && p.rank < c.rankHash {
			before++
		}
	}
	return before < watchers
}

func addrRank(addr netip.AddrPort) uint64 { return xxhash.Sum64String(addr.String()) }

// livePeers returns the addresses of gateways that are heard, most at a time, in turn.
func (c *Core) livePeers(most int) []netip.AddrPort {
	var out []netip.AddrPort
	for p := range c.peers.Values() {
		if p.known {
			out = append(out, p.addr)
		}
	}
	if len(out) <= most {
		return out
	}
	c.knownTurn = (c.knownTurn + most) % len(out)
	return slices.Concat(out, out)[c.knownTurn : c.knownTurn+most]
}

// viewAge returns the age of the oldest view of a gateway that is heard.
func (c *Core) viewAge() time.Duration {
	age := time.Duration(0)
	for p := range c.peers.Values() {
		if p.known && p.near {
			age = max(age, c.now-p.heard)
		}
	}
	return age
}
