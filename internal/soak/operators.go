package soak

import (
	"context"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/store"
)

// operatorDoer executes an operator's store operations without virtual delay. It
// may be called from several goroutines, as long as only reads overlap.
type operatorDoer struct {
	world *World
	mu    sync.Mutex
	// beforeWrite, if not nil, runs once before the first write, to inject a
	// concurrent edit of another operator.
	beforeWrite func()
}

// Do implements declaration.StoreClient.
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
	if s.mode != storeHealthy && d.world.rnd.Float64() < lostReplyShare {
		return noAnswer(op)
	}
	return r
}

// publishLists submits the first revision of the lists.
func (w *World) publishLists() {
	w.edit(w.lists, 0, nil)
	if len(w.audit.accepted) == 0 {
		w.fail(violation{Promise: promiseConfig, Subject: "operator", Detail: "the first lists were not accepted"})
	}
}

// edit submits lists as an edit of revision expect. race, if not nil, runs before
// the first write.
func (w *World) edit(l *declaration.Lists, expect uint64, race func()) {
	nonce := w.rnd.Uint64() | 1
	update := declaration.Update{Lists: l, Expect: expect, Author: "operator", Nonce: nonce}
	r, err := declaration.Accept(cancelledContext(), &operatorDoer{world: w, beforeWrite: race}, update)
	var unknown *declaration.UnknownOutcomeError
	switch {
	case err == nil && !r.Unchanged:
		w.audit.checkAcceptedEdit(nonce, r.Revision)
	case errors.As(err, &unknown):
		w.record("operator", "edit-unsettled", "", "", int64(unknown.Revision))
	case err != nil:
		w.record("operator", "edit-failed", "", errors.Cause(err).Error(), int64(expect))
		w.audit.checkFailedEdit(nonce)
	}
}

// cancelledContext returns a cancelled context, so that an operator's client
// does not wait between tries: no real time passes in a run.
func cancelledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// editNow changes the weight of a random plan in the lists that the store holds.
func (w *World) editNow(race func()) {
	base, err := declaration.Fetch(cancelledContext(), &operatorDoer{world: w})
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

// maxPlanWeight is the highest plan weight that an edit chooses.
const maxPlanWeight = 8
