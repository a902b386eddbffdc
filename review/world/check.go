package main

import (
	"fmt"
	"strings"
	"time"
)

// findings applies the rules MIXED, ORDER, UNASKED, TWICE and REFUSED to all calls and runs, and
// returns a line for each break.
func (w *world) findings() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	add := func(format string, a ...any) { out = append(out, fmt.Sprintf(format, a...)) }
	ran := map[string]int{}
	for _, x := range w.runs {
		c := w.calls[x.attempt]
		if c == nil {
			add("UNASKED: %s runs %s %s, which no client sent", x.replica, x.attempt, x.path)
			continue
		}
		if x.path != c.path || x.body != c.body || x.tenant != tenant {
			add("UNASKED: %s runs %s changed", x.replica, x.attempt)
		}
		if x.ran {
			ran[x.attempt]++
		}
	}
	for id, c := range w.calls {
		if c.ended.IsZero() {
			continue
		}
		if c.kind.unsafe && ran[id] > 1 {
			add("TWICE: %s (%s) ran %d times", id, c.kind.name, ran[id])
		}
		refused := c.err == nil && (c.status == 429 || c.status == 503 || c.status == 408 || c.status == 421)
		if c.kind.unsafe && refused && ran[id] > 0 {
			add("REFUSED: %s (%s) was answered %d and ran", id, c.kind.name, c.status)
		}
		if c.err != nil && strings.Contains(c.err.Error(), "malformed") {
			add("MIXED: %s got bytes that are no answer: %v", id, c.err)
		}
		if c.err != nil || c.status < 200 || c.status > 299 {
			continue
		}
		if !c.sealed {
			add("MIXED: %s (%s) got %d without a seal: %.80q", id, c.kind.name, c.status, c.text)
			continue
		}
		want := ""
		if c.kind.streaming {
			for n := 1; n <= events(c.kind.output); n++ {
				want += event(n, c.path)
			}
		} else {
			want = plainAnswer(c.kind.method, c.path, id, c.body)
		}
		if c.text != want {
			rule := "MIXED"
			if c.kind.streaming {
				rule = "ORDER"
			}
			add("%s: %s (%s) got %d bytes, want %d: ...%.60q", rule, id, c.kind.name, len(c.text), len(want), c.text[max(0, len(c.text)-60):])
		}
	}
	return out
}

// current returns the replicas that are neither leaving nor gone.
func (w *world) current() []*replica {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*replica
	for _, r := range w.replicas {
		r.mu.Lock()
		if !r.leaving && !r.gone && !r.draining {
			out = append(out, r)
		}
		r.mu.Unlock()
	}
	return out
}

// checkDrain applies rule DRAIN: no request reaches a replica later than drainMs after the store
// has acknowledged that it is gone, if it was sent by the client while the gateway was in touch,
// that is stableMs after the connections went silent, and later than drainMs after it.
func (w *world) checkDrain(silent map[string]time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	late := 0
	for _, r := range w.replicas {
		if r.leftAt.IsZero() {
			continue
		}
		from := r.leftAt.Add(drain)
		if w.trouble {
			if t := silent[r.id].Add(stable); t.After(from) {
				from = t
			}
		}
		for _, x := range w.runs {
			c := w.calls[x.attempt]
			if x.replica != r.id || c == nil || !c.sent.After(from) {
				continue
			}
			late++
			since := ""
			if t, ok := silent[r.id]; ok {
				since = fmt.Sprintf(", %.3f s after the connections went silent", x.at.Sub(t).Seconds())
			}
			w.noteLocked("broken    DRAIN: %s (%s) from %s reached %s %.3f s after its leaving was acknowledged%s; its client got %d",
				x.attempt, c.kind.name, c.gateway.name, x.replica, x.at.Sub(r.leftAt).Seconds(), since, c.status)
		}
	}
	served, failed := 0, 0
	for _, c := range w.calls {
		if c.err == nil && c.status == 200 {
			served++
		} else {
			failed++
		}
	}
	fmt.Printf("%d calls, %d served, %d not; %d requests reached replicas too late after they had left\n", len(w.calls), served, failed, late)
	w.noteLocked("result    %d calls, %d served, %d not; %d requests reached replicas too late after they had left", len(w.calls), served, failed, late)
	if served < len(w.calls)/2 {
		return unable
	}
	if late > 0 {
		return broken
	}
	return held
}
