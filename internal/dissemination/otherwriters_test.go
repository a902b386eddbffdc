package dissemination

import (
	"context"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/store"
)

// TestKeyOfAnotherWriterIsDeliveredOnce guards against a watch that delivers the same change of another
// writer's key, which begins with the root's, again and again.
func TestKeyOfAnotherWriterIsDeliveredOnce(t *testing.T) {
	c := newCluster(t, 1, 3, 3, 0)
	c.accept()
	c.run(5 * time.Second)
	c.requireConverged()
	calm := c.store.Counts().Reads
	c.run(10 * time.Second)
	calm = c.store.Counts().Reads - calm
	if r := c.Do(context.Background(), store.Op{Kind: store.OpPut, Key: declaration.RootKey + "-of-another", Value: []byte("x")}); r.Status != store.StatusOK {
		t.Fatalf("status %d", r.Status)
	}
	before := c.store.Counts().Reads
	c.run(10 * time.Second)
	if n := c.store.Counts().Reads - before; n > calm+2*len(c.nodes) {
		t.Errorf("%d reads and watches in 10 s, want at most %d and two for each of %d entries", n, calm, len(c.nodes))
	}
	c.accept()
	c.run(5 * time.Second)
	c.requireConverged()
}
