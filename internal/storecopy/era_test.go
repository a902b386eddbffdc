package storecopy

import (
	"cmp"
	"fmt"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoilpath.org/trefoilpath/internal/store"
)

// numbered returns a pair whose value is a number, by which compareNumbers orders it.
func numbered(key string, version, number uint64) store.Pair {
	return store.Pair{Key: key, Version: version, Value: []byte(strconv.FormatUint(number, 10))}
}

func number(value []byte) int {
	n, _ := strconv.Atoi(string(value)) // test values are numbers
	return n
}

func compareNumbers(a, b []byte) int { return cmp.Compare(number(a), number(b)) }

// values returns the keys with their values, in order.
func values(c *Copy) string {
	out := ""
	for _, p := range c.Listing().Pairs {
		out += p.Key + string(p.Value) + " "
	}
	return out
}

func wantValues(t *testing.T, c *Copy, when, want string) {
	t.Helper()
	if got := values(c); got != want {
		t.Errorf("%s: %q, want %q", when, got, want)
	}
}

// TestLaterValuesStayInANewEra checks that a value is not left for an earlier one that
// the store has after a restore, until the key is written in the new era.
func TestLaterValuesStayInANewEra(t *testing.T) {
	c := NewCopy(Policy{Compare: compareNumbers})
	c.ApplyListing(0, Listing{Era: 1, Revision: 50, Pairs: []store.Pair{numbered("a", 50, 2), numbered("b", 20, 7)}})
	restored := Listing{Era: 2, Revision: 40, Pairs: []store.Pair{numbered("a", 30, 1), numbered("b", 20, 7)}}
	c.ApplyListing(0, restored)
	wantValues(t, c, "after the restore", "a2 b7 ")
	c.ApplyListing(time.Minute, restored)
	wantValues(t, c, "listed again", "a2 b7 ")
	c.ApplyChanges(time.Minute, []store.Pair{numbered("a", 41, 1)}, 41)
	wantValues(t, c, "written in the new era", "a1 b7 ")
	if c.Version().Stale != 0 || c.Version().Era != 2 || c.Version().Revision != 41 {
		t.Errorf("version %+v, want revision 41 of era 2 without stale keys", c.Version())
	}
}

// TestContentVersionsNeverGoBack checks that values that state their version are not
// left for earlier ones by a restore, a later write or a deletion, and that a later one
// is taken at whatever revision it comes.
func TestContentVersionsNeverGoBack(t *testing.T) {
	for name, restored := range map[string][]store.Pair{"earlier value": {numbered("c", 30, 11)}, "missing": nil} {
		t.Run(name, func(t *testing.T) {
			c := NewCopy(Policy{Compare: compareNumbers, ContentVersions: true})
			c.ApplyListing(0, Listing{Era: 1, Revision: 50, Pairs: []store.Pair{numbered("c", 50, 12)}})
			c.ApplyListing(0, Listing{Era: 2, Revision: 40, Pairs: restored})
			c.Expire(time.Hour)
			wantValues(t, c, "after the restore", "c12 ")
			c.ApplyChanges(0, []store.Pair{numbered("c", 42, 10)}, 42)
			wantValues(t, c, "an earlier version is written", "c12 ")
			fresh := NewCopy(c.policy)
			fresh.ApplyPeer(0, c.Shared())
			wantValues(t, fresh, "fetched by a new process", "c12 ")
			c.ApplyChanges(0, []store.Pair{numbered("c", 43, 13)}, 43)
			wantValues(t, c, "a later version is written", "c13 ")
		})
	}
}

