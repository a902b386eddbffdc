package poison

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
)

var twoGateways = []uint64{1, 2}

func newTable() *Table { return New(Config{Gateway: 1}) }

// crashApart records crashes of new lives one second apart, under these parts, and
// returns the time at which the last one has settled.
func crashApart(t *Table, now time.Duration, first Life, n int, ps ...Part) time.Duration {
	for i := range n {
		t.Crashed(now, first+Life(i), ps)
		now += time.Second
	}
	return now
}

func TestPartIsRefusedAfterThreeEvents(t *testing.T) {
	tbl := newTable()
	now := crashApart(tbl, time.Minute, 1, 2, 7)
	if d := tbl.Decide(now, []Part{7}, twoGateways); d.Verdict != Allowed {
		t.Errorf("after two crashes: %v", d)
	}
	now = crashApart(tbl, now, 3, 1, 7)
	if d := tbl.Decide(now, []Part{5, 7, 8}, twoGateways); d.Verdict != Refused || d.RetryAfter != 89*time.Second || d.Part != 7 {
		t.Errorf("after three crashes: %v", d)
	}
	if d := tbl.Decide(now, []Part{5, 8}, twoGateways); d.Verdict != Allowed {
		t.Errorf("without the part: %v", d)
	}
}

func TestCrashOfOneLifeCountsOnce(t *testing.T) {
	tbl := newTable()
	for i := range 20 {
		tbl.Crashed(time.Duration(i)*time.Second, 1, []Part{7})
	}
	if d := tbl.Decide(21*time.Second, []Part{7}, twoGateways); d.Verdict != Allowed {
		t.Errorf("after one crash, reported again: %v", d)
	}
}

func TestCompletedAnswerClears(t *testing.T) {
	tbl := newTable()
	now := crashApart(tbl, 0, 1, 3, 7, 8)
	tbl.Decide(now, []Part{7, 8}, twoGateways)
	tbl.Completed(now, []Part{7, 8})
	if d := tbl.Decide(now, []Part{7, 8}, twoGateways); d.Verdict != Allowed {
		t.Errorf("after a completed answer: %v", d)
	}
	if got := tbl.Dump(now, 10); len(got) > 0 {
		t.Errorf("after a completed answer the table has %v", got)
	}
}

// TestSameRareNeighbour guards against a neighbour that is refused by itself, and against
// a guilty part that hides behind a neighbour.
func TestSameRareNeighbour(t *testing.T) {
	for _, guilty := range []Part{7, 8} {
		sound := 15 - guilty
		tbl := newTable()
		now := crashApart(tbl, 0, 1, 3, 7, 8)
		if d := tbl.Decide(now, []Part{7, 8}, twoGateways); d.Verdict != Refused {
			t.Errorf("both parts: %v", d)
		}
		for _, p := range []Part{7, 8} {
			if d := tbl.Decide(now, []Part{p}, twoGateways); d.Verdict != Allowed {
				t.Errorf("part %d by itself: %v", p, d)
			}
		}
		tbl.Crashed(now, 10, []Part{guilty})
		tbl.Completed(now, []Part{sound})
		now += time.Second
		if d := tbl.Decide(now, []Part{guilty, 20}, twoGateways); d.Verdict != Refused {
			t.Errorf("the guilty part %d with another one: %v", guilty, d)
		}
		if d := tbl.Decide(now, []Part{sound, 20}, twoGateways); d.Verdict != Allowed {
			t.Errorf("the sound part %d with another one: %v", sound, d)
		}
	}
}

// TestTrialsOfTheFleet guards against more than one trial of a fleet, and against pauses
// that don't grow.
func TestTrialsOfTheFleet(t *testing.T) {
	live := []uint64{1, 2, 3}
	var tables []*Table
	for _, g := range live {
		tables = append(tables, New(Config{Gateway: g}))
	}
	now := crashApart(tables[0], 0, 1, 3, 7)
	var trials []time.Duration
	for ; now < 30*time.Minute; now += 100 * time.Millisecond {
		for _, from := range tables {
			rows := from.Changed(now)
			for _, to := range tables {
				to.Merge(now, rows)
			}
		}
		for _, tbl := range tables {
			if tbl.Decide(now, []Part{7}, live).Verdict == Trial {
				trials = append(trials, now.Round(time.Second))
			}
		}
	}
	want := []time.Duration{92 * time.Second, 272 * time.Second, 632 * time.Second, 1352 * time.Second}
	if diff := cmp.Diff(want, trials); diff != "" {
		t.Errorf("trials differ (-want +got):\n%s", diff)
	}
}

