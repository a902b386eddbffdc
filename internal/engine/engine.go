// Package engine defines the interface to a model engine: the commands that an
// agent sends and the events that come back. The agent core uses these types
// directly; adapters translate them to an engine's protocol.
package engine

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// Prefix hashes cover successive blocks of a prompt, each together with all
// blocks before it.
const (
	PrefixBlockTokens = 1024 // prompt tokens that one hash covers
	MaxPrefixBlocks   = 128  // hashes that a request carries at most
)

// SequenceID names one sequence in an engine. The agent derives it from the
// attempt, so that an agent that restarts beside a running engine can match the
// sequences that it finds to attempts.
type SequenceID string

// Submit asks the engine to run a sequence.
type Submit struct {
	ID           SequenceID
	Model        string
	Adapter      string
	PromptTokens int64            // estimate; the engine counts for itself
	MaxOutput    int64            // tokens
	Priority     int32            // higher runs first
	Prefixes     []uint64         // hashes of successive prompt blocks; see PrefixBlockTokens
	ResumeFrom   int64            // output tokens that are already part of the prompt
	Imports      []string         // KV cache handles to import before prefill
	Export       bool             // export the KV cache instead of generating
	Fence        uint64           // highest Order.Fence that the agent has seen; 0: none
	Incarnation  wire.Incarnation // of the agent
}

// Load asks the engine to switch to an assignment.
type Load struct {
	OrderID     uint64
	Want        wire.Assignment
	Fence       uint64
	Incarnation wire.Incarnation // of the agent
}

// Command is one command to an engine. Exactly one field is set.
type Command struct {
	Submit *Submit
	Cancel *SequenceID
	Load   *Load
	Drop   *string // KV cache handle to free
	Query  bool    // request a State event
}

// Event is one event from an engine. Exactly one field is set.
type Event struct {
	Accepted *Accepted
	First    *First
	Progress *Progress
	Finished *Finished
	Failed   *Failed
	Loaded   *Loaded
	State    *State
	Cache    *Cache
}

// Accepted reports that the engine has accepted the sequence.
type Accepted struct{ ID SequenceID }

// First reports the first output token. PromptTokens and CachedTokens are the
// engine's own counts.
type First struct {
	ID           SequenceID
	PromptTokens int64
	CachedTokens int64
}

// Progress reports output generated so far.
type Progress struct {
	ID     SequenceID
	Output int64 // tokens
}

// Finished reports that a sequence has completed and its memory is free, except
// for the exported KV cache that Handle names.
type Finished struct {
	ID           SequenceID
	PromptTokens int64
	CachedTokens int64
	Output       int64  // tokens
	Handle       string // exported KV cache; empty without Submit.Export
}

// FailReason says why a sequence failed.
type FailReason uint8

// The reasons for a failed sequence.
const (
	FailMemory    FailReason = 1 // no KV cache memory
	FailModel     FailReason = 2 // model or adapter not loaded
	FailTooLarge  FailReason = 3 // larger than the engine's memory
	FailCancelled FailReason = 4
	FailInvalid   FailReason = 5 // the request itself was rejected
	FailLost      FailReason = 6 // the engine or the connection to it was lost
	FailHandle    FailReason = 7 // an imported KV cache handle is unknown
	FailFence     FailReason = 8 // fence or incarnation is lower than one the engine has seen
)

// Failed reports that a sequence ended without completing. Rejected is set if
// the engine did no work for it.
type Failed struct {
	ID       SequenceID
	Reason   FailReason
	Rejected bool
}

// Loaded answers Load.
type Loaded struct {
	OrderID uint64
	OK      bool
	Stale   bool // the engine refused an old fence
	Have    wire.Assignment
}

// Held is one sequence or exported KV cache that the engine holds.
type Held struct {
	ID     SequenceID // empty for an exported handle
	Handle string
	Tokens int64 // KV cache tokens
	Output int64 // tokens generated so far
}

// State is a snapshot of the engine. It may be older than other events.
type State struct {
	Age           time.Duration // time since the snapshot was taken
	Capacity      int64         // KV cache tokens
	HeldTokens    int64         // KV cache tokens in use
	Held          []Held        // exported handles in order of export, then sequences by ID
	Have          wire.Assignment
	Loading       bool
	PrefillTokens int64   // prompt tokens still to prefill
	PrefillRate   float64 // recent tokens per second
	DecodeRate    float64 // recent tokens per second per sequence
}

// Cache carries changes to the engine's prefix cache, as prefix hashes. A gap in
// Sequence means that events were lost.
type Cache struct {
	Sequence uint64
	Add      []uint64
	Remove   []uint64
}
