package simnet

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestEventsRunInOrder(t *testing.T) {
	var c Clock
	var got []int
	c.At(2*time.Second, func() { got = append(got, 2) })
	c.At(time.Second, func() {
		got = append(got, 1)
		c.After(0, func() { got = append(got, 11) })
	})
	stopped := c.At(time.Second, func() { got = append(got, 99) })
	c.At(time.Second, func() { got = append(got, 10) })
	c.Stop(stopped)
	c.RunUntil(3 * time.Second)
	if diff := cmp.Diff([]int{1, 10, 11, 2}, got); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
	if c.Now() != 3*time.Second {
		t.Errorf("clock at %v after the run", c.Now())
	}
}

func TestLinks(t *testing.T) {
	const messages = 200
	for _, tc := range []struct {
		name   string
		change func(*Link)
		check  func(got []int) bool
	}{
		{"in order with jitter", func(l *Link) { l.Jitter = time.Second }, func(got []int) bool {
			return len(got) == messages && ordered(got)
		}},
		{"cut", func(l *Link) { l.Cut = true }, func(got []int) bool { return len(got) == 0 }},
		{"loses", func(l *Link) { l.Lose = 0.5 }, func(got []int) bool { return len(got) > 0 && len(got) < messages }},
		{"duplicates", func(l *Link) { l.Duplicate = 0.5 }, func(got []int) bool { return len(got) > messages }},
		{"reorders", func(l *Link) { l.Reorder = 0.5 }, func(got []int) bool { return len(got) == messages && !ordered(got) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var c Clock
			n := NewNetwork(&c, rand.New(rand.NewPCG(1, 1)), func(_, _ Node) Link { return Link{Delay: time.Millisecond} })
			n.Change("a", "b", tc.change)
			var got []int
			for i := range messages {
				c.At(time.Duration(i)*time.Millisecond, func() {
					n.Send("a", "b", 0, func() { got = append(got, i) })
				})
			}
			c.RunUntil(time.Minute)
			if !tc.check(got) {
				t.Errorf("received %v", got)
			}
			if n.Healthy("a", "b") {
				t.Error("changed link counts as healthy")
			}
			n.Heal("a", "b")
			if !n.Healthy("a", "b") {
				t.Error("healed link does not count as healthy")
			}
		})
	}
}

func ordered(s []int) bool {
	for i := 1; i < len(s); i++ {
		if s[i] < s[i-1] {
			return false
		}
	}
	return true
}
