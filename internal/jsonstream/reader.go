package jsonstream

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"encoding/json"
	"io"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

const (
	bufferSize = 32 << 10
	// maxName bounds the names of members in bytes, as they are written. A longer one counts as empty.
	maxName = 1 << 10
	// maxNumber bounds a number in bytes.
	maxNumber = 64
	// maxDepth bounds how deep arrays and objects are nested.
	maxDepth = 1000
)

// ErrSyntax is returned, wrapped, for a text that is not JSON or that has a value of another type than
// its caller asks for. Errors of the underlying reader are returned as they are, wrapped.
var ErrSyntax = errors.New("unexpected JSON")

// Reader reads one JSON text. Object, Array, String, Base64, Uint64, Bool and Skip each read one value. A
// null is read as an empty value of any type. It is not safe for concurrent use.
type Reader struct {
	in     *bufio.Reader
	text   []byte          // the last string as it is written, with its first quote
	digits [maxNumber]byte // the last number as it is written
	depth  int
}

// NewReader returns a Reader of the text that in delivers.
func NewReader(in io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(in, bufferSize)} }

// Held returns the number of bytes of the buffers.
func (r *Reader) Held() int { return r.in.Size() + cap(r.text) }

// Object calls member with the name of each member of an object. member must read the member's value.
func (r *Reader) Object(member func(name string) error) error {
	return r.list('{', '}', func() error {
		name, _, err := r.String(maxName)
		if err != nil {
			return err
		}
		// The name must not be used after the value has been read.
		text := string(name)
		if err := r.expect(':'); err != nil {
			return err
		}
		return member(text)
	})
}

// Array calls element for each element of an array. element must read it.
func (r *Reader) Array(element func() error) error { return r.list('[', ']', element) }

// list reads an array or an object, whose parts part reads.
func (r *Reader) list(begin, end byte, part func() error) error {
	c, err := r.next()
	switch {
	case err != nil:
		return err
	case c == 'n':
		return r.literal("null")
	case c != begin:
		return errors.Wrapf(ErrSyntax, "%q for %q", c, begin)
	}
	if r.depth++; r.depth > maxDepth {
		return errors.Wrap(ErrSyntax, "nested too deep")
	}
	r.skipByte()
	if c, err = r.next(); err != nil {
		return err
	}
	for first := true; c != end; first = false {
		if !first {
			if err := r.expect(','); err != nil {
				return err
			}
		}
		if err := part(); err != nil {
			return err
		}
		if c, err = r.next(); err != nil {
			return err
		}
	}
	r.skipByte()
	r.depth--
	return nil
}

// String reads a string. If it has more than limit bytes as it is written, it is skipped, and fits is
// false. The text is valid until the next string is read.
func (r *Reader) String(limit int) (text []byte, fits bool, err error) {
	null, plain, fits, err := r.raw(limit)
	if err != nil || null || !fits {
		return nil, fits, err
	}
	for _, c := range r.text[1:] {
		plain = plain && c >= ' ' && c < 0x80
	}
	if plain {
		return r.text[1:], true, nil
	}
	var s string
	if err := json.Unmarshal(append(r.text, '"'), &s); err != nil {
		return nil, false, errors.Wrap(ErrSyntax, err.Error())
	}
	return []byte(s), true, nil
}

// Base64 reads the bytes that a string has in standard base64 with padding. If the string has more than
// limit bytes as it is written, it is skipped, and fits is false.
func (r *Reader) Base64(limit int) (value []byte, fits bool, err error) {
	null, plain, fits, err := r.raw(limit)
	if err != nil || null || !fits {
		return nil, fits, err
	}
	if !plain {
		if err := json.Unmarshal(append(r.text, '"'), &value); err != nil {
			return nil, false, errors.Wrap(ErrSyntax, err.Error())
		}
		return value, true, nil
	}
	value = make([]byte, base64.StdEncoding.DecodedLen(len(r.text)-1))
	n, err := base64.StdEncoding.Decode(value, r.text[1:])
	if err != nil {
		return nil, false, errors.Wrap(ErrSyntax, err.Error())
	}
	return value[:n], true, nil
}

// raw reads a string into r.text, with its first quote. plain reports that it has no escapes.
func (r *Reader) raw(limit int) (null, plain, fits bool, err error) {
	switch c, err := r.next(); {
	case err != nil:
		return false, false, false, err
	case c == 'n':
		return true, true, true, r.literal("null")
	case c != '"':
		return false, false, false, errors.Wrapf(ErrSyntax, "%q for a string", c)
	}
	r.skipByte()
	r.text = append(r.text[:0], '"')
	plain, fits = true, true
	for {
		piece, end, err := r.piece()
		if err != nil {
			return false, false, false, err
		}
		if fits = fits && len(r.text)-1+len(piece) <= limit; fits {
			r.text = append(r.text, piece...)
		}
		escaped := !end && bytes.IndexByte(piece, '\\') >= 0
		plain = plain && !escaped
		if _, err := r.in.Discard(len(piece)); err != nil {
			return false, false, false, errors.Wrap(err, "read JSON")
		}
		if end {
			r.skipByte()
			return false, plain, fits, nil
		}
	}
}

