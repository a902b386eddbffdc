package poison

import (
	"flag"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var manyParts = flag.Int("poison.parts", 100_000, "distinct parts of TestManyParts")

func drawRow(t *rapid.T) Row {
	r := Row{Part: rapid.Uint64Range(0, 4).Draw(t, "part")}
	for range rapid.IntRange(0, 4).Draw(t, "crashes") {
		r.Crashes = append(r.Crashes, CrashRow{
			Life: rapid.Uint64Range(1, maxCrashesPerPart).Draw(t, "life"), AgeMS: rapid.Int64Range(0, 900_000).Draw(t, "age"),
		})
	}
	if rapid.IntRange(0, 3).Draw(t, "cleared") == 0 {
		r.Cleared, r.ClearedMS = true, rapid.Int64Range(0, 900_000).Draw(t, "cleared age")
	}
	if rapid.IntRange(0, 2).Draw(t, "quarantined") == 0 {
		r.Quarantined, r.SinceMS = true, int64(r.Part)*200_000
		r.Trials, r.NextMS = rapid.IntRange(0, 3).Draw(t, "trials"), rapid.Int64Range(-1000, 100_000).Draw(t, "next")
		r.AskedMS = rapid.Int64Range(0, 4_000_000).Draw(t, "asked")
	}
	return r
}

// knowledge is what Merge leaves in a table.
type knowledge struct {
	Crashes     crashes
	Cleared     time.Duration
	Quarantined bool
	Quarantine  quarantine
}

func known(t *Table) (map[Part]knowledge, crashes) {
	out := make(map[Part]knowledge)
	for e := range t.parts.Values() {
		out[e.part] = knowledge{append(crashes{}, e.crashes...), e.cleared, e.quarantined, e.quarantine}
	}
	return out, t.lives
}

var compareKnowledge = cmp.AllowUnexported(crash{}, quarantine{})

// TestMergeDependsOnOrder guards against tables that differ because messages were
// reordered or repeated.
func TestMergeDependsOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const now = 2 * time.Hour
		rows := rapid.SliceOfN(rapid.Custom(drawRow), 1, 12).Draw(t, "rows")
		again := rapid.Permutation(append(rows, rows[:rapid.IntRange(0, len(rows)).Draw(t, "repeated")]...)).Draw(t, "reordered")
		a, b := newTable(), newTable()
		a.Merge(now, rows)
		for i := range again {
			b.Merge(now, again[i:i+1])
		}
		partsA, livesA := known(a)
		partsB, livesB := known(b)
		if diff := cmp.Diff(partsA, partsB, compareKnowledge); diff != "" {
			t.Fatalf("parts differ:\n%s", diff)
		}
		if diff := cmp.Diff(livesA, livesB, compareKnowledge); diff != "" {
			t.Fatalf("lives differ:\n%s", diff)
		}
	})
}

// TestOwnRowsComeBack guards against times that move when gateways pass rows on to one
// another for long.
func TestOwnRowsComeBack(t *testing.T) {
	a, b := newTable(), New(Config{Gateway: 2})
	a.Crashed(0, 1, []Part{7})
	a.Completed(0, []Part{7})
	a.Crashed(time.Second, 2, []Part{7})
	now := crashApart(a, 2*time.Second, 3, 5, 7)
	a.Decide(now, []Part{7}, twoGateways)
	want, _ := known(a)
	rng := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		now += time.Duration(rng.Int64N(int64(20 * time.Millisecond)))
		rows := a.Rows(now, 4)
		now += time.Duration(rng.Int64N(int64(10 * time.Millisecond)))
		b.Merge(now, rows)
		rows = b.Rows(now, 4)
		now += time.Duration(rng.Int64N(int64(10 * time.Millisecond)))
		a.Merge(now, rows)
	}
	got, _ := known(a)
	for p, k := range got {
		// The last request may drift by the delays, far less than the time passes.
		if drift := k.Quarantine.asked - want[p].Quarantine.asked; drift < 0 || drift > now/2 {
			t.Errorf("the last request moved by %v within %v", drift, now)
		}
		k.Quarantine.asked = want[p].Quarantine.asked
		got[p] = k
	}
	if diff := cmp.Diff(want, got, compareKnowledge); diff != "" {
		t.Errorf("knowledge moved (-want +got):\n%s", diff)
	}
}

