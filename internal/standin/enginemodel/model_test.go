package enginemodel

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/wire"
)

var testModel = wire.Assignment{Model: "luthier-modelo", Version: "1"}

func submit(id string, prompt, output int64) engine.Command {
	return engine.Command{Submit: &engine.Submit{
		ID: engine.SequenceID(id), Model: testModel.Model, PromptTokens: prompt, MaxOutput: output,
	}}
}

// timed is an event with the time at which it was taken.
type timed struct {
	at time.Duration
	ev engine.Event
}

// drive advances the model until the given time and returns the events that it emitted.
func drive(m *Model, until time.Duration) []timed {
	var got []timed
	take := func(at time.Duration) {
		for _, ev := range m.TakeEvents() {
			got = append(got, timed{at, ev})
		}
	}
	take(m.now)
	for m.Next() <= until {
		at := m.Next()
		m.Tick(at)
		take(at)
	}
	m.Tick(until)
	take(until)
	return got
}

func firstAt(t *testing.T, events []timed, id engine.SequenceID) time.Duration {
	t.Helper()
	for _, e := range events {
		if e.ev.First != nil && e.ev.First.ID == id {
			return e.at
		}
	}
	t.Fatalf("no first token of %s", id)
	return 0
}

func TestSequenceFinishesWithAllItsTokens(t *testing.T) {
	m := New(Config{Have: testModel, ProgressSteps: 4})
	m.Do(0, submit("a", 3000, 10))
	var kinds []string
	for _, e := range drive(m, time.Minute) {
		switch {
		case e.ev.Accepted != nil:
			kinds = append(kinds, "accepted")
		case e.ev.First != nil:
			kinds = append(kinds, "first")
		case e.ev.Progress != nil:
			kinds = append(kinds, "progress")
		case e.ev.Finished != nil:
			kinds = append(kinds, fmt.Sprintf("finished %d", e.ev.Finished.Output))
		}
	}
	want := []string{"accepted", "first", "progress", "progress", "finished 10"}
	if diff := cmp.Diff(want, kinds); diff != "" {
		t.Error(diff)
	}
	if l := m.Ledger(); l.HeldTokens != 0 || l.OutputTokens != 10 || l.PrefillTokens != 3000 {
		t.Errorf("ledger %+v, want 10 output tokens, 3000 prefilled and none held", l)
	}
}

func TestLongPromptsSlowShortOnes(t *testing.T) {
	ttft := func(longs int, priority int32) time.Duration {
		m := New(Config{Have: testModel})
		for i := range longs {
			m.Do(0, submit(fmt.Sprint("long", i), 100_000, 10))
		}
		c := submit("short", 2000, 10)
		c.Submit.Priority = priority
		m.Do(time.Millisecond, c)
		return firstAt(t, drive(m, 10*time.Minute), "short")
	}
	alone, one, three, preferred := ttft(0, 0), ttft(1, 0), ttft(3, 0), ttft(3, 1)
	if !(alone < one && one < three) {
		t.Errorf("first token after %v alone, %v with one long prompt, %v with three", alone, one, three)
	}
	if preferred >= three {
		t.Errorf("first token after %v with priority, %v without", preferred, three)
	}
}

func TestPrefixCacheSavesPrefill(t *testing.T) {
	m := New(Config{Have: testModel})
	prefixes := []uint64{1, 2, 3}
	first := submit("a", 4000, 1)
	first.Submit.Prefixes = prefixes
	m.Do(0, first)
	drive(m, time.Minute)
	second := submit("b", 4000, 1)
	second.Submit.Prefixes = prefixes
	m.Do(time.Minute, second)
	drive(m, 2*time.Minute)
	if l := m.Ledger(); l.CachedTokens != 3*DefaultBlockTokens {
		t.Errorf("%d tokens from the prefix cache, want 3 blocks", l.CachedTokens)
	}
}

func TestExportedMemoryStaysUntilDropped(t *testing.T) {
	x := NewExchange()
	a := New(Config{Name: "a", Have: testModel, Exchange: x})
	b := New(Config{Name: "b", Have: testModel, Exchange: x})
	part := submit("part", 300_000, 0)
	part.Submit.Export = true
	a.Do(0, part)
	var handle string
	for _, e := range drive(a, time.Minute) {
		if e.ev.Finished != nil {
			handle = e.ev.Finished.Handle
		}
	}
	if held := a.Ledger().HeldTokens; held != 300_000 {
		t.Fatalf("exporter holds %d tokens, want 300000", held)
	}
	last := submit("last", 300_000, 5)
	last.Submit.Imports = []string{handle}
	b.Do(time.Minute, last)
	drive(b, 2*time.Minute)
	if l := b.Ledger(); l.Finished != 1 || l.ImportedTokens != 300_000 {
		t.Errorf("importer's ledger %+v, want 1 finished sequence and 300000 imported tokens", l)
	}
	a.Do(2*time.Minute, engine.Command{Drop: &handle})
	if held := a.Ledger().HeldTokens; held != 0 {
		t.Errorf("exporter holds %d tokens after the drop", held)
	}
}

