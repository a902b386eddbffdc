package settings

import (
	"strings"
	"testing"
)

func TestBodyThatTheMemoryHasNoRoomForIsAMistake(t *testing.T) {
	for limits, mistake := range map[string]bool{
		`{"memory_bytes": 100663296, "max_body_bytes": 6291456}`: false,
		`{"memory_bytes": 100663296, "max_body_bytes": 6291457}`: true,
		`{"memory_bytes": 100663296}`:                            true, // of the default
		`{}`:                                                     false,
	} {
		for kind, parse := range map[string]func(string) error{
			"entry": func(text string) error { _, err := ParseEntry("f", []byte(text)); return err },
			"agent": func(text string) error { _, err := ParseAgent("f", []byte(text)); return err },
		} {
			err := parse(`{"limits": ` + limits + `}`)
			if got := strings.Contains(err.Error(), "limits.max_body_bytes"); got != mistake {
				t.Errorf("%s with limits %s: a mistake is %v, want %v", kind, limits, got, mistake)
			}
		}
	}
}
