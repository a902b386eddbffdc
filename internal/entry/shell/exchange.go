package shell

import (
	"sync"

	"trefoilpath.org/trefoilpath/internal/answer"
	"trefoilpath.org/trefoilpath/internal/entry"
	"trefoilpath.org/trefoilpath/internal/idempotency"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// maxBacklogBytes bounds what is held for a caller that reads slowly.
const maxBacklogBytes = 4 << 20

// exchange is one caller's request and what has arrived of its answer.
type exchange struct {
	id      entry.RequestID
	request []byte
	service bool
	// continued returns the request body that goes on behind the text that the
	// caller already has.
	continued func(text []byte) ([]byte, error)

	mu      sync.Mutex
	asm     answer.Assembler
	attempt wire.AttemptID
	resume  int64 // output tokens that the attempt does not repeat
	pieces  []piece
	backlog int
	text    []byte // all data passed on, for continuation and for records
	head    *wire.ReplyHead
	final   *entry.Answer
	wake    chan struct{} // holds one token when something has arrived
}

// piece is part of an answer for the caller.
type piece struct {
	data   []byte
	tokens int
}

func newExchange(id entry.RequestID, request []byte) *exchange {
	return &exchange{id: id, request: request, wake: make(chan struct{}, 1)}
}

func (x *exchange) notify() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// take returns what has arrived since the last call, and the final answer once
// there is one.
func (x *exchange) take() (pieces []piece, head *wire.ReplyHead, final *entry.Answer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	pieces, x.pieces = x.pieces, nil
	x.backlog = 0
	return pieces, x.head, x.final
}

// accept takes one frame. It returns the progress that the core hears of, if any,
// and whether the caller has let too much pile up.
func (x *exchange) accept(f *wire.Frame) (progress *entry.Stream, tooSlow bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	progress = x.assemble(f)
	return progress, x.backlog > maxBacklogBytes
}

// assemble passes on what a frame adds to the answer. The caller holds the lock.
func (x *exchange) assemble(f *wire.Frame) *entry.Stream {
	data, tokens, event := x.asm.Accept(*f)
	if event == answer.EventDropped {
		return nil
	}
	if event == answer.EventFirst || event == answer.EventMore {
		x.pass(f, data, tokens)
	}
	delivered, _ := x.asm.Delivered()
	s := &entry.Stream{ID: x.id, Attempt: f.Attempt, Delivered: delivered}
	switch event {
	case answer.EventFirst:
		s.Event = entry.StreamFirst
	case answer.EventBroken:
		s.Event = entry.StreamBroken
	case answer.EventDone:
		s.Event = entry.StreamDone
		s.Total = x.wholeTotal(*f.Last, delivered)
		s.Reply = x.reply()
	default:
		return nil
	}
	return s
}

// wholeTotal returns the totals of the whole answer from those of its last
// attempt, whose prompt held the part of the answer that it did not repeat.
func (x *exchange) wholeTotal(last wire.FrameTotal, delivered int64) wire.FrameTotal {
	if x.resume > 0 {
		last.OutputTokens = delivered
		last.PromptTokens = max(last.PromptTokens-x.resume, 0)
	}
	return last
}

// setAttempt makes a the attempt whose frames are passed on. The core hears of
// delivered tokens only now and then; what the caller has decides where an
// attempt goes on, so that neither a gap nor a repetition can arise.
func (x *exchange) setAttempt(a *entry.Attempt) {
	x.attempt = a.Attempt
	x.resume = a.ResumeFrom
	if x.continued != nil {
		x.resume, _ = x.asm.Delivered()
	}
	x.asm.SetAttempt(a.Attempt, x.resume)
}

// pass queues data for the caller.
func (x *exchange) pass(f *wire.Frame, data []byte, tokens int) {
	if f.Head != nil {
		x.head = f.Head
	}
	if !x.service || len(x.text) <= idempotency.MaxStoredBody {
		x.text = append(x.text, data...)
	}
	x.pieces = append(x.pieces, piece{data: data, tokens: tokens})
	x.backlog += len(data)
	x.notify()
}

// reply returns the answer of a plain service call for its at-most-once record.
func (x *exchange) reply() *idempotency.Stored {
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

// bodyFor returns the request body for an attempt and sets in d where the
// attempt goes on.
func (x *exchange) bodyFor(d *wire.Dispatch) []byte {
	x.mu.Lock()
	defer x.mu.Unlock()
	if d.Attempt == x.attempt {
		d.ResumeFrom = x.resume
	}
	if d.ResumeFrom == 0 || x.continued == nil {
		return x.request
	}
	body, err := x.continued(x.text)
	if err != nil {
		return x.request
	}
	return body
}

// exchanges finds exchanges by request and by attempt. It is safe for
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

// setAttempt has the frames of one attempt passed on from now on.
func (xs *exchanges) setAttempt(a *entry.Attempt) {
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

// end hands the final answer to the caller's handler and forgets the exchange.
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

// body returns the body for a dispatch of the request.
func (xs *exchanges) body(id entry.RequestID, d *wire.Dispatch) []byte {
	x := xs.get(id)
	if x == nil {
		return nil
	}
	return x.bodyFor(d)
}

// frame passes one frame of an agent on.
func (xs *exchanges) frame(e *Entry, f *wire.Frame) {
	xs.mu.RLock()
	x := xs.byAttempt[f.Attempt]
	xs.mu.RUnlock()
	if x == nil {
		return
	}
	progress, tooSlow := x.accept(f)
	if progress != nil {
		e.input(entry.Input{Stream: progress})
	}
	if tooSlow {
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
