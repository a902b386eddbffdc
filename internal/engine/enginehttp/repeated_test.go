package enginehttp_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/engine/enginehttp"
	"trefoilpath.org/trefoilpath/internal/standin"
)

const testTimeout = 10 * time.Second

// collector passes on the text and the final events of sequences.
type collector struct {
	finals chan engine.Event
	texts  chan string
}

func (c *collector) Text(_ engine.SequenceID, _ int, data []byte) { c.texts <- string(data) }

func (c *collector) Event(ev engine.Event) {
	if ev.Finished != nil || ev.Failed != nil {
		c.finals <- ev
	}
}

func next[T any](t *testing.T, from chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("nothing within %v", testTimeout)
		panic("unreachable")
	}
}

// idleWait is the time in which the client of an answer that was read whole keeps its connection.
const idleWait = 50 * time.Millisecond

// newRepeatingClient returns a client of an engine that refuses prompts that begin with
// "refused", answers all others with their prompt, and repeats its previous answer on kept
// connections.
func newRepeatingClient(t *testing.T, status int, refusal string) (*enginehttp.Client, *collector) {
	t.Helper()
	srv, err := standin.NewRepeater(func(_ *http.Request, body []byte) (int, string) {
		_, prompt, err := enginehttp.DecodeSubmit(body)
		if err != nil || bytes.HasPrefix(prompt, []byte("refused")) {
			return status, refusal
		}
		return http.StatusOK, fmt.Sprintf("{\"tokens\":1,\"text\":%q}\n{\"finished\":{\"Output\":1}}\n", prompt)
	})
	if err != nil {
		t.Fatal(err)
	}
	transport := &http.Transport{}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		srv.Close()
	})
	out := &collector{finals: make(chan engine.Event, 8), texts: make(chan string, 8)}
	return enginehttp.New(srv.URL(), out, &http.Client{Transport: transport}), out
}

func TestRepeatedRefusalIsNotTakenForThatOfTheNextSequence(t *testing.T) {
	for name, refusal := range map[string]struct {
		status int
		text   string
	}{
		"status": {http.StatusBadRequest, ""},
		"stream": {http.StatusOK, `{"failed":{"Reason":1,"Rejected":true}}` + "\n"},
	} {
		t.Run(name, func(t *testing.T) {
			c, out := newRepeatingClient(t, refusal.status, refusal.text)
			c.Submit(context.Background(), engine.Submit{ID: "first"}, []byte("refused"))
			if ev := next(t, out.finals); ev.Failed == nil || !ev.Failed.Rejected {
				t.Fatalf("got %+v, want a rejection", ev)
			}
			time.Sleep(idleWait)
			c.Submit(context.Background(), engine.Submit{ID: "second"}, []byte("runs"))
			if ev := next(t, out.finals); ev.Finished == nil {
				t.Errorf("got %+v for a sequence that ran, want that it has finished", ev.Failed)
			}
		})
	}
}

func TestRepeatedAnswerIsNotThatOfTheNextSequence(t *testing.T) {
	c, out := newRepeatingClient(t, http.StatusBadRequest, "")
	for _, prompt := range []string{"of the first caller", "of the second caller", "of the third caller"} {
		c.Submit(context.Background(), engine.Submit{ID: engine.SequenceID(prompt)}, []byte(prompt))
		if got := next(t, out.texts); got != prompt {
			t.Errorf("got the text %q, want %q", got, prompt)
		}
		next(t, out.finals)
		time.Sleep(idleWait)
	}
}

func TestRefusedResumeIsNoProofThatTheSequenceHasNotRun(t *testing.T) {
	for _, status := range []int{http.StatusBadRequest, http.StatusRequestEntityTooLarge} {
		c, out := newRepeatingClient(t, status, "from is out of range")
		c.Resume(context.Background(), "first", 3)
		if ev := next(t, out.finals); ev.Failed == nil || ev.Failed.Rejected {
			t.Errorf("status %d: got %+v, want a failure without rejection", status, ev.Failed)
		}
	}
}
