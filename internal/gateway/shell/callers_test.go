package shell

import (
	"strings"
	"testing"

	"trefoilpath.org/trefoilpath/internal/bytebudget"
)

// TestReadAllReportsALongerBody checks that a body beyond its stated size is an error and
// not a missing body.
func TestReadAllReportsALongerBody(t *testing.T) {
	if body, err := readAll(bytebudget.New(0).Open(), strings.NewReader("abcd"), 3, 10); err == nil {
		t.Errorf("read %q without an error, want an error", body)
	}
	if body, err := readAll(bytebudget.New(0).Open(), strings.NewReader("abc"), 3, 10); err != nil || string(body) != "abc" {
		t.Errorf("read %q with error %v, want abc", body, err)
	}
}
