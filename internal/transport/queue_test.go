package transport

import (
	"context"
	"slices"
	"testing"
)

// TestControlPrecedesBulk queues a control message and then a bulk one, and checks that
// next returns them in this order. A body chunk sent before its Dispatch would belong
// to no attempt.
func TestControlPrecedesBulk(t *testing.T) {
	for range 200 {
		q := newQueue[string]()
		if err := q.send("dispatch"); err != nil {
			t.Fatal(err)
		}
		if err := q.sendBulk(context.Background(), "body"); err != nil {
			t.Fatal(err)
		}
		got, _ := q.next(nil)
		if want := []string{"dispatch", "body"}; !slices.Equal(got, want) {
			t.Fatalf("next returns %v, want %v", got, want)
		}
	}
}
