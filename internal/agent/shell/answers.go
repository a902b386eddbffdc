package shell

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"trefoilpath.org/trefoilpath/internal/answer"
	"trefoilpath.org/trefoilpath/internal/bytebudget"
	"trefoilpath.org/trefoilpath/internal/transport"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	// answerRetention is how long the frames of an ended attempt are kept, to
	// resend them if the stream broke before they arrived.
	answerRetention = 10 * time.Second
	sweepInterval   = time.Second
	// maxAnswerBytes bounds the frames kept of one attempt, each with frameOverhead bytes
	// besides its data, except that the newest frame is always kept. An entry that lost older
	// frames has to retry the attempt.
	maxAnswerBytes = 2 << 20
	// The text of an answer is at most textSlackBytes longer than maxTokenBytes for each token of its
	// output limit.
	maxTokenBytes  = 1 << 10
	textSlackBytes = 64 << 10
	// frameOverhead is the memory in bytes that a frame takes besides its data.
	frameOverhead = 256
)

// answers holds the answer frames of running and recently ended attempts. Without room in memory,
// it forgets ended answers, and keeps of others only the newest frame.
type answers struct {
	links     *links
	memory    *bytebudget.Account
	mu        sync.Mutex
	byAttempt map[wire.AttemptID]*answerStream
}

// answerStream splits the answer of one attempt into frames. It sends them in order
// over the entry's stream, and all kept frames again over a new stream.
type answerStream struct {
	links     *links
	id        wire.AttemptID
	maxOutput int64
	ctx       context.Context // for reading the endpoint's answer
	cancel    context.CancelFunc

	mu      sync.Mutex
	framer  *answer.Framer
	frames  []wire.Frame           // kept to be sent again
	bytes   int                    // of frames
	memory  *bytebudget.Holder     // of frames
	tokens  int64                  // output tokens received
	text    int64                  // bytes of text received
	resumes int                    // tries to resume reading the endpoint's answer
	stream  *transport.EntryStream // of the last successful send

	endedAt atomic.Int64 // when the attempt ended, in Unix nanoseconds; 0: still running
}

func newAnswers(l *links, memory *bytebudget.Account) *answers {
	return &answers{links: l, memory: memory, byAttempt: make(map[wire.AttemptID]*answerStream)}
}

func (s *answers) open(ctx context.Context, id wire.AttemptID, maxOutput int64) *answerStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	ans := &answerStream{links: s.links, id: id, maxOutput: maxOutput, framer: answer.NewFramer(id), memory: s.memory.Open()}
	ans.ctx, ans.cancel = context.WithCancel(ctx)
	s.byAttempt[id] = ans
	return ans
}

// get returns the answer of an attempt, or nil.
func (s *answers) get(id wire.AttemptID) *answerStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byAttempt[id]
}

// markEnded records that an attempt has ended.
func (s *answers) markEnded(id wire.AttemptID) {
	ans := s.get(id)
	if ans == nil {
		return
	}
	if ans.endedAt.CompareAndSwap(0, time.Now().UnixNano()) {
		ans.memory.Evictable(func() { go ans.forget() })
	}
}

// expire removes the answers that ended more than answerRetention ago.
func (s *answers) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, ans := range s.byAttempt {
		if ans.expired(now) {
			delete(s.byAttempt, id)
			ans.cancel() // stops reading from an endpoint that hangs
			ans.memory.Close()
		}
	}
}

// replay sends the frames of an entry's answers over its new stream.
func (s *answers) replay(ctx context.Context, entry wire.NodeID) {
	for _, ans := range s.forEntry(entry) {
		ans.flush(ctx)
	}
}

func (s *answers) forEntry(entry wire.NodeID) []*answerStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*answerStream
	for id, ans := range s.byAttempt {
		if id.Entry == entry {
			list = append(list, ans)
		}
	}
	return list
}

func (ans *answerStream) head(ctx context.Context, head wire.ReplyHead) {
	ans.mu.Lock()
	defer ans.mu.Unlock()
	ans.push(ctx, ans.framer.Head(head))
}

