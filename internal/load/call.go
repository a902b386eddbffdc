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

// sample is what became of one request.
type sample struct {
	request workload.Request
	outcome string // of the answer; empty: none was received
	code    string // of an error answer
	late    bool   // ended after its deadline
	wrong   bool   // the answer differs from the one expected
	// miscounted is set if the usage count differs from the tokens received.
	miscounted bool
	first      time.Duration
	total      time.Duration
	tokens     int64         // output tokens received
	between    time.Duration // mean time between tokens; 0 with fewer than two
}

// Codes of requests that got no answer.
const (
	codeTransport = "transport_error"
	codeCut       = "stream_cut"
)

// caller sends single requests.
type caller struct {
	cfg    *Config
	client *http.Client
}

// do sends one request that was due at the given time.
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

// lateTolerance allows for the way back to the caller.
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
	s.settle()
}

// settle fills in the outcome of an answer whose headers came before its end.
func (s *sample) settle() {
	switch {
	case s.code == "" && s.outcome == "":
		s.outcome = wire.OutcomeCompleted.String()
	case s.code != "" && s.outcome == wire.OutcomeCompleted.String():
		s.outcome = wire.OutcomeUnknown.String()
	}
}

// answer collects a streamed answer.
type answer struct {
	due    time.Time
	check  bool
	digest uint64
	text   strings.Builder
	first  time.Time
	last   time.Time
	chunks int64
	tokens int64 // as counted by the service
	code   string
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
		a.first = now
	}
	a.chunks++
	a.last = now
	if a.check {
		a.text.WriteString(text)
	}
}

func (a *answer) finish(s *sample) {
	s.code = a.code
	if a.chunks == 0 {
		return
	}
	s.first = a.first.Sub(a.due)
	s.tokens = max(a.tokens, a.chunks)
	if s.tokens > 1 {
		s.between = a.last.Sub(a.first) / time.Duration(s.tokens-1)
	}
	if a.check {
		s.wrong = !a.matches()
		s.miscounted = a.tokens > 0 && a.tokens != int64(a.text.Len())/enginemodel.TokenBytes
	}
}

// matches compares the answer with the one that the engine stand-in gives.
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
	s.first = time.Since(due)
	s.settle()
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

// maxErrorBytes bounds an error answer.
const maxErrorBytes = 64 << 10

// readError takes the code from an error answer.
func (s *sample) readError(r io.Reader) {
	var c chunk
	raw, err := io.ReadAll(io.LimitReader(r, maxErrorBytes))
	if err == nil && json.Unmarshal(raw, &c) == nil && c.Error != nil {
		s.code = c.Error.Code
	}
	if s.code == "" {
		s.code = "http_error"
	}
}
