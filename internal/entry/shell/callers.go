package shell

import (
	"crypto/sha256"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/bytebudget"
	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/entry"
	"trefoilpath.org/trefoilpath/internal/httpconn"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Headers of the callers' HTTP interface.
const (
	HeaderDeadline       = "X-Deadline-Ms"
	HeaderPriority       = "X-Priority"
	HeaderRequestID      = "X-Request-Id"
	HeaderOutcome        = "X-Outcome"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	maxRequestIDBytes = 128
	maxDeadline       = 24 * time.Hour
	maxPriority       = 1000
)

// CallerHandler returns the callers' HTTP interface.
func (e *Entry) CallerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", e.serveHealth)
	mux.HandleFunc("GET /readyz", e.serveReady)
	mux.HandleFunc("GET /metrics", e.serveMetrics)
	mux.HandleFunc("GET /v1/models", e.serveModels)
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.serveCompletion(w, r, shapeChat) })
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.serveCompletion(w, r, shapeText) })
	mux.HandleFunc("/services/{name}/{path...}", e.serveService)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, apiError{Status: http.StatusNotFound, Type: "invalid_request_error", Code: "not_found", Message: "no such path: " + r.URL.Path})
	})
	return mux
}

func (e *Entry) serveHealth(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if ok, reason := e.Ready(); !ok {
		http.Error(w, reason, http.StatusServiceUnavailable)
	}
}

// caller holds the account and the options that the headers of a request give.
type caller struct {
	account    *declaration.Account
	externalID string        // of the request
	deadline   time.Duration // 0: not given
	priority   int32
}