// piece returns the next part of a string without reading it: up to the closing quote if end is set, a
// whole escape, or what is buffered before either.
func (r *Reader) piece() (piece []byte, end bool, err error) {
	if _, err := r.in.Peek(1); err != nil {
		return nil, false, unexpectedEnd(err)
	}
	buffered, _ := r.in.Peek(r.in.Buffered()) // never fails: it is buffered
	quote := bytes.IndexByte(buffered, '"')
	before := buffered
	if quote >= 0 {
		before = buffered[:quote]
	}
	switch escape := bytes.IndexByte(before, '\\'); {
	case escape == 0:
		piece, err := r.in.Peek(2)
		return piece, false, unexpectedEnd(err)
	case escape > 0:
		return before[:escape], false, nil
	}
	return before, quote >= 0, nil
}

// Uint64 reads a number without sign, fraction and exponent.
func (r *Reader) Uint64() (uint64, error) {
	c, err := r.next()
	if err != nil {
		return 0, err
	}
	if c == 'n' {
		return 0, r.literal("null")
	}
	text, err := r.number()
	if err != nil {
		return 0, err
	}
	n, err := strconv.ParseUint(string(text), 10, 64)
	if err != nil || len(text) > 1 && text[0] == '0' {
		return 0, errors.Wrapf(ErrSyntax, "%q for a whole number", text)
	}
	return n, nil
}

// number returns the characters of a number, which are not checked. They are valid until the next number.
func (r *Reader) number() ([]byte, error) {
	n := 0
	for {
		c, err := r.in.ReadByte()
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, errors.Wrap(err, "read JSON")
		}
		if strings.IndexByte("+-.0123456789Ee", c) < 0 {
			if err := r.in.UnreadByte(); err != nil {
				return nil, errors.Wrap(err, "read JSON")
			}
			break
		}
		if n == maxNumber {
			return nil, errors.Wrap(ErrSyntax, "number too long")
		}
		r.digits[n] = c
		n++
	}
	if n == 0 {
		return nil, errors.Wrap(ErrSyntax, "no number")
	}
	return r.digits[:n], nil
}

// Bool reads true or false.
func (r *Reader) Bool() (bool, error) {
	c, err := r.next()
	switch {
	case err != nil:
		return false, err
	case c == 't':
		return true, r.literal("true")
	case c == 'n':
		return false, r.literal("null")
	}
	return false, r.literal("false")
}

// Skip reads a value of any type.
func (r *Reader) Skip() error {
	c, err := r.next()
	if err != nil {
		return err
	}
	switch c {
	case '{':
		return r.Object(func(string) error { return r.Skip() })
	case '[':
		return r.Array(r.Skip)
	case '"':
		_, _, _, err := r.raw(0)
		return err
	case 't':
		return r.literal("true")
	case 'f':
		return r.literal("false")
	case 'n':
		return r.literal("null")
	}
	_, err = r.number()
	return err
}

// End returns an error unless only white space follows.
func (r *Reader) End() error {
	c, err := r.next()
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil
	case err != nil:
		return err
	}
	return errors.Wrapf(ErrSyntax, "%q after the end", c)
}

// next skips white space and returns the byte after it, which it does not read.
func (r *Reader) next() (byte, error) {
	for {
		c, err := r.in.ReadByte()
		if err != nil {
			return 0, unexpectedEnd(err)
		}
		if c != ' ' && c != '\n' && c != '\t' && c != '\r' {
			return c, errors.Wrap(r.in.UnreadByte(), "read JSON")
		}
	}
}

// skipByte reads the byte that next or piece has returned.
func (r *Reader) skipByte() { _, _ = r.in.Discard(1) } // never fails: it is buffered

func (r *Reader) expect(want byte) error {
	c, err := r.next()
	if err != nil {
		return err
	}
	if c != want {
		return errors.Wrapf(ErrSyntax, "%q for %q", c, want)
	}
	r.skipByte()
	return nil
}

func (r *Reader) literal(word string) error {
	text := make([]byte, len(word))
	if _, err := io.ReadFull(r.in, text); err != nil {
		return unexpectedEnd(err)
	}
	if string(text) != word {
		return errors.Wrapf(ErrSyntax, "%q for %s", text, word)
	}
	return nil
}

// unexpectedEnd returns an error of the underlying reader, with its end as io.ErrUnexpectedEOF.
func unexpectedEnd(err error) error {
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return errors.Wrap(err, "read JSON")
}
