package jsonstream

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/pkg/errors"
)

// document has a member of each type that a Reader reads.
type document struct {
	Text   string   `json:"text"`
	Bytes  []byte   `json:"bytes"`
	Number uint64   `json:"number"`
	Bool   bool     `json:"bool"`
	List   []uint64 `json:"list"`
}

func read(in io.Reader) (document, error) {
	const limit = 1 << 20
	var d document
	r := NewReader(in)
	err := r.Object(func(name string) (err error) {
		var text []byte
		switch name {
		case "text":
			text, _, err = r.String(limit)
			d.Text = string(text)
		case "bytes":
			d.Bytes, _, err = r.Base64(limit)
		case "number":
			d.Number, err = r.Uint64()
		case "bool":
			d.Bool, err = r.Bool()
		case "list":
			d.List = nil
			err = r.Array(func() error {
				n, err := r.Uint64()
				d.List = append(d.List, n)
				return err
			})
		default:
			err = r.Skip()
		}
		return err
	})
	if err == nil {
		err = r.End()
	}
	return d, err
}

var documents = []string{
	`{}`, `null`, ` { "text" : "a" , "bytes":"AAEC", "number": 7,"bool":true,"list":[1, 2,3]} `,
	`{"text":"a\"b\\\u00e9\n ü","bytes":"\/\/\/\/","number":18446744073709551615,"bool":false,"list":[]}`,
	`{"text":null,"bytes":null,"number":null,"bool":null,"list":null}`,
	`{"other":{"a":[1,-2.5e3,"x\"]}",true,false,null,{}]},"text":"after"}`,
	`{"text":"` + strings.Repeat("long ", 20_000) + `","number":1}`, `{"bytes":"` + strings.Repeat("AAAA", 30_000) + `"}`,
	`{"a\"b":1,"text":"\\"}`,
}

func TestReaderReadsAsEncodingJSON(t *testing.T) {
	for _, text := range documents {
		var want document
		if err := json.Unmarshal([]byte(text), &want); err != nil {
			t.Fatal(err)
		}
		for name, in := range map[string]io.Reader{"whole": strings.NewReader(text), "byte by byte": iotest.OneByteReader(strings.NewReader(text))} {
			got, err := read(in)
			if diff := cmp.Diff(want, got, cmpopts.EquateEmpty()); err != nil || diff != "" {
				t.Errorf("%s: %.80s: %v\n%s", name, text, err, diff)
			}
		}
	}
}

func TestMalformedTextIsAnError(t *testing.T) {
	for _, text := range []string{
		``, `{`, `{"text":"a`, `{"text":"a\`, `{"text":"a"`, `{"text":"a"}x`, `{"text" "a"}`, `{"text":"a",}`, `{,}`, `{"list":[1,]}`, `{"list":[1 2]}`,
		`{"number":-1}`, `{"number":1.5}`, `{"number":01}`, `{"number":"1"}`, `{"number":18446744073709551616}`, `{"number":` + strings.Repeat("1", 100) + `}`,
		`{"bytes":"A"}`, `{"bytes":"A*=="}`, `{"bool":1}`, `{"bool":tru}`, `{"text":"\x"}`, "{\"text\":\"\x01\"}", `{"other":nul}`, `{"other":}`, `[]`, `7`,
		strings.Repeat(`{"a":`, 100_000), `{"a":` + strings.Repeat(`[`, 100_000),
	} {
		if d, err := read(strings.NewReader(text)); err == nil {
			t.Errorf("%.60q is read as %+v, want an error", text, d)
		}
	}
}

func TestErrorsOfTheUnderlyingReaderAreKept(t *testing.T) {
	broken := errors.New("broken")
	for _, text := range documents {
		for n := range min(len(text), 100) {
			in := io.MultiReader(strings.NewReader(text[:n]), iotest.ErrReader(broken))
			if _, err := read(in); err != nil && !errors.Is(err, broken) && !errors.Is(err, ErrSyntax) {
				t.Fatalf("%.40q cut after %d bytes: %v", text, n, err)
			}
		}
	}
}

// TestLongStringsAreSkippedWithoutBeingHeld guards against the memory of strings that nobody wants.
func TestLongStringsAreSkippedWithoutBeingHeld(t *testing.T) {
	const limit = 100
	long := strings.Repeat("A", 8<<20)
	r := NewReader(strings.NewReader(`["` + long + `","` + long + `",` + `"` + strings.Repeat("A", limit) + `","` + long + `"]`))
	var fits []bool
	n := 0
	err := r.Array(func() error {
		n++
		var ok bool
		var err error
		if n == 1 {
			_, ok, err = r.Base64(limit)
		} else {
			_, ok, err = r.String(limit)
		}
		fits = append(fits, ok)
		return err
	})
	if err != nil || !cmp.Equal(fits, []bool{false, false, true, false}) || r.Held() > 2*bufferSize {
		t.Errorf("fits %v, %v, %d bytes are held", fits, err, r.Held())
	}
}

// decode is read by encoding/json, with names matched to the letter.
func decode(text []byte) (document, error) {
	var d document
	var members map[string]json.RawMessage
	if err := json.Unmarshal(text, &members); err != nil {
		return d, err
	}
	for name, field := range map[string]any{"text": &d.Text, "bytes": &d.Bytes, "number": &d.Number, "bool": &d.Bool, "list": &d.List} {
		value, ok := members[name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(value, field); err != nil {
			return d, err
		}
		if name == "bytes" && value[0] == '[' {
			return d, ErrSyntax // encoding/json takes numbers for bytes
		}
	}
	return d, nil
}

// FuzzReader checks that what encoding/json accepts is read alike.
func FuzzReader(f *testing.F) {
	for _, text := range documents {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		got, err := read(bytes.NewReader(text))
		want, refused := decode(text)
		if refused != nil || len(text) > maxNumber && bytes.ContainsAny(text, "0123456789") || len(text) > maxDepth {
			return
		}
		if err != nil || !cmp.Equal(want, got, cmpopts.EquateEmpty()) {
			t.Errorf("%q: %+v, %v, want %+v", text, got, err, want)
		}
	})
}
