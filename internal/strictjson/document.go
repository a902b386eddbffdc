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

// maxMistakes bounds how many mistakes a document collects.
const maxMistakes = 200

// Document is a decoded file: it knows the line of each field, and collects
// the mistakes of decoding and of the checks that follow. It is not safe for
// concurrent use.
type Document struct {
	file     string
	starts   []int          // offset of the first byte of each line
	lines    map[string]int // line of each field path
	mistakes Mistakes
	broken   bool            // the text could not be decoded at all
	undone   map[string]bool // paths whose values could not be decoded
}

// New returns a document without a file's text, for checks on values that did
// not come from one. Its mistakes carry no lines.
func New(name string) *Document {
	return &Document{file: name}
}

// Decode decodes data into out, a pointer to a struct with json tags. Fields
// that could not be decoded keep their zero value. Mistakes are in the document.
func Decode(file string, data []byte, out any) *Document {
	d := &Document{file: file, starts: lineStarts(data), lines: make(map[string]int), undone: make(map[string]bool)}
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

// Broken reports whether the text could not be decoded at all.
func (d *Document) Broken() bool { return d.broken }

// Add records a mistake at a field path. The line is that of the field or, if
// the field is missing, of the nearest enclosing one. A field that could not be
// decoded has its mistake already, so that further ones are left out.
func (d *Document) Add(field, format string, args ...any) {
	for path := field; path != ""; path = parent(path) {
		if d.undone[path] {
			return
		}
	}
	d.addAt(d.Line(field), field, fmt.Sprintf(format, args...))
}

// Line returns the line of a field path or of the nearest enclosing field, and
// 0 if the document has no text.
func (d *Document) Line(field string) int {
	if len(d.starts) == 0 {
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

func (d *Document) addUndone(field, format string, args ...any) {
	d.addAt(d.Line(field), field, fmt.Sprintf(format, args...))
	d.undone[field] = true
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

func (d *Document) lineOf(offset int) int {
	return max(1, sort.SearchInts(d.starts, offset+1))
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

func parent(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}
