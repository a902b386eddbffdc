package answer

import (
	"github.com/cespare/xxhash/v2"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// Framer turns the pieces of one attempt's answer into frames.
type Framer struct {
	attempt wire.AttemptID
	next    uint64 // sequence of the next frame
	digest  xxhash.Digest
}

// NewFramer returns a Framer whose first frame has sequence 0.
func NewFramer(attempt wire.AttemptID) *Framer {
	f := &Framer{attempt: attempt}
	f.digest.Reset()
	return f
}

// Head returns the frame that carries the status code and headers of a service
// answer. It precedes all data.
func (f *Framer) Head(head wire.ReplyHead) wire.Frame {
	frame := f.frame()
	frame.Head = &head
	return frame
}

// Data returns the frame for the next piece, which holds the given number of
// output tokens. The frame refers to data.
func (f *Framer) Data(data []byte, tokens int32) wire.Frame {
	_, _ = f.digest.Write(data) // never fails
	frame := f.frame()
	frame.Data = data
	frame.Tokens = tokens
	return frame
}

// Close returns the last frame. It fills in the count and the digest of total.
func (f *Framer) Close(total wire.FrameTotal) wire.Frame {
	total.Frames = f.next
	total.Digest = f.digest.Sum64()
	frame := f.frame()
	frame.Last = &total
	return frame
}

func (f *Framer) frame() wire.Frame {
	frame := wire.Frame{Attempt: f.attempt, Sequence: f.next}
	f.next++
	return frame
}
