package declaration

import (
	"context"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/store"
)

// DeleteUnusedChunks deletes up to limit chunks that neither the accepted revision nor the
// previous one refers to, and returns how many it deleted. It keeps chunks written
// after the accepted root, as they may belong to an update in progress.
func DeleteUnusedChunks(ctx context.Context, d StoreClient, limit int) (int, error) {
	now, err := fetchRecord(ctx, d)
	if err != nil || now.Record == nil {
		return 0, err
	}
	res := d.Do(ctx, store.Op{Kind: store.OpList, Key: ChunkPrefix})
	if res.Status != store.StatusOK {
		return 0, errors.Wrap(ErrUnavailable, "list chunks")
	}
	referenced := make(map[string]bool)
	for _, digest := range append(now.Record.Root.digests(), now.Record.Dropped...) {
		referenced[ChunkKey(digest)] = true
	}
	deleted := 0
	for _, pair := range res.Pairs {
		if referenced[pair.Key] || pair.Version >= now.Version {
			continue
		}
		if deleted == limit {
			break
		}
		res := d.Do(ctx, store.Op{Kind: store.OpDelete, Key: pair.Key, Expect: pair.Version})
		if res.Status == store.StatusOK {
			deleted++
		}
	}
	return deleted, nil
}
