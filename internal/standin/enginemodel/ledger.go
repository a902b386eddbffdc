package enginemodel

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/engine"
)

// Ledger is the truth about what an engine did and holds. Its counts survive
// Kill.
type Ledger struct {
	Submitted        int64
	Rejected         int64
	Finished         int64
	Failed           int64
	Cancelled        int64
	Lost             int64 // sequences that Kill ended
	Preemptions      int64
	PrefillTokens    int64 // computed, repeats included
	CachedTokens     int64 // taken from the prefix cache instead
	ImportedTokens   int64
	RecomputedTokens int64 // computed before a preemption and thrown away
	OutputTokens     int64

	Capacity   int64
	HeldTokens int64
	Held       []engine.Held // ordered by ID, then Handle
	Waiting    int
	Running    int
}

// RunEnd says how a sequence ended.
type RunEnd uint8

// The ends of a sequence.
const (
	RunFinished  RunEnd = 1
	RunFailed    RunEnd = 2
	RunCancelled RunEnd = 3
	RunLost      RunEnd = 4
)

// Run records one sequence that the engine held and that has ended.
type Run struct {
	ID         engine.SequenceID
	End        RunEnd
	Worked     bool // the engine computed something for it
	Prompt     int64
	Cached     int64
	Output     int64
	ResumeFrom int64
	Started    time.Duration
	Ended      time.Duration
}

// Ledger returns the truth at the time of the last Tick or Do.
func (m *Model) Ledger() Ledger {
	l := m.ledger
	l.Capacity = m.cfg.CapacityTokens
	l.HeldTokens = m.used
	l.Held = m.held()
	l.Waiting = len(m.waiting)
	l.Running = m.running()
	return l
}

// TakeRuns returns the sequences that ended since the last call.
func (m *Model) TakeRuns() []Run {
	runs := m.runs
	m.runs = nil
	return runs
}

func (m *Model) record(s *sequence, end RunEnd) {
	m.runs = append(m.runs, Run{
		ID: s.submit.ID, End: end, Worked: s.worked,
		Prompt: s.prompt, Cached: s.cached, Output: s.out, ResumeFrom: s.submit.ResumeFrom,
		Started: s.started, Ended: m.now,
	})
}

func (m *Model) recordLost() {
	for _, s := range m.sortedSequences() {
		s.out = s.output(m.step)
		s.phase = phaseWaiting
		m.ledger.Lost++
		m.record(s, RunLost)
	}
}