// authenticate resolves the bearer key and reads the common headers. If they
// are not acceptable it answers with an error and returns false.
func (e *Entry) authenticate(w http.ResponseWriter, r *http.Request) (caller, bool) {
	c := caller{externalID: e.externalID(r)}
	w.Header().Set(HeaderRequestID, c.externalID)
	snapshot := e.snapshot.Load()
	if snapshot == nil {
		writeError(w, refusal(entry.CodeNotReady, "no declarations yet", time.Second))
		return c, false
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if ok {
		c.account, ok = snapshot.Lookup(declaration.KeyHash(sha256.Sum256([]byte(key))))
	}
	if !ok {
		w.Header().Set("WWW-Authenticate", "Bearer")
		writeError(w, apiError{Status: http.StatusUnauthorized, Type: "authentication_error", Code: "invalid_api_key", Message: "missing or unknown key", Outcome: wire.OutcomeNotRun})
		return c, false
	}
	if err := c.readHeaders(r); err != nil {
		writeError(w, invalidRequest(err.Error()))
		return c, false
	}
	return c, true
}

// externalID returns the X-Request-Id header of the request if it is usable, or a
// new ID.
func (e *Entry) externalID(r *http.Request) string {
	id := r.Header.Get(HeaderRequestID)
	if id != "" && len(id) <= maxRequestIDBytes && printable(id) {
		return id
	}
	return string(e.self()) + "-" + strconv.FormatUint(uint64(e.cfg.Core.Incarnation), 36) + "-" + strconv.FormatUint(e.lastRequest.Add(1), 36)
}

func printable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

func (c *caller) readHeaders(r *http.Request) error {
	if s := r.Header.Get(HeaderDeadline); s != "" {
		ms, err := strconv.ParseInt(s, 10, 64)
		if err != nil || ms <= 0 || time.Duration(ms) > maxDeadline/time.Millisecond {
			return errors.Errorf("header %s: want milliseconds from 1 to %d", HeaderDeadline, maxDeadline/time.Millisecond)
		}
		c.deadline = time.Duration(ms) * time.Millisecond
	}
	if s := r.Header.Get(HeaderPriority); s != "" {
		p, err := strconv.ParseInt(s, 10, 32)
		if err != nil || p < -maxPriority || p > maxPriority {
			return errors.Errorf("header %s: want a number from %d to %d", HeaderPriority, -maxPriority, maxPriority)
		}
		c.priority = int32(p)
	}
	return nil
}

// readBody reads the whole body within the limits of size, time and memory, and charges h for it.
// On failure it answers with an error and returns false.
func (e *Entry) readBody(h *bytebudget.Holder, w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	limit := e.cfg.Limits.MaxBodyBytes
	if r.ContentLength > limit {
		writeError(w, bodyTooLarge(limit))
		return nil, false
	}
	control := http.NewResponseController(w)
	setDeadline := func(t time.Time) { _ = control.SetReadDeadline(t) } // httptest recorders don't support it
	setDeadline(time.Now().Add(time.Duration(e.cfg.Limits.ReadBodyTimeoutMS) * time.Millisecond))
	h.Evictable(func() { setDeadline(pastDeadline) })
	body, err := readAll(h, http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit)
	if h.Settle() && err == nil {
		setDeadline(time.Time{})
		return body, true
	}
	h.Close()
	w.Header().Set("Connection", "close")
	_ = httpconn.ExpectNoBody(w)
	answer := e.bodyError(err)
	e.cfg.Log.Info().Str("event", "body-not-read").Str("request", w.Header().Get(HeaderRequestID)).Str("code", answer.Code).AnErr("detail", err).Send()
	writeError(w, answer)
	return nil, false
}

// readAll reads a body of a stated size; -1: unknown. limit is the bound that r itself enforces.
func readAll(h *bytebudget.Holder, r io.Reader, size, limit int64) ([]byte, error) {
	if size < 0 {
		return h.ReadAll(r, limit+1, false)
	}
	return h.ReadAll(r, size+1, true) // reads to the end, so that the server knows that the body is complete
}

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// bodyError counts and describes a request whose body was not read whole. One that was evicted
// after its last byte has no error.
func (e *Entry) bodyError(err error) apiError {
	var over *http.MaxBytesError
	switch {
	case errors.As(err, &over):
		return bodyTooLarge(e.cfg.Limits.MaxBodyBytes)
	case errors.Is(err, bytebudget.ErrShort):
		e.meters.bodiesRefused.Inc(1)
		return refusal(entry.CodeOverloaded, "memory is short", time.Second)
	}
	e.meters.bodiesIncomplete.Inc(1)
	return apiError{Status: http.StatusRequestTimeout, Type: "invalid_request_error", Code: "body_incomplete", Message: "the body did not arrive whole in time", Outcome: wire.OutcomeNotRun}
}

func bodyTooLarge(limit int64) apiError {
	return apiError{Status: http.StatusRequestEntityTooLarge, Type: "invalid_request_error", Code: "body_too_large", Message: "the body is larger than " + strconv.FormatInt(limit, 10) + " bytes", Outcome: wire.OutcomeNotRun}
}

// submit registers x and passes its request to the core. It returns false once
// the entry has stopped.
func (e *Entry) submit(x *exchange, req *entry.Request) bool {
	e.exchanges.add(x)
	if e.input(entry.Input{Request: req}) {
		return true
	}
	e.exchanges.end(&entry.Answer{ID: x.id, Outcome: wire.OutcomeNotRun, Code: entry.CodeShutdown})
	return false
}

func (e *Entry) serveModels(w http.ResponseWriter, r *http.Request) {
	c, ok := e.authenticate(w, r)
	if !ok {
		return
	}
	list := modelList{Object: "list", Data: []modelInfo{}}
	for _, m := range e.snapshot.Load().Models {
		grant, ok := c.account.Models[m.Name]
		if !ok {
			continue
		}
		list.Data = append(list.Data, modelInfo{ID: m.Name, Object: "model", OwnedBy: "trefoilpath"})
		for _, a := range m.Adapters {
			if grant.Adapters[a] {
				list.Data = append(list.Data, modelInfo{ID: m.Name + adapterSeparator + a, Object: "model", OwnedBy: "trefoilpath"})
			}
		}
	}
	w.Header().Set(HeaderOutcome, wire.OutcomeCompleted.String())
	writeJSON(w, http.StatusOK, list)
}
