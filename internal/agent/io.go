// Package agent is the deterministic core of the agent role: the process beside
// each endpoint, and the only one that sends it commands. It queues attempts,
// shares the endpoint fairly between client accounts, reserves engine memory,
// and reconciles the engine's sequences with the attempts that own them.
//
// Core has no I/O, clock, goroutine or randomness of its own. A shell feeds it
// inputs together with the monotonic time, and carries out its outputs.
package agent

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Input is one input of the core. Exactly one field is set.
type Input struct {
	EntryUp     *EntryUp
	EntryDown   *EntryDown
	FromEntry   *FromEntry
	BodyReady   *BodyReady
	Engine      *engine.Event
	EngineUp    *EngineUp
	EngineDown  *EngineDown
	ServiceDone *ServiceDone
	Leaving     *Leaving
}

// EntryUp reports an open stream to an entry. The core answers with Hello.
type EntryUp struct{ Entry wire.NodeID }

// EntryDown reports the loss of the stream to an entry.
type EntryDown struct{ Entry wire.NodeID }

// FromEntry is a message from an entry. Body chunks stay in the shell. NoRoom is set for a Dispatch
// whose body the shell can't hold.
type FromEntry struct {
	Entry  wire.NodeID
	Msg    wire.ToAgent
	NoRoom bool
}

// BodyReady reports that the whole body of an attempt has arrived.
type BodyReady struct{ Attempt wire.AttemptID }

// EngineUp reports that the engine answers, with its state.
type EngineUp struct{ State engine.State }

// EngineDown reports that the engine does not answer. ProcessEnded is set if the
// engine process is known to have ended, so that its memory is gone.
type EngineDown struct{ ProcessEnded bool }

// ServiceDone reports the end of a plain service call. RequestSent is false if nothing
// was written to the service. AnswerComplete is set if the whole answer was received.
type ServiceDone struct {
	Attempt        wire.AttemptID
	RequestSent    bool
	AnswerComplete bool
}

// Leaving starts draining, after SIGTERM or when the VM list marks this VM
// as leaving.
type Leaving struct{}

// Output is one output of the core. Exactly one field is set.
type Output struct {
	ToEntry *ToEntry
	Engine  *EngineCommand
	Service *ServiceStart
	Drop    *Drop
	Drained bool // draining is complete: nothing is in flight
	Log     *Event
}

// ToEntry is a message to one entry.
type ToEntry struct {
	Entry wire.NodeID
	Msg   wire.ToEntry
}

// EngineCommand is a command to the engine. For a Submit the shell adds the
// body of Attempt and encodes the generated output as frames for it.
type EngineCommand struct {
	Attempt wire.AttemptID
	Command engine.Command
}

// ServiceStart starts a plain service call with the body of Attempt. The
// shell stops the call after Timeout.
type ServiceStart struct {
	Attempt wire.AttemptID
	Call    wire.ServiceCall
	Timeout time.Duration
}

// Drop tells the shell to free the body and the frames of an attempt, and to
// stop a plain service call that still runs.
type Drop struct{ Attempt wire.AttemptID }

// EventKind names what an Event reports.
type EventKind string

// The events that an agent core reports.
const (
	EventQueued     EventKind = "queued"
	EventStarted    EventKind = "started"
	EventRefused    EventKind = "refused"
	EventFinished   EventKind = "finished"
	EventFailed     EventKind = "failed"
	EventCancelled  EventKind = "cancelled"
	EventReclaimed  EventKind = "reclaimed"
	EventOrder      EventKind = "order"
	EventOrderStale EventKind = "order-stale"
	EventEngineUp   EventKind = "engine-up"
	EventEngineDown EventKind = "engine-down"
	EventLeaving    EventKind = "leaving"
)

// Event is one line of the log. Zero fields are left out.
type Event struct {
	Kind    EventKind
	Attempt wire.AttemptID
	Request string
	Account wire.AccountID
	Entry   wire.NodeID
	Reason  string        // by Kind: a reason or status, the model (engine-up), or the model or "age" (order-stale)
	Tokens  int64         // by Kind: prompt (queued, started), output (finished, failed), memory (reclaimed), capacity (engine-up)
	Elapsed time.Duration // since the attempt arrived
}
