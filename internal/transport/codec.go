package transport

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// codecName is the message encoding in content types, "application/connect+cbor".
const codecName = "cbor"

// Bounds on messages received from the network.
const (
	maxArrayElements = 1 << 20
	maxMapPairs      = 1 << 10
	maxNesting       = 16
)

// codec implements connect.Codec with CBOR and integer keys.
type codec struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

func newCodec() (*codec, error) {
	enc, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		return nil, errors.Wrap(err, "create CBOR encoder")
	}
	dec, err := cbor.DecOptions{
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNesting,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		return nil, errors.Wrap(err, "create CBOR decoder")
	}
	return &codec{enc: enc, dec: dec}, nil
}

// Name implements connect.Codec.
func (c *codec) Name() string { return codecName }

// Marshal implements connect.Codec.
func (c *codec) Marshal(v any) ([]byte, error) { return c.enc.Marshal(v) }

// Unmarshal implements connect.Codec.
func (c *codec) Unmarshal(b []byte, v any) error { return c.dec.Unmarshal(b, v) }

// Batch is one message of a stream and carries several wire messages.
type Batch[T any] struct {
	Messages []T `cbor:"1,keyasint"`
}

// EncodedSize returns the encoded size of m in bytes, without connect and HTTP/2
// framing.
func EncodedSize(m any) (int, error) {
	c, err := newCodec()
	if err != nil {
		return 0, err
	}
	b, err := c.Marshal(m)
	return len(b), err
}
