package shell

import (
	"github.com/rs/zerolog"

	"trefoilpath.org/trefoilpath/internal/agent"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// logEvent writes one line for an event of the core and counts it.
func (a *Agent) logEvent(e *agent.Event) {
	a.metrics.count(e)
	line := a.cfg.Log.WithLevel(levelOf(e.Kind)).Str("event", string(e.Kind)).Str("endpoint", string(a.cfg.Core.Endpoint))
	if e.Attempt != (wire.AttemptID{}) {
		line = line.Stringer("attempt", e.Attempt)
	}
	line = addString(line, "request", e.Request)
	line = addString(line, "account", string(e.Account))
	line = addString(line, "entry", string(e.Entry))
	line = addString(line, "reason", e.Reason)
	if e.Tokens != 0 {
		line = line.Int64("tokens", e.Tokens)
	}
	if e.Elapsed != 0 {
		line = line.Dur("elapsed", e.Elapsed)
	}
	line.Send()
}

func addString(line *zerolog.Event, key, value string) *zerolog.Event {
	if value == "" {
		return line
	}
	return line.Str(key, value)
}

func levelOf(kind agent.EventKind) zerolog.Level {
	switch kind {
	case agent.EventQueued, agent.EventStarted:
		return zerolog.DebugLevel
	case agent.EventFailed, agent.EventEngineDown, agent.EventReclaimed, agent.EventOrderStale:
		return zerolog.WarnLevel
	}
	return zerolog.InfoLevel
}
