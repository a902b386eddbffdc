package declaration

import (
	"context"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/store"
)

// Collect deletes up to most chunks that neither the accepted revision nor the
// one before it names, and returns how many it deleted. Chunks written after
// the accepted root stay, as they may belong to an update under way.
func Collect(ctx context.Context, d Doer, most int) (int, error) {
	now, err := fetchRecord(ctx, d)
	if err != nil || now.Record == nil {
		return 0, err
	}
	res := d.Do(ctx, store.Op{Kind: store.OpList, Key: ChunkPrefix})
	if res.Status != store.StatusOK {
		return 0, errors.Wrap(ErrUnavailable, "list chunks")
	}
	named := make(map[string]bool)
	for _, digest := range append(now.Record.Root.digests(), now.Record.Dropped...) {
		named[ChunkKey(digest)] = true
	}
	deleted := 0
	for _, pair := range res.Pairs {
		if named[pair.Key] || pair.Version >= now.Version {
			continue
		}
		if deleted == most {
			break
		}
		res := d.Do(ctx, store.Op{Kind: store.OpDelete, Key: pair.Key, Expect: pair.Version})
		if res.Status == store.StatusOK {
			deleted++
		}
	}
	return deleted, nil
}
