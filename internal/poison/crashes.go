package poison

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

const (
	// eventSpacing is the time after a counted crash within which further ones belong to
	// the same event, as when a failure domain is lost.
	eventSpacing = 250 * time.Millisecond
	// detectionSpread is the difference between the times at which gateways notice a crash.
	detectionSpread = 100 * time.Millisecond
	// maxGap is the time over which the crashes of a burst that are not kept are taken as
	// those of the part.
	maxGap = time.Second
	// maxCrashesPerPart and maxLives bound the crashes kept of a part and of all engines.
	maxCrashesPerPart = 16
	maxLives          = 64
	// beganSlack is how much earlier a run may seem to have begun than it has: times in rows are
	// rounded.
	beganSlack = 2 * time.Millisecond
	// minRun is the shortest run that tells that its endpoint was up when it began: what is sent
	// to one that has just ended breaks off at once.
	minRun = 5 * time.Millisecond
)

// crash is the end of one life.
type crash struct {
	at    time.Duration
	life  Life
	began time.Duration // of a whole request: when the earliest of its runs there began
}

// crashes are ends of different lives, in order of time, those at the same time in order
// of life.
type crashes []crash

// bounds says how many of the earliest and of the latest crashes are kept.
type bounds struct{ first, last int }

// The latest crashes are kept as well as the earliest: a burst that fills the list is one
// event, and later events must still be counted.
var (
	partBounds = bounds{first: maxCrashesPerPart / 2, last: maxCrashesPerPart / 2}
	lifeBounds = bounds{last: maxLives}
)

func compareCrashes(a, b crash) int {
	return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.life, b.life))
}

// add returns cs with c, and whether that is different. Of two times of one life the
// earlier are kept, since a message can only make them later.
func (cs crashes) add(c crash, b bounds) (crashes, bool) {
	if i := cs.index(c.life); i >= 0 {
		c.at, c.began = min(c.at, cs[i].at), min(c.began, cs[i].began)
		if cs[i] == c {
			return cs, false
		}
		cs = slices.Delete(cs, i, i+1)
	}
	i, _ := slices.BinarySearchFunc(cs, c, compareCrashes)
	if len(cs) == b.first+b.last && i == b.first {
		return cs, false // it would be the one that is left out
	}
	cs = slices.Insert(cs, i, c)
	if len(cs) > b.first+b.last {
		cs = slices.Delete(cs, b.first, b.first+1)
	}
	return cs, true
}

func (cs crashes) index(life Life) int {
	return slices.IndexFunc(cs, func(c crash) bool { return c.life == life })
}

func (cs crashes) has(life Life) bool { return cs.index(life) >= 0 }

// after returns the crashes later than at.
func (cs crashes) after(at time.Duration) crashes {
	i := 0
	for i < len(cs) && cs[i].at <= at {
		i++
	}
	return slices.Clone(cs[i:])
}

// last returns the time of the latest crash.
func (cs crashes) last() time.Duration { return cs[len(cs)-1].at }

// contain reports whether all lives of other are in cs, without regard to the life except.
func (cs crashes) contain(other crashes, except Life) bool {
	for _, c := range other {
		if c.life != except && !cs.has(c.life) {
			return false
		}
	}
	return true
}

// explain reports whether a crash is one of cs, or may be one that cs has no room for.
func (cs crashes) explain(c crash) bool {
	if len(cs) == partBounds.first+partBounds.last {
		from, to := cs[partBounds.first-1].at, cs[partBounds.first].at
		if to-from < maxGap && c.at > from-detectionSpread && c.at < to+detectionSpread {
			return true
		}
	}
	return cs.has(c.life)
}

// explainAll reports whether cs explain each crash of other.
func (cs crashes) explainAll(other crashes) bool {
	return !slices.ContainsFunc(other, func(c crash) bool { return !cs.explain(c) })
}

// unexplained returns the crashes that none of explaining explains.
func (cs crashes) unexplained(explaining []crashes) crashes {
	return slices.DeleteFunc(slices.Clone(cs), func(c crash) bool {
		return slices.ContainsFunc(explaining, func(x crashes) bool { return x.explain(c) })
	})
}

// between returns the crashes from one time to another, both included, in place.
func (cs crashes) between(from, to time.Duration) crashes {
	first, last := 0, len(cs)
	for first < last && cs[first].at < from {
		first++
	}
	for last > first && cs[last-1].at > to {
		last--
	}
	return cs[first:last:last]
}

// byEvent iterates over the events: a crash that is at least eventSpacing after the first
// one of an event begins another.
func (cs crashes) byEvent() iter.Seq[crashes] {
	return func(yield func(crashes) bool) {
		first := 0
		for i := range cs {
			if cs[i].at >= cs[first].at+eventSpacing {
				if !yield(cs[first:i]) {
					return
				}
				first = i
			}
		}
		if len(cs) > 0 {
			yield(cs[first:])
		}
	}
}

// events returns the number of events.
func (cs crashes) events() int {
	n := 0
	for range cs.byEvent() {
		n++
	}
	return n
}

// sequence returns the number of crashes under runs of a request that began one after the
// other, each after the endpoint of the one before had ended. Runs at endpoints that end
// together for another reason overlap.
func (cs crashes) sequence() int {
	n, end := 0, never
	for _, c := range cs {
		if n == 0 || c.began >= end-beganSlack && (c.at-c.began >= minRun || c.at-end >= eventSpacing) {
			n, end = n+1, c.at
		}
	}
	return n
}

// eventsOf returns the number of events among crashes of a part that are independent of each
// other.
func (p Part) eventsOf(cs crashes) int {
	if p.IsRequest() {
		return cs.sequence()
	}
	return cs.events()
}
