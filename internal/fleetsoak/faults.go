package fleetsoak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"trefoilpath.org/trefoilpath/platform/standin"
)

// settle is how long after a harm the answers of a gateway may still be cut: the
// bounds on silent connections and one attempt.
const settle = 3 * time.Second

// strike injects one fault drawn from rng, and lasts as long as the fault does.
func (s *run) strike(rng *rand.Rand) error {
	p := s.fleet.gateways[rng.IntN(len(s.fleet.gateways))]
	r := s.fleet.replicas[rng.IntN(len(s.fleet.replicas))]
	via := s.fleet.storeVia[rng.IntN(len(s.fleet.storeVia))]
	d := time.Duration(200+rng.IntN(1500)) * time.Millisecond
	kind := rng.IntN(16)
	s.note("fault kind=%d gateway=%s replica=%s for=%v", kind, p.name, r.ID, d)
	switch kind {
	case 0:
		return s.kill(p, d)
	case 1, 2:
		return s.terminate(p)
	case 3:
		return s.pause(p, d)
	case 4:
		return p.signal(syscall.SIGHUP)
	case 5:
		s.harmReplica(r, d, func() { r.via.set(0, true, false) })
	case 6:
		s.harmReplica(r, d, func() { r.via.set(0, false, true); r.via.reset() })
	case 7:
		s.harmReplica(r, d, func() { r.via.set(40*time.Millisecond, false, false) })
	case 8:
		s.harmReplica(r, 0, r.via.reset)
	case 9:
		s.harmReplica(r, 0, func() {
			r.Fail(standin.FaultClose, standin.FaultTorn, standin.FaultStray, standin.FaultUnfinished, standin.FaultExtra, standin.FaultFull)
			r.Fail(standin.FaultError, standin.FaultMisdirect, standin.FaultError, standin.FaultMisdirect)
		})
	case 10:
		s.harmStore(d)
		via.set(0, true, false)
		time.Sleep(d)
		via.set(0, false, false)
	case 11:
		s.harmStore(d)
		s.fleet.store.SetDown(true)
		time.Sleep(d)
		s.fleet.store.SetDown(false)
	case 12:
		s.harmStore(d)
		s.fleet.store.SetDeaf(true)
		s.changeConfig()
		time.Sleep(d)
		s.fleet.store.Compact()
		s.fleet.store.SetDeaf(false)
	case 13:
		s.changeConfig()
		return s.drain(r)
	case 14:
		s.failService(r.service)
	case 15:
		s.changeConfig()
	}
	return nil
}

// failService lets all replicas of a service fail many requests, each of which
// could be sent again: only the budget bounds that.
func (s *run) failService(service string) {
	for _, r := range s.fleet.replicas {
		if r.service == service {
			r.Fail(slices.Repeat([]standin.Fault{standin.FaultError}, failuresEach)...)
		}
	}
}

// failuresEach is several times what the budget allows to be repeated in a run.
const failuresEach = 600

func (s *run) kill(p *process, d time.Duration) error {
	p.life.Lock()
	defer p.life.Unlock()
	p.disturbed(d + startTimeout)
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	if _, err := p.waitExit(time.Second); err != nil {
		return err
	}
	time.Sleep(d)
	return s.restart(p)
}

func (s *run) restart(p *process) error {
	if err := p.start(); err != nil {
		return err
	}
	return p.waitReady()
}

// terminate stops a gateway gracefully: it must end within its grace, and what
// it has accepted is not cut. Callers are sent elsewhere once it isn't ready.
func (s *run) terminate(p *process) error {
	p.life.Lock()
	defer p.life.Unlock()
	began, held := time.Now(), p.paused()
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	inTime, err := p.waitExit(grace + time.Second)
	if err != nil {
		return err
	}
	if !inTime && !held && !p.paused() {
		s.violate("grace", fmt.Sprintf("%s runs %v after SIGTERM", p.name, time.Since(began)))
	}
	p.disturbed(startTimeout) // refused connections until it is back
	return s.restart(p)
}

// paused reports whether a fault has the process stopped at this moment, in which
// it can't keep to its grace.
func (p *process) paused() bool { return p.pauses.Load() > 0 }

func (s *run) pause(p *process, d time.Duration) error {
	p.disturbed(d + settle)
	p.pauses.Add(1)
	defer p.pauses.Add(-1)
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(d)
	return p.signal(syscall.SIGCONT)
}

// harmReplica harms a replica for a time; all gateways use it.
func (s *run) harmReplica(r *replica, d time.Duration, harm func()) {
	for _, p := range s.fleet.gateways {
		p.disturbed(d + settle)
	}
	harm()
	time.Sleep(d)
	r.via.set(0, false, false)
}

// harmStore notes that the store is harmed for a time: the bound on leaving
// replicas counts from when the store is stable.
func (s *run) harmStore(d time.Duration) {
	until := int64(time.Since(s.start) + d + settle)
	for old := s.storeHarmed.Load(); until > old && !s.storeHarmed.CompareAndSwap(old, until); old = s.storeHarmed.Load() {
	}
}

// drain lets a replica leave and come back. No request may reach it from two
// seconds after its word, counted generously, until it is back.
func (s *run) drain(r *replica) error {
	s.fleet.register(r, "draining")
	time.Sleep(drainBound)
	before := len(r.Runs())
	time.Sleep(500 * time.Millisecond)
	if n := len(r.Runs()) - before; n > 0 && int64(time.Since(s.start)) > s.storeHarmed.Load() {
		s.violate("drain", fmt.Sprintf("%d requests reached %s while it was leaving", n, r.ID))
	}
	s.fleet.register(r, "ready")
	return nil
}

// drainBound is when a leaving replica must be free of new requests.
const drainBound = 2 * time.Second

func (s *run) changeConfig() {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	s.fleet.configure()
}
