package idempotency

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// FuzzDecodeRecord checks that any value of a record's key is either refused or
// survives a round trip.
func FuzzDecodeRecord(f *testing.F) {
	full := record{
		State: stateDone, Nonce: nonce{1}, BodyDigest: 7, Owner: "entry-1", Incarnation: 2, Outcome: wire.OutcomeCompleted,
		Answer: Stored{Status: 201, Headers: []wire.Header{{Name: "a", Value: "b"}}, Body: []byte("x")},
	}
	f.Add(full.encode())
	f.Add((&record{State: stateReleased}).encode())
	f.Add([]byte("not CBOR"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		first, ok := decodeRecord(raw)
		if !ok {
			return
		}
		second, ok := decodeRecord(first.encode())
		if !ok {
			t.Fatal("refused after a round trip")
		}
		if diff := cmp.Diff(first.encode(), second.encode()); diff != "" {
			t.Fatal(diff)
		}
	})
}

func TestKeysOfDifferentCallsDiffer(t *testing.T) {
	keys := []Key{
		{Account: "a", Service: "b", Key: "c"},
		{Account: "ab", Service: "", Key: "c"},
		{Account: "a", Service: "bc", Key: ""},
		{Account: "a\x00b", Service: "", Key: "c"},
	}
	seen := make(map[string]Key)
	for _, k := range keys {
		if other, ok := seen[k.StoreKey()]; ok {
			t.Fatalf("%+v and %+v share a record", k, other)
		}
		seen[k.StoreKey()] = k
	}
}