// data adds data to the answer, and reports whether it is within the answer's limits.
func (ans *answerStream) data(ctx context.Context, data []byte, tokens int) bool {
	ans.mu.Lock()
	defer ans.mu.Unlock()
	if ans.endedAt.Load() != 0 {
		return true
	}
	ans.tokens += int64(tokens)
	ans.text += int64(len(data))
	if exceedsOutput(ans.maxOutput, ans.tokens, ans.text) {
		return false
	}
	ans.push(ctx, ans.framer.Data(data, int32(tokens)))
	return true
}

// exceedsOutput reports whether an answer is longer than its limit of tokens allows; 0: no limit.
func exceedsOutput(maxOutput, tokens, textBytes int64) bool {
	return maxOutput > 0 && (tokens > maxOutput || textBytes > textSlackBytes+maxOutput*maxTokenBytes)
}

func (ans *answerStream) close(ctx context.Context, total wire.FrameTotal) {
	ans.mu.Lock()
	defer ans.mu.Unlock()
	total.FinishReason = finishStop
	if ans.maxOutput > 0 && total.OutputTokens >= ans.maxOutput {
		total.FinishReason = finishLength
	}
	ans.push(ctx, ans.framer.Close(total))
}

// Finish reasons of an answer.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// push stores a frame and sends it, with all kept frames before it if the stream
// is new. It waits while the stream is full, which applies back-pressure to the
// endpoint. Then it drops the oldest frames beyond maxAnswerBytes, or all if memory is short, but
// never the newest frame.
func (ans *answerStream) push(ctx context.Context, f wire.Frame) {
	limit := maxAnswerBytes
	if ans.memory.Grow(int64(frameBytes(&f))) != nil {
		limit = 0
	}
	ans.frames = append(ans.frames, f)
	ans.bytes += frameBytes(&f)
	ans.send(ctx, 1)
	for ans.bytes > limit && len(ans.frames) > 1 {
		size := frameBytes(&ans.frames[0])
		ans.frames[0] = wire.Frame{} // frees its data
		ans.frames = ans.frames[1:]
		ans.bytes -= size
		ans.memory.Shrink(int64(size))
	}
}

func frameBytes(f *wire.Frame) int { return len(f.Data) + frameOverhead }

// forget drops the frames of an ended answer.
func (ans *answerStream) forget() {
	ans.mu.Lock()
	defer ans.mu.Unlock()
	ans.frames, ans.bytes = nil, 0
	ans.memory.Close()
}

func (ans *answerStream) flush(ctx context.Context) {
	ans.mu.Lock()
	defer ans.mu.Unlock()
	ans.send(ctx, 0)
}

// send sends the newest frames, or all kept frames if the stream is new. A frame
// that could not be sent over the stream of the last successful send is not sent
// over it again.
func (ans *answerStream) send(ctx context.Context, newest int) {
	stream := ans.links.openStream(ans.id.Entry)
	if stream == nil {
		return
	}
	from := len(ans.frames) - newest
	if stream != ans.stream {
		from = 0
	}
	for i := from; i < len(ans.frames); i++ {
		if stream.SendBulk(ctx, wire.ToEntry{Frame: &ans.frames[i]}) != nil {
			return
		}
	}
	ans.stream = stream
}

func (ans *answerStream) expired(now time.Time) bool {
	ended := ans.endedAt.Load()
	return ended != 0 && now.UnixNano()-ended > int64(answerRetention)
}

// beginResume counts one more try to resume reading. It returns the output tokens
// received so far and the number of tries, including this one.
func (ans *answerStream) beginResume() (tokens int64, tries int) {
	ans.mu.Lock()
	defer ans.mu.Unlock()
	ans.resumes++
	return ans.tokens, ans.resumes
}

func (ans *answerStream) resumed() bool {
	ans.mu.Lock()
	defer ans.mu.Unlock()
	return ans.resumes > 0
}
