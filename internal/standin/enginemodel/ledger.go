package enginemodel

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/engine"
)

// Ledger holds the actual counts and memory of an engine, which lagging reports and
// Misreport do not distort. The counts survive Kill.
type Ledger struct {
	Submitted       int64
	Rejected        int64
	Finished        int64
	Failed          int64
	Cancelled       int64
	Lost            int64 // sequences that Kill ended
	Preemptions     int64
	PrefillTokens   int64 // prefilled, repetitions included
	CachedTokens    int64 // prompt tokens found in the prefix cache
	ImportedTokens  int64
	DiscardedTokens int64 // KV cache tokens of preempted sequences, prefix cache hits included
	OutputTokens    int64

	Capacity   int64
	HeldTokens int64
	Held       []engine.Held // exported handles in order of export, then sequences by ID
	Waiting    int
	Running    int
}

// SequenceEnd says how a sequence ended.
type SequenceEnd uint8

// The ends of a sequence.
const (
	SequenceFinished  SequenceEnd = 1
	SequenceFailed    SequenceEnd = 2
	SequenceCancelled SequenceEnd = 3
	SequenceLost      SequenceEnd = 4
)

// SequenceRecord records one accepted sequence that has ended. Prompt, Cached and
// Output are in tokens. Started is the time at which the engine accepted the
// sequence; Started and Ended are on the clock of the caller of Do and Tick.
type SequenceRecord struct {
	ID         engine.SequenceID
	End        SequenceEnd
	Worked     bool // the engine prefilled or decoded for it
	Prompt     int64
	Cached     int64
	Output     int64
	ResumeFrom int64
	Started    time.Duration
	Ended      time.Duration
}

// Ledger returns the ledger as of the last Tick or Do.
func (m *Model) Ledger() Ledger {
	l := m.ledger
	l.Capacity = m.cfg.CapacityTokens
	l.HeldTokens = m.used
	l.Held = m.held()
	l.Waiting = len(m.waiting)
	l.Running = m.running()
	return l
}

// TakeSequenceRecords returns the sequences that ended since the last call.
func (m *Model) TakeSequenceRecords() []SequenceRecord {
	records := m.records
	m.records = nil
	return records
}

func (m *Model) record(s *sequence, end SequenceEnd) {
	m.records = append(m.records, SequenceRecord{
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
		m.record(s, SequenceLost)
	}
}
