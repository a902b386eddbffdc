package shell

import (
	"net/http"
	"net/textproto"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoilpath.org/trefoilpath/internal/entry"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const maxIdempotencyKeyBytes = 256

// strippedHeaders are not forwarded: hop-by-hop headers, and headers that only
// the entry itself reads or sets.
var strippedHeaders = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Host",
	HeaderDeadline, HeaderPriority, HeaderOutcome,
}

// serveService serves one call of a plain service.
func (e *Entry) serveService(w http.ResponseWriter, r *http.Request) {
	c, ok := e.authenticate(w, r)
	if !ok {
		return
	}
	key := r.Header.Get(HeaderIdempotencyKey)
	if len(key) > maxIdempotencyKeyBytes {
		writeError(w, invalidRequest("header "+HeaderIdempotencyKey+" is too long"))
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
	call := &wire.ServiceCall{
		Service: r.PathValue("name"), Method: r.Method, Path: "/" + r.PathValue("path"), Query: r.URL.RawQuery,
		Headers: forwardedHeaders(r.Header, c.externalID), IdempotencyKey: key,
	}
	x := newExchange(r.Context(), e.nextRequest(), body, e.backlogs, cutWrites(w))
	defer x.close()
	x.service = true
	in := &entry.Request{
		ID: x.id, ExternalID: c.externalID, Account: c.account.ID, Kind: wire.KindService,
		Deadline: c.deadline, Priority: c.priority, BodyBytes: int64(len(body)), BodyDigest: callDigest(call, body), Call: call,
	}
	if !e.submit(x, in) {
		writeError(w, refusal(entry.CodeShutdown, "", time.Second))
		return
	}
	e.relayAnswer(r, c.externalID, x, &serviceSink{w: w, control: http.NewResponseController(w), x: x})
}

// callDigest hashes a call, to detect an idempotency key that is reused for
// another call.
func callDigest(call *wire.ServiceCall, body []byte) uint64 {
	d := xxhash.New()
	for _, s := range []string{call.Method, call.Path, call.Query} {
		_, _ = d.WriteString(s) // never fails
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

// forwardedHeaders returns the headers to send to the service, sorted by name.
func forwardedHeaders(h http.Header, requestID string) []wire.Header {
	var list []wire.Header
	for name, values := range h {
		if slices.Contains(strippedHeaders, textproto.CanonicalMIMEHeaderKey(name)) || name == HeaderRequestID {
			continue
		}
		for _, v := range values {
			list = append(list, wire.Header{Name: name, Value: v})
		}
	}
	list = append(list, wire.Header{Name: HeaderRequestID, Value: requestID})
	slices.SortStableFunc(list, func(a, b wire.Header) int {
		if a.Name < b.Name {
			return -1
		}
		if a.Name > b.Name {
			return 1
		}
		return 0
	})
	return list
}

// serviceSink writes the answer of a plain service to the caller.
type serviceSink struct {
	w           http.ResponseWriter
	control     *http.ResponseController
	x           *exchange
	headersSent bool
}

// piece implements sink.
func (s *serviceSink) piece(head *wire.ReplyHead, p piece) error {
	s.sendHeaders(head)
	_, err := s.w.Write(p.data)
	return err
}

// sendHeaders sends status and headers. The outcome follows as a trailer.
func (s *serviceSink) sendHeaders(head *wire.ReplyHead) {
	if s.headersSent {
		return
	}
	s.headersSent = true
	s.w.Header().Set("Trailer", HeaderOutcome)
	status := http.StatusOK
	if head != nil {
		copyHeaders(s.w.Header(), head.Headers)
		status = head.Status
	}
	s.w.WriteHeader(status)
}

func copyHeaders(dst http.Header, src []wire.Header) {
	for _, h := range src {
		if !slices.Contains(strippedHeaders, textproto.CanonicalMIMEHeaderKey(h.Name)) {
			dst.Add(h.Name, h.Value)
		}
	}
}

// flush implements sink.
func (s *serviceSink) flush() error {
	return s.control.Flush()
}

// final implements sink.
func (s *serviceSink) final(a *entry.Answer) {
	switch {
	case a.Replay != nil:
		s.replay(a)
	case a.Outcome != wire.OutcomeCompleted && !s.headersSent:
		writeError(s.w, answerError(a))
	case a.Outcome != wire.OutcomeCompleted:
		s.w.Header().Set(HeaderOutcome, a.Outcome.String())
		panic(http.ErrAbortHandler) // break the connection, so that the answer is not taken as complete
	default:
		_, head, _ := s.x.take()
		if !s.headersSent { // no data: send the outcome as a header and as a trailer
			s.w.Header().Set(HeaderOutcome, a.Outcome.String())
		}
		s.sendHeaders(head)
		s.w.Header().Set(HeaderOutcome, a.Outcome.String())
	}
}

// replay sends the stored answer of an earlier call with the same key.
func (s *serviceSink) replay(a *entry.Answer) {
	stored := a.Replay
	copyHeaders(s.w.Header(), stored.Headers)
	s.w.Header().Set(HeaderOutcome, a.Outcome.String())
	s.w.Header().Set("X-Replayed", "true")
	if stored.Omitted {
		writeJSON(s.w, http.StatusOK, errorBody{apiError{
			Message: "the call has run; its answer was too large to keep", Type: "replay", Code: "answer_omitted", OutcomeText: a.Outcome.String(),
		}})
		return
	}
	s.w.WriteHeader(stored.Status)
	_, _ = s.w.Write(stored.Body) // an error means that the caller has disconnected
}
