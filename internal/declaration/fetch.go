package declaration

import (
	"context"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"trefoilpath.org/trefoilpath/internal/store"
)

// StoreClient executes one operation on the platform's store. It is safe for
// concurrent use.
type StoreClient interface {
	Do(ctx context.Context, op store.Op) store.Result
}

// Accepted is the revision that the store holds. State and Record are nil if
// there is none.
type Accepted struct {
	State   *State
	Record  *Record
	Version uint64 // of the root key; 0 if there is none
}

const (
	// fetchParallel is the number of chunks read at once.
	fetchParallel = 8
	// fetchAttempts bounds the attempts to read a root with its chunks. Fetch tries
	// again only if a chunk is gone, as the root was replaced and DeleteUnusedChunks deleted its
	// chunks in the meantime.
	fetchAttempts = 5
)

// ErrUnavailable is returned if the store can't be reached.
var ErrUnavailable = errors.New("the platform's store is unavailable")

// Fetch reads the accepted revision with all its chunks. The error wraps
// ErrUnavailable, or says that a chunk is missing in the store or that the stored
// revision is invalid.
func Fetch(ctx context.Context, d StoreClient) (*Accepted, error) {
	var err error
	for range fetchAttempts {
		var a *Accepted
		if a, err = fetchOnce(ctx, d); err == nil {
			return a, nil
		}
		if !errors.Is(err, errChunkGone) {
			return nil, err
		}
	}
	return nil, err
}

var errChunkGone = errors.New("a chunk of the root is not in the store")

func fetchOnce(ctx context.Context, d StoreClient) (*Accepted, error) {
	a, err := fetchRecord(ctx, d)
	if err != nil || a.Record == nil {
		return a, err
	}
	assembly, err := NewAssembly(encode(a.Record.Root), nil)
	if err != nil {
		return nil, err
	}
	bodies, err := fetchChunks(ctx, d, assembly.Missing())
	if err != nil {
		return nil, err
	}
	for _, body := range bodies {
		assembly.Add(body)
	}
	a.State, err = assembly.State()
	return a, err
}

// fetchRecord reads the root record only; it leaves Accepted.State nil.
func fetchRecord(ctx context.Context, d StoreClient) (*Accepted, error) {
	res := d.Do(ctx, store.Op{Kind: store.OpGet, Key: RootKey})
	switch res.Status {
	case store.StatusNotFound:
		return &Accepted{}, nil
	case store.StatusOK:
	default:
		return nil, errors.Wrap(ErrUnavailable, "read the root")
	}
	record, err := DecodeRecord(res.Value)
	if err != nil {
		return nil, err
	}
	return &Accepted{Record: record, Version: res.Version}, nil
}

func fetchChunks(ctx context.Context, d StoreClient, digests []uint64) ([][]byte, error) {
	bodies := make([][]byte, len(digests))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(fetchParallel)
	for i, digest := range digests {
		group.Go(func() error {
			res := d.Do(ctx, store.Op{Kind: store.OpGet, Key: ChunkKey(digest)})
			switch res.Status {
			case store.StatusOK:
				bodies[i] = res.Value
				return nil
			case store.StatusNotFound:
				return errors.Wrapf(errChunkGone, "%016x", digest)
			}
			return errors.Wrapf(ErrUnavailable, "read %s", ChunkKey(digest))
		})
	}
	return bodies, group.Wait()
}
