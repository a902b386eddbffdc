package main

import (
	"sync"
	"time"
)

const (
	downFor      = 4500 * time.Millisecond
	outageRounds = 3
)

// playOutage lets one replica become cold while the store is down, so that only its health responses tell that.
func (s *scenario) playOutage() int {
	doors, ok := s.startCold()
	if !ok {
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
	for round := range outageRounds {
		r := s.replicas[round%len(s.replicas)]
		began := time.Now()
		if s.trouble {
			for _, d := range doors {
				d.turnAway()
			}
			s.logf("the store is down for %v", downFor)
		}
		time.Sleep(500 * time.Millisecond)
		cold := time.Now()
		r.coldUntil.Store(cold.Add(warmup).UnixMilli())
		s.logf("%s is cold for %v; its health responses have Cold-Ms", r.id, warmup)
		for time.Since(began) < downFor {
			if !s.trouble { // else its write gets no answer
				s.store.put("servers/"+r.id, r.registration("ready"))
			}
			time.Sleep(min(heartbeat, time.Until(began.Add(downFor))))
		}
		if s.trouble {
			for _, d := range doors {
				d.open()
			}
			s.logf("the store is back")
		}
		s.beat(r)
		broken += s.judgeCold([]*replica{r}, cold.Add(told), cold.Add(warmup), sent)
		if !s.endRound(r) {
			return exitNoRun
		}
		time.Sleep(time.Second)
	}
	close(stop)
	clients.Wait()
	return s.coldCode(broken)
}
