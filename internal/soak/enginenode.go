package soak

import (
	"math"
	"time"

	"trefoilpath.org/trefoilpath/internal/agent"
	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/simnet"
	"trefoilpath.org/trefoilpath/internal/standin/enginemodel"
)

// Times between an agent and its engine, on one VM.
const (
	engineLatency   = 200 * time.Microsecond
	enginePollEvery = time.Second // of the agent's shell while the engine is down
)

// engineNode is a simulated engine process and its connection to the agent on
// the same VM.
type engineNode struct {
	world       *World
	name        simnet.Node
	agent       *agentNode
	model       *enginemodel.Model
	wake        *simnet.Event
	wakeAt      time.Duration
	dead        bool
	checksFence bool
	reportedUp  bool // the agent's core has been notified that the engine is up
	calls       map[engine.SequenceID]*submission
}

// submission is a sequence submitted to the engine.
type submission struct {
	call   *call
	output int64 // tokens that the engine will generate
}

func newEngineNode(w *World, a *agentNode) *engineNode {
	return &engineNode{
		world: w,
		name:  simnet.Node("engine/" + string(a.endpoint)),
		agent: a,
		calls: make(map[engine.SequenceID]*submission),
	}
}

// attach starts the connection of a new incarnation of the agent.
func (n *engineNode) attach() {
	n.reportedUp = false
	n.poll()
}

// poll polls until the engine is up and notifies the agent's core.
func (n *engineNode) poll() {
	p := n.agent.proc
	n.world.clock.After(engineLatency, func() {
		if n.agent.proc != p || p.stopped || n.reportedUp {
			return
		}
		if n.dead {
			n.world.clock.After(enginePollEvery, n.poll)
			return
		}
		n.reportedUp = true
		state := n.model.State(n.world.clock.Now())
		n.agent.proc.input(agent.Input{EngineUp: &agent.EngineUp{State: state}})
	})
}

// submit records a sequence that is about to be submitted.
func (n *engineNode) submit(s *engine.Submit, c *call) {
	n.calls[s.ID] = &submission{call: c, output: c.expectedTokens() - s.ResumeFrom}
}

// command sends a command to the engine. It is lost if the engine is down or the
// agent has restarted when it arrives.
func (n *engineNode) command(c engine.Command) {
	p := n.agent.proc
	n.world.clock.After(engineLatency, func() {
		if n.dead || n.agent.proc != p {
			return
		}
		n.model.Do(n.world.clock.Now(), c)
		n.pump()
	})
}

// outputTokens returns the number of tokens that the engine generates for a
// sequence.
func (n *engineNode) outputTokens(s engine.Submit) int64 { return n.calls[s.ID].output }

// pump records ended sequences, passes on the engine's events and arms its timer.
func (n *engineNode) pump() {
	n.recordSequences(n.model.TakeSequenceRecords())
	for _, e := range n.model.TakeEvents() {
		n.event(e)
	}
	next := n.model.Next()
	if next == math.MaxInt64 || (n.wake != nil && next >= n.wakeAt && n.wakeAt > n.world.clock.Now()) {
		return
	}
	n.world.clock.Stop(n.wake)
	n.wakeAt = next
	n.wake = n.world.clock.At(next, n.run)
}

func (n *engineNode) run() {
	n.wakeAt = 0
	n.model.Tick(n.world.clock.Now())
	n.pump()
}

func (n *engineNode) event(e engine.Event) {
	if e.First != nil {
		if k := n.calls[e.First.ID]; k != nil {
			n.world.audit.recordRun(k.call, string(n.name))
		}
	}
	p := n.agent.proc
	n.world.clock.After(engineLatency, func() {
		if n.agent.proc == p && !n.dead {
			n.agent.engineEvent(e)
		}
	})
}

// recordSequences reports to the audit the calls that the engine has worked on.
func (n *engineNode) recordSequences(records []enginemodel.SequenceRecord) {
	for _, r := range records {
		k := n.calls[r.ID]
		delete(n.calls, r.ID)
		if k != nil && r.Worked {
			n.world.audit.recordRun(k.call, string(n.name))
		}
	}
}

// kill ends the engine process, which loses its memory. It restarts after d.
func (n *engineNode) kill(d time.Duration) {
	if n.dead {
		return
	}
	w := n.world
	w.record(n.name, "engine-kill", "", "", 0)
	n.dead = true
	n.model.Tick(w.clock.Now())
	n.model.Kill()
	n.recordSequences(n.model.TakeSequenceRecords())
	n.calls = make(map[engine.SequenceID]*submission)
	n.reportedUp = false
	p := n.agent.proc
	w.clock.After(resetDelay, func() {
		if n.agent.proc == p && !p.stopped {
			p.input(agent.Input{EngineDown: &agent.EngineDown{ProcessEnded: true}})
		}
	})
	w.clock.After(d, func() {
		w.record(n.name, "engine-start", "", "", 0)
		n.dead = false
		n.model.Restart(w.clock.Now())
		n.poll()
		n.pump()
	})
}

// held returns the memory that the engine holds for sequences and handles.
func (n *engineNode) held() []engine.Held {
	if n.dead {
		return nil
	}
	return n.model.State(n.world.clock.Now()).Held
}

func (n *engineNode) capacity() int64 {
	return n.model.State(n.world.clock.Now()).Capacity
}
