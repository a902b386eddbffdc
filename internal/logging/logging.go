// Package logging creates the loggers of all roles. They write one line of
// key=value pairs for each event.
package logging

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

func init() {
	zerolog.TimeFieldFormat = time.RFC3339Nano // the default drops fractions of a second
}

// New returns a logger that writes events of the given level and above to w. An
// empty or unknown level means "info".
func New(w io.Writer, level string) zerolog.Logger {
	lv, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		lv = zerolog.InfoLevel
	}
	return zerolog.New(pairWriter{w}).Level(lv).With().Timestamp().Logger()
}
