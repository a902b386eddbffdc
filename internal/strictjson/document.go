package strictjson

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"sort"
	"strings"
	"unicode/utf8"
)

// maxMistakes bounds how many mistakes a document collects; it drops the rest.
const maxMistakes = 200

// Document is a decoded file: it knows the line of each field, and collects
// the mistakes of decoding and of the checks that follow. It is not safe for
// concurrent use.
type Document struct {
	file        string
	lineOffsets []int          // offset of the first byte of each line
	lines       map[string]int // line of each field path
	mistakes    Mistakes
	broken      bool            // the text is not valid UTF-8 or not JSON
	undecoded   map[string]bool // paths whose values could not be decoded
}

// New returns a document without text, for checks on values that did not come
// from a file. Its mistakes carry no lines.
func New(name string) *Document {
	return &Document{file: name}
}

// Decode decodes data into out, a pointer to a struct with json tags. Fields
// that are left out or could not be decoded keep the value that out has. Values
// behind pointers and in slices are allocated anew, so such fields in them are
// zero. The document holds the mistakes.
func Decode(file string, data []byte, out any) *Document {
	d := &Document{file: file, lineOffsets: lineStarts(data), lines: make(map[string]int), undecoded: make(map[string]bool)}
	if !utf8.Valid(data) {
		d.broken = true
		d.addAt(d.lineOf(invalidOffset(data)), "", "the text is not valid UTF-8")
		return d
	}
	var raw json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		d.broken = true
		d.addSyntax(err, len(data))
		return d
	}
	w := newWalker(d, data)
	w.value(reflect.ValueOf(out).Elem(), "")
	return d
}

// Broken reports whether the text is not valid UTF-8 or not JSON.
func (d *Document) Broken() bool { return d.broken }

// Add records a mistake at a field path. The line is that of the field or, if
// the field is missing, of the nearest enclosing one. Nothing is recorded for a
// field that could not be decoded or that lies in such a field, as there is a
// mistake already.
func (d *Document) Add(field, format string, args ...any) {
	for path := field; path != ""; path = parent(path) {
		if d.undecoded[path] {
			return
		}
	}
	d.addAt(d.Line(field), field, fmt.Sprintf(format, args...))
}

// Line returns the line of a field path or of the nearest enclosing field, and
// 0 if the document has no text.
func (d *Document) Line(field string) int {
	if len(d.lineOffsets) == 0 {
		return 0
	}
	for path := field; path != ""; path = parent(path) {
		if line, ok := d.lines[path]; ok {
			return line
		}
	}
	return 1
}

// Err returns the mistakes as an error of type Mistakes, or nil.
func (d *Document) Err() error { return Join(d) }

// addUndecoded records why the value of a field could not be decoded.
func (d *Document) addUndecoded(field, format string, args ...any) {
	d.addAt(d.Line(field), field, fmt.Sprintf(format, args...))
	d.undecoded[field] = true
}

func (d *Document) addAt(line int, field, problem string) {
	if len(d.mistakes) >= maxMistakes {
		return
	}
	d.mistakes = append(d.mistakes, Mistake{File: d.file, Line: line, Field: field, Problem: problem})
}

func (d *Document) addSyntax(err error, size int) {
	offset := size
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset = int(syntax.Offset) - 1
	}
	d.addAt(d.lineOf(offset), "", "not JSON: "+err.Error())
}

// lineOf returns the line, from 1, that holds the byte at offset.
func (d *Document) lineOf(offset int) int {
	return max(1, sort.SearchInts(d.lineOffsets, offset+1))
}

func lineStarts(data []byte) []int {
	starts := []int{0}
	for i, c := range data {
		if c == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

func invalidOffset(data []byte) int {
	for i := 0; i < len(data); {
		r, size := utf8.DecodeRune(data[i:])
		if r == utf8.RuneError && size <= 1 {
			return i
		}
		i += size
	}
	return len(data)
}

// parent returns the path of the enclosing field, or "" at the top.
func parent(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}
