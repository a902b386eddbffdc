package shell

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"io"
)

// fingerprint identifies requests that are the same to an endpoint: those with the same host,
// target, client account and body. It is the same at all gateways, whatever the framing of the
// body. An endpoint's crash may be put down to it, so that it must be hard to forge.
func fingerprint(host, target, account string, body []byte) uint64 {
	h := sha256.New()
	for _, s := range []string{host, target, account} {
		writeLength(h, len(s))
		_, _ = io.WriteString(h, s) // a hash returns no error
	}
	_, _ = h.Write(body)
	return binary.LittleEndian.Uint64(h.Sum(nil))
}

func writeLength(h hash.Hash, n int) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(n))
	_, _ = h.Write(length[:])
}
