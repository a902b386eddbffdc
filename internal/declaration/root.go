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
	Nonce    uint64   `cbor:"2,keyasint"` // random, tells equal revisions of racing operators apart
	Author   string   `cbor:"3,keyasint,omitempty"`
	Shared   uint64   `cbor:"4,keyasint"` // digest of the chunk that holds all but the client accounts
	Accounts []uint64 `cbor:"5,keyasint"` // digests of the chunks of client accounts
}

// Record is the value under RootKey. Writing it by compare-and-swap is the
// acceptance of a revision.
type Record struct {
	Root Root `cbor:"1,keyasint"`
	// Difference leads here from the revision before, if it is small, so that
	// a node that holds that revision needs no chunk.
	Difference *Difference `cbor:"2,keyasint,omitempty"`
	// Dropped lists the chunks of the revision before that this one lacks.
	Dropped []uint64 `cbor:"3,keyasint,omitempty"`
	// Nonces holds those of the latest revisions, this one first, so that a
	// writer whose answer was lost finds its revision after others followed.
	Nonces []uint64 `cbor:"4,keyasint,omitempty"`
}

const (
	// maxInlineDifference is the largest encoded difference kept in a record.
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

// Bounds on the number of chunks of client accounts.
const (
	maxAccountChunks     = 1 << 12
	accountsPerChunk     = 32  // wanted on average
	fewAccountsPerChunk  = 8   // below this the count is halved
	manyAccountsPerChunk = 128 // above this the count is doubled
)

// chunkCount returns the number of chunks for that many client accounts: a
// power of two that stays as it is while chunks have a fitting size.
func chunkCount(accounts, current int) int {
	fits := current > 0 && accounts <= current*manyAccountsPerChunk &&
		(current == 1 || accounts >= current*fewAccountsPerChunk)
	if fits {
		return current
	}
	wanted := (accounts + accountsPerChunk - 1) / accountsPerChunk
	return min(ceilPower(wanted), maxAccountChunks)
}

func ceilPower(n int) int {
	if n <= 1 {
		return 1
	}
	return 1 << bits.Len(uint(n-1))
}

// chunkOf returns the index of the chunk that holds the client account.
func chunkOf(id wire.AccountID, chunks int) int {
	return int(xxhash.Sum64String(string(id)) & uint64(chunks-1))
}
