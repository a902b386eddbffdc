package strictjson

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// walker decodes a syntactically valid text token by token, so that it knows
// where each field begins.
type walker struct {
	doc *Document
	dec *json.Decoder
}

func newWalker(d *Document, data []byte) *walker {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	return &walker{doc: d, dec: dec}
}

// next returns the next token; null is nil. Errors can't occur, as Decode has
// checked the syntax.
func (w *walker) next() json.Token {
	tok, err := w.dec.Token()
	if err != nil {
		return nil
	}
	return tok
}

func (w *walker) line() int { return w.doc.lineOf(int(w.dec.InputOffset()) - 1) }

// value decodes the next value of the text into v.
func (w *walker) value(v reflect.Value, path string) {
	tok := w.next()
	w.noteLine(path)
	if v.Kind() == reflect.Pointer {
		v.Set(reflect.New(v.Type().Elem()))
		v = v.Elem()
	}
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		w.text(u, tok, path)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		w.object(v, tok, path)
	case reflect.Slice:
		w.array(v, tok, path)
	default:
		w.scalar(v, tok, path)
	}
}

func (w *walker) noteLine(path string) {
	if _, ok := w.doc.lines[path]; !ok {
		w.doc.lines[path] = w.line()
	}
}

func (w *walker) object(v reflect.Value, tok json.Token, path string) {
	if tok != json.Delim('{') {
		w.mismatch(tok, "an object", path)
		return
	}
	fields := fieldsOf(v.Type())
	seen := make(map[string]bool)
	for w.dec.More() {
		name, _ := w.next().(string)
		sub := join(path, name)
		index, known := fields[name]
		switch {
		case !known:
			w.doc.addAt(w.line(), sub, "unknown field")
			w.skip(w.next())
		case seen[name]:
			w.doc.addAt(w.line(), sub, "field is given twice")
			w.skip(w.next())
		default:
			w.noteLine(sub)
			w.value(v.Field(index), sub)
		}
		seen[name] = true
	}
	w.next()
}

func (w *walker) array(v reflect.Value, tok json.Token, path string) {
	if tok != json.Delim('[') {
		w.mismatch(tok, "an array", path)
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), 0, 0))
	for i := 0; w.dec.More(); i++ {
		v.Set(reflect.Append(v, reflect.Zero(v.Type().Elem())))
		w.value(v.Index(i), path+"["+strconv.Itoa(i)+"]")
	}
	w.next()
}

// text decodes a string into a value that parses its own text.
func (w *walker) text(u encoding.TextUnmarshaler, tok json.Token, path string) {
	s, ok := tok.(string)
	if !ok {
		w.mismatch(tok, "a string", path)
		return
	}
	if err := u.UnmarshalText([]byte(s)); err != nil {
		w.doc.addUndecoded(path, "%s", err)
	}
}

func (w *walker) scalar(v reflect.Value, tok json.Token, path string) {
	switch v.Kind() {
	case reflect.String:
		if s, ok := tok.(string); ok {
			v.SetString(s)
			return
		}
		w.mismatch(tok, "a string", path)
	case reflect.Bool:
		if b, ok := tok.(bool); ok {
			v.SetBool(b)
			return
		}
		w.mismatch(tok, "true or false", path)
	case reflect.Int, reflect.Int32, reflect.Int64:
		w.integer(v, tok, path)
	case reflect.Float64:
		w.float(v, tok, path)
	default:
		panic(fmt.Sprintf("strictjson: field %q has unsupported type %s", path, v.Type()))
	}
}

func (w *walker) integer(v reflect.Value, tok json.Token, path string) {
	n, ok := tok.(json.Number)
	if !ok {
		w.mismatch(tok, "an integer", path)
		return
	}
	i, err := strconv.ParseInt(n.String(), 10, v.Type().Bits())
	if err != nil {
		w.doc.addUndecoded(path, "%s is not an integer of %d bits", n, v.Type().Bits())
		return
	}
	v.SetInt(i)
}

func (w *walker) float(v reflect.Value, tok json.Token, path string) {
	n, ok := tok.(json.Number)
	if !ok {
		w.mismatch(tok, "a number", path)
		return
	}
	f, err := n.Float64()
	if err != nil {
		w.doc.addUndecoded(path, "%s is out of range", n)
		return
	}
	v.SetFloat(f)
}

// mismatch records a value of the wrong type that begins with tok, and skips it.
func (w *walker) mismatch(tok json.Token, want, path string) {
	w.doc.addUndecoded(path, "want %s, got %s", want, describeToken(tok))
	w.skip(tok)
}

// skip reads to the end of the value that begins with tok.
func (w *walker) skip(tok json.Token) {
	depth := 0
	for {
		switch tok {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return
		}
		tok = w.next()
	}
}

func describeToken(tok json.Token) string {
	switch tok := tok.(type) {
	case nil:
		return "null"
	case string:
		return "a string"
	case bool:
		return "a boolean"
	case json.Number:
		return "the number " + tok.String()
	case json.Delim:
		if tok == '{' {
			return "an object"
		}
		return "an array"
	}
	return "something else"
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// fieldsOf maps the JSON names of a struct to its field indexes.
func fieldsOf(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	return fields
}
