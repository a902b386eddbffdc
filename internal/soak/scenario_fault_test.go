package soak

import (
	"fmt"
	"strings"
	"time"

	"trefoilpath.org/trefoilpath/internal/simnet"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// agentOf returns the agent that has the latest attempt of a request.
func (s *scenario) agentOf(name string) (*agentNode, error) {
	c := s.calls[name]
	if c == nil || len(c.attempts) == 0 {
		return nil, fmt.Errorf("request %s has no attempt", name)
	}
	for _, a := range s.world.agents {
		if a.work[c.attempts[len(c.attempts)-1]] != nil {
			return a, nil
		}
	}
	return nil, fmt.Errorf("no agent holds request %s", name)
}

// findAgent returns the agent of an endpoint, or, for @NAME, the one that runs
// that request.
func (s *scenario) findAgent(target string) (*agentNode, error) {
	if name, ok := strings.CutPrefix(target, "@"); ok {
		return s.agentOf(name)
	}
	for _, a := range s.world.agents {
		if string(a.endpoint) == target {
			return a, nil
		}
	}
	return nil, fmt.Errorf("endpoint %s does not exist", target)
}

// findEntry returns the entry with an ID, or, for @NAME, the one that accepted
// that request.
func (s *scenario) findEntry(target string) (*entryNode, error) {
	if name, ok := strings.CutPrefix(target, "@"); ok && s.calls[name] != nil {
		return s.calls[name].entry, nil
	}
	if e := s.world.entryByID(wire.NodeID(target)); e != nil {
		return e, nil
	}
	return nil, fmt.Errorf("entry %s does not exist", target)
}

// kill ends a process, which restarts after D, 5 s by default:
// crash entry|agent|engine TARGET [for=D].
func (s *scenario) kill(args []string) error {
	w := s.world
	d := 5 * time.Second
	if v, ok := settings(args[2:])["for"]; ok {
		d, _ = time.ParseDuration(v)
	}
	if args[0] == "entry" {
		e, err := s.findEntry(args[1])
		if err != nil {
			return err
		}
		w.disturb(e.name)
		e.kill(false)
		w.startEntryAfter(e, d)
		return nil
	}
	a, err := s.findAgent(args[1])
	if err != nil {
		return err
	}
	w.disturb(a.name)
	if args[0] == "engine" {
		a.engine.kill(d)
		return nil
	}
	a.kill(false)
	w.startAgentAfter(a, d)
	return nil
}

// pause suspends a process; for late see entryNode.pause:
// pause entry|agent TARGET DURATION [late].
func (s *scenario) pause(args []string) error {
	d, err := time.ParseDuration(args[2])
	if err != nil {
		return err
	}
	_, late := settings(args[3:])["late"]
	if args[0] == "entry" {
		e, err := s.findEntry(args[1])
		if err != nil {
			return err
		}
		s.world.disturbFor(d, e.name)
		e.pause(d, late)
		return nil
	}
	a, err := s.findAgent(args[1])
	if err != nil {
		return err
	}
	s.world.disturbFor(d, a.name)
	a.pause(d, late)
	return nil
}

// leave shuts a process down gracefully: leave entry|agent TARGET.
func (s *scenario) leave(args []string) error {
	if args[0] == "entry" {
		e, err := s.findEntry(args[1])
		if err != nil {
			return err
		}
		s.world.disturb(e.name)
		e.leave()
		return nil
	}
	a, err := s.findAgent(args[1])
	if err != nil {
		return err
	}
	s.world.disturb(a.name)
	a.leave()
	return nil
}

// hang suspends an engine, which keeps its memory: hang TARGET DURATION.
func (s *scenario) hang(args []string) error {
	a, err := s.findAgent(args[0])
	if err != nil {
		return err
	}
	d, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	w := s.world
	w.disturb(a.name)
	a.engine.model.Hang(w.clock.Now(), w.clock.Now()+d)
	a.engine.pump()
	return nil
}

// breakNode sets the fault state of the store or of all endpoints of the service:
// break store|service healthy|down|slow|mute.
func (s *scenario) breakNode(args []string) error {
	stores := map[string]storeMode{"healthy": storeHealthy, "down": storeDown, "slow": storeSlow, "mute": storeMute}
	services := map[string]serviceMode{"healthy": serviceHealthy, "down": serviceDown, "slow": serviceSlow, "mute": serviceMute}
	if args[0] == "store" {
		s.world.disturb(storeName)
		s.world.store.mode = stores[args[1]]
		return nil
	}
	for _, a := range s.world.services() {
		a.service.mode = services[args[1]]
	}
	return nil
}

// link returns the link between an agent (or @NAME) or entry and an entry (or
// @NAME), or between an entry and the store.
func (s *scenario) link(args []string) (nodePair, error) {
	if args[1] == string(storeName) {
		e, err := s.findEntry(args[0])
		if err != nil {
			return nodePair{}, err
		}
		return nodePair{e.name, storeName}, nil
	}
	e, err := s.findEntry(args[1])
	if err != nil {
		return nodePair{}, err
	}
	if other, err := s.findEntry(args[0]); err == nil && !strings.HasPrefix(args[0], "@") {
		return nodePair{other.name, e.name}, nil
	}
	a, err := s.findAgent(args[0])
	if err != nil {
		return nodePair{}, err
	}
	return nodePair{a.name, e.name}, nil
}

// cut disconnects two nodes for an hour or until heal: cut NODE NODE. A stream
// queues its messages until the link heals or the stream is closed.
func (s *scenario) cut(args []string) error {
	p, err := s.link(args)
	if err != nil {
		return err
	}
	s.world.changeLink(p, "link-cut", time.Hour, func(l *simnet.Link) { l.Cut = true })
	return nil
}

// heal restores all links.
func (s *scenario) heal([]string) error {
	s.world.healAllLinks()
	return nil
}

// hangUp makes the caller of a request hang up: hangup NAME.
func (s *scenario) hangUp(args []string) error {
	s.world.callers.abandon(s.calls[args[0]])
	return nil
}

// edit changes the weight of a plan; with race, a second operator edits before
// the first write; with until-accepted, it retries: edit [race|until-accepted].
func (s *scenario) edit(args []string) error {
	if len(args) > 0 && args[0] == "until-accepted" {
		return s.editUntilAccepted()
	}
	var race func()
	if len(args) > 0 {
		race = func() { s.world.editNow(nil) }
	}
	s.world.editNow(race)
	return s.broken()
}

// maxEdits bounds the edits tried against a store that loses answers.
const maxEdits = 200

// editUntilAccepted repeats an edit until the store has accepted one.
func (s *scenario) editUntilAccepted() error {
	before := len(s.world.audit.accepted)
	for range maxEdits {
		s.world.editNow(nil)
		if len(s.world.audit.accepted) > before {
			return s.broken()
		}
	}
	return fmt.Errorf("no edit was accepted in %d tries", maxEdits)
}

// maxScenarioWait bounds the virtual time that await waits for a state.
const maxScenarioWait = 31 * time.Minute
