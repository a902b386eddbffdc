package declaration

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"testing"

	"pgregory.net/rapid"

	"trefoilpath.org/trefoilpath/internal/store"
)

func accept(f *fakeStore, l *Lists, expect, nonce uint64) (*Receipt, error) {
	return Accept(context.Background(), f, Update{Lists: l, Expect: expect, Author: fmt.Sprint("operator-", nonce), Nonce: nonce})
}

func mustAccept(t testing.TB, f *fakeStore, l *Lists, expect, nonce uint64) *Receipt {
	t.Helper()
	r, err := accept(f, l, expect, nonce)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func withConcurrency(t testing.TB, concurrency int64) *Lists {
	t.Helper()
	l := largeLists(t, 40)
	l.Plans.Accounts[0].Limits = &LimitOverrides{Concurrency: &concurrency}
	return l
}

func TestRaceGivesConflictWithDifference(t *testing.T) {
	f := newFakeStore()
	mustAccept(t, f, withConcurrency(t, 10), 0, 1)
	raced := false
	f.before = func(op store.Op) {
		if op.Key == RootKey && op.Kind == store.OpPut && !raced {
			raced = true
			mustAccept(t, f, withConcurrency(t, 20), 1, 2)
		}
	}
	_, err := accept(f, withConcurrency(t, 30), 1, 3)
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("got %v, want a conflict", err)
	}
	want := "~ account \"client-account-00000\": limits.concurrency: 20 -> 30\n"
	if conflict.Expected != 1 || conflict.Current != 2 || conflict.Author != "operator-2" || FormatChanges(conflict.Changes) != want {
		t.Errorf("got conflict %+v, want revision 1 expected, revision 2 by operator-2 current and the change %q", conflict, want)
	}
}

func TestUnchangedListsWriteNothing(t *testing.T) {
	f := newFakeStore()
	mustAccept(t, f, withConcurrency(t, 10), 0, 1)
	version := f.version
	r := mustAccept(t, f, withConcurrency(t, 10), 1, 2)
	if !r.Unchanged || r.Revision != 1 || f.version != version {
		t.Errorf("got receipt %+v after %d writes, want revision 1 unchanged without a write", r, f.version-version)
	}
}

func TestRevisionGoesAboveWhatEntriesHold(t *testing.T) {
	f := newFakeStore()
	mustAccept(t, f, withConcurrency(t, 10), 0, 1)
	r, err := Accept(context.Background(), f, Update{Lists: withConcurrency(t, 10), Expect: 1, AboveRevision: 40, Nonce: 2})
	if err != nil || r.Revision != 41 {
		t.Errorf("accepted %+v (%v), want revision 41", r, err)
	}
	if r := mustAccept(t, f, withConcurrency(t, 20), 41, 3); r.Revision != 42 {
		t.Errorf("accepted %+v, want revision 42", r)
	}
}

// TestLostAnswersAreSettled loses the response to a write in every way, with and
// without an update of another operator right after it, and checks that the
// result of Accept agrees with the store.
func TestLostAnswersAreSettled(t *testing.T) {
	kinds := map[string]fault{"down": faultDown, "request-lost": faultRequestLost, "response-lost": faultResponseLost, "late": faultLate}
	for name, kind := range kinds {
		for _, key := range []string{RootKey, ChunkPrefix} {
			for _, followed := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/followed=%v", name, key, followed), func(t *testing.T) {
					testLostAnswer(t, kind, key, followed)
				})
			}
		}
	}
}

func testLostAnswer(t *testing.T, kind fault, key string, followed bool) {
	f := newFakeStore()
	mustAccept(t, f, withConcurrency(t, 10), 0, 1)
	faults := 0
	f.fault = func(op store.Op) fault {
		if op.Writes() && len(op.Key) >= len(key) && op.Key[:len(key)] == key && faults == 0 {
			faults++
			return kind
		}
		return faultNone
	}
	other := false
	f.before = func(op store.Op) {
		if followed && faults == 1 && !other {
			other = true
			followUp(t, f)
		}
	}
	r, err := accept(f, withConcurrency(t, 20), 1, 3)
	f.before, f.fault = nil, nil
	checkResult(t, f, r, err)
	if faults != 1 {
		t.Errorf("%d faults were injected, want 1", faults)
	}
}

// followUp adds an account to the accepted revision as another operator. It
// retries after a conflict.
func followUp(t *testing.T, f *fakeStore) {
	for {
		now, err := Fetch(context.Background(), f)
		if err != nil {
			t.Fatal(err)
		}
		l := *now.State.Lists()
		l.Plans.Accounts = append(l.Plans.Accounts, numberedAccount(900, "shop"))
		_, err = accept(f, &l, now.State.Revision(), 2)
		var conflict *ConflictError
		if !errors.As(err, &conflict) {
			if err != nil {
				t.Fatal(err)
			}
			return
		}
	}
}

