package logging

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strconv"
	"sync"

	"github.com/rs/zerolog"
)

// pairWriter writes each event, which zerolog encodes as a JSON object in one line, as a line
// of key=value pairs to out: time, level and error first, the others sorted by key. A value with
// characters other than printable ASCII without space, quote and backslash is quoted as in Go.
type pairWriter struct{ out io.Writer }

// pair is a field of an event. Its value is JSON.
type pair struct{ key, value []byte }

// pairLine holds the buffers for one line.
type pairLine struct {
	pairs []pair
	text  []byte
}

var pairLines = sync.Pool{New: func() any { return new(pairLine) }}

// Write implements io.Writer.
func (w pairWriter) Write(event []byte) (int, error) {
	l := pairLines.Get().(*pairLine)
	defer pairLines.Put(l)
	l.pairs, l.text = splitObject(l.pairs[:0], event), l.text[:0]
	slices.SortStableFunc(l.pairs, comparePairs)
	for i, p := range l.pairs {
		if i+1 < len(l.pairs) && bytes.Equal(l.pairs[i+1].key, p.key) {
			continue // of fields with the same key the last one counts
		}
		if len(l.text) > 0 {
			l.text = append(l.text, ' ')
		}
		l.text = append(l.text, p.key...)
		l.text = append(l.text, '=')
		l.text = appendValue(l.text, p.value)
	}
	l.text = append(l.text, '\n')
	if _, err := w.out.Write(l.text); err != nil {
		return 0, err
	}
	return len(event), nil
}

func comparePairs(a, b pair) int {
	if c := rank(a.key) - rank(b.key); c != 0 {
		return c
	}
	return bytes.Compare(a.key, b.key)
}

// rank is the place of a field before those that are sorted by key.
func rank(key []byte) int {
	switch string(key) {
	case zerolog.TimestampFieldName:
		return 0
	case zerolog.LevelFieldName:
		return 1
	case zerolog.ErrorFieldName:
		return 2
	}
	return 3
}

// splitObject appends the fields of a JSON object to pairs. What is no JSON ends it.
func splitObject(pairs []pair, object []byte) []pair {
	rest := bytes.TrimLeft(object, "{ ")
	for len(rest) > 0 && rest[0] == '"' {
		n := valueLen(rest)
		if n+1 >= len(rest) || rest[n] != ':' {
			break
		}
		key := rest[1 : n-1]
		rest = rest[n+1:]
		n = valueLen(rest)
		pairs = append(pairs, pair{key, rest[:n]})
		rest = bytes.TrimLeft(rest[n:], ",")
	}
	return pairs
}

// valueLen returns the length of the JSON value at the beginning of text.
func valueLen(text []byte) int {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			if i = stringEnd(text, i); depth == 0 {
				return min(i+1, len(text))
			}
		case '[', '{':
			depth++
		case ']', '}':
			if depth--; depth == 0 {
				return i + 1
			}
			if depth < 0 {
				return i
			}
		case ',':
			if depth == 0 {
				return i
			}
		}
	}
	return len(text)
}

// stringEnd returns the index of the quote that ends the string that begins at text[begin], or
// len(text).
func stringEnd(text []byte, begin int) int {
	for i := begin + 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(text)
}

// appendValue appends a JSON value to a line. Strings that are plain lose their quotes.
func appendValue(line, value []byte) []byte {
	if len(value) < 2 || value[0] != '"' {
		return append(line, value...)
	}
	inner := value[1 : len(value)-1]
	if !bytes.ContainsFunc(inner, needsQuote) {
		return append(line, inner...)
	}
	if bytes.IndexByte(inner, '\\') < 0 {
		return strconv.AppendQuote(line, string(inner))
	}
	var decoded string
	if json.Unmarshal(value, &decoded) != nil {
		return append(line, value...)
	}
	return strconv.AppendQuote(line, decoded)
}

func needsQuote(r rune) bool { return r <= ' ' || r > '~' || r == '\\' || r == '"' }
