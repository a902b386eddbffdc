package soak

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/agent"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const serviceStatusOK = 200

// Times of a simulated service. A call takes serviceTime plus up to
// serviceTimeRange.
const (
	serviceConnect   = 500 * time.Microsecond
	serviceTime      = 20 * time.Millisecond
	serviceSlowTime  = 40 * time.Second
	serviceTimeRange = 30 * time.Millisecond
)

// serviceMode is the fault state of a service.
type serviceMode uint8

const (
	serviceHealthy serviceMode = 0
	serviceDown    serviceMode = 1 // refuses connections
	serviceSlow    serviceMode = 2 // runs calls, answers too late
	serviceMute    serviceMode = 3 // runs calls, closes the connection without an answer
)

// serviceNode is a simulated endpoint of a service. The audit records its runs.
type serviceNode struct {
	world  *World
	name   wire.EndpointID
	mode   serviceMode
	serial uint64                  // changes when the agent's process ends; answers from before are lost
	open   map[wire.AttemptID]bool // connections
}

func newServiceNode(w *World, name wire.EndpointID) *serviceNode {
	return &serviceNode{world: w, name: name, open: make(map[wire.AttemptID]bool)}
}

// forget closes the connections of an agent whose process has ended. The calls
// continue to run.
func (s *serviceNode) forget() {
	s.serial++
	s.open = make(map[wire.AttemptID]bool)
}

// abandon closes the connection of one call. The call continues to run.
func (s *serviceNode) abandon(id wire.AttemptID) { delete(s.open, id) }

// call connects and runs the call. It reports to the agent the answer, or a
// failure with whether the call was sent.
func (s *serviceNode) call(a *agentNode, k *agentWork, start *agent.ServiceStart) {
	w := s.world
	s.open[start.Attempt] = true
	serial := s.serial
	current := func() bool { return s.serial == serial && s.open[start.Attempt] }
	end := func(data []byte, sent, ok bool) {
		if current() {
			delete(s.open, start.Attempt)
			a.serviceDone(k, data, sent, ok)
		}
	}
	w.clock.After(serviceConnect, func() {
		if !current() {
			return
		}
		if s.mode == serviceDown {
			end(nil, false, false)
			return
		}
		run := w.audit.recordServiceRun(s, k, start)
		s.answer(k, run, start.Timeout, end)
	})
}

// answer ends a call that has run: with its answer, a timeout, or a connection
// closed without an answer.
func (s *serviceNode) answer(k *agentWork, run int, timeout time.Duration, end func(data []byte, sent, ok bool)) {
	w := s.world
	took := serviceTime + time.Duration(w.rnd.Int64N(int64(serviceTimeRange)))
	mode := s.mode
	if mode == serviceSlow {
		took = serviceSlowTime
	}
	if took > timeout {
		w.clock.After(timeout, func() { end(nil, true, false) })
		return
	}
	w.clock.After(took, func() {
		if mode == serviceMute {
			end(nil, true, false)
			return
		}
		end(serviceText(k.call.req.BodyDigest, run), true, true)
	})
}