// TestDeletedKeysStayDeletedInANewEra checks that a key whose deletion a restore has
// undone stays deleted until its owner shows up: by a write in the new era, a later
// value, or a listing that outlasts the lease of an owner that is gone.
func TestDeletedKeysStayDeletedInANewEra(t *testing.T) {
	restored := Listing{Era: 2, Revision: 40, Pairs: []store.Pair{numbered("a", 30, 1)}}
	resurrected := func() *Copy {
		c := NewCopy(Policy{Compare: compareNumbers})
		c.ApplyListing(0, Listing{Era: 1, Revision: 45, Pairs: []store.Pair{numbered("a", 30, 1)}})
		c.ApplyChanges(0, []store.Pair{{Key: "a", Version: 50, Deleted: true}}, 50)
		c.ApplyListing(0, restored)
		c.ApplyListing(5*time.Second, restored)
		return c
	}
	wantValues(t, resurrected(), "listed by the restored store", "")

	c := resurrected()
	c.ApplyChanges(0, []store.Pair{numbered("a", 41, 1)}, 41)
	wantValues(t, c, "written in the new era", "a1 ")

	c = resurrected()
	c.ApplyListing(staleConfirmation, restored)
	wantValues(t, c, "listed for longer than a lease", "a1 ")

	c = resurrected()
	c.StoreLost()
	c.StoreAnswered(6 * time.Second)
	c.ApplyListing(staleConfirmation, restored)
	wantValues(t, c, "listed for longer than a lease, with an outage between", "")

	c = NewCopy(Policy{Compare: compareNumbers})
	c.ApplyListing(0, Listing{Era: 1, Revision: 45, Pairs: []store.Pair{numbered("a", 30, 1)}})
	c.ApplyChanges(0, []store.Pair{{Key: "a", Version: 50, Deleted: true}}, 50)
	c.ApplyListing(0, Listing{Era: 2, Revision: 45, Pairs: []store.Pair{numbered("a", 44, 2)}})
	wantValues(t, c, "restarted between the restore and the first listing", "a2 ")
}

// TestDeletionsReachNewProcessesInANewEra checks that a process that starts after a
// restore learns from a peer which keys are deleted although the store lists them.
func TestDeletionsReachNewProcessesInANewEra(t *testing.T) {
	old := NewCopy(Policy{Compare: compareNumbers})
	old.ApplyListing(0, Listing{Era: 1, Revision: 45, Pairs: []store.Pair{numbered("a", 30, 1), numbered("b", 31, 2)}})
	old.ApplyChanges(0, []store.Pair{{Key: "a", Version: 50, Deleted: true}, numbered("b", 51, 3)}, 51)
	restored := Listing{Era: 2, Revision: 40, Pairs: []store.Pair{numbered("a", 30, 1), numbered("b", 31, 2)}}
	old.ApplyListing(0, restored)
	fresh := NewCopy(old.policy)
	fresh.ApplyListing(0, restored)
	if !fresh.Version().Behind(old.Version()) {
		t.Fatal("a copy that lacks the stale keys of a peer does not count as behind")
	}
	fresh.ApplyPeer(0, old.SharedSince(fresh.Version()))
	wantValues(t, fresh, "after fetching from the peer", "b3 ")
	if fresh.Version() != old.Version() {
		t.Errorf("versions %+v and %+v differ", fresh.Version(), old.Version())
	}
	fresh.ApplyListing(0, restored)
	wantValues(t, fresh, "listed again", "b3 ")
}

// TestMissingKeysGetTheGracePeriodInANewEra checks that keys that the store lost in a
// restore are kept for ReturnGrace, and dropped if they are not written again.
func TestMissingKeysGetTheGracePeriodInANewEra(t *testing.T) {
	c := NewCopy(Policy{Compare: compareNumbers})
	c.ApplyListing(0, Listing{Era: 1, Revision: 50, Pairs: []store.Pair{numbered("a", 50, 1), numbered("b", 49, 2)}})
	c.ApplyListing(time.Second, Listing{Era: 2, Revision: 40})
	wantValues(t, c, "after the restore", "a1 b2 ")
	c.ApplyChanges(2*time.Second, []store.Pair{numbered("a", 41, 1)}, 41)
	c.Expire(time.Second + ReturnGrace)
	wantValues(t, c, "after the grace period", "a1 ")
}

// TestCopiesOfDifferentErasDoNotSetEachOtherBack checks that a copy of the new era and
// one of a process that is cut off from the store agree as soon as they reach each other.
func TestCopiesOfDifferentErasDoNotSetEachOtherBack(t *testing.T) {
	for _, versioned := range []bool{true, false} {
		policy := Policy{Compare: compareNumbers, ContentVersions: versioned}
		before := Listing{Era: 1, Revision: 50, Pairs: []store.Pair{numbered("c", 48, 11)}}
		cut, online := NewCopy(policy), NewCopy(policy)
		cut.ApplyListing(0, before)
		online.ApplyListing(0, before)
		cut.ApplyChanges(0, []store.Pair{numbered("c", 60, 12)}, 60) // before the restore, at this process only
		online.ApplyListing(0, Listing{Era: 2, Revision: 40, Pairs: []store.Pair{numbered("c", 30, 10)}})
		if !cut.Version().Behind(online.Version()) || online.Version().Behind(cut.Version()) {
			t.Error("the earlier era does not count as behind the later one")
		}
		online.ApplyPeer(0, cut.Shared())
		want := map[bool]string{true: "c12 ", false: "c11 "}[versioned]
		wantValues(t, online, "after the listing of the earlier era", want)
		cut.ApplyPeer(0, online.SharedSince(cut.Version()))
		online.ApplyPeer(0, cut.SharedSince(online.Version()))
		if values(cut) != values(online) || cut.Version() != online.Version() {
			t.Errorf("copies %q at %+v and %q at %+v", values(cut), cut.Version(), values(online), online.Version())
		}
		wantValues(t, cut, "after both have reached each other", "c12 ")
	}
}

