package soak

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// tokenBytes is the length of an answer's token in bytes.
const tokenBytes = 4

// tokenText returns the tokens [from, to) of the answer to the request with the
// given body digest. Each token depends on the request and on its position, so
// that missing, repeated and foreign text is detected.
func tokenText(digest uint64, from, to int64) []byte {
	data := make([]byte, 0, (to-from)*tokenBytes)
	for i := from; i < to; i++ {
		data = binary.LittleEndian.AppendUint32(data, tokenAt(digest, i))
	}
	return data
}

func tokenAt(digest uint64, i int64) uint32 {
	x := digest ^ uint64(i)*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return uint32(x)
}

// serviceText returns a service's answer to a call. It depends on the body and
// on the number of the run, so that a second run is detected.
func serviceText(digest uint64, run int) []byte {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[0:], digest)
	binary.LittleEndian.PutUint64(buf[8:], uint64(run))
	return binary.LittleEndian.AppendUint64(buf[:8], xxhash.Sum64(buf[:]))
}
