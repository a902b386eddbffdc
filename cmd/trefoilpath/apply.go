package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/operator"
)

const (
	// deleteEvery is the number of revisions between deletions of old chunks
	// from the store; declaration.DeleteUnusedChunks says which are old.
	deleteEvery = 16
	// maxDeletedChunks is the largest number of chunks that one command deletes.
	maxDeletedChunks = 256
)

type applyFlags struct {
	dir     string
	expect  uint64
	above   uint64
	author  string
	wait    time.Duration
	store   storeFlags
	entries entryFlags
}

// registerApply adds the command that makes edited lists the next revision.
func registerApply(app *kingpin.Application) {
	f := &applyFlags{}
	cmd := app.Command("apply", "Make the lists in a directory the next revision. Exit codes: 0 accepted (with --wait: active everywhere), 1 nothing accepted, 2 mistakes in the lists, 3 another revision is in force than --expect, or the store has lost revisions, 4 not known whether accepted, 5 accepted but not active everywhere within --wait.")
	cmd.Arg("dir", "Directory with the edited lists.").Required().ExistingDirVar(&f.dir)
	cmd.Flag("expect", "Revision that was edited, as shown by get; 0 for the first.").Required().Uint64Var(&f.expect)
	cmd.Flag("above", "Also make the new revision higher than this one. For a store that was restored from a backup and has lost revisions that entries hold.").Uint64Var(&f.above)
	cmd.Flag("author", "Who makes the change; by default the value of USER.").Default(os.Getenv("USER")).StringVar(&f.author)
	cmd.Flag("wait", "Wait up to this long until the revision is active everywhere, and list the processes where it is not. Needs --entry.").DurationVar(&f.wait)
	f.store.register(cmd)
	f.entries.register(cmd, false)
	cmd.Action(func(*kingpin.ParseContext) error { return f.run() })
}

func (f *applyFlags) run() error {
	lists, err := readLists(f.dir)
	if err != nil {
		return err
	}
	entries, err := f.waitClients()
	if err != nil {
		return err
	}
	client, err := f.store.client()
	if err != nil {
		return err
	}
	if err := f.checkEntries(client, entries); err != nil {
		return err
	}
	update := declaration.Update{Lists: lists, Expect: f.expect, AboveRevision: f.above, Author: f.author, Nonce: rand.Uint64() | 1} // Accept rejects nonce 0
	receipt, err := declaration.Accept(context.Background(), client, update)
	if err != nil {
		return withApplyCode(err)
	}
	f.report(receipt)
	f.deleteUnusedChunks(client, receipt)
	return f.waitEverywhere(entries, receipt.Revision)
}

// waitClients returns clients for the entries to wait for, or none without --wait.
func (f *applyFlags) waitClients() ([]*operator.Client, error) {
	if f.wait == 0 {
		return nil, nil
	}
	if len(f.entries.urls) == 0 {
		return nil, errors.New("--wait needs --entry")
	}
	hc, err := f.store.tls.client()
	if err != nil {
		return nil, err
	}
	return f.entries.clients(hc)
}

// checkEntries returns an error if entries hold a higher revision than the store,
// --expect and --above, as after a restore from a backup: they would ignore the new
// revision as an old one.
func (f *applyFlags) checkEntries(client declaration.StoreClient, entries []*operator.Client) error {
	held := operator.HighestRevision(context.Background(), entries)
	if held <= max(f.expect, f.above) {
		return nil
	}
	accepted, err := declaration.Fetch(context.Background(), client)
	if err != nil {
		return err
	}
	stored := accepted.Revision()
	if stored >= held {
		return nil // a concurrent edit; Accept reports the conflict
	}
	err = errors.Errorf("entries hold revision %d, but the store only %d: it has lost revisions; compare the lists and apply with --above %d",
		held, stored, held)
	return codedError{err, exitConflict}
}

// withApplyCode adds the exit code of apply to an error of declaration.Accept.
func withApplyCode(err error) error {
	var conflict *declaration.ConflictError
	var unknown *declaration.UnknownOutcomeError
	switch {
	case errors.As(err, &conflict):
		return codedError{err, exitConflict}
	case errors.As(err, &unknown):
		return codedError{err, exitUnsettled}
	}
	return err
}

func (f *applyFlags) report(r *declaration.Receipt) {
	if r.Unchanged {
		fmt.Printf("event=unchanged revision=%d\n", r.Revision)
		return
	}
	fmt.Printf("event=accepted revision=%d digest=%016x author=%q changes=%d chunks=%d bytes=%d\n",
		r.Revision, r.Digest, f.author, len(r.Changes), r.Chunks, r.BytesWritten)
	fmt.Print(declaration.FormatChanges(r.Changes))
}

// deleteUnusedChunks deletes old chunks at every deleteEvery-th revision. A failure is only
// printed, because the update is already accepted.
func (f *applyFlags) deleteUnusedChunks(client declaration.StoreClient, r *declaration.Receipt) {
	if r.Unchanged || r.Revision%deleteEvery != 0 {
		return
	}
	n, err := declaration.DeleteUnusedChunks(context.Background(), client, maxDeletedChunks)
	if err != nil {
		fmt.Fprintln(os.Stderr, "old chunks were not deleted from the store:", err)
		return
	}
	fmt.Printf("event=collected chunks=%d\n", n)
}

// waitEverywhere waits until the revision is active at all entries, their peers and
// their agents or, after --wait, returns an error that lists the processes where it
// is not known to be active.
func (f *applyFlags) waitEverywhere(entries []*operator.Client, revision uint64) error {
	if f.wait == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.wait)
	defer cancel()
	lagging := operator.Wait(ctx, entries, revision)
	if len(lagging) == 0 {
		fmt.Printf("event=in-force revision=%d\n", revision)
		return nil
	}
	lines := make([]string, len(lagging))
	for i, l := range lagging {
		lines[i] = l.String()
	}
	err := errors.Errorf("revision %d is accepted, but after %v not known to be in force at:\n%s", revision, f.wait, strings.Join(lines, "\n"))
	return codedError{err, exitLagging}
}
