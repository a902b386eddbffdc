package storemodel

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"trefoilpath.org/trefoilpath/internal/store"
)

func do(t *testing.T, m *Model, now time.Duration, op store.Op) store.Result {
	t.Helper()
	r, w := m.Do(now, op)
	if w != nil {
		t.Fatalf("operation %+v returned a waiting watch", op)
	}
	return r
}

func TestCompareAndSwap(t *testing.T) {
	m := New()
	put := func(expect uint64) store.Status {
		return do(t, m, 0, store.Op{Kind: store.OpPut, Key: "k", Value: []byte("v"), Expect: expect}).Status
	}
	got := []store.Status{put(1), put(0), put(0), put(1), put(1)}
	want := []store.Status{store.StatusConflict, store.StatusOK, store.StatusConflict, store.StatusOK, store.StatusConflict}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if v := do(t, m, 0, store.Op{Kind: store.OpGet, Key: "k"}).Version; v != 2 {
		t.Errorf("version %d after two writes", v)
	}
}

func TestExpiredLeaseDeletesItsKeys(t *testing.T) {
	m := New()
	lease := do(t, m, 0, store.Op{Kind: store.OpGrant, TTL: 10 * time.Second}).Lease
	do(t, m, 0, store.Op{Kind: store.OpPut, Key: "holder", Lease: lease})
	do(t, m, 9*time.Second, store.Op{Kind: store.OpRenew, Lease: lease})
	if st := do(t, m, 18*time.Second, store.Op{Kind: store.OpGet, Key: "holder"}).Status; st != store.StatusOK {
		t.Errorf("key has status %d before its lease expires", st)
	}
	if m.Next() != 19*time.Second {
		t.Errorf("next expiry at %v, want 10s after the renewal at 9s", m.Next())
	}
	if st := do(t, m, 19*time.Second, store.Op{Kind: store.OpGet, Key: "holder"}).Status; st != store.StatusNotFound {
		t.Errorf("key has status %d after its lease expired", st)
	}
	if st := do(t, m, 19*time.Second, store.Op{Kind: store.OpRenew, Lease: lease}).Status; st != store.StatusNotFound {
		t.Errorf("renewal of an expired lease has status %d", st)
	}
}

func TestWatchWaitsForChangeDeletionAndTimeout(t *testing.T) {
	m := New()
	watch := func(expect uint64) *Watch {
		t.Helper()
		_, w := m.Do(0, store.Op{ID: 7, Kind: store.OpWatch, Key: "d/", Expect: expect, TTL: time.Minute})
		if w == nil {
			t.Fatal("the watch was answered at once")
		}
		return w
	}
	changed := watch(0)
	do(t, m, 0, store.Op{Kind: store.OpPut, Key: "e/x"})
	if len(m.TakeWatches()) != 0 {
		t.Error("a change under another prefix answered the watch")
	}
	do(t, m, 0, store.Op{Kind: store.OpPut, Key: "d/x", Value: []byte("v")})
	want := store.Result{ID: 7, Status: store.StatusOK, Latest: 2, Pairs: []store.Pair{{Key: "d/x", Value: []byte("v"), Version: 2}}}
	if diff := cmp.Diff(want, changed.Result); diff != "" {
		t.Error(diff)
	}
	deleted := watch(2)
	do(t, m, 0, store.Op{Kind: store.OpDelete, Key: "d/x", Expect: 2})
	want = store.Result{ID: 7, Status: store.StatusOK, Latest: 3, Pairs: []store.Pair{{Key: "d/x", Version: 3, Deleted: true}}}
	if diff := cmp.Diff(want, deleted.Result); diff != "" {
		t.Error(diff)
	}
	expired := watch(3)
	m.Tick(time.Minute)
	if expired.Result.Status != store.StatusTimeout {
		t.Errorf("watch has status %d after its timeout", expired.Result.Status)
	}
	if n := len(m.TakeWatches()); n != 3 {
		t.Errorf("%d watches answered", n)
	}
}

// TestListAgreesWithSuccessfulWrites checks that versions never fall and that a list
// shows exactly the effects of the puts and deletes that succeeded.
func TestListAgreesWithSuccessfulWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		want := make(map[string]uint64)
		latest := uint64(0)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			key := rapid.SampledFrom([]string{"a", "a/b", "b", "c"}).Draw(t, "key")
			kind := rapid.SampledFrom([]store.OpKind{store.OpPut, store.OpDelete}).Draw(t, "kind")
			expect := want[key]
			if rapid.Bool().Draw(t, "stale") {
				expect++
			}
			r, _ := m.Do(0, store.Op{Kind: kind, Key: key, Expect: expect})
			if r.Latest < latest {
				t.Fatalf("version fell from %d to %d", latest, r.Latest)
			}
			latest = r.Latest
			switch {
			case r.Status != store.StatusOK:
			case kind == store.OpPut:
				want[key] = r.Version
			default:
				delete(want, key)
			}
		}
		r, _ := m.Do(0, store.Op{Kind: store.OpList})
		got := make(map[string]uint64)
		for _, p := range r.Pairs {
			got[p.Key] = p.Version
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatal(diff)
		}
	})
}
