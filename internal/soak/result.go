package soak

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/entry"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Call is the record of a call that has ended.
type Call struct {
	Number         uint64 // number of the request in the workload
	Kind           wire.Kind
	Band           wire.Band
	Account        wire.AccountID
	PromptTokens   int64         // tokens
	OutputTokens   int64         // tokens that the caller received
	ExpectedTokens int64         // tokens of the whole answer
	Sent           time.Duration // virtual time
	FirstToken     time.Duration // TTFT at the caller; 0 if no token arrived
	Took           time.Duration // from sending to the end at the caller
	Limit          time.Duration // time limit, from arrival at the entry
	Outcome        wire.Outcome
	Code           entry.Code
	ConnectionLost bool // the connection broke
	CallerGone     bool // the caller hung up
	Late           bool // ended more than answerSlack after its time limit, counted from its arrival at the entry; a call that did not arrive is measured from the start of the run (known fault)
	RanTwice       bool // a service ran it again although it is not repeatable
	Attempts       int
	Gaps           []Gap
}

// Gap is the time between two deliveries of output, with the number of tokens in
// the second.
type Gap struct {
	Took   time.Duration
	Tokens int32
}

// summarise returns the records of ended calls.
func summarise(ended []*call) []Call {
	out := make([]Call, 0, len(ended))
	for _, c := range ended {
		out = append(out, c.summary())
	}
	return out
}

func (c *call) summary() Call {
	s := Call{
		Number:         c.req.Number,
		Kind:           c.req.Kind,
		Band:           c.req.Band(),
		Account:        c.req.Account,
		PromptTokens:   c.req.PromptTokens,
		OutputTokens:   c.delivered,
		ExpectedTokens: c.expectedTokens(),
		Sent:           c.sent,
		Took:           c.endedAt + clientLatency - c.sent,
		Limit:          c.limit,
		Outcome:        c.outcome,
		Code:           c.code,
		ConnectionLost: c.lost,
		CallerGone:     c.gone,
		Late:           c.endedAt-c.arrivedAt > c.limit+answerSlack,
		RanTwice:       c.ranTwice,
		Attempts:       len(c.attempts),
		Gaps:           c.gaps,
	}
	if c.firstAt > 0 {
		s.FirstToken = c.firstAt + clientLatency - c.sent
	}
	return s
}
