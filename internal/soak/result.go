package soak

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/entry"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Call is the record of one ended call.
type Call struct {
	Number     uint64 // of the request in the workload
	Kind       wire.Kind
	Band       wire.Band
	Account    wire.AccountID
	Prompt     int64
	Output     int64 // tokens that the caller received
	Expected   int64 // tokens of the whole answer
	Sent       time.Duration
	FirstToken time.Duration // from sending to the first token at the caller; 0: none
	Took       time.Duration
	Limit      time.Duration
	Outcome    wire.Outcome
	Code       entry.Code
	Lost       bool // the connection broke
	Gone       bool // the caller went away
	Late       bool // ended after its time limit
	Doubled    bool // ran twice though it must not
	Attempts   int
	Gaps       []Gap
}

// Gap is the time that a number of successive output tokens took.
type Gap struct {
	Took   time.Duration
	Tokens int32
}

// summarise turns ended calls into records.
func summarise(ended []*call) []Call {
	out := make([]Call, 0, len(ended))
	for _, c := range ended {
		out = append(out, c.summary())
	}
	return out
}

func (c *call) summary() Call {
	s := Call{
		Number:   c.req.Number,
		Kind:     c.req.Kind,
		Band:     c.req.Band(),
		Account:  c.req.Account,
		Prompt:   c.req.PromptTokens,
		Output:   c.delivered,
		Expected: c.expectedTokens(),
		Sent:     c.sent,
		Took:     c.endedAt + clientLatency - c.sent,
		Limit:    c.limit,
		Outcome:  c.outcome,
		Code:     c.code,
		Lost:     c.lost,
		Gone:     c.gone,
		Late:     c.endedAt-c.admitted > c.limit+answerSlack,
		Doubled:  c.doubled,
		Attempts: len(c.attempts),
		Gaps:     c.gaps,
	}
	if c.firstAt > 0 {
		s.FirstToken = c.firstAt + clientLatency - c.sent
	}
	return s
}
