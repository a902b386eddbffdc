package declaration

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/store"
)

// Update is an operator's edit of the lists, submitted to Accept.
type Update struct {
	Lists         *Lists // passed Parse
	Expect        uint64 // accepted revision that the operator edited; 0 for the first
	AboveRevision uint64 // the new revision exceeds this one too; for a store that lost revisions
	Author        string
	Nonce         uint64 // random, not 0; never used for another update
}

// Receipt is the result of Accept. Accept returns it also with an error of the
// write of the root, and then it does not mean that the update was accepted.
type Receipt struct {
	Revision     uint64
	Digest       uint64 // of the root
	Changes      []Change
	Unchanged    bool // the lists equal the accepted ones; nothing was written
	Chunks       int  // chunks written
	BytesWritten int  // chunks and root
}

// ConflictError is the error of Accept if the accepted revision is not Update.Expect.
// Nothing of the update was accepted.
type ConflictError struct {
	Expected uint64
	Current  uint64   // accepted revision
	Author   string   // of the current revision
	Changes  []Change // from the current lists to those of the update
}

// Error names both revisions and lists what the update would change now. "In
// force" means accepted here, not yet active at the entries.
func (c *ConflictError) Error() string {
	return fmt.Sprintf("revision %d is in force (by %q), but revision %d was edited; applied now the lists would change:\n%s",
		c.Current, c.Author, c.Expected, FormatChanges(c.Changes))
}

// UnknownOutcomeError is the error of Accept if the response to the write of the root was
// lost and neither a repeated write nor reading back could tell whether it took
// effect. The update may be accepted, now or later.
type UnknownOutcomeError struct {
	Revision uint64
	Nonce    uint64
	Cause    error
}

// Error says how the operator can find out whether the update was accepted. "In
// force" means accepted here, not yet active at the entries.
func (u *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("it is not known whether revision %d was accepted: %v; compare the revision in force with your lists before you apply again",
		u.Revision, u.Cause)
}

// Unwrap returns the error that left the outcome unknown.
func (u *UnknownOutcomeError) Unwrap() error { return u.Cause }

const (
	// maxAttempts bounds the attempts at one write and the retries of one read.
	maxAttempts = 8
	// firstRetryDelay is the delay after the first attempt; it doubles with each
	// further one.
	firstRetryDelay = 20 * time.Millisecond
)

