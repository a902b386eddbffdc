package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"time"
)

const (
	drainMS   = 2000
	recoveryS = 12
	// foreignCount is the number of entries of another writer, each of maxValueBytes.
	foreignCount = 9
)

// plainDeployment starts a store with one configuration, three replicas of one service and gateways.
func (w *world) plainDeployment(gateways int) error {
	if err := w.startStore(); err != nil {
		return err
	}
	w.configure(7, []route{
		{Name: "r-book", Host: host, Prefix: "/book/", Kind: "unsafe", TimeoutMS: 3000, GoalMS: 300, Priority: 2, Service: "desk", Attempts: 1},
		{Name: "r-look", Host: host, Prefix: "/look/", Kind: "safe", TimeoutMS: 3000, GoalMS: 300, Priority: 2, Service: "desk", Attempts: 2},
	}, []map[string]any{{"name": "desk", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false}})
	for i, zone := range zones {
		if err := w.addReplica("desk", zone, 15*time.Millisecond).start(fmt.Sprintf("i-%d", i+1), 0, 0); err != nil {
			return err
		}
	}
	for range gateways {
		w.addGateway()
	}
	seeds := controlOf(w.gateways[:min(3, len(w.gateways))])
	for _, g := range w.gateways {
		if err := g.writeSettings(w.storeAddr(), seeds); err != nil {
			return err
		}
		if err := g.start(w.root); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

// pickPlain alternates between both routes.
func pickPlain(n int) request {
	if n%2 == 0 {
		return request{http.MethodPost, fmt.Sprintf("/book/%d", n), "one billet", 3 * time.Second, ""}
	}
	return request{http.MethodGet, fmt.Sprintf("/look/%d", n), "", 3 * time.Second, ""}
}

// lateArrivals records the requests that reached r later than drainMs after acked, and returns how many. r has
// ended.
func (w *world) lateArrivals(l *load, r *replica, acked time.Time) int {
	late, gatewayOf := 0, l.gatewayOf()
	for _, a := range r.seen() {
		if after := a.at.Sub(acked); after > drainMS*time.Millisecond {
			if late++; late <= 10 {
				w.logAt(a.at, "request %s from %s reaches the replica %.0f ms after the acknowledgement", a.request, gatewayOf[a.request], after.Seconds()*1000)
			}
		}
	}
	return late
}

// servicesRate is about the number of requests a second that the sheet has for the plain service.
const servicesRate = 7

// foreignEntries checks that the gateways serve again after a kill of all of them, beside entries of another
// writer that can't be read.
func foreignEntries(w *world) (bool, error) {
	if err := w.plainDeployment(5); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var l load
	l.run(w.gateways, servicesRate, pickPlain, stop)
	from := time.Now()
	w.logf("5 gateways, 3 replicas, %d requests a second", servicesRate)
	time.Sleep(5 * time.Second)
	size := 100
	if w.trouble {
		size = maxValueBytes
	}
	for i := range foreignCount {
		junk := make([]byte, size)
		rand.New(rand.NewSource(int64(i))).Read(junk)
		w.store.put(fmt.Sprintf("servers/zz-%d", i), junk)
		time.Sleep(100 * time.Millisecond)
	}
	w.logf("another writer has written %d entries of %d bytes that can't be read", foreignCount, size)
	time.Sleep(5 * time.Second)
	before := time.Now()
	for _, g := range w.gateways {
		g.signal(os.Kill)
	}
	w.logf("all gateways are killed")
	for _, g := range w.gateways {
		g.kill()
		if err := g.start(w.root); err != nil {
			return false, err
		}
	}
	w.logf("all gateways are started again")
	time.Sleep(recoveryS * time.Second)
	recovered := time.Now()
	time.Sleep(6 * time.Second)
	close(stop)
	l.wg.Wait()
	recordRequests(w, &l, w.replicas)
	after := l.statuses(recovered, time.Now())
	sent := 0
	for _, n := range after {
		sent += n
	}
	w.logf("answers by status, 0: none: %v before the kill, %v later than %d s after the start", l.statuses(from, before), after, recoveryS)
	w.logf("served of the requests that were sent then: %d of %d", after[http.StatusOK], sent)
	w.logf("calls that the store refused: %d", w.store.failed)
	return 4*after[http.StatusOK] < sent, nil
}

const (
	// startRounds is the number of replicas that leave in earlierStart.
	startRounds = 6
	// quietRate is the number of requests a second there, about 0.3 of what the sheet has for the plain service.
	quietRate = 2
	// leavingFor is how long a replica that leaves goes on serving.
	leavingFor = 7 * time.Second
)

// earlierStart checks that replicas that leave get no new requests after they were started again, under
// the ID that they had, on a machine whose time of day had been ahead before.
func earlierStart(w *world) (bool, error) {
	if err := w.plainDeployment(5); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var l load
	l.run(w.gateways, quietRate, pickPlain, stop)
	from := time.Now()
	w.logf("5 gateways, 3 replicas, %d requests a second", quietRate)
	clock := time.Duration(0)
	if w.trouble {
		clock = 2400 * time.Millisecond
	}
	late := 0
	for round := range startRounds {
		r := w.replicas[round%len(w.replicas)]
		time.Sleep(2 * time.Second)
		r.crash()
		time.Sleep(500 * time.Millisecond)
		if err := r.start(r.id, clock, 0); err != nil {
			return false, errCantRun{err.Error()}
		}
		w.logf("replica %s has crashed and started again, born %d; the clock of its machine is %v ahead", r.id, r.born, clock)
		time.Sleep(1500 * time.Millisecond)
		r.crash()
		time.Sleep(500 * time.Millisecond)
		if err := r.start(r.id, 0, 0); err != nil {
			return false, errCantRun{err.Error()}
		}
		w.logf("the clock is right again; replica %s has crashed and started again, born %d", r.id, r.born)
		time.Sleep(4 * time.Second)
		acked := r.drain()
		w.logAt(acked, "replica %s reports draining; acknowledged", r.id)
		time.Sleep(leavingFor)
		r.exit()
		w.logf("replica %s exits, and its entry is removed", r.id)
		late += w.lateArrivals(&l, r, acked)
		time.Sleep(2500 * time.Millisecond) // over reuseS
		if err := r.start(fmt.Sprintf("i-%d", len(w.replicas)+1+round), 0, 0); err != nil {
			return false, errCantRun{err.Error()}
		}
		w.logf("another replica, %s, starts in its place", r.id)
	}
	close(stop)
	l.wg.Wait()
	recordRequests(w, &l, w.replicas)
	w.logf("answers by status, 0: none: %v", l.statuses(from, time.Now()))
	w.logf("requests that reached leaving replicas later than %d ms after the acknowledgement: %d", drainMS, late)
	return late > 0, nil
}
