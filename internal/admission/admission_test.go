package admission

import (
	"cmp"
	"slices"
	"testing"
	"time"
)

// queued is a request of a played load.
type queued struct {
	kind    string
	arrives time.Duration
	demand  Demand
	servedAt, refusedAt,
	retryAfter time.Duration
}

func (q *queued) inTime() bool { return q.servedAt > 0 && q.servedAt <= q.demand.Due }

// request returns a request of a kind whose engine time also is its least time to the first event.
func request(kind string, arrives, work, objective, patience, penalty time.Duration) *queued {
	return &queued{kind: kind, arrives: arrives, demand: Demand{
		Objective: objective, Due: arrives + objective, GiveUp: arrives + patience, Penalty: penalty, Work: work, Fastest: work,
	}}
}

// play serves requests on a number of engines, one at a time each, in the order of their keys,
// and refuses those of which Decide says so.
func play(engines int, load []*queued) {
	free := make([]time.Duration, engines)
	load = slices.Clone(load)
	slices.SortStableFunc(load, func(a, b *queued) int { return cmp.Compare(a.arrives, b.arrives) })
	var waiting []*queued
	for now := time.Duration(0); len(load)+len(waiting) > 0; now += 5 * time.Millisecond {
		for len(load) > 0 && load[0].arrives <= now {
			waiting, load = append(waiting, load[0]), load[1:]
		}
		slices.SortStableFunc(waiting, func(a, b *queued) int { return cmp.Compare(a.demand.Key(now), b.demand.Key(now)) })
		capacity, ahead := Capacity{Engines: float64(engines)}, time.Duration(0)
		for i := range free {
			if free[i] <= now && len(waiting) > 0 {
				free[i] = now + waiting[0].demand.Work
				waiting[0].servedAt, waiting = free[i], waiting[1:]
			}
			capacity.Queued += max(free[i]-now, 0)
		}
		waiting = slices.DeleteFunc(waiting, func(q *queued) bool {
			v := Decide(&q.demand, now, capacity.Begins(ahead))
			if v.Refused {
				q.refusedAt, q.retryAfter = now, v.RetryAfter
				return true
			}
			ahead += q.demand.Work
			return false
		})
	}
}

// share returns the shares of the requests of a kind that were in time and that were served.
func share(load []*queued, kind string) (inTime, served float64) {
	n := 0.0
	for _, q := range load {
		if q.kind != kind {
			continue
		}
		n++
		if q.inTime() {
			inTime++
		}
		if q.servedAt > 0 {
			served++
		}
	}
	return inTime / n, served / n
}

const ms = time.Millisecond

func shortRequest(kind string, at, penalty time.Duration) *queued {
	return request(kind, at, 50*ms, 300*ms, 2*time.Second, penalty)
}

func longRequest(at time.Duration) *queued {
	return request("long", at, 2*time.Second, 4*time.Second, 15*time.Second, 0)
}

// TestBurstOfLongDoesNotStarveShort plays twice as much long work as two engines do, for six
// seconds, with a few short requests between: these are nearly all in time as far as a running
// long request lets them, and long ones are served too.
func TestBurstOfLongDoesNotStarveShort(t *testing.T) {
	var load []*queued
	for at := time.Duration(0); at < 6*time.Second; at += 500 * ms {
		load = append(load, longRequest(at), shortRequest("short", at+100*ms, 0))
	}
	play(2, load)
	if _, served := share(load, "short"); served < 0.5 {
		t.Errorf("%.2f of the short requests served, want half at least", served)
	}
	if _, served := share(load, "long"); served < 0.5 {
		t.Errorf("%.2f of the long requests served, want half at least", served)
	}
}

// TestBurstOfShortDoesNotStarveLong plays short requests of one and a half times what two
// engines do beside a few long ones: all long ones are served, and more short ones in time
// than late.
func TestBurstOfShortDoesNotStarveLong(t *testing.T) {
	var load []*queued
	for i := range 360 {
		load = append(load, shortRequest("short", time.Duration(i)*50*ms/3, 0))
	}
	for at := time.Duration(0); at < 6*time.Second; at += 2 * time.Second {
		load = append(load, longRequest(at))
	}
	play(2, load)
	if _, served := share(load, "long"); served < 1 {
		t.Errorf("%.2f of the long requests served, want all", served)
	}
	if inTime, served := share(load, "short"); inTime < served/2 {
		t.Errorf("%.2f of the short requests in time and %.2f served, want half of them in time", inTime, served)
	}
}