// TestVersionsWithoutAnEraStayComparable checks that copies of processes of earlier
// builds, which know no eras, neither set back nor stop one that does.
func TestVersionsWithoutAnEraStayComparable(t *testing.T) {
	c := NewCopy(Policy{Compare: compareNumbers})
	c.ApplyListing(0, Listing{Revision: 50, Pairs: []store.Pair{numbered("a", 50, 1)}})
	if !(Version{}).Behind(c.Version()) {
		t.Error("an empty copy is not behind one without an era")
	}
	c.ApplyListing(0, Listing{Era: 1, Revision: 60, Pairs: []store.Pair{numbered("a", 50, 1)}})
	wantValues(t, c, "the store begins to state its era", "a1 ")
	c.ApplyPeer(0, Listing{Revision: 90, Pairs: []store.Pair{numbered("b", 80, 1)}})
	wantValues(t, c, "listing without an era", "a1 ")
}

// restorableStore models a store that is restored from backups.
type restorableStore struct {
	era, revision uint64
	pairs         map[string]store.Pair
}

func (s *restorableStore) write(p store.Pair) {
	s.revision++
	p.Version = s.revision
	s.pairs[p.Key] = p
}

func (s *restorableStore) backup() restorableStore {
	b := *s
	b.pairs = make(map[string]store.Pair)
	for key, p := range s.pairs {
		b.pairs[key] = p
	}
	return b
}

func (s *restorableStore) listing() Listing {
	l := Listing{Era: s.era, Revision: s.revision}
	for _, p := range s.pairs {
		l.Pairs = append(l.Pairs, p)
	}
	return l
}

// TestCopiesConvergeOverRestores plays writes, deletions and restores, delivered to
// three copies by listings and by each other in any order. No copy of versioned values
// goes back, and once all owners have written again all copies equal the store.
func TestCopiesConvergeOverRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versioned := rapid.Bool().Draw(t, "versioned")
		policy := Policy{Compare: compareNumbers, ContentVersions: versioned}
		copies := []*Copy{NewCopy(policy), NewCopy(policy), NewCopy(policy)}
		s := restorableStore{era: 1, revision: 100, pairs: make(map[string]store.Pair)}
		backup := s.backup()
		newest := make(map[string]uint64)
		write := func(key string) {
			newest[key]++
			s.write(numbered(key, 0, newest[key]))
		}
		now := time.Duration(0)
		sync := func(c *Copy, peer int) {
			before := number(c.pairs["a"].Value)
			if peer < 0 {
				c.ApplyListing(now, s.listing())
			} else if l := copies[peer].SharedSince(c.Version()); copies[peer].Version().Revision > 0 {
				if _, equal := c.ApplyPeer(now, l); !equal {
					c.ApplyPeer(now, copies[peer].Shared())
				}
			}
			if n := number(c.pairs["a"].Value); versioned && n < before {
				t.Fatalf("value %d after %d", n, before)
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += 100 * time.Millisecond
			key := string(rune('a' + rapid.IntRange(0, 2).Draw(t, "key")))
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				write(key)
			case 1:
				if !versioned {
					s.revision++
					delete(s.pairs, key)
				}
			case 2:
				backup = s.backup()
			case 3:
				era := s.era
				s = backup.backup()
				s.era = era + 1
			default:
				sync(copies[rapid.IntRange(0, 2).Draw(t, "copy")], rapid.IntRange(-1, 2).Draw(t, "from"))
			}
		}
		for _, c := range copies {
			sync(c, -1)
		}
		for key := range newest {
			write(key)
		}
		for _, c := range copies {
			sync(c, -1)
		}
		for i, c := range copies {
			for j := range copies {
				sync(c, j)
			}
			if got, want := values(c), fmt.Sprint(sorted(s)); got != want {
				t.Fatalf("copy %d: %q, store %q", i, got, want)
			}
		}
	})
}

// sorted returns the store's keys and values like values.
func sorted(s restorableStore) string {
	c := NewCopy(Policy{})
	c.ApplyListing(0, s.listing())
	return values(c)
}
