package bytebudget

import "io"

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

// reallocate returns a copy of buf with a larger capacity, for which the holder is charged instead.
func (h *Holder) reallocate(buf []byte, size int64) ([]byte, error) {
	if err := h.Grow(size); err != nil {
		return nil, err
	}
	grown := make([]byte, len(buf), size)
	copy(grown, buf)
	h.Shrink(int64(cap(buf)))
	return grown, nil
}
