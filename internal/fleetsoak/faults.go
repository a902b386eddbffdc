package fleetsoak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"trefoilpath.org/trefoilpath/platform/standin"
)

// settleTime is how long after a fault has ended a gateway may still cut off
// answers: its bounds on a silent connection and on one attempt. settle also
// gives the fleet this time to converge.
const settleTime = 3 * time.Second

// injectFault injects one fault drawn from rng and returns when it has ended. The
// run log names the fault by its number.
func (s *run) injectFault(rng *rand.Rand) error {
	p := s.fleet.gateways[rng.IntN(len(s.fleet.gateways))]
	r := s.fleet.replicas[rng.IntN(len(s.fleet.replicas))]
	storeProxy := s.fleet.storeProxies[rng.IntN(len(s.fleet.storeProxies))]
	d := time.Duration(200+rng.IntN(1500)) * time.Millisecond
	kind := rng.IntN(17)
	s.logf("fault kind=%d gateway=%s replica=%s for=%v", kind, p.name, r.ID, d)
	switch kind {
	case 0:
		return s.kill(p, d)
	case 1, 2:
		return s.terminate(p)
	case 3:
		return s.pause(p, d)
	case 4:
		return p.signal(syscall.SIGHUP)
	case 5: // responses of a replica are lost
		s.impairReplica(r, d, func() { r.proxy.set(0, true, false) })
	case 6: // a replica's connections are reset, and new ones closed at once
		s.impairReplica(r, d, func() { r.proxy.set(0, false, true); r.proxy.reset(false) })
	case 7: // a slow link to a replica
		s.impairReplica(r, d, func() { r.proxy.set(40*time.Millisecond, false, false) })
	case 8: // connections to a replica are reset or fall silent
		s.impairReplica(r, 0, func() { r.proxy.reset(d > time.Second) })
	case 9: // faulty responses of a replica
		s.impairReplica(r, 0, func() {
			r.InjectFaults(standin.FaultClose, standin.FaultTruncateStream, standin.FaultOtherResponseFirst, standin.FaultTruncateBody, standin.FaultOtherResponseAfter, standin.FaultRefuse)
			r.InjectFaults(standin.FaultError, standin.FaultMisdirect, standin.FaultError, standin.FaultMisdirect)
			r.InjectFaults(standin.FaultRefuseTwice, standin.FaultUnidentifiedBefore, standin.FaultUnsigned, standin.FaultCut, standin.FaultCutResumed)
			r.InjectFaults(standin.FaultOwnStatus, standin.FaultOwnStatus, standin.FaultOwnStatus)
			r.SetRepeats(true)
		})
	case 10: // responses of the store to one gateway are lost, and its open connections stay silent
		s.markStoreImpaired(d)
		storeProxy.reset(true)
		storeProxy.set(0, true, false)
		time.Sleep(d)
		storeProxy.set(0, false, false)
	case 11: // the store is down
		s.markStoreImpaired(d)
		s.fleet.store.SetDown(true)
		time.Sleep(d)
		s.fleet.store.SetDown(false)
	case 12: // watches miss a change and the store compacts its history
		s.markStoreImpaired(d)
		s.fleet.store.SetWatchesSilent(true)
		s.changeConfig()
		time.Sleep(d)
		s.fleet.store.Compact()
		s.fleet.store.SetWatchesSilent(false)
	case 13:
		s.changeConfig()
		return s.drain(r)
	case 14:
		s.failService(r.service)
	case 15:
		s.changeConfig()
	case 16:
		s.restoreStore(d)
	}
	return nil
}

// restoreStore takes a backup of the store, changes the configuration and all
// registrations, and after d takes the store away for a moment and restores it from the
// backup. The operator and the replicas then write again what was lost, at revisions
// below those that the gateways know.
func (s *run) restoreStore(d time.Duration) {
	s.markStoreImpaired(d + restoreOutage + rewriteDelay)
	backup := s.fleet.store.Backup()
	s.changeConfig()
	s.configMu.Lock()
	for range lostRewrites {
		s.fleet.writeAgain()
	}
	s.configMu.Unlock()
	time.Sleep(d)
	s.fleet.store.SetDown(true)
	time.Sleep(restoreOutage)
	s.fleet.store.Restore(backup)
	s.fleet.store.SetDown(false)
	time.Sleep(rewriteDelay)
	s.configMu.Lock()
	defer s.configMu.Unlock()
	s.fleet.writeAgain()
}

