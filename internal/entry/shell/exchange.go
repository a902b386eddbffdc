package shell

import (
	"context"
	"sync"

	"trefoilpath.org/trefoilpath/internal/answer"
	"trefoilpath.org/trefoilpath/internal/bytebudget"
	"trefoilpath.org/trefoilpath/internal/entry"
	"trefoilpath.org/trefoilpath/internal/idempotency"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	// maxBacklogBytes bounds the answer data held for a caller that reads slowly.
	maxBacklogBytes = 4 << 20
	// pieceOverhead is the memory in bytes that a piece takes besides its data.
	pieceOverhead = 64
	// backlogFraction of a process's memory is for the backlogs of all callers together.
	backlogFraction = 1.0 / 6
)

func newBacklogs(memoryBytes int64) *bytebudget.Account {
	return bytebudget.New(int64(backlogFraction * float64(memoryBytes)))
}

// exchange is a caller's request and the part of its answer received so far.
type exchange struct {
	ctx     context.Context // ends with the request
	id      entry.RequestID
	request []byte
	service bool // a call of a plain service, not a completion
	// continueRequest returns the request body for the rest of an answer of which
	// the caller already has text; nil: answers can't be continued.
	continueRequest func(text []byte) ([]byte, error)

	mu           sync.Mutex
	assembler    answer.Assembler
	attempt      wire.AttemptID
	resumeFrom   int64 // output tokens of earlier attempts, which this one does not repeat
	pieces       []piece
	memory       *bytebudget.Holder // of pieces and of those that are being written
	backlogBytes int64              // the same
	closed       bool               // the caller gets nothing more
	tooSlow      bool               // it is closed since there was no room for its backlog
	cut          func()             // ends a write to the caller
	// text is the data queued for the caller so far, for continuation and stored
	// replies. For a service it stops growing above MaxStoredBody, since larger
	// replies are not stored.
	text  []byte
	head  *wire.ReplyHead
	final *entry.Answer
	wake  chan struct{} // signals new pieces or the final answer; capacity 1
}

// piece is part of an answer for the caller.
type piece struct {
	data   []byte
	tokens int // output tokens in data
}

func (p *piece) bytes() int64 { return int64(len(p.data)) + pieceOverhead }

// newExchange returns the exchange of a request. cut ends a write to its caller. The exchange must
// be closed.
func newExchange(ctx context.Context, id entry.RequestID, request []byte, backlogs *bytebudget.Account, cut func()) *exchange {
	return &exchange{ctx: ctx, id: id, request: request, memory: backlogs.Open(), cut: cut, wake: make(chan struct{}, 1)}
}

// evict breaks off the answer of a caller that does not take it. It doesn't lock x.mu: another
// exchange may call it that is locked.
func (x *exchange) evict() {
	x.cut()
	x.notify()
}

func (x *exchange) notify() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// take removes and returns the pieces that arrived since the last call. They belong to the backlog
// until they are passed to written. It also returns the head and the final answer once they have
// arrived.
func (x *exchange) take() (pieces []piece, head *wire.ReplyHead, final *entry.Answer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	pieces, x.pieces = x.pieces, nil
	return pieces, x.head, x.final
}

// written takes a piece out of the backlog, and reports whether the caller may get more.
func (x *exchange) written(p *piece) bool {
	x.memory.Shrink(p.bytes())
	x.memory.Progress()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.backlogBytes -= p.bytes()
	if x.backlogBytes == 0 {
		return x.memory.Settle() && !x.tooSlow
	}
	return !x.memory.Evicted() && !x.tooSlow
}

// close drops the backlog; nothing more is queued for the caller.
func (x *exchange) close() {
	x.mu.Lock()
	x.closed = true
	x.pieces = nil
	x.mu.Unlock()
	x.memory.Close()
}

// accept processes one frame. It returns the progress to report to the core, if
// any, and whether the backlog is too large. Then the caller gets nothing more.
func (x *exchange) accept(f *wire.Frame) (progress *entry.StreamProgress, tooSlow bool) {
	p := piece{data: f.Data, tokens: int(f.Tokens)}
	room := x.memory.Grow(p.bytes()) == nil // may wait for the memory of others, so before the lock
	x.mu.Lock()
	defer x.mu.Unlock()
	before := x.backlogBytes
	progress = x.assemble(f)
	if room && x.backlogBytes == before {
		x.memory.Shrink(p.bytes()) // not queued
	}
	if x.closed || room && x.backlogBytes <= maxBacklogBytes {
		return progress, false
	}
	x.closed, x.tooSlow = true, true
	x.evict()
	return progress, true
}

// assemble adds a frame to the answer and queues its new data. The caller holds
// x.mu.
func (x *exchange) assemble(f *wire.Frame) *entry.StreamProgress {
	data, tokens, event := x.assembler.Accept(*f)
	if event == answer.EventDropped {
		return nil
	}
	if event == answer.EventFirst || event == answer.EventMore {
		x.enqueue(f, data, tokens)
	}
	delivered, _ := x.assembler.Delivered()
	s := &entry.StreamProgress{ID: x.id, Attempt: f.Attempt, Delivered: delivered}
	switch event {
	case answer.EventFirst:
		s.Event = entry.StreamFirst
	case answer.EventBroken:
		s.Event = entry.StreamBroken
	case answer.EventDone:
		s.Event = entry.StreamDone
		s.Total = x.answerTotal(*f.Last, delivered)
		s.Reply = x.storedReply()
	default:
		return nil
	}
	return s
}

