package declaration

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"trefoilpath.org/trefoilpath/internal/store"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// largeLists returns the example lists with the given number of client accounts.
func largeLists(t testing.TB, accounts int) *Lists {
	t.Helper()
	l := exampleLists(t)
	l.Plans.Accounts = nil
	for i := range accounts {
		l.Plans.Accounts = append(l.Plans.Accounts, numberedAccount(i, "shop"))
	}
	return l
}

func numberedAccount(i int, plan string) ClientAccount {
	id := fmt.Sprintf("client-account-%05d", i)
	return ClientAccount{ID: wire.AccountID(id), Plan: plan, KeySHA256: []KeyHash{HashKey(id)}}
}

func mustBuild(t testing.TB, l *Lists, base *State, revision uint64) *State {
	t.Helper()
	s, err := Build(l, base, Header{Revision: revision, Nonce: revision * 7, Author: "ana"})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestDifferenceAndChunksGiveTheSameState(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.SampledFrom([]int{1, 30, 300}).Draw(rt, "accounts")
		l := largeLists(t, count)
		old := mustBuild(t, l, nil, 1)
		editLists(rt, l, count)
		if err := Validate(l); err != nil {
			rt.Fatalf("edited lists are invalid: %v", err)
		}
		built := mustBuild(t, l, old, 2)

		d, err := DecodeDifference(EncodeDifference(old.Difference(built)))
		if err != nil {
			rt.Fatal(err)
		}
		applied, err := old.Apply(d)
		if err != nil {
			rt.Fatal(err)
		}
		a, err := NewAssembly(built.EncodedRoot(), old)
		if err != nil {
			rt.Fatal(err)
		}
		for _, body := range built.BodiesNotIn(old.Digests()) {
			a.Add(body)
		}
		assembled, err := a.State()
		if err != nil {
			rt.Fatal(err)
		}
		for _, s := range []*State{applied, assembled} {
			if s.Digest() != built.Digest() {
				rt.Fatalf("digest %x, want %x", s.Digest(), built.Digest())
			}
			if changes := Compare(l, s.Lists()); len(changes) > 0 {
				rt.Fatalf("lists differ: %s", FormatChanges(changes))
			}
		}
	})
}

func editLists(rt *rapid.T, l *Lists, count int) {
	for edit := range rapid.IntRange(0, 5).Draw(rt, "edits") {
		switch rapid.IntRange(0, 5).Draw(rt, "edit") {
		case 0:
			i := rapid.IntRange(0, len(l.Plans.Accounts)-1).Draw(rt, "edited")
			weight := rapid.Float64Range(1, 9).Draw(rt, "weight")
			l.Plans.Accounts[i].Limits = &LimitOverrides{Weight: &weight}
		case 1:
			l.Plans.Accounts = append(l.Plans.Accounts, numberedAccount(count+edit, "dossier"))
		case 2:
			if len(l.Plans.Accounts) > 1 {
				l.Plans.Accounts = l.Plans.Accounts[1:]
			}
		case 3:
			l.Plans.Plans[0].Weight = rapid.Float64Range(1, 9).Draw(rt, "plan weight")
		case 4:
			l.Entitlements.Models[0].Adapters = append(l.Entitlements.Models[0].Adapters, fmt.Sprint("a", len(l.Entitlements.Models[0].Adapters)))
		case 5:
			l.Plans.Accounts = l.Plans.Accounts[:max(1, len(l.Plans.Accounts)/20)]
		}
	}
}

func TestApplyRefusesOtherContent(t *testing.T) {
	l := largeLists(t, 100)
	one := mustBuild(t, l, nil, 1)
	l.Plans.Accounts[3].Plan = "dossier"
	two := mustBuild(t, l, one, 2)
	d := one.Difference(two)
	if _, err := two.Apply(d); err == nil {
		t.Error("a difference was applied to another revision")
	}
	d.Accounts.Put[0].Plan = "franchise"
	if _, err := one.Apply(d); err == nil {
		t.Error("a difference with another content was applied")
	}
}

func TestAssembleRefusesMissingAndForeignChunks(t *testing.T) {
	s := mustBuild(t, largeLists(t, 100), nil, 1)
	all := s.BodiesNotIn(nil)
	if _, err := Assemble(s.EncodedRoot(), all[1:]); err == nil {
		t.Error("a state was built without the shared chunk")
	}
	changed := append([]byte(nil), all[1]...)
	changed[len(changed)-1] ^= 1
	if _, err := Assemble(s.EncodedRoot(), append([][]byte{all[0], changed}, all[2:]...)); err == nil {
		t.Error("a state was built from a changed chunk")
	}
}

// Bounds well below store.MaxValueBytes, as the accounts of the test have short
// names and no limits of their own.
const (
	largestChunkBytes = store.MaxValueBytes / 8
	largestRootBytes  = 64 << 10
)

func TestLargestListsFitTheStore(t *testing.T) {
	l := largeLists(t, MaxAccounts)
	for i := range l.Plans.Accounts {
		a := &l.Plans.Accounts[i]
		for k := range MaxKeysPerAccount - 1 {
			a.KeySHA256 = append(a.KeySHA256, HashKey(fmt.Sprint(i, " ", k)))
		}
	}
	s := mustBuild(t, l, nil, 1)
	for digest, body := range s.Bodies() {
		if len(body) > largestChunkBytes {
			t.Errorf("chunk %x takes %d bytes, want at most %d", digest, len(body), largestChunkBytes)
		}
	}
	if n := len(s.EncodedRoot()); n > largestRootBytes {
		t.Errorf("root takes %d bytes, want at most %d", n, largestRootBytes)
	}
	again, err := Assemble(s.EncodedRoot(), s.BodiesNotIn(nil))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(s.Digest(), again.Digest()); diff != "" {
		t.Error(diff)
	}
}

// FuzzDifference checks that no bytes make Apply panic or give another digest
// than the one that the difference names.
func FuzzDifference(f *testing.F) {
	l := largeLists(f, 40)
	one := mustBuild(f, l, nil, 1)
	l.Plans.Accounts[3].Plan = "dossier"
	l.Plans.Plans[0].Weight = 3
	f.Add(EncodeDifference(one.Difference(mustBuild(f, l, one, 2))))
	f.Fuzz(func(t *testing.T, body []byte) {
		d, err := DecodeDifference(body)
		if err != nil {
			return
		}
		if s, err := one.Apply(d); err == nil && s.Digest() != d.ToDigest {
			t.Errorf("digest %x, want %x as the difference names", s.Digest(), d.ToDigest)
		}
	})
}

// FuzzAssemble checks that no root and chunk make Assemble panic, and that the
// digest of a state is the first eight bytes of its root's SHA-256. keyGroup gives
// these independently of digestOf, which Assemble uses.
func FuzzAssemble(f *testing.F) {
	s := mustBuild(f, largeLists(f, 5), nil, 1)
	chunks := s.BodiesNotIn(nil)
	f.Add(s.EncodedRoot(), chunks[0], chunks[1])
	f.Fuzz(func(t *testing.T, root, a, b []byte) {
		s, err := Assemble(root, [][]byte{a, b})
		if err == nil && keyGroup(HashKey(string(root))) != s.Digest() {
			t.Errorf("digest %x is not that of the root", s.Digest())
		}
	})
}
