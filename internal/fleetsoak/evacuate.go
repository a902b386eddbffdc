package fleetsoak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"trefoilpath.org/trefoilpath/platform/standin"
)

const (
	// zones is the number of zones that the replicas of each service are in, in turn.
	zones = 3
	// evacuationBound is the time after which an evacuated zone gets no new requests: a second
	// less than the platform allows.
	evacuationBound = standin.EvacuationBound - time.Second
	// maxEvacuationPause is the longest time between two evacuations.
	maxEvacuationPause = 2 * time.Second
)

// evacuations are the zones that the operator has evacuated, as the operator knows them.
type evacuations struct {
	mu        sync.Mutex
	evacuated [zones]bool
}

// write writes the evacuation of a zone, or its end, to the store as the operator knows it.
func (e *evacuations) write(store *standin.Store, zone int) {
	key := fmt.Sprintf("op/evacuate/z%d", zone)
	if e.evacuated[zone] {
		store.Put(key, "")
	} else {
		store.Remove(key)
	}
}

// writeAgain writes the state of all zones.
func (e *evacuations) writeAgain(store *standin.Store) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for zone := range e.evacuated {
		e.write(store, zone)
	}
}

func (e *evacuations) set(store *standin.Store, zone int, evacuated bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.evacuated[zone] = evacuated
	e.write(store, zone)
}

// evacuate evacuates a zone, waits for evacuationBound, and checks that no request reaches its
// replicas. Then it ends the evacuation.
func (s *run) evacuate(rng *rand.Rand) {
	zone := rng.IntN(zones)
	s.logf("evacuate zone=%d", zone)
	s.fleet.evacuations.set(s.fleet.store, zone, true)
	defer s.fleet.evacuations.set(s.fleet.store, zone, false)
	time.Sleep(evacuationBound)
	s.checkUnused("evacuation", fmt.Sprintf("zone %d while it was evacuated", zone), func() int { return s.fleet.runsIn(zone) })
}

// evacuateInTurn evacuates one zone after the other until the fault phase ends.
func (s *run) evacuateInTurn() {
	rng := rand.New(rand.NewPCG(s.opts.Seed, evacuationStream))
	for end := s.start.Add(s.opts.Duration); time.Now().Before(end); {
		time.Sleep(time.Duration(rng.Int64N(int64(maxEvacuationPause))))
		s.evacuate(rng)
	}
}

// evacuationStream distinguishes the random numbers of evacuations from those of faults and callers.
const evacuationStream = 50

// runsIn returns the number of requests that have reached the replicas of a zone.
func (f *fleet) runsIn(zone int) int {
	n := 0
	for _, r := range f.replicas {
		if r.zone == zone {
			n += len(r.Runs())
		}
	}
	return n
}

// checkReturned checks that each replica of the plain service, whose requests go to all of them,
// has got requests since it had a number of them: that no gateway keeps to an ended evacuation.
func (s *run) checkReturned(before map[*replica]int) {
	for r, n := range before {
		if len(r.Runs()) == n {
			s.recordViolation("evacuation-ends", fmt.Sprintf("%s of zone %d gets no requests in the fault-free phase", r.ID, r.zone))
		}
	}
}

// plainRuns returns the number of requests that have reached each replica of the plain service.
func (f *fleet) plainRuns() map[*replica]int {
	runs := make(map[*replica]int)
	for _, r := range f.replicas {
		if r.service == standin.PlainService {
			runs[r] = len(r.Runs())
		}
	}
	return runs
}
