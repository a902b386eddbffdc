// Package incarnation numbers the successive processes of one name, so that a
// message of an earlier process can be told from one of the current process.
package incarnation

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"trefoilpath.org/trefoilpath/internal/httpconn"
	"trefoilpath.org/trefoilpath/internal/sleep"
	"trefoilpath.org/trefoilpath/internal/store"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	keyPrefix   = "incarnation/"
	tryTimeout  = time.Second            // bounds one try: a read and a write of the store together
	retryDelay  = 100 * time.Millisecond // doubles with each try
	maxAttempts = 5
)

// Role separates the names of entries from those of agents.
type Role string

// The roles whose processes have incarnations.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Store is the part of the platform's store client that Next uses.
type Store interface {
	Do(ctx context.Context, op store.Op) store.Result
}

// Next returns an incarnation higher than those of earlier processes with the same
// role and name: the Unix time in milliseconds or, if higher, the number recorded
// in the store plus one. It records the result in the store. If no try succeeds, or
// ctx ends, the result is FromClock, so that a process can start during an outage.
// If the clock has then been set back, other processes take this one for an earlier
// incarnation until it restarts.
func Next(ctx context.Context, client Store, role Role, name string, log zerolog.Logger) wire.Incarnation {
	key := keyPrefix + string(role) + "/" + name
	for try := range maxAttempts {
		if n, ok := tryNext(ctx, client, key, uint64(2*try)); ok {
			return n
		}
		if !sleepJittered(ctx, retryDelay<<try) {
			break
		}
	}
	log.Warn().Str("event", "incarnation").Str("reason", "store-unavailable").Send()
	return FromClock()
}

// For calls Next with the store at storeURL. If storeURL is empty, it returns
// FromClock.
func For(ctx context.Context, storeURL string, role Role, name string, log zerolog.Logger) wire.Incarnation {
	if storeURL == "" {
		return FromClock()
	}
	hc := &http.Client{Transport: httpconn.NewStrict(http.DefaultTransport.(*http.Transport).Clone())}
	defer hc.CloseIdleConnections()
	return Next(ctx, store.NewHTTPClient(storeURL, hc), role, name, log)
}

// sleepJittered sleeps for a random time between d/2 and d. It returns false if
// ctx ends first.
func sleepJittered(ctx context.Context, d time.Duration) bool {
	return sleep.For(ctx, d/2+rand.N(d/2))
}

// FromClock returns the Unix time in milliseconds as an incarnation.
func FromClock() wire.Incarnation { return wire.Incarnation(time.Now().UnixMilli()) }

// tryNext makes one try of Next, with the operation IDs op+1 and op+2. It returns
// false if a call to the store failed, or if another process changed the value
// between the read and the write.
func tryNext(ctx context.Context, client Store, key string, op uint64) (wire.Incarnation, bool) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	got := client.Do(ctx, store.Op{ID: op + 1, Kind: store.OpGet, Key: key})
	if got.Status != store.StatusOK && got.Status != store.StatusNotFound {
		return 0, false
	}
	earlier, _ := strconv.ParseUint(string(got.Value), 10, 64) // 0 if absent or malformed: only the clock counts
	n := max(wire.Incarnation(earlier)+1, FromClock())
	put := client.Do(ctx, store.Op{
		ID:     op + 2,
		Kind:   store.OpPut,
		Key:    key,
		Value:  strconv.AppendUint(nil, uint64(n), 10),
		Expect: got.Version,
	})
	// A write whose response was lost may have taken effect. The next try reads the
	// value and returns a higher one.
	return n, put.Status == store.StatusOK
}