// TestAdversarialRows guards against rows with any content that break a table or make it
// grow.
func TestAdversarialRows(t *testing.T) {
	any64 := rapid.Int64Range(math.MinInt64, math.MaxInt64)
	rapid.Check(t, func(t *rapid.T) {
		tbl := newTable()
		for range rapid.IntRange(1, 5).Draw(t, "messages") {
			r := Row{
				Part: rapid.Uint64().Draw(t, "part"), Cleared: rapid.Bool().Draw(t, "cleared"), ClearedMS: any64.Draw(t, "age"),
				Quarantined: rapid.Bool().Draw(t, "quarantined"), SinceMS: any64.Draw(t, "since"),
				Trials: rapid.Int().Draw(t, "trials"), NextMS: any64.Draw(t, "next"), AskedMS: any64.Draw(t, "asked"),
			}
			for range rapid.IntRange(0, 40).Draw(t, "crashes") {
				r.Crashes = append(r.Crashes, CrashRow{Life: rapid.Uint64().Draw(t, "life"), AgeMS: any64.Draw(t, "crash")})
			}
			tbl.Merge(time.Minute, []Row{r})
			tbl.Decide(time.Minute, []Part{Part(r.Part)}, twoGateways)
			tbl.MayRepeat(time.Minute, []Part{Part(r.Part)}, 1)
			tbl.Rows(time.Minute, 4)
			checkBounds(t, tbl)
		}
	})
}

type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

func checkBounds(t failer, tbl *Table) {
	t.Helper()
	if n := tbl.parts.Len(); n > maxParts {
		t.Fatalf("%d parts", n)
	}
	if n := len(tbl.lives); n > maxLives {
		t.Fatalf("%d lives", n)
	}
	if n := len(tbl.changed); n > maxParts+1 {
		t.Fatalf("%d changed parts", n)
	}
	if n := len(tbl.completions.recent) + len(tbl.completions.older); n > 2*maxCompletions {
		t.Fatalf("%d completions", n)
	}
	for e := range tbl.parts.Values() {
		if len(e.crashes) > maxCrashesPerPart {
			t.Fatalf("%d crashes of a part", len(e.crashes))
		}
	}
}

// TestManyParts guards against a table that grows, or that loses a guilty part, when many
// parts come.
func TestManyParts(t *testing.T) {
	tbl := newTable()
	now := crashApart(tbl, 0, 1, 3, 7)
	tbl.Decide(now, []Part{7}, twoGateways)
	next := Part(1000)
	for i := range *manyParts / maxPartsRead {
		now += 10 * time.Millisecond
		var ps []Part
		for range maxPartsRead {
			next++
			ps = append(ps, next)
		}
		tbl.Crashed(now, Life(100+i), ps)
		tbl.Completed(now, ps[:8])
		if i%100 == 0 {
			tbl.Decide(now, ps, twoGateways)
			tbl.Changed(now)
			checkBounds(t, tbl)
		}
	}
	if d := tbl.Decide(now, []Part{7}, []uint64{1, 2}); d.Verdict != Refused && d.Verdict != Trial {
		t.Errorf("the guilty part: %v", d)
	}
}

// fullTable returns a table with as many parts, crashes and quarantines as it may have.
func fullTable() (*Table, time.Duration) {
	tbl := newTable()
	now := time.Duration(0)
	for i := range maxCrashesPerPart {
		for j := range maxParts {
			tbl.Crashed(now, Life(i*8+j%8+1), []Part{Part(j + 1)})
		}
		now += 400 * time.Millisecond
	}
	return tbl, now + time.Second
}

func BenchmarkDecideUnknownParts(b *testing.B) {
	tbl, now := fullTable()
	ps := make([]Part, maxPartsRead)
	for i := range ps {
		ps[i] = Part(1_000_000 + i)
	}
	for b.Loop() {
		tbl.Decide(now, ps, twoGateways)
	}
}

func BenchmarkEvaluateFullTable(b *testing.B) {
	tbl, now := fullTable()
	for b.Loop() {
		tbl.dirty = true
		tbl.evaluate(now)
	}
}

func BenchmarkCrashedDistinctParts(b *testing.B) {
	tbl, now := fullTable()
	next, life := Part(1_000_000), Life(1_000_000)
	ps := make([]Part, maxPartsRead)
	for b.Loop() {
		for i := range ps {
			next++
			ps[i] = next
		}
		life++
		tbl.Crashed(now, life, ps)
	}
}
