package soak

import (
	"bytes"
	"time"

	"trefoilpath.org/trefoilpath/internal/answer"
	"trefoilpath.org/trefoilpath/internal/entry"
	"trefoilpath.org/trefoilpath/internal/wire"
	"trefoilpath.org/trefoilpath/internal/workload"
)

// call is one try of a request, with the caller's state and that of the entry's
// shell.
type call struct {
	req        *workload.Request
	externalID string
	try        int // number of the caller's try, from 0
	sent       time.Duration
	arrivedAt  time.Duration // at the entry; 0 if it did not arrive
	limit      time.Duration // from arrival at the entry to the end

	entry       *entryNode
	incarnation wire.Incarnation
	id          entry.RequestID
	answer      answer.Assembler
	attempts    []wire.AttemptID
	heldFrames  []wire.Frame // arrived while the entry was suspended

	delivered int64         // output tokens that the caller has received
	firstAt   time.Duration // delivery of the first data; 0 if none
	lastAt    time.Duration // delivery of the latest data
	gaps      []Gap
	body      []byte // of a service answer
	wrongText bool   // the caller has received text that is not its own answer

	ended    bool
	endedAt  time.Duration
	outcome  wire.Outcome
	code     entry.Code
	lost     bool // the connection broke before the answer
	gone     bool // the caller hung up
	ran      bool // an endpoint has started to run it
	ranTwice bool // a service ran it again although it is not repeatable
	world    *World
}

// coreRequest returns the request as the shell passes it to the core.
func (c *call) coreRequest() *entry.Request {
	r := c.req
	return &entry.Request{
		ID:           c.id,
		ExternalID:   c.externalID,
		Account:      r.Account,
		Kind:         r.Kind,
		Model:        r.Model,
		Adapter:      r.Adapter,
		PromptBytes:  r.BodyBytes,
		PromptTokens: r.PromptTokens,
		MaxOutput:    r.MaxOutput,
		Deadline:     r.Deadline,
		Priority:     r.Priority,
		Prefixes:     r.Prefixes,
		BodyBytes:    r.BodyBytes,
		BodyDigest:   r.BodyDigest,
		Call:         r.Call,
		Repeatable:   r.Repeatable,
	}
}

// deliver passes data to the caller and compares it with the expected answer.
func (c *call) deliver(data []byte, tokens int) {
	now := c.world.clock.Now()
	if c.req.Kind == wire.KindService {
		c.body = append(c.body, data...)
		return
	}
	want := tokenText(c.req.BodyDigest, c.delivered, c.delivered+int64(tokens))
	if !bytes.Equal(data, want) {
		c.wrongText = true
	}
	if c.firstAt == 0 {
		c.firstAt = now
	} else if tokens > 0 {
		c.gaps = append(c.gaps, Gap{Took: now - c.lastAt, Tokens: int32(tokens)})
	}
	c.lastAt = now
	c.delivered += int64(tokens)
}

// expectedTokens returns the length of the whole answer in tokens.
func (c *call) expectedTokens() int64 {
	return min(c.req.OutputTokens, c.req.MaxOutput)
}
