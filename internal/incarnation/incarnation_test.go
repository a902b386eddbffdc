package incarnation

import (
	"context"
	"testing"

	"github.com/rs/zerolog"

	"trefoilpath.org/trefoilpath/internal/standin"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// TestEachIncarnationIsHigher checks that incarnations increase while the store
// works, loses a response, and is down.
func TestEachIncarnationIsHigher(t *testing.T) {
	st, err := standin.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	defer st.Close()
	var last wire.Incarnation
	for _, fault := range []func(){func() {}, func() { st.LoseAnswers(1) }, func() {}, func() { st.SetDown(true) }} {
		fault()
		n := For(context.Background(), st.URL(), RoleAgent, "luthier-01", zerolog.Nop())
		if n <= last {
			t.Errorf("incarnation %d after %d, want a higher one", n, last)
		}
		last = n
	}
}
