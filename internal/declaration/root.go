package declaration

import (
	"fmt"
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// Keys of the platform's store.
const (
	RootKey     = "declarations/root"
	ChunkPrefix = "declarations/chunk/"
)

// ChunkKey returns the store key of the chunk with the given digest.
func ChunkKey(digest uint64) string { return fmt.Sprintf("%s%016x", ChunkPrefix, digest) }

// Root names the chunks of one revision. Its digest identifies the revision's
// whole content.
type Root struct {
	Revision uint64   `cbor:"1,keyasint"`
	Nonce    uint64   `cbor:"2,keyasint"` // random; distinguishes equal revisions of concurrent operators
	Author   string   `cbor:"3,keyasint,omitempty"`
	Shared   uint64   `cbor:"4,keyasint"` // digest of the chunk that holds all but the client accounts
	Accounts []uint64 `cbor:"5,keyasint"` // digests of the chunks of client accounts
}

// Record is the value under RootKey. A revision is accepted once its record is
// written by compare-and-swap.
type Record struct {
	Root Root `cbor:"1,keyasint"`
	// Difference turns the previous revision into this one. It is nil for the first
	// revision and if its encoding exceeds maxInlineDifference. With it, a node that
	// holds the previous revision fetches no chunk.
	Difference *Difference `cbor:"2,keyasint,omitempty"`
	// Dropped lists the digests of the previous revision's chunks that this one
	// lacks.
	Dropped []uint64 `cbor:"3,keyasint,omitempty"`
	// Nonces holds the nonces of the latest revisions, newest first, so that a
	// writer whose response was lost finds its revision after others followed.
	Nonces []uint64 `cbor:"4,keyasint,omitempty"`
	// Revisions holds the revisions of Nonces. A record of an earlier build has none; its
	// revisions are taken as consecutive.
	Revisions []uint64 `cbor:"5,keyasint,omitempty"`
}

const (
	// maxInlineDifference bounds the encoded difference in a record, in bytes.
	maxInlineDifference = 64 << 10
	// maxRecordNonces is the number of revisions whose nonces a record holds.
	maxRecordNonces = 32
	// maxAuthorBytes bounds the author's name.
	maxAuthorBytes = 128
)

// DecodeRecord decodes the value under RootKey.
func DecodeRecord(value []byte) (*Record, error) {
	r := &Record{}
	if err := decode(value, r, "root record"); err != nil {
		return nil, err
	}
	if err := r.Root.check(); err != nil {
		return nil, err
	}
	return r, nil
}

// Bounds on the number of chunks of client accounts and on their mean size.
const (
	maxAccountChunks       = 1 << 12
	targetAccountsPerChunk = 32  // mean that chunkCount aims at
	minAccountsPerChunk    = 8   // below this mean the count is computed anew
	maxAccountsPerChunk    = 128 // above this mean the count is computed anew
)

// chunkCount returns the number of chunks for that many client accounts, a power
// of two. It keeps the current number, if not 0, while the mean size of a chunk is
// within bounds.
func chunkCount(accounts, current int) int {
	fits := current > 0 && accounts <= current*maxAccountsPerChunk &&
		(current == 1 || accounts >= current*minAccountsPerChunk)
	if fits {
		return current
	}
	wanted := (accounts + targetAccountsPerChunk - 1) / targetAccountsPerChunk
	return min(ceilPowerOfTwo(wanted), maxAccountChunks)
}

func ceilPowerOfTwo(n int) int {
	if n <= 1 {
		return 1
	}
	return 1 << bits.Len(uint(n-1))
}

// chunkOf returns the index of the chunk that holds the client account.
func chunkOf(id wire.AccountID, chunks int) int {
	return int(xxhash.Sum64String(string(id)) & uint64(chunks-1))
}
