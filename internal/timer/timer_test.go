package timer

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestQueueMatchesLinearSearch compares Pop with a linear search over all timers.
func TestQueueMatchesLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type entry struct {
			at    time.Duration
			order int
		}
		q := New[int]()
		model := make(map[int]entry)
		now := time.Duration(0)
		for step := range rapid.IntRange(1, 200).Draw(t, "steps") {
			key := rapid.IntRange(0, 20).Draw(t, "key")
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0, 1:
				at := now + time.Duration(rapid.IntRange(0, 10).Draw(t, "delay"))
				q.Set(key, at)
				model[key] = entry{at, step}
			case 2:
				q.Stop(key)
				delete(model, key)
			case 3:
				now += 3
				want, found := 0, false
				for k, e := range model {
					b := model[want]
					if e.at <= now && (!found || e.at < b.at || (e.at == b.at && e.order < b.order)) {
						want, found = k, true
					}
				}
				got, ok := q.Pop(now)
				if ok != found || (ok && got != want) {
					t.Fatalf("Pop returned %d %v, want %d %v", got, ok, want, found)
				}
				if found {
					delete(model, want)
				}
			}
			if q.Len() != len(model) {
				t.Fatalf("queue has %d timers, want %d", q.Len(), len(model))
			}
		}
	})
}
