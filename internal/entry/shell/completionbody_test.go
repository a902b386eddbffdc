package shell

import (
	"runtime"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestContinueBodyAppendsDeliveredText(t *testing.T) {
	for _, c := range []struct {
		shape shape
		body  string
	}{
		{shapeText, `{"model":"m","prompt":"one two","max_tokens":9,"seed":4}`},
		{shapeChat, `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"one "},{"type":"text","text":"two"}]}],"max_tokens":9}`},
		{shapeText, `{"model":"m","Prompt":"one two","max_tokens":9}`},
		{shapeText, `{"model":"m","prompt":"zero","PROMPT":"one two","max_tokens":9}`},
		{shapeText, `{"model":"m","PROMPT":"zero","prompt":"one two","max_tokens":9}`},
		{shapeChat, `{"model":"m","MESSAGES":[{"role":"user","content":"one two"}],"max_tokens":9}`},
	} {
		out, err := continueBody([]byte(c.body), c.shape, []byte(" three"))
		if err != nil {
			t.Fatal(err)
		}
		got, err := parseCompletion(out, c.shape)
		if err != nil {
			t.Fatal(err)
		}
		want := completion{shape: c.shape, model: "m", prompt: "one two three", maxOutput: 9}
		if diff := cmp.Diff(want, *got, cmp.AllowUnexported(completion{})); diff != "" {
			t.Fatalf("body differs (-want +got):\n%s", diff)
		}
	}
}

func FuzzParseCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"x","stream":true}`), true)
	f.Add([]byte(`{"model":"m:a","messages":[{"role":"user","content":"x"}],"max_tokens":3}`), false)
	f.Add([]byte(`{"model":"m","prompt":["a"],"n":1}`), true)
	f.Add([]byte(`{"model":"m","Prompt":"x","prompt":"y"}`), true)
	f.Fuzz(func(t *testing.T, body []byte, text bool) {
		s := shapeChat
		if text {
			s = shapeText
		}
		c, err := parseCompletion(body, s)
		if err != nil {
			return
		}
		if c.model == "" || c.maxOutput < 0 || c.maxOutput > maxOutputTokens {
			t.Fatalf("accepted %+v", c)
		}
		more, err := continueBody(body, s, []byte("rest"))
		if err != nil {
			t.Fatalf("accepted body can't be continued: %v", err)
		}
		again, err := parseCompletion(more, s)
		if err != nil || again.prompt != c.prompt+"rest" {
			t.Fatalf("continued body: %+v, %v", again, err)
		}
	})
}

func TestManySmallMessagesTakeNoMoreThanAFewTimesTheirSize(t *testing.T) {
	const size, most = 1 << 20, 6 // bytes of the list, and times that may be allocated
	list := strings.Repeat("{},", size/3) + "{}"
	for name, body := range map[string]string{
		"messages": `{"model":"m","messages":[` + list + `]}`,
		"parts":    `{"model":"m","messages":[{"content":[` + list + `]}]}`,
	} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := parseCompletion([]byte(body), shapeChat)
		runtime.ReadMemStats(&after)
		if allocated := after.TotalAlloc - before.TotalAlloc; allocated > most*size {
			t.Errorf("%s: %d bytes are allocated for %d (result: %v)", name, allocated, len(body), err)
		}
	}
}
