package soak

import (
	"context"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/store"
)

// operatorDoer executes an operator's operations on the store at once. It may
// be called from several goroutines, as long as only reads overlap.
type operatorDoer struct {
	world *World
	mu    sync.Mutex
	// beforeWrite is called before the first write, so that another operator
	// can get in between.
	beforeWrite func()
}

// Do implements declaration.Doer.
func (d *operatorDoer) Do(_ context.Context, op store.Op) store.Result {
	d.mu.Lock()
	defer d.mu.Unlock()
	if op.Writes() && d.beforeWrite != nil {
		race := d.beforeWrite
		d.beforeWrite = nil
		race()
	}
	s := d.world.store
	if s.mode == storeDown {
		return store.Result{ID: op.ID, Status: store.StatusUnavailable}
	}
	r := *s.doNow(op, nil)
	if !op.Writes() {
		return r
	}
	if s.mode != storeHealthy && d.world.rnd.Float64() < muteShare {
		return noAnswer(op)
	}
	return r
}

// publish accepts the first revision of the lists.
func (w *World) publish() {
	w.edit(w.lists, 0, nil)
	if len(w.audit.accepted) == 0 {
		w.fail(violation{Promise: promiseConfig, Subject: "operator", Detail: "the first lists were not accepted"})
	}
}

// edit submits lists as an operator who has edited the given revision.
func (w *World) edit(l *declaration.Lists, expect uint64, race func()) {
	nonce := w.rnd.Uint64() | 1
	update := declaration.Update{Lists: l, Expect: expect, Author: "operator", Nonce: nonce}
	r, err := declaration.Accept(impatient(), &operatorDoer{world: w, beforeWrite: race}, update)
	var unsettled *declaration.Unsettled
	switch {
	case err == nil && !r.Unchanged:
		w.audit.edited(nonce, r.Revision)
	case errors.As(err, &unsettled):
		w.record("operator", "edit-unsettled", "", "", int64(unsettled.Revision))
	case err != nil:
		w.record("operator", "edit-failed", "", errors.Cause(err).Error(), int64(expect))
		w.audit.editFailed(nonce)
	}
}

// impatient is the context of an operator who does not wait between tries, as
// no real time passes in a run.
func impatient() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// editNow changes the weight of one plan, starting from what the store holds.
func (w *World) editNow(race func()) {
	base, err := declaration.Fetch(impatient(), &operatorDoer{world: w})
	if err != nil || base.State == nil {
		w.record("operator", "edit-failed", "", "the store can't be read", 0)
		return
	}
	lists := *base.State.Lists()
	lists.Plans.Plans = slices.Clone(lists.Plans.Plans)
	plan := &lists.Plans.Plans[w.rnd.IntN(len(lists.Plans.Plans))]
	plan.Weight = float64(1 + w.rnd.IntN(maxPlanWeight))
	w.edit(&lists, base.State.Revision(), race)
}

// maxPlanWeight bounds the weights that operators choose.
const maxPlanWeight = 8
