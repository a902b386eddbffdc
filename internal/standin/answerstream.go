package standin

import (
	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/engine/enginehttp"
	"trefoilpath.org/trefoilpath/internal/standin/enginemodel"
)

// answerStream is what an engine knows of one sequence's answer. The text is
// not kept, since it follows from the digest. The engine's lock guards it.
type answerStream struct {
	digest     uint64
	resumeFrom int64 // answer tokens before the first of this sequence
	accepted   bool
	first      *engine.First
	output     int64
	finished   *engine.Finished
	failed     *engine.Failed
	changed    chan struct{} // closed and replaced on each change
}

func newAnswerStream(digest uint64, resumeFrom int64) *answerStream {
	return &answerStream{digest: digest, resumeFrom: resumeFrom, changed: make(chan struct{})}
}

// apply records an event and reports whether it ended the sequence.
func (s *answerStream) apply(ev engine.Event) bool {
	wasOver := s.over()
	switch {
	case ev.Accepted != nil:
		s.accepted = true
	case ev.First != nil:
		s.first = ev.First
		s.output = max(s.output, 1)
	case ev.Progress != nil:
		s.output = max(s.output, ev.Progress.Output)
	case ev.Finished != nil && !wasOver:
		s.finished = ev.Finished
		s.output = ev.Finished.Output
	case ev.Failed != nil && !wasOver:
		s.failed = ev.Failed
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.over() && !wasOver
}

func (s *answerStream) over() bool { return s.finished != nil || s.failed != nil }

// position is how far one reader has got.
type position struct {
	next     int64 // number of the next output token
	accepted bool
	first    bool
}

// lines returns what a reader at p has not seen, and whether that is the end.
func (s *answerStream) lines(p *position) ([]enginehttp.Line, bool) {
	var list []enginehttp.Line
	if s.accepted && !p.accepted {
		p.accepted = true
		list = append(list, enginehttp.Line{Accepted: true})
	}
	if s.first != nil && !p.first {
		p.first = true
		line := s.text(p, min(s.output, max(p.next, 1)))
		line.First = s.first
		list = append(list, line)
	}
	if s.output > p.next {
		list = append(list, s.text(p, s.output))
	}
	if s.over() {
		list = append(list, enginehttp.Line{Finished: s.finished, Failed: s.failed})
	}
	return list, s.over()
}

// text returns the tokens from the reader's position up to token number end.
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
