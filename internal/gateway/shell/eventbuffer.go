package shell

// trimmedEvents is the capacity in bytes up to which a buffer for events is kept while its stream goes on.
const trimmedEvents = 64 << 10

// growEvents returns a copy of a stream's buffer with a larger capacity, for which the
// account is charged instead. A buffer of eventBuffer bytes is free. The error is one of bytebudget.
func (x *exchange) growEvents(buf []byte) ([]byte, error) {
	size := min(2*cap(buf), maxEventBytes+1)
	if err := x.memory.Grow(int64(size)); err != nil {
		return buf, err
	}
	grown := append(make([]byte, 0, size), buf...)
	x.releaseEvents(buf)
	return grown, nil
}

// trimEvents returns buf, or a copy of its content in a small buffer if it was grown for a large event.
func (x *exchange) trimEvents(buf []byte) []byte {
	if cap(buf) <= trimmedEvents || len(buf) > eventBuffer {
		return buf
	}
	x.releaseEvents(buf)
	return append(make([]byte, 0, eventBuffer), buf...)
}

// releaseEvents gives back what the account was charged for a buffer.
func (x *exchange) releaseEvents(buf []byte) {
	if cap(buf) > eventBuffer {
		x.memory.Shrink(int64(cap(buf)))
	}
}