// TestGreedyAccountDoesNotCrowdOutOthers plays an account that sends four times what two engines
// do. Nine tenths of the few requests of others are in time, and the account is still served.
func TestGreedyAccountDoesNotCrowdOutOthers(t *testing.T) {
	var load []*queued
	for i := range 480 {
		load = append(load, shortRequest("greedy", time.Duration(i)*50*ms/8, Penalty(1, min(i, 100))))
	}
	for i := range 30 {
		load = append(load, shortRequest("other", time.Duration(i)*100*ms, Penalty(1, 0)))
	}
	play(2, load)
	if inTime, _ := share(load, "other"); inTime < 0.9 {
		t.Errorf("%.2f of the other accounts' requests in time, want 0.9", inTime)
	}
	if _, served := share(load, "greedy"); served == 0 {
		t.Error("the greedy account is not served at all")
	}
}

// TestUrgentKindIsServedNoLess plays two kinds of one service that together are twice what two
// engines do, one of them less urgent.
func TestUrgentKindIsServedNoLess(t *testing.T) {
	var load []*queued
	for i := range 240 {
		load = append(load,
			shortRequest("urgent", time.Duration(i)*25*ms, Penalty(0, 0)),
			shortRequest("other", time.Duration(i)*25*ms, Penalty(2, 0)))
	}
	play(2, load)
	urgentInTime, urgent := share(load, "urgent")
	otherInTime, other := share(load, "other")
	if urgent < other || urgentInTime < otherInTime {
		t.Errorf("%.2f of the urgent kind served and %.2f in time, of the other %.2f and %.2f", urgent, urgentInTime, other, otherInTime)
	}
	if other == 0 {
		t.Error("the less urgent kind is not served at all")
	}
}

// TestEverybodyLateStillServesInTime plays twice what two engines do for six seconds, so that
// all requests would be late in order of arrival: a third at least is in time, and one that
// can't be served is refused before its caller gives up, told to come back once there is room.
func TestEverybodyLateStillServesInTime(t *testing.T) {
	var load []*queued
	for i := range 480 {
		load = append(load, shortRequest("short", time.Duration(i)*50*ms/4, 0))
	}
	play(2, load)
	if inTime, _ := share(load, "short"); inTime < 1.0/3 {
		t.Errorf("%.2f in time, want a third", inTime)
	}
	for _, q := range load {
		if q.servedAt == 0 && q.refusedAt+q.demand.Fastest > q.demand.GiveUp+5*ms {
			t.Errorf("refused %v after its arrival, when its caller could not be served any more", q.refusedAt-q.arrives)
		}
	}
}

// TestHopelessRequestIsRefusedAtOnce checks that a request is refused when it arrives, not
// later, if the work before it takes longer than its caller waits, and that its caller is told
// when that is done; with less work before it, it waits.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	d := longRequest(0).demand
	c := Capacity{Engines: 10, Queued: 40 * time.Second}
	if v := Decide(&d, 0, c.Begins(100*time.Second)); !v.Refused || v.RetryAfter != 14*time.Second {
		t.Errorf("%+v, want a refusal for 14 s", v)
	}
	if v := Decide(&d, 0, c.Begins(80*time.Second)); v.Refused || v.Begins != 12*time.Second {
		t.Errorf("%+v, want a wait of 12 s", v)
	}
	if v := Decide(&d, 0, Capacity{}.Begins(time.Second)); v.Refused {
		t.Errorf("%+v without an engine that could tell, want a wait", v)
	}
}

