package soak

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/simnet"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Times and sizes of a transport connection.
const (
	pingTimeout   = 10 * time.Second          // silence after which a connection is closed
	redialMin     = 200 * time.Millisecond    // delay before dialing
	redialSpread  = 800 * time.Millisecond    // uniform jitter, added to redialMin
	resetDelay    = time.Millisecond          // until the other side sees a closed socket
	bytesPerSec   = 1 << 30                   // of a connection
	messageBytes  = 200                       // of a message without a body
	perByte       = time.Second / bytesPerSec // 0 by integer division: bodies and frames take no transfer time
	frameOverhead = messageBytes * perByte
)

// stream is the connection that an agent opens to an entry. While its link is
// cut it queues messages, as a socket does, until the link heals or the
// connection is closed.
type stream struct {
	world         *World
	agent         *agentNode
	entry         *entryNode
	open          bool
	serial        uint64 // of the connection; messages of an earlier one are lost
	queued        []func()
	helloReceived bool // the entry has received Hello
	dial          *simnet.Event
}

func (s *stream) agentSide() simnet.Node { return s.agent.name }
func (s *stream) entrySide() simnet.Node { return s.entry.name }

// bulk returns the network node of n for bodies and frames, whose queue is
// separate from that for control messages.
func bulk(n simnet.Node) simnet.Node { return n + "/bulk" }

// dialSoon dials after a jittered delay, and retries until it connects.
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
	s.helloReceived = false
	s.serial++
	s.queued = nil
	s.agent.entryUp(s.entry)
}

// send delivers a message to the other side if the connection stays open.
func (s *stream) send(from, to simnet.Node, extra time.Duration, deliver func()) {
	if !s.open {
		return
	}
	if !s.world.net.Connected(s.agentSide(), s.entrySide()) {
		s.queued = append(s.queued, func() { s.send(from, to, extra, deliver) })
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

// flush sends the messages queued while the link was cut.
func (s *stream) flush() {
	queued := s.queued
	s.queued = nil
	for _, send := range queued {
		send()
	}
}

// breakOff closes the connection, notifies both sides and redials.
func (s *stream) breakOff() {
	if !s.open {
		return
	}
	s.open = false
	s.queued = nil
	s.agent.entryDown(s.entry)
	if s.helloReceived {
		s.entry.agentDown(s.agent)
	}
	s.dialSoon()
}

// breakAfter closes the current connection after d if broken returns true then.
func (s *stream) breakAfter(d time.Duration, broken func() bool) {
	serial := s.serial
	s.world.clock.After(d, func() {
		if s.serial == serial && broken() {
			s.breakOff()
		}
	})
}
