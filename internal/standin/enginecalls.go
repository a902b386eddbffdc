package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/engine/enginehttp"
)

// maxBodyBytes is the maximum size of the body of a submit or load call.
const maxBodyBytes = 64 << 20

func (e *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/sequences", e.serveSubmit)
	mux.HandleFunc("GET /v1/sequences/{id}", e.serveResume)
	mux.HandleFunc("DELETE /v1/sequences/{id}", e.serveCancel)
	mux.HandleFunc("POST /v1/load", e.serveLoad)
	mux.HandleFunc("DELETE /v1/kv/{handle}", e.serveDrop)
	mux.HandleFunc("GET /v1/state", e.serveState)
	mux.HandleFunc("GET /v1/cache-events", e.serveCacheEvents)
	return mux
}

func (e *Engine) serveSubmit(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	sub, body, err := enginehttp.DecodeSubmit(raw)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	prompt, err := parsePrompt(body, sub.ResumeFrom)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.writeAnswer(w, r, e.submit(prompt.apply(sub), prompt.digest), position{})
}

// submit passes a sequence to the model, unless one with the same ID has already ended,
// and returns its answer stream.
func (e *Engine) submit(sub engine.Submit, digest uint64) *answerStream {
	var s *answerStream
	e.withModel(func(now time.Duration) {
		s = e.streams[sub.ID]
		if s == nil {
			s = newAnswerStream(digest, sub.ResumeFrom)
			e.streams[sub.ID] = s
		}
		if !s.ended() {
			e.model.Do(now, engine.Command{Submit: &sub})
		}
	})
	return s
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	from := int64(0)
	if text := r.URL.Query().Get("from"); text != "" {
		var err error
		if from, err = strconv.ParseInt(text, 10, 64); err != nil || from < 0 {
			http.Error(w, "from is not a number of tokens", http.StatusBadRequest)
			return
		}
	}
	s := e.stream(engine.SequenceID(r.PathValue("id")))
	if s == nil {
		http.Error(w, "no such sequence", http.StatusNotFound)
		return
	}
	e.writeAnswer(w, r, s, position{next: from})
}

func (e *Engine) stream(id engine.SequenceID) *answerStream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[id]
}

// writeAnswer streams the lines of an answer until its end. A reader that
// disconnects does not stop the sequence.
func (e *Engine) writeAnswer(w http.ResponseWriter, r *http.Request, s *answerStream, p position) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	enc := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	killed := e.killedSignal()
	for {
		lines, ended, changed := e.readLines(s, &p)
		for _, line := range lines {
			if enc.Encode(line) != nil {
				return
			}
		}
		if ended || flush.Flush() != nil {
			return
		}
		e.await(r, changed, killed)
	}
}

func (e *Engine) readLines(s *answerStream, p *position) ([]enginehttp.Line, bool, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	lines, ended := s.lines(p)
	return lines, ended, s.changed
}

func (e *Engine) killedSignal() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.killed
}

// await waits until changed is closed. If the engine is killed or closed or the
// caller disconnects first, it breaks the connection.
func (e *Engine) await(r *http.Request, changed, killed <-chan struct{}) {
	select {
	case <-changed:
	case <-killed:
		panic(http.ErrAbortHandler)
	case <-e.done:
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	id := engine.SequenceID(r.PathValue("id"))
	e.do(engine.Command{Cancel: &id})
	failed := engine.Failed{ID: id, Reason: engine.FailCancelled}
	if s := e.stream(id); s != nil {
		e.awaitEnd(r, s)
		failed.Rejected = e.wasRejected(s)
	}
	writeJSON(w, http.StatusOK, failed)
}

// awaitEnd waits until a sequence has ended, since a hung engine cancels it only when it
// resumes.
func (e *Engine) awaitEnd(r *http.Request, s *answerStream) {
	killed := e.killedSignal()
	for {
		e.mu.Lock()
		ended, changed := s.ended(), s.changed
		e.mu.Unlock()
		if ended {
			return
		}
		e.await(r, changed, killed)
	}
}

// wasRejected reports whether the sequence failed without the engine having done
// work for it.
func (e *Engine) wasRejected(s *answerStream) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.failed != nil && s.failed.Rejected
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	var l engine.Load
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&l); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	waiter := make(chan engine.Loaded, 1)
	e.withModel(func(now time.Duration) {
		e.loads[l.OrderID] = append(e.loads[l.OrderID], waiter)
		e.model.Do(now, engine.Command{Load: &l})
	})
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	http.NewResponseController(w).Flush()
	killed := e.killedSignal()
	select {
	case loaded := <-waiter:
		json.NewEncoder(w).Encode(loaded)
	case <-killed:
		panic(http.ErrAbortHandler)
	case <-e.done:
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
	}
}

func (e *Engine) serveDrop(w http.ResponseWriter, r *http.Request) {
	handle := r.PathValue("handle")
	e.do(engine.Command{Drop: &handle})
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveState(w http.ResponseWriter, r *http.Request) {
	waiter := make(chan engine.State, 1)
	e.withModel(func(now time.Duration) {
		e.queries = append(e.queries, waiter)
		e.model.Do(now, engine.Command{Query: true})
	})
	killed := e.killedSignal()
	select {
	case st := <-waiter:
		writeJSON(w, http.StatusOK, st)
	case <-killed:
		panic(http.ErrAbortHandler)
	case <-e.done:
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
	}
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	enc := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	killed := e.killedSignal()
	at := e.cache.end()
	for {
		events, next, changed := e.cache.since(at)
		at = next
		for _, ev := range events {
			if enc.Encode(ev) != nil {
				return
			}
		}
		if flush.Flush() != nil {
			return
		}
		e.await(r, changed, killed)
	}
}
