package logging

import (
	"bytes"
	"regexp"
	"testing"
)

func TestOneLineOfPairs(t *testing.T) {
	var b bytes.Buffer
	log := New(&b, "info")
	log.Info().Str("event", "finished").Int("tokens", 7).Str("detail", "two words").Send()
	log.Debug().Str("event", "dispatched").Send()
	want := regexp.MustCompile(`^time=\S+ level=info detail="two words" event=finished tokens=7\n$`)
	if !want.MatchString(b.String()) {
		t.Fatalf("got %q", b.String())
	}
}
