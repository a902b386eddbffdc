package admission

import (
	"slices"
	"time"
)

// maxRefusals bounds the refused requests that are remembered.
const maxRefusals = 1024

// Refusal is a refused request whose caller may come back.
type Refusal struct {
	Fingerprint uint64        // of the request; repetitions have the same
	Arrived     time.Duration // when it was first received
	From        time.Duration // when its caller was told to come back, at the earliest
	Until       time.Duration // when its caller stops waiting
}

// Refusals are the refused requests whose callers may come back, the oldest first. The zero
// value is empty.
type Refusals struct{ rows []Refusal }

// Add remembers a refused request.
func (t *Refusals) Add(now time.Duration, r Refusal) {
	t.rows = slices.DeleteFunc(t.rows, func(o Refusal) bool { return o.Until <= now || o.Fingerprint == r.Fingerprint })
	if len(t.rows) == maxRefusals {
		t.rows = slices.Delete(t.rows, 0, 1)
	}
	t.rows = append(t.rows, r)
}

// Take removes and returns the refusal of a request that has come back when it was told to.
// A caller that comes back earlier has no claim yet.
func (t *Refusals) Take(now time.Duration, fingerprint uint64) (Refusal, bool) {
	for i, r := range t.rows {
		if r.Fingerprint == fingerprint && r.From <= now && now < r.Until {
			t.rows = slices.Delete(t.rows, i, i+1)
			return r, true
		}
	}
	return Refusal{}, false
}

// Len returns the number of remembered refusals.
func (t *Refusals) Len() int { return len(t.rows) }
