// Package incarnation numbers the successive lives of a process, so that what an
// earlier life has sent can be told from what the present one sends.
package incarnation

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"trefoilpath.org/trefoilpath/internal/sleep"
	"trefoilpath.org/trefoilpath/internal/store"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	keyPrefix = "incarnation/"
	timeout   = time.Second
	pause     = 100 * time.Millisecond
	maxTries  = 5
)

// Role separates the names of entries from those of endpoints.
type Role string

// The roles that number their lives.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Store is what Take needs of the platform's store.
type Store interface {
	Do(ctx context.Context, op store.Op) store.Result
}

// Take returns a number higher than those of earlier processes with the same role
// and name. It is the time in milliseconds, raised above the number in the store
// and recorded there. While the store does not answer, the time alone serves, so
// that a process can start in an outage; then a clock that has been set back makes
// others take it for an earlier one until it restarts.
func Take(ctx context.Context, client Store, role Role, name string, log zerolog.Logger) wire.Incarnation {
	key := keyPrefix + string(role) + "/" + name
	for try := range maxTries {
		if n, ok := take(ctx, client, key, uint64(2*try)); ok {
			return n
		}
		if !wait(ctx, pause<<try) {
			break
		}
	}
	log.Warn().Str("event", "incarnation").Str("reason", "store-unavailable").Send()
	return FromClock()
}

// For is Take with the store at a URL. An empty URL stands for no store.
func For(ctx context.Context, storeURL string, role Role, name string, log zerolog.Logger) wire.Incarnation {
	if storeURL == "" {
		return FromClock()
	}
	hc := &http.Client{Transport: http.DefaultTransport.(*http.Transport).Clone()}
	defer hc.CloseIdleConnections()
	return Take(ctx, store.NewHTTPClient(storeURL, hc), role, name, log)
}

// wait pauses for about d and reports whether ctx is still alive.
func wait(ctx context.Context, d time.Duration) bool {
	return sleep.For(ctx, d/2+rand.N(d/2))
}

// FromClock returns the time in milliseconds as an incarnation.
func FromClock() wire.Incarnation { return wire.Incarnation(time.Now().UnixMilli()) }

func take(ctx context.Context, client Store, key string, op uint64) (wire.Incarnation, bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	got := client.Do(ctx, store.Op{ID: op + 1, Kind: store.OpGet, Key: key})
	if got.Status != store.StatusOK && got.Status != store.StatusNotFound {
		return 0, false
	}
	earlier, _ := strconv.ParseUint(string(got.Value), 10, 64) // absent or damaged: the clock alone
	n := max(wire.Incarnation(earlier)+1, FromClock())
	put := client.Do(ctx, store.Op{
		ID:     op + 2,
		Kind:   store.OpPut,
		Key:    key,
		Value:  strconv.AppendUint(nil, uint64(n), 10),
		Expect: got.Version,
	})
	// A write whose answer was lost may take effect; the next try reads it and
	// goes above it.
	return n, put.Status == store.StatusOK
}
