package enginehttp

import (
	"bufio"
	"io"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/engine"
)

// streamReader turns the answer stream of one sequence into handler calls.
type streamReader struct {
	id      engine.SequenceID
	handler Handler
	next    int64 // number of the next output token
}

// read passes on everything up to the final event of the sequence. It returns
// an error if the stream ends before that, or if tokens are missing or repeated.
func (s *streamReader) read(r io.Reader) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 4096), MaxLineBytes)
	for sc.Scan() {
		l, err := parseLine(sc.Bytes())
		if err != nil {
			return err
		}
		final, err := s.pass(l)
		if err != nil || final {
			return err
		}
	}
	if err := sc.Err(); err != nil {
		return errors.Wrap(err, "answer stream of an engine")
	}
	return errors.New("answer stream of an engine: ended early")
}

// pass hands one line to the handler and reports whether it was the final one.
func (s *streamReader) pass(l Line) (final bool, err error) {
	if l.Accepted {
		s.handler.Event(engine.Event{Accepted: &engine.Accepted{ID: s.id}})
	}
	if l.Tokens > 0 {
		if l.From != s.next {
			return false, errors.Errorf("answer stream of an engine: token %d in place of %d", l.From, s.next)
		}
		s.next += int64(l.Tokens)
		s.handler.Text(s.id, l.Tokens, []byte(l.Text))
	}
	if l.First != nil {
		l.First.ID = s.id
		s.handler.Event(engine.Event{First: l.First})
	}
	if l.Tokens > 0 && s.next > 1 {
		s.handler.Event(engine.Event{Progress: &engine.Progress{ID: s.id, Output: s.next}})
	}
	switch {
	case l.Finished != nil:
		if l.Finished.Output != s.next {
			return false, errors.Errorf("answer stream of an engine: finished after %d tokens of %d", s.next, l.Finished.Output)
		}
		l.Finished.ID = s.id
		s.handler.Event(engine.Event{Finished: l.Finished})
		return true, nil
	case l.Failed != nil:
		l.Failed.ID = s.id
		s.handler.Event(engine.Event{Failed: l.Failed})
		return true, nil
	}
	return false, nil
}
