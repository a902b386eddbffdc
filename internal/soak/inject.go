package soak

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/simnet"
)

// Probabilities of variants of a fault.
const (
	lateShare   = 0.5 // of late in a pause; see entryNode.pause
	silentShare = 0.3 // of a killed process whose sockets are not closed
)

func (w *World) injectEngineKill() {
	n := pick(w, w.engines()).engine
	w.disturb(n.agent.name)
	n.kill(w.between(time.Second, 20*time.Second))
}

func (w *World) injectEngineHang() {
	n := pick(w, w.engines()).engine
	d := w.between(time.Second, 40*time.Second)
	w.record(n.name, "engine-hang", "", "", int64(d))
	w.disturb(n.agent.name)
	n.model.Hang(w.clock.Now(), w.clock.Now()+d)
	n.pump()
}

func (w *World) injectEngineSlow() {
	n := pick(w, w.engines()).engine
	factor := 2 + 8*w.rnd.Float64()
	w.record(n.name, "engine-slow", "", "", int64(factor))
	n.model.SlowBy(w.clock.Now(), factor)
	n.pump()
	w.clock.After(w.between(5*time.Second, time.Minute), func() { w.healEngine(n) })
}

// injectEngineLie makes an engine report a random factor times the prompt
// tokens that wait in it.
func (w *World) injectEngineLie() {
	n := pick(w, w.engines()).engine
	factors := []float64{0, 0.1, 10}
	factor := pick(w, factors)
	w.record(n.name, "engine-lie", "", "", int64(factor*10))
	n.model.Misreport(factor)
	w.clock.After(w.between(10*time.Second, time.Minute), func() { w.healEngine(n) })
}

func (w *World) injectCacheLoss() {
	n := pick(w, w.engines()).engine
	w.record(n.name, "cache-loss", "", "", 0)
	n.model.LoseCacheEvents(0.5)
	w.clock.After(w.between(10*time.Second, time.Minute), func() { w.healEngine(n) })
}

func (w *World) healEngine(n *engineNode) {
	if n.dead {
		return
	}
	n.model.SlowBy(w.clock.Now(), 1)
	n.model.Misreport(1)
	n.model.LoseCacheEvents(0)
	n.pump()
}

func (w *World) injectAgentKill() {
	a := pick(w, w.agents)
	w.disturb(a.name)
	a.kill(w.rnd.Float64() < silentShare)
	w.startAgentAfter(a, w.between(time.Second, 15*time.Second))
}

func (w *World) injectAgentPause() {
	a := pick(w, w.agents)
	d := w.between(500*time.Millisecond, 30*time.Second)
	w.disturbFor(d, a.name)
	a.pause(d, w.rnd.Float64() < lateShare)
}

func (w *World) injectAgentLeave() {
	a := pick(w, w.agents)
	w.disturb(a.name)
	a.leave()
}

func (w *World) injectEntryKill() {
	e := pick(w, w.entries)
	w.disturb(e.name)
	e.kill(w.rnd.Float64() < silentShare)
	w.startEntryAfter(e, w.between(time.Second, 15*time.Second))
}

func (w *World) injectEntryPause() {
	w.pauseEntry(pick(w, w.entries), w.between(500*time.Millisecond, 30*time.Second))
}

func (w *World) pauseEntry(e *entryNode, d time.Duration) {
	w.disturbFor(d, e.name)
	e.pause(d, w.rnd.Float64() < lateShare)
}

func (w *World) injectEntryLeave() {
	e := pick(w, w.entries)
	w.disturb(e.name)
	e.leave()
}

// injectLeasePause suspends the holder of a controller lease beyond its expiry.
// What it decided before is meant to be sent when it is no longer the holder; see
// late in entryNode.pause.
func (w *World) injectLeasePause() {
	e := w.leaseHolder()
	if e == nil || !e.running() {
		return
	}
	d := w.between(20*time.Second, 45*time.Second)
	w.disturbFor(d, e.name)
	e.pause(d, true)
}