// checkResult compares the result of the update with nonce 3 with the store.
func checkResult(t *testing.T, f *fakeStore, r *Receipt, err error) {
	t.Helper()
	now, fetchErr := Fetch(context.Background(), f)
	if fetchErr != nil {
		t.Fatal(fetchErr)
	}
	accepted := now.Record.nonceOf(2) == 3
	var conflict *ConflictError
	switch {
	case err == nil && (!accepted || r.Revision != 2):
		t.Errorf("Accept reported revision %d, want 2 with nonce 3; nonces in the store are %v", r.Revision, now.Record.Nonces)
	case errors.As(err, &conflict) && accepted:
		t.Error("Accept reported a conflict, but the update was accepted")
	case err != nil && conflict == nil:
		t.Errorf("Accept failed although the store was reachable again: %v", err)
	}
}

// TestAcceptedUpdateIsFoundBehindSkippedRevisions loses the answer to an accepted update,
// which another operator follows at a revision above the next one.
func TestAcceptedUpdateIsFoundBehindSkippedRevisions(t *testing.T) {
	for _, above := range []uint64{3, 40} {
		f := newFakeStore()
		mustAccept(t, f, withConcurrency(t, 10), 0, 1)
		lost, followed := false, false
		f.fault = func(op store.Op) fault {
			if op.Key == RootKey && op.Writes() && !lost {
				lost = true
				return faultResponseLost
			}
			return faultNone
		}
		f.before = func(store.Op) {
			if lost && !followed {
				followed = true
				if _, err := Accept(context.Background(), f, Update{Lists: withConcurrency(t, 30), Expect: 2, AboveRevision: above, Nonce: 9}); err != nil {
					t.Fatal(err)
				}
			}
		}
		if r, err := accept(f, withConcurrency(t, 20), 1, 3); err != nil || r.Revision != 2 {
			t.Errorf("followed above revision %d: %+v, %v, want revision 2 accepted", above, r, err)
		}
	}
}

func TestStoreDownAfterLostAnswerLeavesOutcomeUnknown(t *testing.T) {
	f := newFakeStore()
	mustAccept(t, f, withConcurrency(t, 10), 0, 1)
	ctx, cancel := context.WithCancel(context.Background())
	lost := false
	f.fault = func(op store.Op) fault {
		if op.Key == RootKey && op.Writes() && !lost {
			lost = true
			return faultResponseLost
		}
		if lost {
			cancel() // the operator gives up
			return faultDown
		}
		return faultNone
	}
	_, err := Accept(ctx, f, Update{Lists: withConcurrency(t, 20), Expect: 1, Nonce: 2})
	var unknown *UnknownOutcomeError
	if !errors.As(err, &unknown) || unknown.Revision != 2 {
		t.Errorf("got %v, want an *UnknownOutcomeError of revision 2", err)
	}
}

// TestCollectNeverBreaksTheAcceptedRevision interleaves racing operators and
// collections at every operation but the parallel reads of chunks.
func TestCollectNeverBreaksTheAcceptedRevision(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFakeStore()
		mustAccept(t, f, withConcurrency(t, 1), 0, 1)
		nonce, depth := uint64(1), 0
		var step func()
		f.before = func(op store.Op) {
			parallel := op.Kind == store.OpGet && op.Key != RootKey
			if !parallel && depth < 2 && rapid.IntRange(0, 3).Draw(rt, "interleave") == 0 {
				depth++
				step()
				depth--
			}
		}
		step = func() {
			if rapid.Bool().Draw(rt, "collect") {
				if _, err := DeleteUnusedChunks(context.Background(), f, 3); err != nil {
					rt.Fatal(err)
				}
				return
			}
			nonce++
			now, err := fetchRecord(context.Background(), f)
			if err != nil {
				rt.Fatal(err)
			}
			limit := rapid.Int64Range(1, 3).Draw(rt, "concurrency")
			_, err = accept(f, withConcurrency(t, limit), now.Revision(), nonce)
			var conflict *ConflictError
			if err != nil && !errors.As(err, &conflict) && !errors.Is(err, errChunkGone) {
				rt.Fatal(err)
			}
		}
		for range 4 {
			step()
		}
		f.before = nil
		if _, err := Fetch(context.Background(), f); err != nil {
			rt.Fatalf("the accepted revision can't be read: %v", err)
		}
	})
}

