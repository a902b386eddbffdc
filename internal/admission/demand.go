// Package admission decides, when there is too little room, which requests wait, in which
// order they are served, and which are refused. It is deterministic: time and values in,
// decisions out.
package admission

import "time"

const (
	// priorityStep is how much later a request is ordered for each step of lower priority:
	// a third of the shortest usual objective. Priority is a head start and not an absolute
	// order, so that no priority starves another.
	priorityStep = 100 * time.Millisecond
	// maxUnpenalizedWaiting is the number of requests of one client account that may wait
	// for a service at a gateway without a penalty. Each further request is ordered later
	// by backlogPenaltyStep: about the time in which the fleet prefills a short prompt
	// at full load. Requests without an account count as those of one account.
	maxUnpenalizedWaiting = 4
	backlogPenaltyStep    = 10 * time.Millisecond
	// maxBacklogPenalty bounds the penalty that an account's backlog adds to a request.
	maxBacklogPenalty = 2 * time.Second
	// workPenaltyRatio is the delay in the order per unit of engine time. Prefill time grows
	// faster than the prompt, since it includes pairs of tokens, so that under overload shorter
	// prompts give more callers their answers in time.
	workPenaltyRatio = 0.5
)

// Demand is a waiting request as far as its place in the order depends on it. Times are on
// the gateway's clock.
type Demand struct {
	Objective time.Duration // time that its caller accepts until the first event, or the answer
	Due       time.Duration // when its first event, or its answer, misses its objective
	GiveUp    time.Duration // the latest first event, or answer, that still serves its caller
	Return    time.Duration // until when it may wait so that its caller, if refused, can still come back; 0: it has come back
	Penalty   time.Duration // see Penalty
	Work      time.Duration // engine time of its prefill, if engines are assigned by work; else 0
	Fastest   time.Duration // from its dispatch to its first event at best
	Assured   bool          // it keeps its place once it is late
}

// assuredEvery is the part of all requests, one in so many, that keeps its place once late.
const assuredEvery = 16

// Assured reports whether a request keeps its place once it is late: one in assuredEvery of
// all, by its number at its gateway, so that no kind or account starves while others keep
// arriving that can still be in time.
func Assured(number uint64) bool { return number%assuredEvery == 0 }

// Penalty returns the time by which a request is ordered after its due time for its priority
// (0 is the most urgent) and for the requests of its account that wait already.
func Penalty(priority, accountWaiting int) time.Duration {
	behind := time.Duration(max(accountWaiting-maxUnpenalizedWaiting, 0)) * backlogPenaltyStep
	return time.Duration(priority)*priorityStep + min(behind, maxBacklogPenalty)
}

// Key returns d's place in the order of waiting requests; the lowest comes first. It is the due
// time with penalties. A request that can't meet its objective any more yields to all of its kind
// that can, unless it is assured: it has lost most of what its caller wanted, and serving it
// first would make others late too. Its due time is the end of its caller's patience then.
func (d *Demand) Key(now time.Duration) time.Duration {
	due := d.Due
	if d.Late(now) && !d.Assured {
		due = d.GiveUp + d.Objective
	}
	return due + d.Penalty + d.workPenalty()
}

// Late reports whether d misses its objective even if it is dispatched now.
func (d *Demand) Late(now time.Duration) bool { return now+d.Fastest > d.Due }

// workPenalty rises with the work towards the time for which the caller waits beyond the
// objective: a large prompt yields to small ones, but comes before those of its kind that arrive
// when its caller is about to give up.
func (d *Demand) workPenalty() time.Duration {
	penalty, bound := workPenaltyRatio*float64(d.Work), float64(d.GiveUp-d.Due)
	if penalty <= 0 || bound <= 0 {
		return 0
	}
	return time.Duration(penalty * bound / (penalty + bound))
}
