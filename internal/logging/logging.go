// Package logging creates the loggers of all roles. They write one line of
// key=value pairs for each event.
package logging

import (
	"fmt"
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
	out := zerolog.ConsoleWriter{
		Out:             w,
		NoColor:         true,
		PartsOrder:      []string{zerolog.TimestampFieldName, zerolog.LevelFieldName},
		FormatTimestamp: func(v any) string { return fmt.Sprintf("time=%v", v) },
		FormatLevel:     func(v any) string { return fmt.Sprintf("level=%v", v) },
		TimeFormat:      time.RFC3339Nano,
	}
	return zerolog.New(out).Level(lv).With().Timestamp().Logger()
}
