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
	next    int64 // number of the next output token, from 0
}

// read handles all lines up to the final event of the sequence. It returns an error
// if the stream ends before that event, or if tokens are missing or repeated.
func (s *streamReader) read(r io.Reader) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, initialLineBytes), MaxLineBytes)
	for sc.Scan() {
		l, err := parseLine(sc.Bytes())
		if err != nil {
			return err
		}
		final, err := s.handleLine(l)
		if err != nil || final {
			return err
		}
	}
	if err := sc.Err(); err != nil {
		return errors.Wrap(err, "engine answer stream")
	}
	return errors.New("engine answer stream: ended before the final event")
}

// handleLine passes one line to the handler and reports whether it was the final one.
func (s *streamReader) handleLine(l Line) (final bool, err error) {
	if l.Accepted {
		s.handler.Event(engine.Event{Accepted: &engine.Accepted{ID: s.id}})
	}
	if l.Tokens > 0 {
		if l.From != s.next {
			return false, errors.Errorf("engine answer stream: got token %d, want %d", l.From, s.next)
		}
		s.next += int64(l.Tokens)
		s.handler.Text(s.id, l.Tokens, []byte(l.Text))
	}
	if l.First != nil {
		l.First.ID = s.id
		s.handler.Event(engine.Event{First: l.First})
	}
	// First reports the first token, so Progress starts with the second.
	if l.Tokens > 0 && s.next > 1 {
		s.handler.Event(engine.Event{Progress: &engine.Progress{ID: s.id, Output: s.next}})
	}
	switch {
	case l.Finished != nil:
		if l.Finished.Output != s.next {
			return false, errors.Errorf("engine answer stream: finished after %d of %d tokens", s.next, l.Finished.Output)
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
