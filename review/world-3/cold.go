package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	warmup      = 3 * time.Second
	coldPerS    = 4
	coldOver    = 1.5
	coldSlack   = 5
	coldRounds  = 5
	coldClients = 5 // for each gateway
	coldPause   = 240 * time.Millisecond
	heartbeat   = 1200 * time.Millisecond
	// A cold replica crashes at crashAt requests in one second, which is "well above" coldPerS, and starts again under another ID.
	crashAt  = 2 * coldBound
	coldWork = 60 * time.Millisecond
	// told is how long after the store's acknowledgement of the coldness requests count.
	told = 500 * time.Millisecond
)

// coldBound is the greatest number of requests that a cold replica may get in one second.
const coldBound = coldPerS*coldOver + coldSlack

// sending records when clients sent their requests.
type sending struct {
	mu sync.Mutex
	at map[string]time.Time
}

// playLateBeat lets one replica become cold, and a registration that it wrote before, and of which the answer was lost, be
// carried out after those that say so.
func (s *scenario) playLateBeat() int {
	if _, ok := s.startCold(); !ok {
		return exitNoRun
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	sent := &sending{at: make(map[string]time.Time)}
	for _, g := range s.gateways {
		for n := range coldClients {
			clients.Go(func() { s.callSteadily(g, n, stop, sent) })
		}
	}
	time.Sleep(stable + 2*time.Second)
	broken := 0
	for round := range coldRounds {
		r := s.replicas[round%len(s.replicas)]
		lost := r.registration("ready") // sent now, and carried out later
		time.Sleep(200 * time.Millisecond)
		began := time.Now()
		r.coldUntil.Store(began.Add(warmup).UnixMilli())
		s.store.put("servers/"+r.id, r.registration("ready"))
		s.logf("%s is cold for %v, and the store has acknowledged that", r.id, warmup)
		time.Sleep(heartbeat)
		s.beat(r)
		time.Sleep(100 * time.Millisecond)
		if s.trouble {
			s.store.put("servers/"+r.id, lost)
			s.logf("the store carries out a registration that %s wrote 1.5 s before, and whose answer was lost", r.id)
		}
		time.Sleep(heartbeat - 100*time.Millisecond)
		s.beat(r)
		time.Sleep(time.Until(began.Add(warmup)))
		broken += s.judgeCold([]*replica{r}, began.Add(told), began.Add(warmup), sent)
		if !s.endRound(r) {
			return exitNoRun
		}
	}
	close(stop)
	clients.Wait()
	return s.coldCode(broken)
}

// beat lets a replica write its registration, unless it has crashed.
func (s *scenario) beat(r *replica) {
	if !r.hasCrashed() {
		s.store.put("servers/"+r.id, r.registration("ready"))
	}
}

// endRound waits until the replica is warm, and replaces it if it has crashed. It logs the requests that were lost with it.
func (s *scenario) endRound(r *replica) bool {
	time.Sleep(time.Second)
	if !r.hasCrashed() {
		s.beat(r)
		time.Sleep(3 * time.Second)
		return true
	}
	ran := make(map[string]bool)
	for _, a := range s.runs.all() {
		ran[a.id] = ran[a.id] || a.replica == r.id
	}
	lost := 0
	s.mu.Lock()
	for _, x := range s.requests {
		if ran[x.id] && x.status != http.StatusOK {
			lost++
		}
	}
	s.mu.Unlock()
	s.logf("%s has crashed; %d requests that it ran had no success", r.id, lost)
	s.replicas = slices.DeleteFunc(s.replicas, func(x *replica) bool { return x == r })
	if err := s.newReplica(); err != nil {
		s.logf("no replica: %v", err)
		return false
	}
	s.replicas[len(s.replicas)-1].work, s.replicas[len(s.replicas)-1].crashAt = coldWork, crashAt
	time.Sleep(3 * time.Second)
	s.store.remove("servers/" + r.id) // after three heartbeats
	return true
}

// coldCode returns the exit code.
func (s *scenario) coldCode(broken int) int {
	s.logf("%d requests sent, %d answered with success", s.sent, s.served)
	switch {
	case s.served == 0:
		return exitNoRun
	case broken > 0:
		return exitBroken
	}
	return exitHeld
}

// startCold starts the store, the replicas of a service whose cold replicas have a bound, and the gateways.
func (s *scenario) startCold() ([]*door, bool) {
	var err error
	if s.store, err = newStore(); err != nil {
		s.logf("no store: %v", err)
		return nil, false
	}
	c := config(7)
	c["services"] = []map[string]any{{"name": "desk", "healthPath": "/health", "maxConns": 418, "warmupS": warmup.Seconds(), "coldPerS": coldPerS}}
	book := map[string]any{"name": "book", "prefix": "/book/", "kind": "unsafe", "attempts": 1}
	for name, value := range c["routes"].([]map[string]any)[0] {
		if _, own := book[name]; !own {
			book[name] = value
		}
	}
	c["routes"] = append(c["routes"].([]map[string]any), book)
	s.store.put("op/config", c)
	for range replicaCount {
		if err := s.newReplica(); err != nil {
			s.logf("no replica: %v", err)
			return nil, false
		}
	}
	for _, r := range s.replicas {
		r.work, r.crashAt = coldWork, crashAt
	}
	return s.startWithDoors(gatewayCount, true, "bounds.coldOver=1.5", "bounds.coldSlack=5", "bounds.evacuateMs=5000")
}

// judgeCold counts, for each replica, the requests that were sent and arrived within one second of a span, and returns how
// many replicas got more than the bound.
func (s *scenario) judgeCold(replicas []*replica, from, until time.Time, sent *sending) int {
	sent.mu.Lock()
	defer sent.mu.Unlock()
	broken := 0
	list := s.runs.all()
	for _, r := range replicas {
		most, mostArrived := 0, 0
		for _, first := range list {
			end := first.at.Add(time.Second)
			if first.replica != r.id || first.at.Before(from) || end.After(until) {
				continue
			}
			arrived, inside := 0, 0
			for _, a := range list {
				if a.replica != r.id || a.at.Before(first.at) || a.at.After(end) {
					continue
				}
				arrived++
				if !sent.at[a.id].Before(first.at) {
					inside++
				}
			}
			most, mostArrived = max(most, inside), max(mostArrived, arrived)
		}
		s.logf("%s got at most %d requests in one second while it was cold, of which at most %d had also been sent by their clients in it; the bound is %g", r.id, mostArrived, most, float64(coldBound))
		if float64(most) > coldBound {
			broken++
		}
	}
	return broken
}

// callSteadily sends requests at a steady rate, whether or not they are answered.
func (s *scenario) callSteadily(g *gateway, n int, stop chan struct{}, sent *sending) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 16}}
	var calls sync.WaitGroup
	defer calls.Wait()
	offset := rand.N(coldPause) // clients don't send at the same moments
	time.Sleep(offset)
	ticker := time.NewTicker(coldPause)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		id := fmt.Sprintf("%s-%x-%06x", g.name, n, i)
		calls.Go(func() {
			method, path := http.MethodGet, "/lookup/2f"
			if (i+n)%2 == 1 {
				method, path = http.MethodPost, "/book/2f"
			}
			r, err := http.NewRequest(method, "http://"+g.frontAddr()+path, nil)
			if err != nil {
				return
			}
			r.Host = "desk.example"
			r.Header.Set("Attempt-Id", id)
			r.Header.Set("Deadline-Ms", "1000")
			r.Header.Set("Authorization", "Token "+key)
			x := request{id: id, gateway: g.name, sent: time.Now()}
			sent.mu.Lock()
			sent.at[id] = x.sent
			sent.mu.Unlock()
			if resp, err := client.Do(r); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body) // what counts is the status
				resp.Body.Close()
				x.status = resp.StatusCode
			}
			x.took = time.Since(x.sent)
			s.keep(x, x.status == http.StatusOK)
		})
	}
}
