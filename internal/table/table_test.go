package table

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func TestIterationFollowsInsertion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tbl := New[int, int]()
		var order []int
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			key := rapid.IntRange(0, 40).Draw(t, "key")
			if rapid.Bool().Draw(t, "delete") {
				tbl.Delete(key)
				order = remove(order, key)
			} else {
				if tbl.Get(key) == nil {
					order = append(order, key)
				}
				tbl.Put(key, key*2)
			}
			tbl.Compact()
		}
		if diff := cmp.Diff(order, tbl.Keys(), cmp.Transformer("empty", func(s []int) []int { return append([]int{}, s...) })); diff != "" {
			t.Fatalf("keys differ (-want +got):\n%s", diff)
		}
		tbl.Each(func(key int, v *int) bool {
			if *v != key*2 {
				t.Fatalf("row %d holds %d", key, *v)
			}
			return true
		})
	})
}

func remove(s []int, v int) []int {
	var kept []int
	for _, x := range s {
		if x != v {
			kept = append(kept, x)
		}
	}
	return kept
}
