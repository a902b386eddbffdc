package enginehttp

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"trefoilpath.org/trefoilpath/internal/engine"
)

// counter counts tokens and final events, and checks their order.
type counter struct {
	t      testing.TB
	tokens int64
	ended  int
}

func (c *counter) Text(_ engine.SequenceID, tokens int, _ []byte) {
	if tokens <= 0 || c.ended > 0 {
		c.t.Fatalf("text of %d tokens after %d final events", tokens, c.ended)
	}
	c.tokens += int64(tokens)
}

func (c *counter) Event(ev engine.Event) {
	switch {
	case ev.Progress != nil && ev.Progress.Output != c.tokens:
		c.t.Fatalf("progress %d after %d tokens", ev.Progress.Output, c.tokens)
	case ev.Finished != nil && ev.Finished.Output != c.tokens:
		c.t.Fatalf("finished %d after %d tokens", ev.Finished.Output, c.tokens)
	case ev.Finished != nil || ev.Failed != nil:
		c.ended++
	}
}

const wholeStream = `{"accepted":true}
{"tokens":1,"text":" abcde","first":{"PromptTokens":9}}
{"from":1,"tokens":2,"text":" fghij klmno"}
{"finished":{"PromptTokens":9,"Output":3}}
`

func TestStreamIsReadToItsFinalEvent(t *testing.T) {
	c := &counter{t: t}
	s := &streamReader{id: "a", handler: c}
	if err := s.read(strings.NewReader(wholeStream)); err != nil {
		t.Fatal(err)
	}
	if c.tokens != 3 || c.ended != 1 {
		t.Errorf("%d tokens, %d final events", c.tokens, c.ended)
	}
}

func TestBrokenStreamsAreErrors(t *testing.T) {
	broken := map[string]string{
		"cut":            wholeStream[:strings.Index(wholeStream, `{"finished"`)],
		"gap":            strings.Replace(wholeStream, `"from":1`, `"from":2`, 1),
		"repeat":         strings.Replace(wholeStream, `"from":1,`, ``, 1),
		"wrong count":    strings.Replace(wholeStream, `"Output":3`, `"Output":4`, 1),
		"not JSON":       "{]\n",
		"negative count": `{"tokens":-1,"text":"x"}` + "\n",
		"uncounted text": `{"text":"x"}` + "\n",
		"long line":      `{"text":"` + strings.Repeat("x", MaxLineBytes) + `"}` + "\n",
	}
	for name, stream := range broken {
		c := &counter{t: t}
		s := &streamReader{id: "a", handler: c}
		if err := s.read(strings.NewReader(stream)); err == nil || c.ended != 0 {
			t.Errorf("%s: error %v, %d final events", name, err, c.ended)
		}
	}
}

func FuzzStream(f *testing.F) {
	f.Add([]byte(wholeStream))
	f.Add([]byte(`{"accepted":true}` + "\n" + `{"failed":{"Reason":1,"Rejected":true}}` + "\n"))
	f.Add([]byte(`{"from":9223372036854775807,"tokens":9,"text":"x"}` + "\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		c := &counter{t: t}
		s := &streamReader{id: "a", handler: c}
		err := s.read(bytes.NewReader(raw))
		if (err == nil) != (c.ended == 1) {
			t.Fatalf("error %v with %d final events", err, c.ended)
		}
	})
}

func TestSubmitRoundTrip(t *testing.T) {
	sub := engine.Submit{ID: "e/1/2", Model: "m", Prefixes: []uint64{1 << 63}, ResumeFrom: 4}
	raw, err := EncodeSubmit(sub, []byte("{\n}"))
	if err != nil {
		t.Fatal(err)
	}
	got, body, err := DecodeSubmit(raw)
	if err != nil || string(body) != "{\n}" {
		t.Fatalf("body %q, error %v", body, err)
	}
	if diff := cmp.Diff(sub, got); diff != "" {
		t.Error(diff)
	}
}
