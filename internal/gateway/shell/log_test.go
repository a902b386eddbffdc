package shell

import (
	"strings"
	"testing"
)

// TestLogLineAfterTheEnd checks that a line of a call that outlives the gateway, such as a
// report that fails late, doesn't crash the process.
func TestLogLineAfterTheEnd(t *testing.T) {
	var out strings.Builder
	b := newBoundedWriter(&out)
	if _, err := b.Write([]byte("before\n")); err != nil {
		t.Fatal(err)
	}
	b.close()
	if n, err := b.Write([]byte("after\n")); n != len("after\n") || err != nil {
		t.Errorf("%d, %v, want the line to be dropped", n, err)
	}
	if out.String() != "before\n" {
		t.Errorf("wrote %q, want the first line", out.String())
	}
}
