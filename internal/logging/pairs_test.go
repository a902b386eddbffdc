package logging

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"
)

// consoleLogger is the logger of package zerolog that writes the same lines.
func consoleLogger(w io.Writer) zerolog.Logger {
	return zerolog.New(zerolog.ConsoleWriter{
		Out: w, NoColor: true, PartsOrder: []string{zerolog.TimestampFieldName, zerolog.LevelFieldName},
		FormatTimestamp: func(v any) string { return fmt.Sprintf("time=%v", v) },
		FormatLevel:     func(v any) string { return fmt.Sprintf("level=%v", v) },
	})
}

// TestLinesAreThoseOfTheConsoleWriter checks that no field is lost, cut or split, whatever its
// name and value.
func TestLinesAreThoseOfTheConsoleWriter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var got, want bytes.Buffer
		loggers := []zerolog.Logger{zerolog.New(pairWriter{&got}), consoleLogger(&want)}
		at := time.Unix(rapid.Int64Range(0, 1<<32).Draw(t, "time"), 123456789).UTC()
		text := rapid.OneOf(rapid.StringMatching(`[a-z0-9=:/.-]{0,12}`), rapid.String())
		keys := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-d_]{1,3}`), 0, 6, rapid.ID).Draw(t, "keys")
		for i := range loggers {
			loggers[i] = loggers[i].With().Time(zerolog.TimestampFieldName, at).Logger()
		}
		events := []*zerolog.Event{loggers[0].Info(), loggers[1].Info()}
		add := func(field func(*zerolog.Event) *zerolog.Event) {
			for i := range events {
				events[i] = field(events[i])
			}
		}
		for _, key := range keys {
			s, n := text.Draw(t, "text"), rapid.Int64().Draw(t, "number")
			switch rapid.IntRange(0, 6).Draw(t, "kind") {
			case 0:
				add(func(e *zerolog.Event) *zerolog.Event { return e.Int64(key, n) })
			case 1:
				add(func(e *zerolog.Event) *zerolog.Event { return e.Dur(key, time.Duration(n)) })
			case 2:
				add(func(e *zerolog.Event) *zerolog.Event { return e.Bool(key, n%2 == 0) })
			case 3:
				add(func(e *zerolog.Event) *zerolog.Event { return e.Err(errors.New(s)) })
			case 4:
				add(func(e *zerolog.Event) *zerolog.Event { return e.Ints64(key, []int64{n, 2}) })
			default:
				add(func(e *zerolog.Event) *zerolog.Event { return e.Str(key, s) })
			}
		}
		for _, e := range events {
			e.Send()
		}
		if got.String() != want.String() {
			t.Errorf("wrote %q, want %q", got.String(), want.String())
		}
	})
}

// BenchmarkLine measures one line of a request, and the same line by the console writer.
func BenchmarkLine(b *testing.B) {
	for name, log := range map[string]zerolog.Logger{"pairs": New(io.Discard, "info"), "console": consoleLogger(io.Discard).With().Timestamp().Logger()} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				log.Info().Str("event", "dispatch").Str("request", "0a0b0c0d0e0f1011").Int("attempt", 1).Dur("waited_ms", time.Millisecond).
					Str("endpoint", "i-10fdde467e").Int("count", 1).Str("detail", "prompt=400 part=2ms queue=4ms streams=1 view=46ms").Send()
			}
		})
	}
}
