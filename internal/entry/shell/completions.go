package shell

import (
	"net/http"
	"time"

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
	x := newExchange(r.Context(), e.nextRequest(), body)
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
	out := newRenderer(w, req, c.externalID)
	e.relayAnswer(r, x, out)
}

// sink writes an answer to the HTTP caller: pieces as they arrive, then the outcome.
type sink interface {
	piece(head *wire.ReplyHead, p piece) error
	flush() error
	final(a *entry.Answer)
}

// relayAnswer writes the answer to out until it ends or the caller disconnects.
func (e *Entry) relayAnswer(r *http.Request, x *exchange, out sink) {
	for {
		select {
		case <-x.wake:
		case <-r.Context().Done():
			e.input(entry.Input{CallerGone: &entry.CallerGone{ID: x.id}})
			return
		}
		pieces, head, final := x.take()
		if err := writePieces(out, head, pieces); err != nil {
			e.input(entry.Input{CallerGone: &entry.CallerGone{ID: x.id}})
			return
		}
		if final != nil {
			out.final(final)
			return
		}
	}
}

func writePieces(out sink, head *wire.ReplyHead, pieces []piece) error {
	if len(pieces) == 0 {
		return nil
	}
	for _, p := range pieces {
		if err := out.piece(head, p); err != nil {
			return err
		}
	}
	return out.flush()
}