// restoreOutage is how long the store is away before it comes back from a backup, and
// rewriteDelay how long it takes until what was lost is written again.
const (
	restoreOutage = 200 * time.Millisecond
	rewriteDelay  = time.Second
	// lostRewrites is how often all keys are written between the backup and the restore.
	lostRewrites = 20
)

// failService makes all replicas of a service fail many requests, each of which
// may be retried, so that only the retry budget bounds the retries.
func (s *run) failService(service string) {
	for _, r := range s.fleet.replicas {
		if r.service == service {
			r.InjectFaults(slices.Repeat([]standin.Fault{standin.FaultError}, failuresPerReplica)...)
		}
	}
}

// failuresPerReplica is several times the retries that the budget allows in a
// run.
const failuresPerReplica = 600

func (s *run) kill(p *gatewayProcess, d time.Duration) error {
	p.restartMu.Lock()
	defer p.restartMu.Unlock()
	p.markDisturbed(d + startTimeout)
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	if _, err := p.waitExit(time.Second); err != nil {
		return err
	}
	time.Sleep(d)
	return s.restart(p)
}

func (s *run) restart(p *gatewayProcess) error {
	if err := p.start(); err != nil {
		return err
	}
	return p.waitReady()
}

// terminate stops a gateway gracefully and restarts it: unless suspended, it must
// exit within its grace plus 1 s. checkOutcome checks that it does not cut off
// accepted requests. Callers use others once it isn't ready.
func (s *run) terminate(p *gatewayProcess) error {
	p.restartMu.Lock()
	defer p.restartMu.Unlock()
	began, wasPaused := time.Now(), p.paused()
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	inTime, err := p.waitExit(s.opts.Grace + time.Second)
	if err != nil {
		return err
	}
	if !inTime && !wasPaused && !p.paused() {
		s.recordViolation("grace", fmt.Sprintf("%s runs %v after SIGTERM", p.name, time.Since(began)))
	}
	p.markDisturbed(startTimeout) // it refuses connections until it has restarted
	return s.restart(p)
}

// paused reports whether a fault has suspended the process, which then can't
// exit within its grace.
func (p *gatewayProcess) paused() bool { return p.pauses.Load() > 0 }

func (s *run) pause(p *gatewayProcess, d time.Duration) error {
	p.markDisturbed(d + settleTime)
	p.pauses.Add(1)
	defer p.pauses.Add(-1)
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(d)
	return p.signal(syscall.SIGCONT)
}

// impairReplica applies a fault to a replica for d. All gateways count as
// disturbed, as all use it.
func (s *run) impairReplica(r *replica, d time.Duration, impair func()) {
	for _, p := range s.fleet.gateways {
		p.markDisturbed(d + settleTime)
	}
	impair()
	time.Sleep(d)
	r.proxy.set(0, false, false)
}

// markStoreImpaired records that the store is impaired for d: drainBound holds
// only while the store is stable.
func (s *run) markStoreImpaired(d time.Duration) {
	until := int64(time.Since(s.start) + d + settleTime)
	for old := s.storeImpairedUntil.Load(); until > old && !s.storeImpairedUntil.CompareAndSwap(old, until); old = s.storeImpairedUntil.Load() {
	}
}

// drain registers a replica as draining, unless another fault drains it already, and lets an earlier registration be
// written late. It checks after drainBound that no request reaches the replica, and registers it as ready.
func (s *run) drain(r *replica) error {
	if !r.draining.CompareAndSwap(false, true) {
		return nil
	}
	defer r.draining.Store(false)
	writeLate := s.fleet.store.RegisterLate(r.ID)
	s.fleet.register(r, "draining")
	writeLate()
	time.Sleep(drainBound / 2)
	s.fleet.register(r, "draining")
	time.Sleep(drainBound / 2)
	s.checkUnused("drain", r.ID+" while it was leaving", func() int { return len(r.Runs()) })
	s.fleet.register(r, "ready")
	return nil
}

// checkUnused checks for 500 ms that no request reaches some replicas, unless the store was impaired.
func (s *run) checkUnused(promise, where string, runs func() int) {
	before := runs()
	time.Sleep(500 * time.Millisecond)
	if n := runs() - before; n > 0 && int64(time.Since(s.start)) > s.storeImpairedUntil.Load() {
		s.recordViolation(promise, fmt.Sprintf("%d requests reached %s", n, where))
	}
}

// drainBound is the time after which a draining replica gets no new requests.
const drainBound = 2 * time.Second

func (s *run) changeConfig() {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	s.fleet.configure()
}
