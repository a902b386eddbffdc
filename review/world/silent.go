package main

import "time"

func init() { scenarios["silent-store"] = silentStore }

const (
	// removeAfter is the time from the moment at which the connections go silent to the removal
	// of the entries.
	removeAfter = time.Second
	// serveOn is how long the replicas that leave go on serving, and settle the time from then to
	// the next round.
	serveOn = 3600 * time.Millisecond
	settle  = 3000 * time.Millisecond
	rounds  = 13
	// quiet is the share of the sheet's traffic.
	quiet = 0.4
	// A gateway that learns of a removal in time tells the others.
	fewGateways = 2
	// leavingEngines and leavingPlains are how many replicas leave in a round: a share of 0.25, or
	// one.
	leavingEngines = 4
	leavingPlains  = 1
)

// silentStore plays rounds in which the gateways' open connections to the store go silent and some
// replicas leave shortly after.
func silentStore(w *world) int {
	if err := w.build(18, 3, fewGateways); err != nil {
		return w.fail(err)
	}
	w.traffic(quiet, w.stop)
	time.Sleep(4 * time.Second)
	leaving := map[string]time.Time{} // replica: when the connections went silent
	for range rounds {
		silent := time.Now()
		n := 0
		if w.trouble {
			for _, g := range w.gateways {
				n += g.proxy.silence()
			}
		}
		w.note("trouble   %d open connections between gateways and the store go silent", n)
		time.Sleep(removeAfter)
		var left []*replica
		engines, plains := 0, 0
		for _, r := range w.current() {
			if r.engine && engines < leavingEngines || !r.engine && plains < leavingPlains {
				at := r.leaveSilently()
				w.note("planned   %s of %s leaves: its entry is removed, acknowledged at %.4f", r.id, r.service, at.Sub(w.start).Seconds())
				leaving[r.id] = silent
				left = append(left, r)
				if r.engine {
					engines++
				} else {
					plains++
				}
			}
		}
		time.Sleep(serveOn)
		for i, r := range left {
			r.exit()
			w.note("planned   %s exits", r.id)
			n, err := w.newReplica(r.service, i, r.engine)
			if err != nil {
				return w.fail(err)
			}
			n.register("ready")
		}
		time.Sleep(settle)
	}
	close(w.stop)
	w.wg.Wait()
	return w.checkDrain(leaving)
}
