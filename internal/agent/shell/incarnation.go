package shell

import (
	"context"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"trefoilpath.org/trefoilpath/internal/store"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	incarnationPrefix  = "incarnation/agent/"
	incarnationTimeout = time.Second
	incarnationPause   = 100 * time.Millisecond
	incarnationTries   = 5
)

// storeClient is what TakeIncarnation needs of the platform's store.
type storeClient interface {
	Do(ctx context.Context, op store.Op) store.Result
}

// TakeIncarnation returns a number higher than those of the endpoint's earlier
// agents. It is the time in milliseconds, raised above the number in the store
// and recorded there. While the store does not answer, the time alone serves, so
// that an agent can start in an outage; then a clock that has been set back makes
// entries and engines take the agent for an earlier one until it restarts.
func TakeIncarnation(ctx context.Context, client storeClient, id wire.EndpointID, log zerolog.Logger) wire.Incarnation {
	key := incarnationPrefix + string(id)
	for try := range incarnationTries {
		if n, ok := tryIncarnation(ctx, client, key, uint64(2*try)); ok {
			return n
		}
		if !sleep(ctx, jittered(incarnationPause<<try)) {
			break
		}
	}
	log.Warn().Str("event", "incarnation").Str("reason", "store-unavailable").Send()
	return fromClock()
}

func fromClock() wire.Incarnation { return wire.Incarnation(time.Now().UnixMilli()) }

func tryIncarnation(ctx context.Context, client storeClient, key string, op uint64) (wire.Incarnation, bool) {
	ctx, cancel := context.WithTimeout(ctx, incarnationTimeout)
	defer cancel()
	got := client.Do(ctx, store.Op{ID: op + 1, Kind: store.OpGet, Key: key})
	if got.Status != store.StatusOK && got.Status != store.StatusNotFound {
		return 0, false
	}
	earlier, _ := strconv.ParseUint(string(got.Value), 10, 64) // absent or damaged: the clock alone
	n := max(wire.Incarnation(earlier)+1, fromClock())
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
