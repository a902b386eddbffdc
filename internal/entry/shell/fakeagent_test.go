package shell

import (
	"net/http"
	"sync"
	"testing"

	"trefoilpath.org/trefoilpath/internal/answer"
	"trefoilpath.org/trefoilpath/internal/transport"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// fakeAgent answers every attempt over a real stream: for an engine with the words
// of text, for a service with "got " and the body of the request.
type fakeAgent struct {
	t      testing.TB
	hello  wire.Hello
	text   []string
	hold   bool // start attempts but never answer
	brief  bool // answer for a service with "got " only
	stream *transport.EntryStream

	mu         sync.Mutex
	bodies     map[wire.AttemptID][]byte
	dispatched []wire.Dispatch
	cancelled  []wire.AttemptID // by the entry
}

func startFakeAgent(t testing.TB, client *http.Client, url string, a *fakeAgent) *fakeAgent {
	t.Helper()
	a.t = t
	a.bodies = make(map[wire.AttemptID][]byte)
	s, err := transport.DialEntry(t.Context(), client, url, a.receive)
	if err != nil {
		t.Fatal(err)
	}
	a.mu.Lock()
	a.stream = s
	a.mu.Unlock()
	a.send(wire.ToEntry{Hello: &a.hello})
	a.send(wire.ToEntry{Report: &wire.Report{Sequence: 1, Have: a.hello.Have, FreeTokens: a.hello.Capacity}})
	t.Cleanup(s.Close)
	return a
}

func (a *fakeAgent) send(m wire.ToEntry) {
	a.mu.Lock()
	s := a.stream
	a.mu.Unlock()
	if err := s.Send(m); err != nil {
		a.t.Logf("send: %v", err)
	}
}

func (a *fakeAgent) receive(m *wire.ToAgent) {
	switch {
	case m.Dispatch != nil:
		a.mu.Lock()
		a.dispatched = append(a.dispatched, *m.Dispatch)
		a.mu.Unlock()
		if m.Dispatch.BodyBytes == 0 {
			a.run(m.Dispatch.Attempt, nil)
		}
	case m.Body != nil:
		a.mu.Lock()
		a.bodies[m.Body.Attempt] = append(a.bodies[m.Body.Attempt], m.Body.Data...)
		body := a.bodies[m.Body.Attempt]
		a.mu.Unlock()
		if m.Body.Last {
			a.run(m.Body.Attempt, body)
		}
	case m.Cancel != nil:
		a.mu.Lock()
		a.cancelled = append(a.cancelled, m.Cancel.Attempt)
		a.mu.Unlock()
	}
}

func (a *fakeAgent) run(id wire.AttemptID, body []byte) {
	a.send(wire.ToEntry{Started: &wire.Started{Attempt: id}})
	if a.hold {
		return
	}
	f := answer.NewFramer(id)
	total := wire.FrameTotal{FinishReason: "stop", PromptTokens: 11, OutputTokens: int64(len(a.text))}
	if a.hello.Kind == wire.KindService {
		a.frame(f.Head(wire.ReplyHead{Status: http.StatusCreated, Headers: []wire.Header{{Name: "Content-Type", Value: "text/plain"}}}))
		if a.brief {
			body = nil
		}
		a.frame(f.Data(append([]byte("got "), body...), 0))
	}
	for _, word := range a.text {
		a.frame(f.Data([]byte(word), 1))
	}
	a.frame(f.Close(total))
	a.send(wire.ToEntry{Finished: &wire.Finished{Attempt: id, OutputTokens: total.OutputTokens}})
}

func (a *fakeAgent) frame(f wire.Frame) { a.send(wire.ToEntry{Frame: &f}) }

func (a *fakeAgent) dispatches() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.dispatched)
}

func (a *fakeAgent) cancels() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.cancelled)
}
