package shell

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/entry"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// serveCompletion serves the chat and the text form of the completions API.
func (e *Entry) serveCompletion(w http.ResponseWriter, r *http.Request, s shape) {
	c, ok := e.authenticate(w, r)
	if !ok {
		return
	}
	if !e.requestLimit.acquire(c.account.ID) {
		writeError(w, refusal(entry.CodeConcurrency, "too many open requests at this entry", time.Second))
		return
	}
	defer e.requestLimit.release(c.account.ID)
	memory := e.memory.Open()
	defer memory.Close()
	body, ok := e.readBody(memory, w, r)
	if !ok {
		return
	}
	req, err := parseCompletion(body, s)
	if err != nil {
		writeError(w, invalidRequest(err.Error()))
		return
	}
	x := newExchange(r.Context(), e.nextRequest(), body, e.backlogs, cutWrites(w))
	defer x.close()
	x.continueRequest = func(text []byte) ([]byte, error) { return continueBody(body, s, text) }
	in := &entry.Request{
		ID: x.id, ExternalID: c.externalID, Account: c.account.ID, Kind: wire.KindEngine,
		Model: req.model, Adapter: req.adapter, PromptBytes: int64(len(req.prompt)), MaxOutput: req.maxOutput,
		Deadline: c.deadline, Priority: c.priority, Prefixes: req.prefixes(), BodyBytes: int64(len(body)),
	}
	req.prompt = "" // frees its memory while the answer is rendered; the body holds the prompt
	if !e.submit(x, in) {
		writeError(w, refusal(entry.CodeShutdown, "", time.Second))
		return
	}
	e.relayAnswer(r, c.externalID, x, newRenderer(w, req, c.externalID))
}

// sink writes an answer to the HTTP caller: pieces as they arrive, then the outcome.
type sink interface {
	piece(head *wire.ReplyHead, p piece) error
	flush() error
	final(a *entry.Answer)
}

// relayAnswer writes the answer to out until it ends or the caller disconnects.
func (e *Entry) relayAnswer(r *http.Request, externalID string, x *exchange, out sink) {
	for {
		select {
		case <-x.wake:
		case <-r.Context().Done():
			e.input(entry.Input{CallerGone: &entry.CallerGone{ID: x.id}})
			return
		}
		pieces, head, final := x.take()
		if err := writePieces(x, out, head, pieces); err != nil {
			e.input(entry.Input{CallerGone: &entry.CallerGone{ID: x.id}})
			if errors.Is(err, errTooSlow) {
				e.meters.answersCut.Inc(1)
				e.cfg.Log.Info().Str("event", "answer-cut").Str("request", externalID).Str("detail", err.Error()).Send()
			}
			panic(http.ErrAbortHandler) // breaks the connection, so that the answer is not taken as complete
		}
		if final != nil {
			out.final(final)
			return
		}
	}
}

// cutWrites returns a function that ends the write to the caller that is in progress.
func cutWrites(w http.ResponseWriter) func() {
	control := http.NewResponseController(w)
	return func() { _ = control.SetWriteDeadline(pastDeadline) } // httptest recorders don't support it
}

// errTooSlow reports that there is no room for the answer of a caller that does not take it.
var errTooSlow = errors.New("the caller does not take its answer")

func writePieces(x *exchange, out sink, head *wire.ReplyHead, pieces []piece) error {
	if len(pieces) == 0 {
		return nil
	}
	for i := range pieces {
		if x.memory.Evicted() {
			return errTooSlow
		}
		err := out.piece(head, pieces[i])
		if !x.written(&pieces[i]) {
			return errTooSlow
		}
		if err != nil {
			return err
		}
	}
	return out.flush()
}