// backOff waits after an attempt, for the writes also after the last one. It
// returns false if ctx ended first.
func backOff(ctx context.Context, attempt int) bool {
	timer := time.NewTimer(firstRetryDelay << attempt)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Accept writes the chunks that the store lacks and then replaces the root by
// compare-and-swap; the update is accepted once that write takes effect. If the
// response to it is lost, Accept repeats the write and, if that conflicts, reads
// back whether the first took effect. The update may have been accepted after
// *UnknownOutcomeError, but not after any other error.
func Accept(ctx context.Context, d StoreClient, u Update) (*Receipt, error) {
	if u.Nonce == 0 {
		return nil, errors.New("an update needs a nonce")
	}
	if err := Validate(u.Lists); err != nil {
		return nil, err
	}
	base, err := Fetch(ctx, d)
	if err != nil {
		return nil, err
	}
	changes := Compare(base.lists(), u.Lists)
	if current := base.Revision(); current != u.Expect {
		return nil, &ConflictError{Expected: u.Expect, Current: current, Author: base.author(), Changes: changes}
	}
	if base.State != nil && len(changes) == 0 && u.AboveRevision <= u.Expect {
		return &Receipt{Revision: u.Expect, Digest: base.State.digest, Unchanged: true}, nil
	}
	next, err := Build(u.Lists, base.State, Header{Revision: max(u.Expect, u.AboveRevision) + 1, Nonce: u.Nonce, Author: u.Author})
	if err != nil {
		return nil, err
	}
	w := &writer{client: d, base: base, next: next, update: u}
	r := &Receipt{Revision: next.root.Revision, Digest: next.digest, Changes: changes}
	if err := w.putChunks(ctx, r); err != nil {
		return nil, err
	}
	return r, w.putRoot(ctx, r)
}

func (a *Accepted) lists() *Lists {
	if a.State == nil {
		return nil
	}
	return a.State.Lists()
}

// Revision returns the number of the accepted revision, or 0 if there is none.
func (a *Accepted) Revision() uint64 {
	if a.Record == nil {
		return 0
	}
	return a.Record.Root.Revision
}

func (a *Accepted) author() string {
	if a.Record == nil {
		return ""
	}
	return a.Record.Root.Author
}

// writer writes one update to the store.
type writer struct {
	client StoreClient
	base   *Accepted // read before the update
	next   *State    // new revision
	update Update
}

func (w *writer) putChunks(ctx context.Context, r *Receipt) error {
	var have []uint64
	if w.base.State != nil {
		have = w.base.State.Digests()
	}
	for _, body := range w.next.BodiesNotIn(have) {
		if err := w.putChunk(ctx, body); err != nil {
			return err
		}
		r.Chunks++
		r.BytesWritten += len(body)
	}
	return nil
}

// putChunk writes a chunk so that its version is above that of the root that was
// read; it rewrites one that the store holds at a lower version. DeleteUnusedChunks keeps
// chunks above the root's version. It can delete them only after another update
// replaced the root, and then this update's compare-and-swap fails.
func (w *writer) putChunk(ctx context.Context, body []byte) error {
	op := store.Op{Kind: store.OpPut, Key: ChunkKey(digestOf(body)), Value: body}
	for attempt := range maxAttempts {
		res := w.client.Do(ctx, op)
		switch res.Status {
		case store.StatusOK:
			return nil
		case store.StatusConflict:
			if res.Version > w.base.Version {
				return nil // the key is the digest of the content, so the content is the same
			}
			op.Expect = res.Version
		case store.StatusInvalid:
			return errors.Errorf("the store refused a chunk of %d bytes; nothing was accepted", len(body))
		}
		if !backOff(ctx, attempt) {
			break
		}
	}
	return errors.Wrapf(ErrUnavailable, "write %s; nothing was accepted", op.Key)
}

// putRoot replaces the root. After a lost response it repeats the write with the
// same expected version, so that at most one of the writes takes effect.
func (w *writer) putRoot(ctx context.Context, r *Receipt) error {
	value := encode(w.record())
	op := store.Op{Kind: store.OpPut, Key: RootKey, Value: value, Expect: w.base.Version}
	inDoubt := false // a write had no response and may still take effect
	for attempt := range maxAttempts {
		res := w.client.Do(ctx, op)
		switch res.Status {
		case store.StatusOK:
			r.BytesWritten += len(value)
			return nil
		case store.StatusInvalid:
			return errors.Errorf("the store refused a root of %d bytes; nothing was accepted", len(value))
		case store.StatusConflict:
			if !inDoubt {
				return w.conflict(ctx)
			}
			return w.readBack(ctx, r, len(value))
		case store.StatusUnknown:
			inDoubt = true
		}
		if !backOff(ctx, attempt) {
			break
		}
	}
	if inDoubt {
		return &UnknownOutcomeError{Revision: r.Revision, Nonce: w.update.Nonce, Cause: ErrUnavailable}
	}
	return errors.Wrap(ErrUnavailable, "write the root; nothing was accepted")
}

// readBack determines by the nonce whether this update or another one took the
// revision, after a compare-and-swap failed whose earlier response was lost. The
// record lacks the nonce if too many revisions followed or its root has a lower one.
func (w *writer) readBack(ctx context.Context, r *Receipt, rootBytes int) error {
	now, err := w.readRecord(ctx)
	if err != nil {
		return &UnknownOutcomeError{Revision: r.Revision, Nonce: w.update.Nonce, Cause: err}
	}
	switch now.Record.nonceOf(r.Revision) {
	case w.update.Nonce:
		r.BytesWritten += rootBytes
		return nil
	case 0:
		return &UnknownOutcomeError{Revision: r.Revision, Nonce: w.update.Nonce, Cause: errors.New("the root record does not hold the nonce of that revision")}
	}
	return w.conflict(ctx)
}

func (w *writer) readRecord(ctx context.Context) (*Accepted, error) {
	for attempt := 0; ; attempt++ {
		now, err := fetchRecord(ctx, w.client)
		if err == nil || attempt == maxAttempts || !backOff(ctx, attempt) {
			return now, err
		}
	}
}

// conflict returns a *ConflictError with the revision that the store holds now.
func (w *writer) conflict(ctx context.Context) error {
	c := &ConflictError{Expected: w.update.Expect}
	now, err := Fetch(ctx, w.client)
	if err != nil {
		return errors.Wrap(err, "another revision was accepted first; nothing of this update was")
	}
	c.Current, c.Author = now.Revision(), now.author()
	c.Changes = Compare(now.lists(), w.update.Lists)
	return c
}

func (w *writer) record() *Record {
	r := &Record{Root: w.next.root, Nonces: []uint64{w.update.Nonce}, Revisions: []uint64{w.next.root.Revision}}
	if w.base.State == nil {
		return r
	}
	kept := min(len(w.base.Record.Nonces), maxRecordNonces-1)
	r.Nonces = append(r.Nonces, w.base.Record.Nonces[:kept]...)
	r.Revisions = append(r.Revisions, w.base.Record.revisions()[:kept]...)
	known := digestSet(w.next.Digests())
	for _, digest := range w.base.State.Digests() {
		if !known[digest] {
			known[digest] = true
			r.Dropped = append(r.Dropped, digest)
		}
	}
	if d := w.base.State.Difference(w.next); len(encode(d)) <= maxInlineDifference {
		r.Difference = d
	}
	return r
}

// revisions returns the revisions of r's nonces.
func (r *Record) revisions() []uint64 {
	if len(r.Revisions) == len(r.Nonces) {
		return r.Revisions
	}
	out := make([]uint64, len(r.Nonces))
	for i := range out {
		out[i] = r.Root.Revision - uint64(i)
	}
	return out
}

// nonceOf returns the nonce of a revision, or 0 if the record does not hold it.
func (r *Record) nonceOf(revision uint64) uint64 {
	if r == nil {
		return 0
	}
	if i := slices.Index(r.revisions(), revision); i >= 0 {
		return r.Nonces[i]
	}
	return 0
}
