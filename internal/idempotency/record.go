package idempotency

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/fxamacker/cbor/v2"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// keyPrefix is the prefix of the store keys of all records.
const keyPrefix = "once/"

// keyHashBytes is the length of the hash in the store key of a record.
const keyHashBytes = 16

// MaxStoredBody is the largest answer body, in bytes, that a record keeps.
const MaxStoredBody = 64 << 10

// Key identifies a call that runs at most once.
type Key struct {
	Account wire.AccountID
	Service string
	Key     string // the caller's idempotency key
}

// StoreKey returns the key of the record in the store.
func (k Key) StoreKey() string {
	h := sha256.New()
	for _, part := range []string{string(k.Account), k.Service, k.Key} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	return keyPrefix + hex.EncodeToString(h.Sum(nil)[:keyHashBytes])
}

// Stored is the answer that a record keeps for repeats.
type Stored struct {
	Status  int           `cbor:"1,keyasint,omitempty"`
	Headers []wire.Header `cbor:"2,keyasint,omitempty"`
	Body    []byte        `cbor:"3,keyasint,omitempty"`
	// Omitted is set if the body was larger than MaxStoredBody and was not kept.
	Omitted bool `cbor:"4,keyasint,omitempty"`
}

type recordState uint8

const (
	stateRunning  recordState = 1
	stateDone     recordState = 2
	stateReleased recordState = 3 // proven not run: a repeat may run
)

// nonce identifies the call that created a record; calls with the same key differ
// in it.
type nonce [16]byte

// record is the value under a store key.
type record struct {
	State       recordState      `cbor:"1,keyasint"`
	Nonce       nonce            `cbor:"2,keyasint"`
	BodyDigest  uint64           `cbor:"3,keyasint"`
	Owner       wire.NodeID      `cbor:"4,keyasint,omitempty"`
	Incarnation wire.Incarnation `cbor:"5,keyasint,omitempty"`
	// RunFor is the time that the call had left when its record was written.
	// Whoever reads a running record knows that the call is over once RunFor
	// has passed since the read.
	RunFor  time.Duration `cbor:"6,keyasint,omitempty"`
	Outcome wire.Outcome  `cbor:"7,keyasint,omitempty"`
	Answer  Stored        `cbor:"8,keyasint,omitempty"`
}

func (r *record) encode() []byte {
	value, err := cbor.Marshal(r)
	if err != nil {
		panic("idempotency: encode record: " + err.Error()) // all field types are encodable
	}
	return value
}

func decodeRecord(value []byte) (*record, bool) {
	var r record
	if err := cbor.Unmarshal(value, &r); err != nil {
		return nil, false
	}
	if r.State < stateRunning || r.State > stateReleased || bytes.Equal(r.Nonce[:], make([]byte, len(r.Nonce))) {
		return nil, false
	}
	return &r, true
}
