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

// hopHeaders are the headers that end at this hop, and those that only the
// entry itself reads or sets.
var hopHeaders = []string{
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
		writeError(w, invalid("header "+HeaderIdempotencyKey+" is too long"))
		return
	}
	if !e.streams.take(c.account.ID) {
		writeError(w, refusal(entry.CodeConcurrency, "too many open requests at this entry", time.Second))
		return
	}
	defer e.streams.release(c.account.ID)
	body, ok := e.readBody(w, r)
	if !ok {
		return
	}
	call := &wire.ServiceCall{
		Service: r.PathValue("name"), Method: r.Method, Path: "/" + r.PathValue("path"), Query: r.URL.RawQuery,
		Headers: forwarded(r.Header, c.id), IdempotencyKey: key,
	}
	x := newExchange(e.nextRequest(), body)
	x.service = true
	in := &entry.Request{
		ID: x.id, ExternalID: c.id, Account: c.account.ID, Kind: wire.KindService,
		Deadline: c.deadline, Priority: c.priority, BodyBytes: int64(len(body)), BodyDigest: callDigest(call, body), Call: call,
	}
	if !e.submit(x, in) {
		writeError(w, refusal(entry.CodeShutdown, "", time.Second))
		return
	}
	e.follow(r, x, &serviceSink{w: w, control: http.NewResponseController(w), x: x})
}

// callDigest identifies a call for its idempotency key.
func callDigest(call *wire.ServiceCall, body []byte) uint64 {
	d := xxhash.New()
	for _, s := range []string{call.Method, call.Path, call.Query} {
		_, _ = d.WriteString(s) // never fails
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

// forwarded returns the headers that go on to the service, in a fixed order.
func forwarded(h http.Header, requestID string) []wire.Header {
	var list []wire.Header
	for name, values := range h {
		if slices.Contains(hopHeaders, textproto.CanonicalMIMEHeaderKey(name)) || name == HeaderRequestID {
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

// serviceSink passes the answer of a plain service on.
type serviceSink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	x       *exchange
	begun   bool
}

// piece implements sink.
func (s *serviceSink) piece(head *wire.ReplyHead, p piece) error {
	s.begin(head)
	_, err := s.w.Write(p.data)
	return err
}

// begin sends status and headers. The outcome follows as a trailer.
func (s *serviceSink) begin(head *wire.ReplyHead) {
	if s.begun {
		return
	}
	s.begun = true
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
		if !slices.Contains(hopHeaders, textproto.CanonicalMIMEHeaderKey(h.Name)) {
			dst.Add(h.Name, h.Value)
		}
	}
}

// flush implements sink.
func (s *serviceSink) flush() error {
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout)) // recorders in tests have none
	return s.control.Flush()
}

// final implements sink.
func (s *serviceSink) final(a *entry.Answer) {
	switch {
	case a.Replay != nil:
		s.replay(a)
	case a.Outcome != wire.OutcomeCompleted && !s.begun:
		writeError(s.w, describe(a))
	case a.Outcome != wire.OutcomeCompleted:
		s.w.Header().Set(HeaderOutcome, a.Outcome.String())
		panic(http.ErrAbortHandler) // the caller must not take the answer for whole
	default:
		_, head, _ := s.x.take()
		if !s.begun {
			s.w.Header().Set(HeaderOutcome, a.Outcome.String())
		}
		s.begin(head)
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
			Message: "the call has run; its answer was too large to keep", Type: "replay", Code: "answer_omitted", OutcomeTag: a.Outcome.String(),
		}})
		return
	}
	s.w.WriteHeader(stored.Status)
	_, _ = s.w.Write(stored.Body) // the caller has gone away
}
