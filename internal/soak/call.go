package soak

import (
	"bytes"
	"time"

	"trefoilpath.org/trefoilpath/internal/answer"
	"trefoilpath.org/trefoilpath/internal/entry"
	"trefoilpath.org/trefoilpath/internal/wire"
	"trefoilpath.org/trefoilpath/internal/workload"
)

// call is one request as a caller makes it and as the entry's shell keeps it.
type call struct {
	req      *workload.Request
	external string
	try      int // repetitions of the same call by the caller, from 0
	sent     time.Duration
	admitted time.Duration
	limit    time.Duration // the request ends within it

	entry    *entryNode
	life     wire.Incarnation
	id       entry.RequestID
	answer   answer.Assembler
	attempts []wire.AttemptID
	late     []wire.Frame // arrived while the entry was paused

	delivered int64 // output tokens that the caller has
	firstAt   time.Duration
	lastAt    time.Duration
	gaps      []Gap
	body      []byte // of a service answer
	broken    bool   // the caller has received something else than its own answer

	ended   bool
	endedAt time.Duration
	outcome wire.Outcome
	code    entry.Code
	lost    bool // the connection broke without an answer
	gone    bool // the caller went away
	ran     bool // an endpoint has begun to run it
	doubled bool // an endpoint runs it again though it must not
	world   *World
}

// coreRequest returns the request as the shell hands it to the core.
func (c *call) coreRequest() *entry.Request {
	r := c.req
	return &entry.Request{
		ID:           c.id,
		ExternalID:   c.external,
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

// deliver hands data to the caller and compares it with the caller's own answer.
func (c *call) deliver(data []byte, tokens int) {
	now := c.world.clock.Now()
	if c.req.Kind == wire.KindService {
		c.body = append(c.body, data...)
		return
	}
	want := tokenText(c.req.BodyDigest, c.delivered, c.delivered+int64(tokens))
	if !bytes.Equal(data, want) {
		c.broken = true
	}
	if c.firstAt == 0 {
		c.firstAt = now
	} else if tokens > 0 {
		c.gaps = append(c.gaps, Gap{Took: now - c.lastAt, Tokens: int32(tokens)})
	}
	c.lastAt = now
	c.delivered += int64(tokens)
}

// expectedTokens is the length of the whole answer.
func (c *call) expectedTokens() int64 {
	return min(c.req.OutputTokens, c.req.MaxOutput)
}
