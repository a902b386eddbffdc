package shell

import (
	"net/http"
	"testing"

	"trefoilpath.org/trefoilpath/internal/agent"
	"trefoilpath.org/trefoilpath/internal/standin"
	"trefoilpath.org/trefoilpath/internal/wire"
)

func TestRepeatedAnswerOfAServiceIsNotThatOfTheNextCall(t *testing.T) {
	svc, err := standin.NewRepeater(func(_ *http.Request, body []byte) (int, string) { return http.StatusOK, "answer to " + string(body) })
	if err != nil {
		t.Fatal(err)
	}
	defer svc.Close()
	e := newFakeEntry(t)
	startAgent(t, e, Config{Core: agent.Config{Kind: wire.KindService, Service: "mostrador-pedidos"}, EndpointURL: svc.URL()})
	for n, body := range []string{"maple-1", "maple-2", "maple-3"} {
		id := attemptID(uint64(n + 1))
		e.sendDispatch(serviceDispatch(id.Sequence), body)
		e.until("answer", func() bool { return e.done(id) && e.outcome[id] != "" })
		e.mu.Lock()
		if got, want := e.text[id], "answer to "+body; got != want {
			t.Errorf("call %d got the answer %q, want %q", n+1, got, want)
		}
		e.mu.Unlock()
	}
}
