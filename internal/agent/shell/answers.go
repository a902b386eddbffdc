package shell

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"trefoilpath.org/trefoilpath/internal/answer"
	"trefoilpath.org/trefoilpath/internal/transport"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	// keepAnswers is how long the frames of an ended attempt are kept for a
	// stream that broke while they were on their way.
	keepAnswers   = 10 * time.Second
	sweepInterval = time.Second
	// maxAnswerBytes bounds the frames of one attempt that are kept. An entry
	// that lost earlier ones has to try again.
	maxAnswerBytes = 1 << 20
)

// answers holds the answer frames of attempts that run or have just ended.
type answers struct {
	links *links
	mu    sync.Mutex
	rows  map[wire.AttemptID]*answerStream
}

// answerStream frames the answer of one attempt. Its frames go in order over the
// entry's stream; over a new stream they go again from the first.
type answerStream struct {
	links     *links
	id        wire.AttemptID
	maxOutput int64
	ctx       context.Context // of reading the endpoint's answer
	cancel    context.CancelFunc

	mu      sync.Mutex
	framer  *answer.Framer
	frames  []wire.Frame
	bytes   int
	tokens  int64
	resumes int
	stream  *transport.EntryStream // that has been sent all frames

	retired atomic.Int64 // when the attempt ended, in Unix nanoseconds; 0: it runs
}

func newAnswers(l *links) *answers {
	return &answers{links: l, rows: make(map[wire.AttemptID]*answerStream)}
}

func (s *answers) open(ctx context.Context, id wire.AttemptID, maxOutput int64) *answerStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	row := &answerStream{links: s.links, id: id, maxOutput: maxOutput, framer: answer.NewFramer(id)}
	row.ctx, row.cancel = context.WithCancel(ctx)
	s.rows[id] = row
	return row
}

// get returns the answer of an attempt, or nil.
func (s *answers) get(id wire.AttemptID) *answerStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[id]
}

// retire notes that an attempt has ended.
func (s *answers) retire(id wire.AttemptID) {
	row := s.get(id)
	if row == nil {
		return
	}
	row.retired.CompareAndSwap(0, time.Now().UnixNano())
}

// expire forgets the answers that ended long ago.
func (s *answers) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, row := range s.rows {
		if row.expired(now) {
			delete(s.rows, id)
			row.cancel() // an endpoint that hangs is not read any longer
		}
	}
}

// replay sends the frames of an entry's answers over its new stream.
func (s *answers) replay(ctx context.Context, entry wire.NodeID) {
	for _, row := range s.of(entry) {
		row.flush(ctx)
	}
}

func (s *answers) of(entry wire.NodeID) []*answerStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []*answerStream
	for id, row := range s.rows {
		if id.Entry == entry {
			rows = append(rows, row)
		}
	}
	return rows
}

func (r *answerStream) head(ctx context.Context, head wire.ReplyHead) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.push(ctx, r.framer.Head(head))
}

func (r *answerStream) data(ctx context.Context, data []byte, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.retired.Load() != 0 {
		return
	}
	r.tokens += int64(tokens)
	r.push(ctx, r.framer.Data(data, int32(tokens)))
}

func (r *answerStream) close(ctx context.Context, total wire.FrameTotal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	total.FinishReason = finishStop
	if r.maxOutput > 0 && total.OutputTokens >= r.maxOutput {
		total.FinishReason = finishLength
	}
	r.push(ctx, r.framer.Close(total))
}

// The reasons for the end of an answer.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// push keeps a frame and sends what the stream has not been sent. It waits for
// room in the stream, which holds back the endpoint's answer.
func (r *answerStream) push(ctx context.Context, f wire.Frame) {
	r.frames = append(r.frames, f)
	r.bytes += len(f.Data)
	r.send(ctx, 1)
	for r.bytes > maxAnswerBytes && len(r.frames) > 1 {
		r.bytes -= len(r.frames[0].Data)
		r.frames = r.frames[1:]
	}
}

func (r *answerStream) flush(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.send(ctx, 0)
}

// send sends the newest frames, or all of them over a stream that has not been
// sent any.
func (r *answerStream) send(ctx context.Context, newest int) {
	stream := r.links.open(r.id.Entry)
	if stream == nil {
		return
	}
	from := len(r.frames) - newest
	if stream != r.stream {
		from = 0
	}
	for i := from; i < len(r.frames); i++ {
		if stream.SendBulk(ctx, wire.ToEntry{Frame: &r.frames[i]}) != nil {
			return
		}
	}
	r.stream = stream
}

func (r *answerStream) expired(now time.Time) bool {
	ended := r.retired.Load()
	return ended != 0 && now.UnixNano()-ended > int64(keepAnswers)
}

// resumeFrom returns the output tokens received so far and whether reading the
// answer may be tried again.
func (r *answerStream) resumeFrom() (tokens int64, tries int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resumes++
	return r.tokens, r.resumes
}

func (r *answerStream) resumed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.resumes > 0
}
