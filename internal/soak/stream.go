package soak

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/simnet"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Times of a transport connection.
const (
	pingTimeout   = 10 * time.Second // silence after which a connection is given up
	redialMin     = 200 * time.Millisecond
	redialSpread  = 800 * time.Millisecond
	resetDelay    = time.Millisecond // until the other side sees a closed socket
	bytesPerSec   = 1 << 30          // of a connection
	messageBytes  = 200              // of a message without a body
	perByte       = time.Second / bytesPerSec
	frameOverhead = messageBytes * perByte
)

// stream is the connection that an agent holds to an entry. While its link is
// cut it keeps what is sent, as a socket does, until the link heals or the
// connection is given up.
type stream struct {
	world  *World
	agent  *agentNode
	entry  *entryNode
	open   bool
	serial uint64 // of the connection; messages of an earlier one are lost
	held   []func()
	hello  bool // the entry has seen Hello
	dial   *simnet.Event
}

func (s *stream) agentSide() simnet.Node { return s.agent.name }
func (s *stream) entrySide() simnet.Node { return s.entry.name }

// bulk names the queue for bodies and frames of a node, which is apart from the
// one for control messages.
func bulk(n simnet.Node) simnet.Node { return n + "/bulk" }

// dialSoon tries to connect after a jittered delay, until it succeeds.
func (s *stream) dialSoon() {
	w := s.world
	w.clock.Stop(s.dial)
	delay := redialMin + time.Duration(w.rnd.Int64N(int64(redialSpread)))
	s.dial = w.clock.After(delay, s.tryDial)
}

func (s *stream) tryDial() {
	if s.open || !s.agent.alive() {
		return
	}
	reachable := s.agent.running() && s.entry.running() && s.world.net.Connected(s.agentSide(), s.entrySide())
	if !reachable {
		s.dialSoon()
		return
	}
	s.open = true
	s.hello = false
	s.serial++
	s.held = nil
	s.agent.entryUp(s.entry)
}

// send delivers a message to the other side of the connection.
func (s *stream) send(from, to simnet.Node, extra time.Duration, deliver func()) {
	if !s.open {
		return
	}
	if !s.world.net.Connected(s.agentSide(), s.entrySide()) {
		s.held = append(s.held, func() { s.send(from, to, extra, deliver) })
		return
	}
	serial := s.serial
	s.world.net.Send(from, to, extra, func() {
		if s.open && s.serial == serial {
			deliver()
		}
	})
}

// receiveBody delivers the body that follows a Dispatch to the agent.
func (s *stream) receiveBody(d *wire.Dispatch) {
	serial := s.serial
	s.world.clock.After(time.Duration(d.BodyBytes)*perByte, func() {
		if s.open && s.serial == serial {
			s.agent.bodyArrived(d.Attempt)
		}
	})
}

// flush sends what was kept while the link was cut.
func (s *stream) flush() {
	held := s.held
	s.held = nil
	for _, send := range held {
		send()
	}
}

// breakOff ends the connection for both sides.
func (s *stream) breakOff() {
	if !s.open {
		return
	}
	s.open = false
	s.held = nil
	s.agent.entryDown(s.entry)
	if s.hello {
		s.entry.agentDown(s.agent)
	}
	s.dialSoon()
}

// breakAfter ends this connection after d if broken still holds then.
func (s *stream) breakAfter(d time.Duration, broken func() bool) {
	serial := s.serial
	s.world.clock.After(d, func() {
		if s.serial == serial && broken() {
			s.breakOff()
		}
	})
}
