package shell

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/entry"
	"trefoilpath.org/trefoilpath/internal/wire"
)

type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

type modelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

type usage struct {
	PromptTokens     int64         `json:"prompt_tokens"`
	CompletionTokens int64         `json:"completion_tokens"`
	TotalTokens      int64         `json:"total_tokens"`
	Details          *usageDetails `json:"prompt_tokens_details,omitempty"`
}

type usageDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

// response is an object of the completions API: a whole answer or a chunk.
type response struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *content `json:"message,omitempty"`
	Delta        *content `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// renderer writes the answer to a completion, as one object or as server-sent
// events.
type renderer struct {
	w           http.ResponseWriter
	control     *http.ResponseController
	req         *completion
	base        response
	text        bytes.Buffer // answer so far, if it is not streamed
	events      bytes.Buffer // events not yet written
	headersSent bool
}

func newRenderer(w http.ResponseWriter, req *completion, id string) *renderer {
	model := req.model
	if req.adapter != "" {
		model += adapterSeparator + req.adapter
	}
	r := &renderer{w: w, control: http.NewResponseController(w), req: req}
	r.base = response{ID: "cmpl-" + id, Created: time.Now().Unix(), Model: model}
	switch {
	case req.shape == shapeText:
		r.base.Object = "text_completion"
	case req.stream:
		r.base.Object = "chat.completion.chunk"
	default:
		r.base.Object = "chat.completion"
	}
	return r
}

// piece implements sink.
func (r *renderer) piece(_ *wire.ReplyHead, p piece) error {
	if len(p.data) == 0 {
		return nil
	}
	if !r.req.stream {
		r.text.Write(p.data)
		return nil
	}
	return r.queueChunk(r.textChoice(string(p.data)))
}

func (r *renderer) textChoice(text string) choice {
	if r.req.shape == shapeText {
		return choice{Text: &text}
	}
	d := &content{Content: text}
	if !r.headersSent { // the first chunk gives the role
		d.Role = "assistant"
	}
	return choice{Delta: d}
}

// queueChunk queues a chunk with one choice. It sends the headers first if they
// have not been sent.
func (r *renderer) queueChunk(c choice) error {
	r.sendHeaders()
	chunk := r.base
	chunk.Choices = []choice{c}
	return r.queueEvent(chunk)
}

func (r *renderer) queueEvent(v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return errors.WithStack(err)
	}
	r.events.WriteString("data: ")
	r.events.Write(raw)
	r.events.WriteString("\n\n")
	return nil
}

// sendHeaders sends the headers of an event stream. The outcome follows as a trailer.
func (r *renderer) sendHeaders() {
	if r.headersSent {
		return
	}
	r.headersSent = true
	h := r.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("Trailer", HeaderOutcome)
	r.w.WriteHeader(http.StatusOK)
}

// flush implements sink.
func (r *renderer) flush() error {
	if !r.headersSent {
		return nil
	}
	if _, err := r.events.WriteTo(r.w); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(r.control.Flush())
}

// final implements sink.
func (r *renderer) final(a *entry.Answer) {
	if a.Outcome != wire.OutcomeCompleted {
		r.writeFailure(a)
		return
	}
	if !r.req.stream {
		r.writeObject(a)
		return
	}
	last := choice{FinishReason: finishReason(a)}
	if r.req.shape == shapeChat {
		last.Delta = &content{}
	} else {
		empty := ""
		last.Text = &empty
	}
	_ = r.queueChunk(last) // marshalling these types can't fail
	if r.req.includeUsage {
		chunk := r.base
		chunk.Choices = []choice{}
		chunk.Usage = usageOf(a)
		_ = r.queueEvent(chunk)
	}
	r.endStream(a)
}

// endStream writes the last event, sets the outcome trailer and flushes.
func (r *renderer) endStream(a *entry.Answer) {
	r.events.WriteString("data: [DONE]\n\n")
	r.w.Header().Set(HeaderOutcome, a.Outcome.String())
	_ = r.flush() // an error means that the caller has disconnected
}

// writeFailure reports an error, as an event if the headers have been sent.
func (r *renderer) writeFailure(a *entry.Answer) {
	e := answerError(a)
	if !r.headersSent {
		writeError(r.w, e)
		return
	}
	_ = r.queueEvent(e.body())
	r.endStream(a)
}

func (r *renderer) writeObject(a *entry.Answer) {
	out := r.base
	out.Usage = usageOf(a)
	c := choice{FinishReason: finishReason(a)}
	text := r.text.String()
	if r.req.shape == shapeText {
		c.Text = &text
	} else {
		c.Message = &content{Role: "assistant", Content: text}
	}
	out.Choices = []choice{c}
	r.w.Header().Set(HeaderOutcome, a.Outcome.String())
	writeJSON(r.w, http.StatusOK, out)
}

func finishReason(a *entry.Answer) *string {
	reason := a.Total.FinishReason
	if reason == "" {
		reason = "stop"
	}
	return &reason
}

func usageOf(a *entry.Answer) *usage {
	t := a.Total
	u := &usage{PromptTokens: t.PromptTokens, CompletionTokens: t.OutputTokens, TotalTokens: t.PromptTokens + t.OutputTokens}
	if t.CachedTokens > 0 {
		u.Details = &usageDetails{CachedTokens: t.CachedTokens}
	}
	return u
}