func TestDeleteUnusedChunksDeletesOnlyOldOnes(t *testing.T) {
	f := newFakeStore()
	for revision := range uint64(5) {
		mustAccept(t, f, withConcurrency(t, int64(10+revision)), revision, revision+1)
	}
	current, err := Fetch(context.Background(), f)
	if err != nil {
		t.Fatal(err)
	}
	n, err := DeleteUnusedChunks(context.Background(), f, 100)
	if err != nil || n != 3 {
		t.Errorf("deleted %d chunks (%v), want those of revisions 1 to 3", n, err)
	}
	for _, digest := range append(current.State.Digests(), current.Record.Dropped...) {
		if _, ok := f.pairs[ChunkKey(digest)]; !ok {
			t.Errorf("chunk %x is gone", digest)
		}
	}
}

// benchmarkAccounts holds the numbers of client accounts in the benchmarks. The
// largest is that of the target deployment in internal/capacity.
var benchmarkAccounts = []int{1_000, 4_000, 8_100}

// BenchmarkAcceptOneAccount reports the writes and bytes that accepting one edited
// client account takes.
func BenchmarkAcceptOneAccount(b *testing.B) {
	for _, accounts := range benchmarkAccounts {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) { benchmarkAccept(b, accounts) })
	}
}

func benchmarkAccept(b *testing.B, accounts int) {
	f := newFakeStore()
	l := largeLists(b, accounts)
	mustAccept(b, f, l, 0, 1)
	operations, written, differenceBytes := 0, 0, 0
	f.before = func(op store.Op) {
		if op.Writes() {
			operations++
		}
	}
	revision := uint64(1)
	for b.Loop() {
		concurrency := int64(revision%1_000 + 1)
		l.Plans.Accounts[int(revision)%accounts].Limits = &LimitOverrides{Concurrency: &concurrency}
		r := mustAccept(b, f, l, revision, revision+1)
		revision = r.Revision
		written += r.BytesWritten
		record, err := DecodeRecord(f.pairs[RootKey].Value)
		if err != nil {
			b.Fatal(err)
		}
		differenceBytes += len(EncodeDifference(record.Difference))
	}
	changes := float64(revision - 1)
	b.ReportMetric(float64(written)/changes, "store-bytes/change")
	b.ReportMetric(float64(operations)/changes, "store-writes/change")
	b.ReportMetric(float64(differenceBytes)/changes, "difference-bytes/change")
	b.ReportMetric(float64(len(f.pairs[RootKey].Value)), "root-bytes")
}

// BenchmarkHeldBytes reports the heap bytes of a revision with its snapshot, and
// those of each further revision kept.
func BenchmarkHeldBytes(b *testing.B) {
	for _, accounts := range benchmarkAccounts {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			l := largeLists(b, accounts)
			var first, further float64
			for b.Loop() {
				before := heapBytes()
				s := mustBuild(b, l, nil, 1)
				snap := s.Snapshot()
				first = heapBytes() - before
				states := furtherRevisions(b, l, s)
				further = (heapBytes() - before - first) / float64(len(states))
				runtime.KeepAlive(snap)
				runtime.KeepAlive(states)
			}
			b.ReportMetric(first, "bytes/revision")
			b.ReportMetric(further, "bytes/further-revision")
		})
	}
}

// furtherRevisions applies the differences of some edits, as a node does.
func furtherRevisions(b *testing.B, l *Lists, s *State) []*State {
	var states []*State
	for i := range 32 {
		concurrency := int64(i + 1)
		l.Plans.Accounts[i].Limits = &LimitOverrides{Concurrency: &concurrency}
		next, err := s.Apply(s.Difference(mustBuild(b, l, s, uint64(i+2))))
		if err != nil {
			b.Fatal(err)
		}
		states = append(states, next)
		s = next
	}
	return states
}

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkApplyDifference measures the time to apply an edit of one client
// account, without and with resolving the snapshot.
func BenchmarkApplyDifference(b *testing.B) {
	for _, accounts := range benchmarkAccounts {
		l := largeLists(b, accounts)
		old := mustBuild(b, l, nil, 1)
		concurrency := int64(5)
		l.Plans.Accounts[7].Limits = &LimitOverrides{Concurrency: &concurrency}
		d := old.Difference(mustBuild(b, l, old, 2))
		for _, resolve := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/resolve=%v", accounts, resolve), func(b *testing.B) {
				for b.Loop() {
					s, err := old.Apply(d)
					if err != nil {
						b.Fatal(err)
					}
					if resolve {
						s.Snapshot()
					}
				}
			})
		}
	}
}
