package soak

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/store"
)

// written notes every write that has taken effect in the store. A new root is
// the acceptance of a revision.
func (a *audit) written(op store.Op) {
	if op.Key != declaration.RootKey {
		return
	}
	record, err := declaration.DecodeRecord(op.Value)
	if err != nil {
		a.fail(promiseRevision, "store", "a root that can't be read: %v", err)
		return
	}
	revision := record.Root.Revision
	a.world.record("operator", "accepted", "", "", int64(revision))
	if n := len(a.accepted); n > 0 && revision <= a.accepted[n-1].revision {
		a.fail(promiseRevision, "store", "revision %d is accepted after %d", revision, a.accepted[n-1].revision)
	}
	a.accepted = append(a.accepted, acceptedRevision{revision: revision, nonce: record.Root.Nonce, at: a.world.clock.Now()})
}

// edited checks that an edit that an operator believes to be accepted is.
func (a *audit) edited(nonce, revision uint64) {
	for _, r := range a.accepted {
		if r.nonce == nonce && r.revision == revision {
			return
		}
	}
	a.fail(promiseRevision, "operator", "revision %d was reported as accepted but is not in the store", revision)
}

// editFailed checks that an edit that an operator believes to have failed has
// not been accepted.
func (a *audit) editFailed(nonce uint64) {
	for _, r := range a.accepted {
		if r.nonce == nonce {
			a.fail(promiseRevision, "operator", "revision %d was reported as failed but is accepted", r.revision)
		}
	}
}

// due returns the revision that has to be in force everywhere by now.
func (a *audit) due() uint64 {
	var due uint64
	for _, r := range a.accepted {
		if a.world.clock.Now() > r.at+revisionBound {
			due = max(due, r.revision)
		}
	}
	return due
}

// snapshot checks a revision that an entry puts in force.
func (a *audit) snapshot(e *entryNode, revision uint64) {
	a.world.record(e.name, "in-force", "", "", int64(revision))
	if revision < e.revision {
		a.fail(promiseRevision, string(e.name), "goes back from revision %d to %d", e.revision, revision)
	}
	if revision > e.revision {
		e.inForceAt = a.world.clock.Now()
	}
	e.revision = revision
}

// agentRevision checks a revision that an agent reports.
func (a *audit) agentRevision(n *agentNode, revision uint64) {
	if revision < n.revision {
		a.fail(promiseRevision, string(n.name), "goes back from revision %d to %d", n.revision, revision)
	}
	n.revision = revision
}

// converged checks that every process that could learn of it has the revision
// that is due.
func (a *audit) converged() {
	due := a.due()
	for _, e := range a.world.entries {
		if e.ready && e.revision == 0 {
			a.fail(promiseRevision, string(e.name), "is ready without a revision")
		}
		if e.revision < due && a.world.entryCalmFor(e, due) >= revisionBound {
			a.fail(promiseRevision, string(e.name), "is at revision %d, due %d", e.revision, due)
		}
	}
	for _, n := range a.world.agents {
		if n.revision < due && a.world.agentCalmFor(n, due) >= revisionBound {
			a.fail(promiseRevision, string(n.name), "is at revision %d, due %d", n.revision, due)
		}
	}
	a.world.clock.After(time.Second, a.converged)
}
