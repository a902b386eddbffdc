package bytebudget

import (
	"io"
	"math/bits"
	"sync"
)

const (
	// firstBuffer is the initial size in bytes of the buffer of ReadAll.
	firstBuffer = 1 << 10
	// growth is the factor by which the buffer grows when it is full, growthOfKnown that for a
	// size that the peer has stated.
	growth        = 2
	growthOfKnown = 4
)

// ReadAll reads from r until its end or until it has read limit bytes, and charges the holder for its
// buffer, which grows with what has arrived. known tells that the peer has stated that there
// will be almost limit bytes. It returns what it has read also with an error, which is that of r, ErrShort
// or ErrEvicted.
func (h *Holder) ReadAll(r io.Reader, limit int64, known bool) ([]byte, error) {
	factor := int64(growth)
	if known {
		factor = growthOfKnown
	}
	var buf []byte
	for int64(len(buf)) < limit {
		if len(buf) == cap(buf) {
			grown, err := h.reallocate(buf, min(max(factor*int64(cap(buf)), firstBuffer), limit))
			if err != nil {
				return buf, err
			}
			buf = grown
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if n > 0 {
			h.Progress()
		}
		if err == io.EOF {
			return buf, nil
		}
		if err != nil {
			return buf, err
		}
	}
	return buf, nil
}

// reallocate returns a copy of buf with a larger capacity, for which the holder is charged instead. buf
// must not be used after it.
func (h *Holder) reallocate(buf []byte, size int64) ([]byte, error) {
	if err := h.Grow(size); err != nil {
		return nil, err
	}
	grown := append(newBuffer(size), buf...)
	h.Shrink(int64(cap(buf)))
	recycle(buf)
	return grown, nil
}

// minRecycled is the least capacity in bytes of a buffer that is used again.
const minRecycled = 4 << 10

// recycled holds buffers that have been outgrown, by the binary logarithm of their capacity, which is a
// power of two. Without it, a crowd of growing buffers leaves as much garbage as it holds.
var recycled [bits.UintSize]sync.Pool

// newBuffer returns an empty buffer of a capacity in bytes.
func newBuffer(size int64) []byte {
	if isRecyclable(int(size)) {
		if buf, ok := recycled[bits.Len(uint(size))-1].Get().(*[]byte); ok {
			return (*buf)[:0]
		}
	}
	return make([]byte, 0, size)
}

func recycle(buf []byte) {
	if isRecyclable(cap(buf)) {
		recycled[bits.Len(uint(cap(buf)))-1].Put(&buf)
	}
}

func isRecyclable(capacity int) bool {
	return capacity >= minRecycled && bits.OnesCount(uint(capacity)) == 1
}
