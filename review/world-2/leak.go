package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The bounds and doses of the cases.
const (
	freeMS     = 4000
	lateShare  = 0.35
	lateLength = 5500 * time.Millisecond
	darkLength = 4500 * time.Millisecond
)

// lostEngine describes a case in which engines that answer long prompts go dark.
type lostEngine struct {
	engines int
	leaving int           // of these, before the first prompt
	prompt  int           // tokens
	first   time.Duration // from the arrival of a prompt to its first event
	late    bool          // orders are left unanswered and carried out late meanwhile
	rounds  int
	pause   time.Duration // between two rounds
}

// lostEngineSlowly has prompts of a million tokens. A quarter of the engines has been taken away by plan;
// the others prefill such a prompt in about four seconds.
func lostEngineSlowly(w *world) (bool, error) {
	return lostEngine{engines: 16, leaving: 4, prompt: 1_000_000, first: 4100 * time.Millisecond, rounds: 4, pause: 14 * time.Second}.play(w)
}

// lostEngineAndOrders has engines that leave a share of the orders unanswered.
func lostEngineAndOrders(w *world) (bool, error) {
	return lostEngine{engines: 18, prompt: 900_000, first: 2400 * time.Millisecond, late: true, rounds: 9, pause: 8500 * time.Millisecond}.play(w)
}

// darkOnce returns a function that lets the engine of one request in each round go dark.
func darkOnce(w *world, next *atomic.Bool) func(*engine, string) {
	return func(e *engine, request string) {
		if !next.CompareAndSwap(true, false) {
			return
		}
		time.AfterFunc(100*time.Millisecond, func() {
			w.logf("engine %s, which answers request %s, goes dark for %v", e.addr, request, darkLength)
			e.goDark(darkLength)
		})
	}
}

// play checks that memory that is set aside for a prompt is free in time after the engine that answered it
// has gone dark.
func (c lostEngine) play(w *world) (bool, error) {
	if err := w.startStore(); err != nil {
		return false, err
	}
	w.configure(7, []route{
		{Name: "r-dossier", Host: host, Prefix: "/dossier/", Kind: "streaming", TimeoutMS: 15000, GoalMS: 3000, Priority: 1, Service: "llm", Attempts: 2,
			Sticky: true, Resumable: true, GapGoalMS: 800},
	}, []map[string]any{{"name": "llm", "healthPath": "/health", "maxConns": 364, "protocol": "h1", "tls": false, "engine": map[string]any{
		"slots": 16, "kvTokens": engineMemory, "kvBytes": 327680, "stride": 46, "models": []any{map[string]any{"name": "m"}}, "step_ms": 0.925,
		"per_seq_ms": 0.00483, "context_per_k": 0.00254, "read_per_s": 256000.0, "pairs_per_m": 0.0917, "chunk": 2048, "report_lag_ms": 200.0,
		"usual": map[string]any{"prompt": 13239, "answer": 1540}, "hopMs": 0.1,
	}}})
	late := &lateOrders{random: rand.New(rand.NewSource(1)), share: lateShare, lateByOp: make(map[string]int), minLate: 2 * time.Second, span: 10 * time.Second}
	peers := make(map[string]*engine)
	var engines []*engine
	for i := range c.engines {
		e := &engine{w: w, addr: fmt.Sprintf("%s%d:8080", w.prefix, 101+i), zone: zones[i%len(zones)], service: "llm", late: late, peers: peers, first: c.first}
		peers[e.addr] = e
		engines = append(engines, e)
	}
	for _, e := range engines {
		if err := e.start(); err != nil {
			return false, errCantRun{err.Error()}
		}
	}
	for range 3 {
		w.addGateway()
	}
	for _, g := range w.gateways {
		if err := g.writeSettings(w.storeAddr(), controlOf(w.gateways), "bounds.stall_ms=1500", "bounds.holdMaxMs=20000", "bounds.freeMs=4000", "bounds.idleMaxMs=9000"); err != nil {
			return false, err
		}
		if err := g.start(w.root); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	w.logf("3 gateways, %d engines", c.engines)
	var leaving sync.WaitGroup
	for _, e := range engines[:c.leaving] {
		leaving.Go(e.leave)
	}
	leaving.Wait()
	time.Sleep(2 * time.Second)
	w.logf("%d engines have left by plan", c.leaving)
	var next atomic.Bool // an engine is to go dark
	if w.trouble {
		for _, e := range engines {
			e.onRun = darkOnce(w, &next)
		}
	}
	var l load
	for round := range c.rounds {
		if w.trouble {
			if c.late {
				w.logf("round %d: for %v, %.2f of the orders get no answer", round+1, lateLength, lateShare)
				late.begin(lateLength)
			}
			next.Store(true)
		}
		g := w.gateways[round%len(w.gateways)]
		l.wg.Go(func() {
			a := send(g, request{http.MethodPost, fmt.Sprintf("/dossier/%d", round), "a dossier", 15 * time.Second,
				fmt.Sprintf("Model: m\r\nToken-Count: %d,800\r\nPrompt-Prefix: 5c1e07a2:40,%08x:%d\r\n", c.prompt, round+1, c.prompt-40)})
			l.mu.Lock()
			defer l.mu.Unlock()
			l.answers = append(l.answers, a)
		})
		time.Sleep(c.pause)
	}
	time.Sleep(4 * time.Second)
	l.wg.Wait()
	recordRequests(w, &l, engines)
	w.logf("orders while some got no answer: %d, of these without an answer: %d %v", late.orders, late.late, late.lateByOp)
	leaks := 0
	for _, e := range engines {
		e.mu.Lock()
		for _, f := range e.freed {
			if stayed := f.at.Sub(f.over); stayed > freeMS*time.Millisecond {
				leaks++
				w.logAt(f.over, "memory stayed set aside at %s as %s for %.0f ms after its request was over", f.engine, f.ticket, stayed.Seconds()*1000)
			}
		}
		e.mu.Unlock()
	}
	w.logf("tickets that stayed for more than %d ms: %d", freeMS, leaks)
	return leaks > 0, nil
}
