package declaration

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// HashKey returns the hash under which the lists keep a caller's bearer key.
// Keys are long random strings, so that a plain SHA-256 can't be reversed by
// trying likely keys.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// MarshalText returns the hash in hexadecimal.
func (h KeyHash) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(h[:])), nil
}

// UnmarshalText parses a hash in hexadecimal.
func (h *KeyHash) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(h) || len(text)%2 != 0 {
		return errors.Errorf("want a SHA-256 as %d hexadecimal digits", hex.EncodedLen(len(h)))
	}
	if _, err := hex.Decode(h[:], text); err != nil {
		return errors.New("want a SHA-256 in hexadecimal digits")
	}
	return nil
}

// keyIndex finds the owner of a key hash. Hashes are grouped by their first
// eight bytes, which an attacker can't choose without inverting SHA-256; within
// a group all hashes are compared in constant time.
type keyIndex map[uint64][]ownedKey

type ownedKey struct {
	hash  KeyHash
	owner wire.AccountID
}

func (x keyIndex) add(h KeyHash, owner wire.AccountID) {
	group := keyGroup(h)
	x[group] = append(x[group], ownedKey{hash: h, owner: owner})
}

func (x keyIndex) find(h KeyHash) (wire.AccountID, bool) {
	var owner wire.AccountID
	found := false
	for _, k := range x[keyGroup(h)] {
		if subtle.ConstantTimeCompare(k.hash[:], h[:]) == 1 {
			owner, found = k.owner, true
		}
	}
	return owner, found
}

func keyGroup(h KeyHash) uint64 { return binary.BigEndian.Uint64(h[:8]) }
