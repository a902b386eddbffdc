package declaration

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/store"
)

// Bounds on decoded values, so that a peer or the store can't make a node
// allocate without limit.
const (
	maxDecodedElements = 1 << 17
	maxDecodedPairs    = 1 << 10
	maxDecodedLevels   = 16
)

var (
	encMode = mustMode(encOptions().EncMode())
	decMode = mustMode(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: maxDecodedElements,
		MaxMapPairs:      maxDecodedPairs,
		MaxNestedLevels:  maxDecodedLevels,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode())
)

// encOptions gives nil and empty lists one encoding.
func encOptions() cbor.EncOptions {
	o := cbor.CoreDetEncOptions()
	o.NilContainers = cbor.NilContainerAsEmpty
	return o
}

func mustMode[M any](mode M, err error) M {
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// encode returns the deterministic CBOR of v. It panics on an error, which the
// types of this package can't cause.
func encode(v any) []byte {
	body, err := encMode.Marshal(v)
	if err != nil {
		panic(err)
	}
	return body
}

// decode decodes body into v. Errors begin with kind, which says what body is.
func decode(body []byte, v any, kind string) error {
	if len(body) > store.MaxValueBytes {
		return errors.Errorf("%s: %d bytes are more than a store value may have", kind, len(body))
	}
	return errors.Wrap(decMode.Unmarshal(body, v), kind)
}

// digestOf returns the first eight bytes of the SHA-256 of body.
func digestOf(body []byte) uint64 {
	sum := sha256.Sum256(body)
	return binary.BigEndian.Uint64(sum[:8])
}
