package shell

import (
	"github.com/rs/zerolog"

	"trefoilpath.org/trefoilpath/internal/entry"
)

// logEvent writes one line for an event of the core.
func (e *Entry) logEvent(ev *entry.Event) {
	line := e.cfg.Log.WithLevel(levelOf(ev.Kind)).Str("event", string(ev.Kind))
	addString(line, "request", ev.Request)
	addString(line, "client_account", string(ev.Account))
	addString(line, "endpoint", string(ev.Endpoint))
	if !ev.Attempt.IsZero() {
		line.Str("attempt", ev.Attempt.String())
	}
	if ev.Outcome != 0 {
		line.Str("outcome", ev.Outcome.String())
	}
	if ev.Code != entry.CodeOK {
		line.Str("code", ev.Code.String())
	}
	addString(line, "detail", ev.Detail)
	if ev.Revision != 0 {
		line.Uint64("revision", ev.Revision)
	}
	addString(line, "author", ev.Author)
	if ev.Elapsed != 0 {
		line.Dur("elapsed_ms", ev.Elapsed)
	}
	if ev.TTFT != 0 {
		line.Dur("first_token_ms", ev.TTFT)
	}
	line.Send()
}

func addString(line *zerolog.Event, key, value string) {
	if value != "" {
		line.Str(key, value)
	}
}

// levelOf returns debug, which is below the default log level, for the events of a
// request before its end, and info for all others.
func levelOf(kind entry.EventKind) zerolog.Level {
	switch kind {
	case entry.EventAdmitted, entry.EventDispatched:
		return zerolog.DebugLevel
	}
	return zerolog.InfoLevel
}