func (w *World) injectStoreDown() { w.breakStore(storeDown, w.between(5*time.Second, 3*time.Minute)) }

func (w *World) injectStoreSlow() { w.breakStore(storeSlow, w.between(5*time.Second, time.Minute)) }

func (w *World) injectStoreMute() { w.breakStore(storeMute, w.between(5*time.Second, time.Minute)) }

func (w *World) breakStore(mode storeMode, d time.Duration) {
	w.record(storeName, "store-fault", "", "", int64(mode))
	w.disturb(storeName)
	w.store.mode = mode
	w.clock.After(d, w.healStore)
}

func (w *World) healStore() {
	w.record(storeName, "store-healthy", "", "", 0)
	w.disturb(storeName)
	w.store.mode = storeHealthy
}

func (w *World) injectLinkCut() {
	w.changeLink(w.pickLink(), "link-cut", w.between(500*time.Millisecond, 40*time.Second), func(l *simnet.Link) { l.Cut = true })
}

func (w *World) injectLinkSlow() {
	delay := w.between(50*time.Millisecond, 3*time.Second)
	w.changeLink(w.pickLink(), "link-slow", w.between(time.Second, 30*time.Second), func(l *simnet.Link) { l.Delay = delay })
}

func (w *World) injectLinkDuplicate() {
	w.changeLink(w.pickLink(), "link-duplicate", w.between(time.Second, 30*time.Second), func(l *simnet.Link) { l.Duplicate = 0.3 })
}

func (w *World) injectLinkReorder() {
	w.changeLink(w.pickLink(), "link-reorder", w.between(time.Second, 30*time.Second), func(l *simnet.Link) { l.Reorder = 0.3 })
}

// injectDomainLoss ends every VM of a failure domain at the same time.
func (w *World) injectDomainLoss() {
	domain := pick(w, w.opts.Deployment.Domains)
	d := w.between(10*time.Second, time.Minute)
	w.record(simnet.Node(domain), "domain-loss", "", "", int64(d))
	for _, e := range w.entries {
		if e.domain == domain {
			w.disturb(e.name)
			e.kill(true)
			w.startEntryAfter(e, d+w.between(0, 5*time.Second))
		}
	}
	for _, a := range w.agents {
		if a.domain != domain {
			continue
		}
		w.disturb(a.name)
		a.kill(true)
		w.startAgentAfter(a, d+w.between(0, 5*time.Second))
		if a.engine != nil {
			a.engine.kill(d)
		}
	}
}

func (w *World) injectVMListStale() {
	w.record("vm-list", "stale", "", "", 0)
	w.vms.stale = true
	w.clock.After(w.between(30*time.Second, 2*time.Minute), func() { w.vms.stale = false })
}

// injectOperatorRace makes one to three operators edit concurrently.
func (w *World) injectOperatorRace() {
	var race func()
	for range w.rnd.IntN(3) {
		inner := race
		race = func() { w.editNow(inner) }
	}
	w.editNow(race)
}

// injectCallerGone makes up to five callers hang up.
func (w *World) injectCallerGone() {
	for range 1 + w.rnd.IntN(5) {
		if open := w.callers.openCalls(); len(open) > 0 {
			w.callers.abandon(pick(w, open))
		}
	}
}

func (w *World) injectServiceDown() { w.breakService(serviceDown) }

func (w *World) injectServiceSlow() { w.breakService(serviceSlow) }

func (w *World) injectServiceMute() { w.breakService(serviceMute) }

func (w *World) breakService(mode serviceMode) {
	s := pick(w, w.services()).service
	w.record(simnet.Node(s.name), "service-fault", "", "", int64(mode))
	s.mode = mode
	w.clock.After(w.between(5*time.Second, time.Minute), func() { s.mode = serviceHealthy })
}
