package standin

import (
	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/engine/enginehttp"
	"trefoilpath.org/trefoilpath/internal/standin/enginemodel"
)

// answerStream records the progress of one sequence's answer. The text is not
// stored, since it can be computed from the digest. Engine.mu guards it.
type answerStream struct {
	digest     uint64 // of the prompt; determines the text
	resumeFrom int64  // answer tokens before the first of this sequence
	accepted   bool
	first      *engine.First
	output     int64 // output tokens generated so far
	finished   *engine.Finished
	failed     *engine.Failed
	changed    chan struct{} // closed and replaced on each change
}

func newAnswerStream(digest uint64, resumeFrom int64) *answerStream {
	return &answerStream{digest: digest, resumeFrom: resumeFrom, changed: make(chan struct{})}
}

// apply records an event and reports whether it ended the sequence.
func (s *answerStream) apply(ev engine.Event) bool {
	wasEnded := s.ended()
	switch {
	case ev.Accepted != nil:
		s.accepted = true
	case ev.First != nil:
		s.first = ev.First
		s.output = max(s.output, 1)
	case ev.Progress != nil:
		s.output = max(s.output, ev.Progress.Output)
	case ev.Finished != nil && !wasEnded:
		s.finished = ev.Finished
		s.output = ev.Finished.Output
	case ev.Failed != nil && !wasEnded:
		s.failed = ev.Failed
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.ended() && !wasEnded
}

func (s *answerStream) ended() bool { return s.finished != nil || s.failed != nil }

// position records what one reader has read of an answer stream.
type position struct {
	next     int64 // number of the next output token
	accepted bool  // the Accepted line was read
	first    bool  // the First event was read
}

// lines returns the lines that a reader at p has not read, advances p past them,
// and reports whether the answer ends with them.
func (s *answerStream) lines(p *position) ([]enginehttp.Line, bool) {
	var list []enginehttp.Line
	if s.accepted && !p.accepted {
		p.accepted = true
		list = append(list, enginehttp.Line{Accepted: true})
	}
	if s.first != nil && !p.first {
		p.first = true
		// The First line holds the first token alone, or no text if the reader already has it.
		line := s.text(p, min(s.output, max(p.next, 1)))
		line.First = s.first
		list = append(list, line)
	}
	if s.output > p.next {
		list = append(list, s.text(p, s.output))
	}
	if s.ended() {
		list = append(list, enginehttp.Line{Finished: s.finished, Failed: s.failed})
	}
	return list, s.ended()
}

// text returns the tokens from the reader's position to token number end, exclusive,
// and advances the position.
func (s *answerStream) text(p *position, end int64) enginehttp.Line {
	n := end - p.next
	if n <= 0 {
		return enginehttp.Line{}
	}
	text := enginemodel.AppendTokens(make([]byte, 0, n*enginemodel.TokenBytes), s.digest, s.resumeFrom+p.next, n)
	line := enginehttp.Line{From: p.next, Tokens: int(n), Text: string(text)}
	p.next = end
	return line
}
