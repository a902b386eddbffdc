package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// The bound on the requests that a cold replica gets in one second, summed over all machines.
const (
	coldPerS  = 28
	coldOver  = 1.5
	coldSlack = 5
	coldFor   = 3 * time.Second // warmupS
)

// staleSeeds checks that a cold replica gets no more requests than it may while the seeds in the settings
// are those of machines that are gone.
func staleSeeds(w *world) (bool, error) {
	if err := w.startStore(); err != nil {
		return false, err
	}
	w.configure(7, []route{
		{Name: "r-look", Host: host, Prefix: "/look/", Kind: "safe", TimeoutMS: 2500, GoalMS: 150, Priority: 2, Service: "desk", Attempts: 2},
		{Name: "r-old", Host: host, Prefix: "/old/", Kind: "safe", TimeoutMS: 2500, GoalMS: 150, Priority: 2, Service: "archive", Attempts: 2},
	}, []map[string]any{{"name": "archive", "healthPath": "/health", "maxConns": 230, "protocol": "h1", "tls": false}, {
		"name": "desk", "healthPath": "/health", "maxConns": 230, "protocol": "h1", "tls": false, "warmupS": coldFor.Seconds(), "coldPerS": coldPerS,
	}})
	if err := w.addReplica("archive", "zone-a", 60*time.Millisecond).start("i-0", 0, 0); err != nil {
		return false, err
	}
	returning := []*replica{w.addReplica("desk", "zone-b", 60*time.Millisecond), w.addReplica("desk", "zone-b", 60*time.Millisecond)}
	for range 5 {
		w.addGateway()
	}
	live := controlOf(w.gateways[:3])
	seeds := live
	if w.trouble {
		seeds = nil
		for i := range 3 {
			seeds = append(seeds, fmt.Sprintf("%s%d:%d", w.prefix, 51+i, controlPort)) // nothing listens there
		}
	}
	extra := []string{"bounds.coldOver=1.5", "bounds.coldSlack=5", "bounds.evacuateMs=5000"}
	for _, g := range w.gateways {
		if err := g.writeSettings(w.storeAddr(), seeds, extra...); err != nil {
			return false, err
		}
	}
	started := time.Now()
	for _, g := range w.gateways {
		if err := g.start(w.root); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	w.logf("5 gateways are ready; their settings have the seeds %v", seeds)
	stop := make(chan struct{})
	var l load
	l.run(w.gateways, 200, func(n int) request {
		return request{http.MethodGet, fmt.Sprintf("/look/%d", n), "", 2500 * time.Millisecond, ""}
	}, stop)
	w.logf("200 requests a second")
	time.Sleep(time.Until(started.Add(800 * time.Millisecond)))
	back := time.Now()
	for i, r := range returning {
		if err := r.start(fmt.Sprintf("i-%d", i+1), 0, coldFor); err != nil {
			return false, errCantRun{err.Error()}
		}
	}
	w.logf("the replicas of zone-b are back, cold for %v; they write that into their entries", coldFor)
	time.Sleep(time.Until(started.Add(3 * time.Second)))
	for _, g := range w.gateways {
		if err := g.writeSettings(w.storeAddr(), live, extra...); err != nil {
			return false, err
		}
		g.signal(syscall.SIGHUP)
	}
	w.logf("3 s after their start the settings of all gateways name the seeds %v", live)
	time.Sleep(time.Until(back.Add(coldFor + time.Second)))
	close(stop)
	l.wg.Wait()
	recordRequests(w, &l, w.replicas)
	w.logf("answers by status, 0: none: %v", l.statuses(back, time.Now()))
	allowed := float64(coldPerS)*coldOver + coldSlack
	broken, gatewayOf := false, l.gatewayOf()
	for _, r := range returning {
		most, at := mostInASecond(r.seen(), back, back.Add(coldFor))
		early, _ := mostInASecond(r.seen(), back, started.Add(3*time.Second))
		from := make(map[string]int)
		for _, a := range r.seen() {
			if !a.at.Before(at) && a.at.Before(at.Add(time.Second)) {
				from[gatewayOf[a.request]]++
			}
		}
		w.logf("replica %s: at most %d requests in a second, from %.3f s on, by gateway %v; allowed are %.0f", r.id, most, at.Sub(w.began).Seconds(), from, allowed)
		w.logf("replica %s: at most %d in a second before the seeds in the settings were right", r.id, early)
		broken = broken || float64(most) > allowed
	}
	return broken, nil
}

// mostInASecond returns the most arrivals in any second from one time to another, and its begin.
func mostInASecond(arrivals []arrival, from, to time.Time) (most int, at time.Time) {
	for i, first := range arrivals {
		if first.at.Before(from) || first.at.After(to) {
			continue
		}
		n := 0
		for _, a := range arrivals[i:] {
			if a.at.Sub(first.at) < time.Second && !a.at.After(to) {
				n++
			}
		}
		if n > most {
			most, at = n, first.at
		}
	}
	return most, at
}
