package soak

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/store"
)

// recordWrite records a write that has taken effect in the store. A write of the
// root key accepts a revision.
func (a *audit) recordWrite(op store.Op) {
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

// checkAcceptedEdit checks that an edit reported to the operator as accepted is
// in the store.
func (a *audit) checkAcceptedEdit(nonce, revision uint64) {
	for _, r := range a.accepted {
		if r.nonce == nonce && r.revision == revision {
			return
		}
	}
	a.fail(promiseRevision, "operator", "revision %d was reported as accepted but is not in the store", revision)
}

// checkFailedEdit checks that an edit reported to the operator as failed was not
// accepted.
func (a *audit) checkFailedEdit(nonce uint64) {
	for _, r := range a.accepted {
		if r.nonce == nonce {
			a.fail(promiseRevision, "operator", "revision %d was reported as failed but is accepted", r.revision)
		}
	}
}

// requiredRevision returns the highest revision accepted more than
// revisionBound ago, which must be in effect everywhere.
func (a *audit) requiredRevision() uint64 {
	var required uint64
	for _, r := range a.accepted {
		if a.world.clock.Now() > r.at+revisionBound {
			required = max(required, r.revision)
		}
	}
	return required
}

// checkEntryRevision checks that the revision that an entry puts into effect is
// not older than its last.
func (a *audit) checkEntryRevision(e *entryNode, revision uint64) {
	a.world.record(e.name, "in-force", "", "", int64(revision))
	if revision < e.revision {
		a.fail(promiseRevision, string(e.name), "goes back from revision %d to %d", e.revision, revision)
	}
	if revision > e.revision {
		e.inForceAt = a.world.clock.Now()
	}
	e.revision = revision
}

// checkAgentRevision checks that the revision that an agent reports is not older
// than its last.
func (a *audit) checkAgentRevision(n *agentNode, revision uint64) {
	if revision < n.revision {
		a.fail(promiseRevision, string(n.name), "goes back from revision %d to %d", n.revision, revision)
	}
	n.revision = revision
}

// checkConvergence checks, every second, that each process that could learn of
// the required revision has it.
func (a *audit) checkConvergence() {
	required := a.requiredRevision()
	for _, e := range a.world.entries {
		if e.ready && e.revision == 0 {
			a.fail(promiseRevision, string(e.name), "is ready without a revision")
		}
		if e.revision < required && a.world.entryUndisturbedFor(e, required) >= revisionBound {
			a.fail(promiseRevision, string(e.name), "is at revision %d, due %d", e.revision, required)
		}
	}
	for _, n := range a.world.agents {
		if n.revision < required && a.world.agentUndisturbedFor(n, required) >= revisionBound {
			a.fail(promiseRevision, string(n.name), "is at revision %d, due %d", n.revision, required)
		}
	}
	a.world.clock.After(time.Second, a.checkConvergence)
}