// TestAssuredRequestIsNotRefusedForThoseThatYield guards against an assured request that is refused
// for the work of requests that are late, and come after it, before they are served.
func TestAssuredRequestIsNotRefusedForThoseThatYield(t *testing.T) {
	c := Capacity{Engines: 1}
	var ahead Ahead
	for range 10 { // of 2 s each, due in 4 s: two can be in time
		d := longRequest(0).demand
		ahead.Add(&d, 0, c.Begins(ahead.Before(&d)))
	}
	d := longRequest(0).demand
	if got := ahead.Before(&d); got != 20*time.Second {
		t.Errorf("%v before another request, want 20 s", got)
	}
	d.Assured = true
	if got := ahead.Before(&d); got != 4*time.Second {
		t.Errorf("%v before an assured one, want 4 s", got)
	}
	if v := Decide(&d, 0, c.Begins(ahead.Before(&d))); v.Refused {
		t.Error("an assured request is refused, want a wait")
	}
	ahead.Add(&d, 0, c.Begins(ahead.Before(&d)))
	late := longRequest(0).demand
	late.Due = time.Second
	ahead.Add(&late, 0, Unknown)
	if got := ahead.Before(&d); got != 8*time.Second {
		t.Errorf("%v behind another assured one and a late one, want 8 s", got)
	}
}

// TestCallerIsToldInTimeToComeBack checks that a request waits no longer than its caller needs
// to come back, unless it has come back already.
func TestCallerIsToldInTimeToComeBack(t *testing.T) {
	d := longRequest(0).demand
	d.Return = 9 * time.Second
	if v := Decide(&d, 9*time.Second, 0); v.Refused {
		t.Errorf("refused at %v, want a wait", d.Return)
	}
	if v := Decide(&d, 9*time.Second+1, 0); !v.Refused {
		t.Errorf("waits after %v, want a refusal", d.Return)
	}
	d.Return = 0
	if v := Decide(&d, 12*time.Second, 0); v.Refused {
		t.Error("refused again although it can be served")
	}
}

// TestDrainPredictsFromWhatIsServed plays a queue that is served at half an engine second a
// second. A queue that was not busy long enough, or served nothing, says nothing.
func TestDrainPredictsFromWhatIsServed(t *testing.T) {
	var d Drain
	if got := d.Begins(time.Second, time.Second); got != Unknown {
		t.Errorf("%v of an idle queue, want unknown", got)
	}
	for now := time.Second; now <= 4*time.Second; now += 10 * ms {
		if now == 1100*ms {
			if got := d.Begins(now, time.Second); got != Unknown {
				t.Errorf("%v after 100 ms, want unknown", got)
			}
		}
		d.Observe(now, true)
		d.Began(5 * ms)
	}
	if got := d.Begins(4*time.Second, time.Second); got < 1900*ms || got > 2100*ms {
		t.Errorf("%v for an engine second, want about 2 s", got)
	}
	d.Observe(5*time.Second, false)
	d.Observe(6*time.Second, true)
	if got := d.Begins(8*time.Second, time.Second); got != Unknown {
		t.Errorf("%v of a queue of which nothing was served, want unknown", got)
	}
}

// TestReturnsAreBounded checks that a refused request is recognized once, not before its caller
// was told to come back and not after its deadline, and that the table does not grow.
func TestReturnsAreBounded(t *testing.T) {
	var r Refusals
	r.Add(0, Refusal{Fingerprint: 1, From: time.Second, Until: 5 * time.Second})
	r.Add(0, Refusal{Fingerprint: 2, From: time.Second, Until: 5 * time.Second})
	if _, ok := r.Take(999*ms, 1); ok {
		t.Error("a caller that came back too early has its place")
	}
	if _, ok := r.Take(time.Second, 1); !ok {
		t.Error("a caller that came back as told is not recognized")
	}
	if _, ok := r.Take(time.Second, 1); ok {
		t.Error("a second request takes the same place")
	}
	if _, ok := r.Take(5*time.Second, 2); ok {
		t.Error("recognized after its deadline")
	}
	for i := range uint64(2 * maxRefusals) {
		r.Add(time.Second, Refusal{Fingerprint: 10 + i, Until: time.Hour})
	}
	if r.Len() != maxRefusals {
		t.Errorf("%d refusals remembered, want %d", r.Len(), maxRefusals)
	}
}
