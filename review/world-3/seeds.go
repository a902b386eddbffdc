package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	droppedKey    = "k9876543210zyxwvutsr"
	configApply   = 2 * time.Second // configApplyMs
	maxSkew       = 5 * time.Second // maxSkewMs
	turnedAwayFor = 9 * time.Second
	keyPause      = 60 * time.Millisecond
	seedCount     = 3
	seedsTotal    = 6 // machines of the deployment in the case seeds, of which those that the seeds name are down
)

// keyConfig returns a configuration with a second key, or without it.
func keyConfig(version int, second bool) map[string]any {
	c := config(version)
	keys := []string{}
	if second {
		keys = append(keys, droppedKey)
	}
	c["tenants"] = []map[string]any{{"name": "t1", "keys": []string{key}}, {"name": "t2", "keys": keys}}
	return c
}

// playSeeds lets gateways whose seeds are stale run while the store turns one of them away and a key is dropped.
func (s *scenario) playSeeds(goodSeeds bool) int {
	var err error
	if s.store, err = newStore(); err != nil {
		s.logf("no store: %v", err)
		return exitNoRun
	}
	s.store.put("op/config", keyConfig(7, true))
	for range replicaCount {
		if err := s.newReplica(); err != nil {
			s.logf("no replica: %v", err)
			return exitNoRun
		}
	}
	doors, ok := s.startWithDoors(seedsTotal, goodSeeds)
	if !ok {
		return exitNoRun
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, g := range s.gateways {
		clients.Go(func() { s.callWithKey(g, stop) })
	}
	time.Sleep(stable + 2*time.Second)
	last := len(doors) - 1
	if s.trouble {
		doors[last].turnAway()
		s.logf("the store turns %s away, for %v", s.gateways[last].name, turnedAwayFor)
	}
	time.Sleep(500 * time.Millisecond)
	s.store.put("op/config", keyConfig(12, false))
	acknowledged := time.Now()
	s.logf("the store acknowledges version 12, which drops a key")
	time.Sleep(turnedAwayFor - 500*time.Millisecond)
	if s.trouble {
		doors[last].open()
		s.logf("the store serves %s again", s.gateways[last].name)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()
	return s.judgeKeys(acknowledged, configApply+maxSkew)
}

// startWithDoors starts the gateways of a deployment of a number of machines. Those that the seeds name are down, unless
// goodSeeds is set.
func (s *scenario) startWithDoors(total int, goodSeeds bool, extra ...string) ([]*door, bool) {
	p, err := freePorts()
	if err != nil {
		s.logf("no ports: %v", err)
		return nil, false
	}
	net := fmt.Sprintf("127.%d.%d.", 20+os.Getpid()%200, os.Getpid()/200%250)
	first := seedCount // the machines that the seeds name are down
	if goodSeeds {
		first = 0
	}
	var seeds []string
	for i := range seedCount {
		seeds = append(seeds, fmt.Sprintf("%s%d:%d", net, i+1, p.control))
	}
	s.logf("seeds of all gateways: %s", strings.Join(seeds, ","))
	var doors []*door
	for i := first; i < total; i++ {
		d, err := s.store.newDoor()
		if err != nil {
			s.logf("no address of the store: %v", err)
			return nil, false
		}
		doors = append(doors, d)
		g, err := startGateway(s.root, s.dir, fmt.Sprintf("front-%d", i+1), fmt.Sprintf("%s%d", net, i+1), p, seeds, d.addr(), extra...)
		if err != nil {
			s.logf("no gateway: %v", err)
			return nil, false
		}
		s.gateways = append(s.gateways, g)
	}
	for _, g := range s.gateways {
		if !g.waitReady(10 * time.Second) {
			s.logf("%s is not ready", g.name)
			return nil, false
		}
		s.logf("%s at %s is ready", g.name, g.frontAddr())
	}
	return doors, true
}

// callWithKey sends requests with the key that is dropped to a gateway, one after the other.
func (s *scenario) callWithKey(g *gateway, stop chan struct{}) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableCompression: true}}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(keyPause):
		}
		x := request{id: fmt.Sprintf("%s-%06x", g.name, i), gateway: g.name, sent: time.Now()}
		r, err := http.NewRequest(http.MethodGet, "http://"+g.frontAddr()+"/lookup/2f", nil)
		if err != nil {
			continue
		}
		r.Host = "desk.example"
		r.Header.Set("Attempt-Id", x.id)
		r.Header.Set("Deadline-Ms", "1000")
		r.Header.Set("Authorization", "Token "+droppedKey)
		if resp, err := client.Do(r); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body) // what counts is whether it ran
			resp.Body.Close()
			x.status = resp.StatusCode
		}
		x.took = time.Since(x.sent)
		s.keep(x, x.status == http.StatusOK)
	}
}

// judgeKeys returns the exit code: a request with the dropped key that was sent later than the bounds allow must not run.
func (s *scenario) judgeKeys(acknowledged time.Time, bound time.Duration) int {
	ran := make(map[string]arrival)
	for _, a := range s.runs.all() {
		ran[a.id] = a
	}
	broken, served := 0, 0
	latest := make(map[string]time.Duration)
	for _, x := range s.requests {
		after := x.sent.Sub(acknowledged)
		a, ok := ran[x.id]
		if ok && after < 0 && x.status == http.StatusOK {
			served++
		}
		if !ok || after < 0 {
			continue
		}
		latest[x.gateway] = max(latest[x.gateway], after)
		if after > bound {
			broken++
			s.logf("request %s of %s, sent %d ms after the acknowledgement, is answered %d and was run by %s for %s", x.id, x.gateway, after.Milliseconds(), x.status, a.replica, a.tenant)
		}
	}
	for _, g := range s.gateways {
		s.logf("%s: the last request with the dropped key that ran was sent %d ms after the acknowledgement", g.name, latest[g.name].Milliseconds())
	}
	s.logf("%d requests sent, %d served before the change, %d run later than %v after it", len(s.requests), served, broken, bound)
	switch {
	case served < 50:
		return exitNoRun
	case broken > 0:
		return exitBroken
	}
	return exitHeld
}