func TestImportFailsWhenTheExporterDies(t *testing.T) {
	x := NewExchange()
	a := New(Config{Name: "a", Have: testModel, Exchange: x})
	b := New(Config{Name: "b", Have: testModel, Exchange: x})
	part := submit("part", 1000, 0)
	part.Submit.Export = true
	a.Do(0, part)
	drive(a, time.Second)
	last := submit("last", 1000, 100_000)
	last.Submit.Imports = []string{"kv-a-1"}
	b.Do(time.Second, last)
	drive(b, 2*time.Second)
	a.Kill()
	var reason engine.FailReason
	for _, e := range drive(b, time.Hour) {
		if e.ev.Failed != nil {
			reason = e.ev.Failed.Reason
		}
	}
	if reason != engine.FailHandle || b.Ledger().HeldTokens != 0 {
		t.Errorf("importer failed with reason %d, want FailHandle and no memory held; ledger %+v", reason, b.Ledger())
	}
}

func TestOldFenceIsRefusedOnlyWhenChecked(t *testing.T) {
	other := wire.Assignment{Model: "other"}
	for _, check := range []bool{true, false} {
		m := New(Config{Have: testModel, CheckFence: check})
		m.Do(0, engine.Command{Load: &engine.Load{OrderID: 1, Want: testModel, Fence: 7}})
		m.Do(0, engine.Command{Load: &engine.Load{OrderID: 2, Want: other, Fence: 6}})
		drive(m, time.Hour)
		if changed := m.State(time.Hour).Have.Model == "other"; changed == check {
			t.Errorf("CheckFence %v: load with the lower fence took effect: %v", check, changed)
		}
	}
}

func TestHangDelaysEverything(t *testing.T) {
	m := New(Config{Have: testModel})
	m.Do(0, submit("a", 2000, 5))
	m.Hang(time.Millisecond, 10*time.Second)
	m.Do(time.Second, submit("b", 2000, 5))
	events := drive(m, time.Minute)
	if at := firstAt(t, events, "a"); at < 10*time.Second {
		t.Errorf("first token of a during the hang, at %v", at)
	}
	if at := firstAt(t, events, "b"); at < 10*time.Second {
		t.Errorf("first token of b during the hang, at %v", at)
	}
	if m.Next() != math.MaxInt64 {
		t.Errorf("idle engine is due at %v", m.Next())
	}
}

func TestMemoryIsConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(Config{Have: testModel, CapacityTokens: 20_000, CacheTokens: 8_192, MaxWaiting: 8, ProgressSteps: 8})
		now := time.Duration(0)
		open := make(map[engine.SequenceID]bool)
		settle := func(events []engine.Event) {
			for _, ev := range events {
				switch {
				case ev.Accepted != nil:
					open[ev.Accepted.ID] = true
				case ev.Finished != nil:
					delete(open, ev.Finished.ID)
				case ev.Failed != nil:
					delete(open, ev.Failed.ID)
				}
			}
		}
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for i := range steps {
			now += time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "wait"))
			randomAction(t, m, now, i)
			settle(m.TakeEvents())
			if m.Dead() {
				clear(open)
				m.Restart(now)
			}
			checkMemory(t, m, len(open))
		}
		for range steps + 1 {
			now += time.Hour
			m.Tick(now)
			dropHandles(m, now)
			settle(m.TakeEvents())
		}
		if l := m.Ledger(); l.HeldTokens != 0 || l.Running+l.Waiting != 0 || len(open) != 0 {
			t.Fatalf("after everything ended: %+v, %d open, want no memory held and no sequence open", l, len(open))
		}
	})
}

func dropHandles(m *Model, now time.Duration) {
	for _, h := range m.held() {
		if h.Handle != "" {
			m.Do(now, engine.Command{Drop: &h.Handle})
		}
	}
}

// randomAction applies one random command or fault. A new sequence gets the ID s<i>; a
// cancellation picks one of s0 to s<i>.
func randomAction(t *rapid.T, m *Model, now time.Duration, i int) {
	id := engine.SequenceID(fmt.Sprint("s", rapid.IntRange(0, i).Draw(t, "id")))
	switch rapid.IntRange(0, 12).Draw(t, "action") {
	case 0:
		m.Do(now, engine.Command{Cancel: &id})
	case 1:
		m.Hang(now, now+time.Second)
	case 2:
		m.SlowBy(now, rapid.Float64Range(0.5, 4).Draw(t, "factor"))
	case 3:
		m.Do(now, engine.Command{Load: &engine.Load{OrderID: uint64(i), Want: testModel}})
	case 4:
		m.Kill()
	case 5:
		c := submit(fmt.Sprint("s", i), rapid.Int64Range(1, 8000).Draw(t, "prompt"), 0)
		c.Submit.Export = true
		m.Do(now, c)
	default:
		c := submit(fmt.Sprint("s", i), rapid.Int64Range(0, 25_000).Draw(t, "prompt"), rapid.Int64Range(0, 3000).Draw(t, "output"))
		c.Submit.Priority = rapid.Int32Range(0, 2).Draw(t, "priority")
		m.Do(now, c)
	}
}

// checkMemory compares the ledger's memory with its parts, and its sequences with open,
// the number of sequences accepted and not ended.
func checkMemory(t *rapid.T, m *Model, open int) {
	l := m.Ledger()
	sum := int64(0)
	for _, h := range l.Held {
		sum += h.Tokens
	}
	if sum != l.HeldTokens || sum > l.Capacity {
		t.Fatalf("sequences and handles hold %d tokens in sum, HeldTokens is %d, capacity %d", sum, l.HeldTokens, l.Capacity)
	}
	if len(m.inbox) == 0 && open != l.Running+l.Waiting {
		t.Fatalf("%d sequences accepted and not ended, engine has %d", open, l.Running+l.Waiting)
	}
}