func TestQuarantineEndsWithoutRequests(t *testing.T) {
	tbl := newTable()
	now := crashApart(tbl, 0, 1, 3, 7)
	tbl.Decide(now, []Part{7}, twoGateways)
	if now += 59 * time.Minute; tbl.Decide(now, []Part{1}, twoGateways).Verdict != Allowed || len(tbl.Dump(now, 1)) == 0 {
		t.Error("the quarantine ended within an hour")
	}
	if now += 2 * time.Minute; len(tbl.Dump(now, 1)) > 0 {
		t.Error("the quarantine is kept longer than an hour")
	}
}

// TestHeldPart guards against a burst that is one event and brings all engines down again
// once they are back.
func TestHeldPart(t *testing.T) {
	live := []uint64{1, 2, 3, 4, 5}
	var tables []*Table
	for _, g := range live {
		tbl := New(Config{Gateway: g})
		for i := range 18 {
			tbl.Crashed(time.Duration(i)*10*time.Millisecond, Life(i+1), []Part{7})
		}
		tables = append(tables, tbl)
	}
	var sent []time.Duration
	for now := 200 * time.Millisecond; now < 6*time.Second; now += 10 * time.Millisecond {
		for _, tbl := range tables {
			if tbl.Decide(now, []Part{7, 9}, live).Verdict == Allowed {
				sent = append(sent, now)
			}
		}
	}
	if len(sent) != 6 {
		t.Errorf("requests with a held part were sent at %v, want one a second", sent)
	}
}

func TestMayRepeat(t *testing.T) {
	for name, c := range map[string]struct {
		crashes map[Life][]Part
		want    bool
	}{
		"first crash":               {want: true},
		"the same life, recorded":   {crashes: map[Life][]Part{9: {7}}, want: true},
		"second crash":              {crashes: map[Life][]Part{1: {7}}, want: false},
		"bystander of another part": {crashes: map[Life][]Part{1: {7, 8}, 2: {8}}, want: true},
		"together with another":     {crashes: map[Life][]Part{1: {7, 8}, 2: {7, 8}}, want: false},
	} {
		tbl := newTable()
		for life := range Life(10) {
			if ps := c.crashes[life]; ps != nil {
				tbl.Crashed(time.Duration(life)*time.Second, life, ps)
			}
		}
		if got := tbl.MayRepeat(10*time.Second, []Part{7}, 9); got != c.want {
			t.Errorf("%s: may repeat %v", name, got)
		}
	}
}

// TestSeriesWithLongRequest guards against a part that is condemned because its request is
// repeated from one engine to the next in a rolling series of crashes.
func TestSeriesWithLongRequest(t *testing.T) {
	tbl := newTable()
	now := time.Minute
	for i := range 18 {
		var ps []Part
		if i >= 5 && i < 9 {
			ps = []Part{7}
		}
		tbl.Crashed(now, Life(i+1), ps)
		now += time.Second
	}
	for _, s := range tbl.Dump(now, 10) {
		if s.Quarantined {
			t.Errorf("condemned: %+v", s)
		}
	}
}

// TestRowsFitIntoOneDatagram guards against messages that are fragmented.
func TestRowsFitIntoOneDatagram(t *testing.T) {
	tbl := newTable()
	for i := range Life(40) {
		tbl.Crashed(time.Duration(i)*time.Second, 1<<63+i, []Part{1<<63 + 1, 1<<63 + 2, 1<<63 + 3, 1<<63 + 4, 1<<63 + 5})
	}
	now := time.Minute
	for name, rows := range map[string][]Row{"changed": tbl.Changed(now), "full": tbl.Rows(now, 4)} {
		data, err := cbor.Marshal(rows)
		if err != nil {
			t.Fatal(err)
		}
		if len(rows) != 4 || len(data) > 1200 {
			t.Errorf("%s: %d rows take %d bytes", name, len(rows), len(data))
		}
		var got []Row
		if err := cbor.Unmarshal(data, &got); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(rows, got, cmp.AllowUnexported(CrashRow{})); diff != "" {
			t.Errorf("%s: rows differ (-want +got):\n%s", name, diff)
		}
	}
}
