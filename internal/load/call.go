package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoilpath.org/trefoilpath/internal/standin/enginemodel"
	"trefoilpath.org/trefoilpath/internal/wire"
	"trefoilpath.org/trefoilpath/internal/workload"
)

// Headers of the callers' HTTP interface.
const (
	headerAuthorization  = "Authorization"
	headerIdempotencyKey = "Idempotency-Key"
	headerDeadline       = "X-Deadline-Ms"
	headerPriority       = "X-Priority"
	headerOutcome        = "X-Outcome"
)

// sample is the measured result of one request.
type sample struct {
	request workload.Request
	outcome string // X-Outcome of the answer, as corrected by correctOutcome; empty: no outcome was received
	code    string // error code of the answer, or codeTransport, codeCut or codeHTTP; empty: no error
	late    bool   // ended after its deadline
	wrong   bool   // with Config.CheckAnswer: the text differs from the one that the engine stand-in generates
	// miscounted is set, with Config.CheckAnswer, if the answer has a usage count and it
	// differs from the tokens received.
	miscounted bool
	ttft       time.Duration // from when it was due to the first token, or to the end of a service call
	total      time.Duration // from when it was due to the end
	tokens     int64         // output tokens: the usage count, or the number of chunks with text if that is higher
	meanGap    time.Duration // mean inter-token latency; 0 with fewer than two tokens
}

// Codes that this package sets itself.
const (
	codeTransport = "transport_error" // the request was not sent, or no answer began
	codeCut       = "stream_cut"      // the answer ended early
	codeHTTP      = "http_error"      // error answer without a code of its own
)

// caller sends requests and measures their answers.
type caller struct {
	cfg    *Config
	client *http.Client
}

// do sends one request and waits for its end. Times count from due, when the
// workload wanted it sent.
func (c *caller) do(ctx context.Context, target string, r workload.Request, due time.Time) sample {
	s := sample{request: r}
	if r.Kind == wire.KindService {
		c.callService(ctx, target, &s, due)
	} else {
		c.chat(ctx, target, &s, due)
	}
	s.total = time.Since(due)
	s.late = r.Deadline > 0 && s.total > r.Deadline+lateTolerance
	return s
}

// lateTolerance is how long after its deadline an answer still counts as in time.
// It covers the way from the entry to the caller.
const lateTolerance = 250 * time.Millisecond

func (c *caller) chat(ctx context.Context, target string, s *sample, due time.Time) {
	text := promptText(s.request)
	digest := xxhash.Sum64(text)
	body, err := chatBody(s.request, text)
	if err != nil {
		s.code = codeTransport
		return
	}
	resp, err := c.send(ctx, http.MethodPost, target+"/v1/chat/completions", s.request, body)
	if err != nil {
		s.code = codeTransport
		return
	}
	defer resp.Body.Close()
	s.outcome = resp.Header.Get(headerOutcome)
	if resp.StatusCode != http.StatusOK {
		s.readError(resp.Body)
		return
	}
	a := answer{due: due, check: c.cfg.CheckAnswer, digest: digest}
	err = readEvents(resp.Body, a.add)
	a.finish(s)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body) // up to the trailers
	}
	if trailer := resp.Trailer.Get(headerOutcome); trailer != "" {
		s.outcome = trailer
	}
	if err != nil {
		s.code = codeCut
	}
	s.correctOutcome()
}

// correctOutcome corrects the outcome of an answer whose headers were sent before
// its outcome was known: completed if it carried no outcome and no error, unknown
// if an error followed a completed outcome.
func (s *sample) correctOutcome() {
	switch {
	case s.code == "" && s.outcome == "":
		s.outcome = wire.OutcomeCompleted.String()
	case s.code != "" && s.outcome == wire.OutcomeCompleted.String():
		s.outcome = wire.OutcomeUnknown.String()
	}
}

// answer collects a streamed answer.
type answer struct {
	due       time.Time
	check     bool            // compare the text with that of the engine stand-in
	digest    uint64          // of the prompt
	text      strings.Builder // only with check
	firstText time.Time
	lastText  time.Time
	chunks    int64  // with text
	tokens    int64  // of the usage event; 0: there was none
	code      string // of an error event
}

func (a *answer) add(c chunk) {
	if c.Error != nil {
		a.code = c.Error.Code
	}
	if c.Usage != nil {
		a.tokens = c.Usage.CompletionTokens
	}
	for _, ch := range c.Choices {
		a.addText(ch.Delta.Content)
	}
}

func (a *answer) addText(text string) {
	if text == "" {
		return
	}
	now := time.Now()
	if a.chunks == 0 {
		a.firstText = now
	}
	a.chunks++
	a.lastText = now
	if a.check {
		a.text.WriteString(text)
	}
}

// finish copies the measurements of the answer to s.
func (a *answer) finish(s *sample) {
	s.code = a.code
	if a.chunks == 0 {
		return
	}
	s.ttft = a.firstText.Sub(a.due)
	s.tokens = max(a.tokens, a.chunks)
	if s.tokens > 1 {
		s.meanGap = a.lastText.Sub(a.firstText) / time.Duration(s.tokens-1)
	}
	if a.check {
		s.wrong = !a.matches()
		s.miscounted = a.tokens > 0 && a.tokens != int64(a.text.Len())/enginemodel.TokenBytes
	}
}

// matches reports whether the text is what the engine stand-in generates for the
// prompt.
func (a *answer) matches() bool {
	n := int64(a.text.Len()) / enginemodel.TokenBytes
	return a.text.String() == string(enginemodel.AppendTokens(nil, a.digest, 0, n))
}

func (c *caller) callService(ctx context.Context, target string, s *sample, due time.Time) {
	call := s.request.Call
	var body []byte
	if call.Method != http.MethodGet {
		var err error
		if body, err = serviceBody(s.request); err != nil {
			s.code = codeTransport
			return
		}
	}
	resp, err := c.send(ctx, call.Method, target+"/services/"+call.Service+call.Path, s.request, body)
	if err != nil {
		s.code = codeTransport
		return
	}
	defer resp.Body.Close()
	s.outcome = resp.Header.Get(headerOutcome)
	if resp.StatusCode >= http.StatusBadRequest {
		s.readError(resp.Body)
		return
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		s.code = codeCut
	}
	s.ttft = time.Since(due)
	s.correctOutcome()
}

func (c *caller) send(ctx context.Context, method, url string, r workload.Request, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set(headerAuthorization, "Bearer "+c.cfg.Keys[r.Account])
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	if r.Deadline > 0 {
		req.Header.Set(headerDeadline, strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	}
	if r.Priority != 0 {
		req.Header.Set(headerPriority, strconv.Itoa(int(r.Priority)))
	}
	if r.Call != nil && r.Call.IdempotencyKey != "" {
		req.Header.Set(headerIdempotencyKey, r.Call.IdempotencyKey)
	}
	return c.client.Do(req)
}

// maxErrorBytes is how much of an error answer is read.
const maxErrorBytes = 64 << 10

// readError sets the code from the body of an error answer, or codeHTTP if the
// body has none.
func (s *sample) readError(r io.Reader) {
	var c chunk
	raw, err := io.ReadAll(io.LimitReader(r, maxErrorBytes))
	if err == nil && json.Unmarshal(raw, &c) == nil && c.Error != nil {
		s.code = c.Error.Code
	}
	if s.code == "" {
		s.code = codeHTTP
	}
}