// answerTotal computes the totals of the whole answer from those of its last
// attempt. The prompt of a resumed attempt includes the output of earlier ones.
func (x *exchange) answerTotal(last wire.FrameTotal, delivered int64) wire.FrameTotal {
	if x.resumeFrom > 0 {
		last.OutputTokens = delivered
		last.PromptTokens = max(last.PromptTokens-x.resumeFrom, 0)
	}
	return last
}

// setAttempt makes a the current attempt. The core learns of delivered tokens
// only occasionally, so a completion resumes after the tokens that the assembler
// has delivered: this avoids gaps and repetitions. The caller holds x.mu.
func (x *exchange) setAttempt(a *entry.SelectAttempt) {
	x.attempt = a.Attempt
	x.resumeFrom = a.ResumeFrom
	if x.continueRequest != nil {
		x.resumeFrom, _ = x.assembler.Delivered()
	}
	x.assembler.SetAttempt(a.Attempt, x.resumeFrom)
}

// enqueue queues data for the caller. The caller of enqueue holds x.mu.
func (x *exchange) enqueue(f *wire.Frame, data []byte, tokens int) {
	if f.Head != nil {
		x.head = f.Head
	}
	if !x.service || len(x.text) <= idempotency.MaxStoredBody {
		x.text = append(x.text, data...)
	}
	if x.closed {
		return
	}
	p := piece{data: data, tokens: tokens}
	x.pieces = append(x.pieces, p)
	if x.backlogBytes == 0 {
		x.memory.Evictable(x.evict)
	}
	x.backlogBytes += p.bytes()
	x.notify()
}

// storedReply returns the answer of a plain service call for its at-most-once
// record, or nil for a completion. The caller holds x.mu.
func (x *exchange) storedReply() *idempotency.Stored {
	if !x.service {
		return nil
	}
	stored := &idempotency.Stored{}
	if x.head != nil {
		stored.Status, stored.Headers = x.head.Status, x.head.Headers
	}
	if len(x.text) > idempotency.MaxStoredBody {
		stored.Omitted = true
		return stored
	}
	stored.Body = x.text
	return stored
}

func (x *exchange) end(a *entry.Answer) {
	x.mu.Lock()
	x.final = a
	x.mu.Unlock()
	x.notify()
}

// bodyFor returns the request body for an attempt and sets d.ResumeFrom, the
// output tokens after which the attempt resumes.
func (x *exchange) bodyFor(d *wire.Dispatch) []byte {
	x.mu.Lock()
	defer x.mu.Unlock()
	if d.Attempt == x.attempt {
		d.ResumeFrom = x.resumeFrom
	}
	if d.ResumeFrom == 0 || x.continueRequest == nil {
		return x.request
	}
	body, err := x.continueRequest(x.text)
	if err != nil {
		return x.request // d.ResumeFrom is set all the same: the answer may repeat text
	}
	return body
}

// exchanges indexes exchanges by request and by current attempt. It is safe for
// concurrent use.
type exchanges struct {
	mu        sync.RWMutex
	byRequest map[entry.RequestID]*exchange
	byAttempt map[wire.AttemptID]*exchange
}

func newExchanges() *exchanges {
	return &exchanges{byRequest: make(map[entry.RequestID]*exchange), byAttempt: make(map[wire.AttemptID]*exchange)}
}

func (xs *exchanges) add(x *exchange) {
	xs.mu.Lock()
	defer xs.mu.Unlock()
	xs.byRequest[x.id] = x
}

func (xs *exchanges) get(id entry.RequestID) *exchange {
	xs.mu.RLock()
	defer xs.mu.RUnlock()
	return xs.byRequest[id]
}

// setAttempt makes a the current attempt of its request.
func (xs *exchanges) setAttempt(a *entry.SelectAttempt) {
	xs.mu.Lock()
	defer xs.mu.Unlock()
	x := xs.byRequest[a.ID]
	if x == nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(xs.byAttempt, x.attempt)
	x.setAttempt(a)
	xs.byAttempt[a.Attempt] = x
}

// end passes the final answer to the caller's handler and removes the exchange.
func (xs *exchanges) end(a *entry.Answer) {
	xs.mu.Lock()
	x := xs.byRequest[a.ID]
	delete(xs.byRequest, a.ID)
	if x != nil {
		delete(xs.byAttempt, x.attempt)
	}
	xs.mu.Unlock()
	if x != nil {
		x.end(a)
	}
}

// body returns the body for a dispatch of the request, and a context that ends with the request.
func (xs *exchanges) body(id entry.RequestID, d *wire.Dispatch) (context.Context, []byte) {
	x := xs.get(id)
	if x == nil {
		return context.Background(), nil
	}
	return x.ctx, x.bodyFor(d)
}

// deliverFrame adds a frame from an agent to its exchange. Frames of attempts
// that are not current are dropped.
func (xs *exchanges) deliverFrame(e *Entry, f *wire.Frame) {
	xs.mu.RLock()
	x := xs.byAttempt[f.Attempt]
	xs.mu.RUnlock()
	if x == nil {
		return
	}
	progress, tooSlow := x.accept(f)
	if progress != nil {
		e.input(entry.Input{StreamProgress: progress})
	}
	if tooSlow { // the caller is treated as disconnected
		e.input(entry.Input{CallerGone: &entry.CallerGone{ID: x.id}})
	}
}

// closeAll ends every exchange when the entry stops.
func (xs *exchanges) closeAll() {
	xs.mu.Lock()
	defer xs.mu.Unlock()
	for id, x := range xs.byRequest {
		x.end(&entry.Answer{ID: id, Outcome: wire.OutcomeUnknown, Code: entry.CodeShutdown})
	}
	clear(xs.byRequest)
	clear(xs.byAttempt)
}
