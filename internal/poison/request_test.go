package poison

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	request = requestBit | Part(7)
	other   = requestBit | Part(8)
)

// crashInSequence records crashes of new lives under a request that is sent on at once, each
// after a run of 60 ms, and returns the time of the last one.
func crashInSequence(t *Table, now time.Duration, first Life, n int, r Part) time.Duration {
	for i := range n {
		began := now
		now += 60 * time.Millisecond
		t.RequestsCrashed(now, first+Life(i), []Run{{Request: r, Began: began}})
	}
	return now
}

func TestRequestIsRefusedAfterThreeCrashesInQuickSequence(t *testing.T) {
	tbl := newTable()
	now := crashInSequence(tbl, time.Minute, 1, 3, request)
	if d := tbl.Decide(now+time.Millisecond, []Part{request}, twoGateways); d.Verdict != Held {
		t.Errorf("right after the third crash: %v, want it held", d)
	}
	if tbl.MayRepeat(now, []Part{request}, 3) {
		t.Error("the request may be repeated after the third crash")
	}
	if d := tbl.Decide(now+time.Second, []Part{request}, twoGateways); d.Verdict != Refused || d.Part != request {
		t.Errorf("a second later: %v, want it refused", d)
	}
	if d := tbl.Decide(now+time.Second, []Part{other}, twoGateways); d.Verdict != Allowed {
		t.Errorf("another request: %v, want it allowed", d)
	}
}

func TestRequestOnEndpointsThatEndTogetherIsNotHeld(t *testing.T) {
	tbl := newTable()
	for life := range Life(8) { // noticed one after the other
		at := time.Minute + time.Duration(life)*15*time.Millisecond
		tbl.RequestsCrashed(at, life+1, []Run{{Request: request, Began: time.Minute - 20*time.Millisecond}})
	}
	if d := tbl.Decide(time.Minute+time.Second, []Part{request}, twoGateways); d.Verdict != Allowed {
		t.Errorf("%v, want it allowed", d)
	}
}

// TestRequestSentToEndedEndpointsIsNotHeld checks that attempts that break off at once tell nothing.
func TestRequestSentToEndedEndpointsIsNotHeld(t *testing.T) {
	tbl := newTable()
	for life := range Life(5) {
		at := time.Minute + time.Duration(life)*4*time.Millisecond
		tbl.RequestsCrashed(at, life+1, []Run{{Request: request, Began: at - 2*time.Millisecond}})
	}
	if d := tbl.Decide(time.Minute+time.Second, []Part{request}, twoGateways); d.Verdict != Allowed {
		t.Errorf("%v, want it allowed", d)
	}
}

func TestCompletedAnswerClearsARequest(t *testing.T) {
	tbl := newTable()
	now := crashInSequence(tbl, time.Minute, 1, 3, request)
	tbl.Completed(now+100*time.Millisecond, []Part{request})
	if d := tbl.Decide(now+time.Second, []Part{request}, twoGateways); d.Verdict != Allowed {
		t.Errorf("%v, want it allowed", d)
	}
}

// TestRequestThatRanBesideTheCrashingOneGoesOn checks a request that fell with two endpoints on
// which the crashing request ran, and that was then sent on with it.
func TestRequestThatRanBesideTheCrashingOneGoesOn(t *testing.T) {
	tbl := newTable()
	now := crashInSequence(tbl, time.Minute, 1, 3, request)
	for life := range Life(3) {
		end := time.Minute + time.Duration(life+1)*60*time.Millisecond
		tbl.RequestsCrashed(end, life+1, []Run{{Request: other, Began: end - 30*time.Millisecond}})
	}
	now = crashInSequence(tbl, now+time.Second, 4, 1, request)
	if d := tbl.Decide(now+time.Second, []Part{other}, twoGateways); d.Verdict != Allowed {
		t.Errorf("the bystander: %v, want it allowed", d)
	}
	if d := tbl.Decide(now+time.Second, []Part{request}, twoGateways); d.Verdict != Refused {
		t.Errorf("the crashing request: %v, want it refused", d)
	}
}

// TestPartIsFoundThoughItsRequestsAreTheSame checks that crashes under a part of prompts are not
// put down to the requests that have it.
func TestPartIsFoundThoughItsRequestsAreTheSame(t *testing.T) {
	tbl := newTable()
	now := time.Minute
	for life := range Life(3) {
		tbl.Crashed(now, life+1, []Part{9})
		tbl.RequestsCrashed(now, life+1, []Run{{Request: request, Began: now - 50*time.Millisecond}})
		now += time.Second
	}
	if d := tbl.Decide(now, []Part{9, request}, twoGateways); d.Verdict != Refused || d.Part != 9 {
		t.Errorf("%v, want it refused because of the part", d)
	}
	if d := tbl.Decide(now, []Part{request}, twoGateways); d.Verdict != Allowed {
		t.Errorf("the same request without the part: %v, want it allowed", d)
	}
}

func TestOtherGatewayLearnsTheSequence(t *testing.T) {
	a, b := newTable(), New(Config{Gateway: 2})
	now := crashInSequence(a, time.Minute, 1, 3, request)
	raw, err := cbor.Marshal(a.Rows(now, 10))
	if err != nil {
		t.Fatal(err)
	}
	var rows []Row
	if err := cbor.Unmarshal(raw, &rows); err != nil {
		t.Fatal(err)
	}
	b.Merge(now+time.Millisecond, rows)
	if d := b.Decide(now+time.Second, []Part{request}, twoGateways); d.Verdict != Refused {
		t.Errorf("%v, want it refused at the other gateway", d)
	}
}

// TestRowsLeaveOutRequestsThatFellOnce checks that the requests that fell with one endpoint are
// not repeated in each full message for as long as they are kept.
func TestRowsLeaveOutRequestsThatFellOnce(t *testing.T) {
	tbl := newTable()
	for i := range 40 {
		tbl.RequestsCrashed(time.Minute, Life(1+i/10), []Run{{Request: request + Part(i), Began: time.Minute - time.Second}})
	}
	tbl.RequestsCrashed(time.Minute+time.Second, 9, []Run{{Request: request, Began: time.Minute + 500*time.Millisecond}})
	if n := len(tbl.Rows(time.Minute+1500*time.Millisecond, 24)); n != 24 {
		t.Errorf("%d rows shortly after the crash, want 24", n)
	}
	if rows := tbl.Rows(time.Minute+4*time.Second, 24); len(rows) != 2 || Part(rows[1].Part) != request {
		t.Errorf("%d rows later, want those of the endpoints and of the request that fell twice", len(rows))
	}
}

// TestRunWithoutABeginIsNotTakenForALaterOne checks rows that don't say when runs began, also
// after they were passed on.
func TestRunWithoutABeginIsNotTakenForALaterOne(t *testing.T) {
	now := time.Minute
	rows := []Row{{Part: uint64(request), Crashes: []CrashRow{{Life: 1, AgeMS: 3000}, {Life: 2, AgeMS: 2000}, {Life: 3, AgeMS: 1000}}}}
	for hop := range 2 {
		tbl := newTable()
		tbl.Merge(now, rows)
		if d := tbl.Decide(now+time.Second, []Part{request}, twoGateways); d.Verdict != Allowed {
			t.Errorf("after %d hops: %v, want it allowed", hop, d)
		}
		rows = tbl.Rows(now, 10)
	}
}
