package soak

import (
	"math"
	"time"

	"trefoilpath.org/trefoilpath/internal/simnet"
	"trefoilpath.org/trefoilpath/internal/standin/storemodel"
	"trefoilpath.org/trefoilpath/internal/store"
)

// Times of the platform's store, as seen by its clients.
const (
	storeLatency   = time.Millisecond // one way
	storeTimeout   = 2 * time.Second  // after which a client gives up
	storeSlowDelay = 5 * time.Second
)

// storeMode is the fault state of the platform's store.
type storeMode uint8

const (
	storeHealthy storeMode = 0
	storeDown    storeMode = 1 // executes nothing
	storeSlow    storeMode = 2 // executes after the client has given up, except watches
	storeMute    storeMode = 3 // executes, but some answers are lost
)

// lostReplyShare is the probability that an answer is lost in mode storeMute,
// and for operators also in storeSlow.
const lostReplyShare = 0.5

// storeNode is the simulated store of the platform, with its faults.
type storeNode struct {
	world   *World
	model   *storemodel.Model
	mode    storeMode
	wake    *simnet.Event
	waiting map[*storemodel.Watch]*watch
}

// watch is a pending OpWatch and its client.
type watch struct {
	client simnet.Node
	reply  func(store.Result)
}

func newStoreNode(w *World) *storeNode {
	return &storeNode{world: w, model: storemodel.New(), waiting: make(map[*storemodel.Watch]*watch)}
}

// do executes an operation of an entry.
func (s *storeNode) do(e *entryNode, op store.Op) {
	incarnation := e.incarnation
	s.execute(e.name, op, func(r store.Result) {
		if e.alive() && e.incarnation == incarnation {
			e.storeResult(r)
		}
	})
}

// execute sends one operation and its result, subject to the current fault.
func (s *storeNode) execute(client simnet.Node, op store.Op, reply func(store.Result)) {
	w := s.world
	mode := s.mode
	switch {
	case !w.net.Connected(client, storeName):
		w.clock.After(storeTimeout, func() { reply(noAnswer(op)) })
	case mode == storeDown:
		w.clock.After(storeLatency, func() { reply(store.Result{ID: op.ID, Status: store.StatusUnavailable}) })
	case mode == storeSlow && op.Kind != store.OpWatch:
		w.clock.After(storeTimeout, func() { reply(noAnswer(op)) })
		w.clock.After(storeSlowDelay, func() { s.apply(client, op, func(store.Result) {}) })
	case mode == storeMute && w.rnd.Float64() < lostReplyShare:
		w.clock.After(storeTimeout, func() { reply(noAnswer(op)) })
		w.clock.After(storeLatency, func() { s.apply(client, op, func(store.Result) {}) })
	default:
		w.clock.After(storeLatency, func() {
			s.apply(client, op, func(r store.Result) {
				w.clock.After(storeLatency, func() { reply(r) })
			})
		})
	}
}

// noAnswer returns the result that a client reports for an operation without an
// answer.
func noAnswer(op store.Op) store.Result {
	if op.Writes() {
		return store.Result{ID: op.ID, Status: store.StatusUnknown}
	}
	return store.Result{ID: op.ID, Status: store.StatusUnavailable}
}

// apply executes one operation in the store. The reply to a watch may be
// deferred.
func (s *storeNode) apply(client simnet.Node, op store.Op, reply func(store.Result)) {
	r := s.doNow(op, func(w *storemodel.Watch) { s.waiting[w] = &watch{client: client, reply: reply} })
	if r != nil {
		reply(*r)
	}
}

// doNow executes one operation and returns its result. For a watch that must
// wait it calls wait and returns nil.
func (s *storeNode) doNow(op store.Op, wait func(*storemodel.Watch)) *store.Result {
	r, w := s.model.Do(s.world.clock.Now(), op)
	if w != nil {
		wait(w)
	}
	if op.Kind == store.OpPut && r.Status == store.StatusOK {
		s.world.audit.recordWrite(op)
	}
	s.pump()
	if w != nil {
		return nil
	}
	return &r
}

// pump answers completed watches and arms the timer of the store.
func (s *storeNode) pump() {
	for _, w := range s.model.TakeWatches() {
		pending := s.waiting[w]
		delete(s.waiting, w)
		if pending != nil {
			pending.reply(w.Result)
		}
	}
	s.world.clock.Stop(s.wake)
	s.wake = nil
	if next := s.model.Next(); next != math.MaxInt64 {
		s.wake = s.world.clock.At(next, func() {
			s.model.Tick(s.world.clock.Now())
			s.pump()
		})
	}
}

// drop removes the watches of a process that has ended.
func (s *storeNode) drop(client simnet.Node) {
	for w, h := range s.waiting {
		if h.client == client {
			s.model.RemoveWatch(w)
			delete(s.waiting, w)
		}
	}
}
