package declaration

import (
	"context"
	"sort"
	"strings"
	"sync"

	"trefoilpath.org/trefoilpath/internal/store"
)

// fakeStore is a key-value store in memory. The function fault, if set, chooses
// the fault injected into an operation; before, if set, is called first.
type fakeStore struct {
	mu      sync.Mutex
	pairs   map[string]store.Pair
	version uint64
	late    []store.Op // operations that take effect after the next one
	fault   func(op store.Op) fault
	before  func(op store.Op)
}

type fault uint8

const (
	faultNone         fault = 0
	faultDown         fault = 1 // not executed; the result says so
	faultRequestLost  fault = 2 // not executed, no response
	faultResponseLost fault = 3 // executed, no response
	faultLate         fault = 4 // executed after the next operation, no response
)

func newFakeStore() *fakeStore { return &fakeStore{pairs: make(map[string]store.Pair)} }

func (f *fakeStore) Do(_ context.Context, op store.Op) store.Result {
	if f.before != nil {
		f.before(op)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	kind := faultNone
	if f.fault != nil {
		kind = f.fault(op)
	}
	due := f.late
	f.late = nil
	res := store.Result{Status: store.StatusUnknown}
	switch kind {
	case faultNone:
		res = f.execute(op)
	case faultDown:
		res = store.Result{Status: store.StatusUnavailable}
	case faultResponseLost:
		f.execute(op)
	case faultLate:
		f.late = append(f.late, op)
	}
	for _, op := range due {
		f.execute(op)
	}
	return res
}

func (f *fakeStore) execute(op store.Op) store.Result {
	was, ok := f.pairs[op.Key]
	switch op.Kind {
	case store.OpGet:
		if !ok {
			return store.Result{Status: store.StatusNotFound}
		}
		return store.Result{Status: store.StatusOK, Value: was.Value, Version: was.Version}
	case store.OpList:
		return store.Result{Status: store.StatusOK, Pairs: f.list(op.Key)}
	}
	if was.Version != op.Expect {
		return store.Result{Status: store.StatusConflict, Version: was.Version}
	}
	f.version++
	if op.Kind == store.OpDelete {
		delete(f.pairs, op.Key)
		return store.Result{Status: store.StatusOK}
	}
	f.pairs[op.Key] = store.Pair{Key: op.Key, Value: op.Value, Version: f.version}
	return store.Result{Status: store.StatusOK, Version: f.version}
}

func (f *fakeStore) list(prefix string) []store.Pair {
	var out []store.Pair
	for key, pair := range f.pairs {
		if strings.HasPrefix(key, prefix) {
			out = append(out, pair)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}
