package answer

import (
	"github.com/cespare/xxhash/v2"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// Event is the result of Accept for one frame.
type Event uint8

// The results of Accept, and what the caller does with the data of the frame.
const (
	// EventDropped: the frame is a repetition, of another attempt, or follows the
	// end of its attempt. Nothing of it may be passed on.
	EventDropped Event = 0
	// EventFirst: the frame holds the first data of the request. Pass it on.
	EventFirst Event = 1
	// EventMore: the frame is next in order. Pass it on.
	EventMore Event = 2
	// EventDone: the answer is complete. Nothing follows.
	EventDone Event = 3
	// EventBroken: the attempt has a gap, a wrong count or a wrong digest. Only
	// another attempt can complete the answer.
	EventBroken Event = 4
)

// String returns the name of the event.
func (e Event) String() string {
	switch e {
	case EventDropped:
		return "dropped"
	case EventFirst:
		return "first"
	case EventMore:
		return "more"
	case EventDone:
		return "done"
	case EventBroken:
		return "broken"
	}
	return "unspecified"
}

type attemptState uint8

const (
	attemptNone   attemptState = 0
	attemptOpen   attemptState = 1
	attemptBroken attemptState = 2
	attemptDone   attemptState = 3
)

// Assembler assembles the answer to one request from the frames of its attempts.
// The zero value is ready for use and drops every frame until SetAttempt.
type Assembler struct {
	attempt wire.AttemptID
	state   attemptState
	next    uint64          // sequence of the next frame of attempt
	digest  xxhash.Digest   // of the data of attempt so far
	tokens  int64           // passed on, over all attempts
	bytes   int64           // passed on, over all attempts
	total   wire.FrameTotal // of the complete answer
}

// SetAttempt makes id the current attempt. resumeFrom is the number of output
// tokens that the attempt does not repeat; it must equal the tokens delivered so
// far, or else the joined answer would repeat or omit text. If it differs, SetAttempt
// breaks the attempt and returns false. An answer that has passed on data can't be
// resumed from 0, even if no tokens were counted. A call with the current attempt
// changes nothing and reports whether the attempt is still open. SetAttempt has no
// effect on an answer that is done.
func (a *Assembler) SetAttempt(id wire.AttemptID, resumeFrom int64) bool {
	if a.state == attemptDone {
		return false
	}
	if id == a.attempt {
		return a.state == attemptOpen
	}
	a.attempt = id
	a.next = 0
	a.digest.Reset()
	a.state = attemptOpen
	if resumeFrom != a.tokens || (resumeFrom == 0 && a.bytes > 0) {
		a.state = attemptBroken
	}
	return a.state == attemptOpen
}

// Accept takes one frame. For EventFirst and EventMore it returns the data to
// pass on, which refers to the frame, and the output tokens in it; a service
// answer's head is passed on with them. For all other events it returns nothing.
func (a *Assembler) Accept(f wire.Frame) (data []byte, tokens int, event Event) {
	if a.state != attemptOpen || f.Attempt != a.attempt || f.Sequence < a.next {
		return nil, 0, EventDropped
	}
	if f.Sequence > a.next {
		a.state = attemptBroken
		return nil, 0, EventBroken
	}
	if f.Last != nil {
		return nil, 0, a.close(f)
	}
	a.next++
	_, _ = a.digest.Write(f.Data) // never fails
	first := a.bytes == 0 && len(f.Data) > 0
	a.bytes += int64(len(f.Data))
	a.tokens += int64(f.Tokens)
	if first {
		return f.Data, int(f.Tokens), EventFirst
	}
	return f.Data, int(f.Tokens), EventMore
}

func (a *Assembler) close(f wire.Frame) Event {
	whole := len(f.Data) == 0 && f.Last.Frames == a.next && f.Last.Digest == a.digest.Sum64()
	if !whole {
		a.state = attemptBroken
		return EventBroken
	}
	a.next++
	a.state = attemptDone
	a.total = *f.Last
	return EventDone
}

// Attempt returns the current attempt.
func (a *Assembler) Attempt() wire.AttemptID { return a.attempt }

// Delivered returns the output tokens and bytes passed on so far, over all
// attempts.
func (a *Assembler) Delivered() (tokens, bytes int64) { return a.tokens, a.bytes }

// Done reports whether the answer is complete, with the totals of its last attempt.
func (a *Assembler) Done() (wire.FrameTotal, bool) { return a.total, a.state == attemptDone }
