// World3 plays the scripts of the review: it starts gateways as processes, with stand-ins of the
// platform's store, of replicas and of clients on loopback addresses.
package main

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

func main() {
	root := flag.String("root", ".", "root of the repository")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "bring about the disruption")
	anyMoment := flag.Bool("any-moment", false, "in the case silence: keys are dropped at any moment, not soon after a listing")
	seed := flag.Uint64("seed", uint64(time.Now().UnixNano()), "for the moments")
	what := flag.String("case", "silence", "silence, seeds, late-beat or outage")
	goodSeeds := flag.Bool("good-seeds", false, "in the case seeds: the machines that the seeds name run")
	flag.Parse()
	out, err := os.Create(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNoRun)
	}
	dir, err := os.MkdirTemp("", "world3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNoRun)
	}
	s := &scenario{
		root: *root, dir: dir, out: out, trouble: *trouble, anyMoment: *anyMoment,
		rng: rand.New(rand.NewPCG(*seed, 3)), start: time.Now(), runs: new(arrivals), key: roundKey(0),
	}
	code := exitNoRun
	switch *what {
	case "silence":
		code = s.play()
	case "seeds":
		code = s.playSeeds(*goodSeeds)
	case "outage":
		code = s.playOutage()
	case "late-beat":
		code = s.playLateBeat()
	}
	for _, g := range s.gateways {
		g.kill()
	}
	s.logf("exit code %d", code)
	s.logRequests()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(dir)
	}
	os.Exit(code)
}

// scenario is one run of a script.
type scenario struct {
	root, dir string
	trouble   bool
	anyMoment bool
	rng       *rand.Rand
	start     time.Time

	mu  sync.Mutex
	out io.Writer

	store    *store
	proxy    *proxy // between the gateways and the store
	gateways []*gateway
	runs     *arrivals
	replicas []*replica
	started  int // replicas so far

	sent, served int       // guarded by mu
	requests     []request // guarded by mu
	key          string    // of clients; guarded by mu
}

func (s *scenario) currentKey() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.key
}

// request is a request of a client with its answer.
type request struct {
	id, gateway string
	key         string // empty: it does not change
	sent        time.Time
	took        time.Duration
	status      int // 0: none
}

// keep records a request that has ended.
func (s *scenario) keep(r request, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, r)
	s.sent++
	if ok {
		s.served++
	}
}

// logRequests writes what was sent, answered and run.
func (s *scenario) logRequests() {
	runs := make(map[string]string)
	for _, a := range s.runs.all() {
		runs[a.id] += fmt.Sprintf(" run at %.3f by %s for %q", a.at.Sub(s.start).Seconds(), a.replica, a.tenant)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintln(s.out, "requests:")
	for _, r := range s.requests {
		fmt.Fprintf(s.out, "%s sent at %.3f to %s, answered %d after %d ms,%s\n", r.id, r.sent.Sub(s.start).Seconds(), r.gateway, r.status, r.took.Milliseconds(), runs[r.id])
	}
}

func (s *scenario) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.out, "%8.3f "+format+"\n", append([]any{time.Since(s.start).Seconds()}, args...)...)
}

// newReplica starts a replica and registers it.
func (s *scenario) newReplica() error {
	s.started++
	r, err := newReplica(fmt.Sprintf("i-%d", s.started), "desk", s.runs)
	if err != nil {
		return err
	}
	s.replicas = append(s.replicas, r)
	s.store.put("servers/"+r.id, r.registration("ready"))
	return nil
}

const key = "k0123456789abcdefghi"

func config(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "lookup", "host": "desk.example", "prefix": "/lookup/", "service": "desk", "kind": "safe",
			"timeoutMs": 1000, "goalMs": 100, "attempts": 2, "priority": 2,
		}},
		"services": []map[string]any{{"name": "desk", "healthPath": "/health", "maxConns": 110}},
		"limits":   map[string]any{"headerBytes": 8192, "bodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 10000},
		"tenants":  []map[string]any{{"name": "t1", "keys": []string{key}}},
	}
}

const (
	gatewayCount = 5
	replicaCount = 3
	stable       = 3 * time.Second // stableMs
	watched      = 1200 * time.Millisecond
	settle       = time.Second // after the last change that the gateway can follow
	clientPause  = 25 * time.Millisecond
	length       = 100 * time.Second
)

// play lets one gateway of five go on alone, and again and again silences its open connections to the store and drops a key.
func (s *scenario) play() int {
	var err error
	if s.store, err = newStore(); err != nil {
		s.logf("no store: %v", err)
		return exitNoRun
	}
	if s.proxy, err = newProxy(s.store.listener.Addr().String()); err != nil {
		s.logf("no proxy: %v", err)
		return exitNoRun
	}
	s.store.put("op/config", roundConfig(0))
	for range replicaCount {
		if err := s.newReplica(); err != nil {
			s.logf("no replica: %v", err)
			return exitNoRun
		}
	}
	if !s.startGateways() {
		return exitNoRun
	}
	survivor := s.gateways[0]
	for _, g := range s.gateways[1:] {
		g.kill()
		s.logf("%s is killed and does not come back", g.name)
	}
	s.gateways = s.gateways[:1]
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range 4 {
		clients.Go(func() { s.call(survivor, n, stop) })
	}
	time.Sleep(stable + time.Second)
	late, rounds := 0, 0
	for time.Since(s.start) < length && late == 0 {
		rounds++
		late = s.dropKey(rounds)
	}
	close(stop)
	clients.Wait()
	s.mu.Lock()
	sent, served := s.sent, s.served
	s.mu.Unlock()
	s.logf("%d requests sent, %d answered with success, %d run", sent, served, len(s.runs.all()))
	s.logf("%d keys dropped, %d requests with a dropped key run that were sent later than configApplyMs after the store's acknowledgement", rounds, late)
	switch {
	case served*5 < sent:
		s.logf("too few requests were served")
		return exitNoRun
	case late > 0:
		return exitBroken
	}
	return exitHeld
}

// roundKey returns the key that clients use in a round.
func roundKey(round int) string { return fmt.Sprintf("key%017d", round) }

// roundConfig returns the configuration of a round, with no other key.
func roundConfig(round int) map[string]any {
	c := config(7 + 5*round)
	c["tenants"] = []map[string]any{{"name": "t1", "keys": []string{roundKey(round)}}}
	return c
}

func (s *scenario) startGateways() bool {
	p, err := freePorts()
	if err != nil {
		s.logf("no ports: %v", err)
		return false
	}
	net := fmt.Sprintf("127.%d.%d.", 20+os.Getpid()%200, os.Getpid()/200%250)
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s%d:%d", net, i+1, p.control))
	}
	for i := range gatewayCount {
		g, err := startGateway(s.root, s.dir, fmt.Sprintf("front-%d", i+1), fmt.Sprintf("%s%d", net, i+1), p, seeds, s.proxy.addr())
		if err != nil {
			s.logf("no gateway: %v", err)
			return false
		}
		s.gateways = append(s.gateways, g)
	}
	for _, g := range s.gateways {
		if !g.waitReady(10 * time.Second) {
			s.logf("%s is not ready", g.name)
			return false
		}
	}
	s.logf("%d gateways are ready", len(s.gateways))
	return true
}

// dropKey silences the open connections to the store, waits until the gateway is in touch again, and puts a configuration into
// force that drops the key of the round before. It returns how many requests with that key run that were sent later than
// configApplyMs after the store's acknowledgement.
func (s *scenario) dropKey(round int) int {
	if s.trouble {
		s.logf("%d open connections to the store fall silent", s.proxy.silence())
	}
	time.Sleep(stable + 200*time.Millisecond)
	if s.anyMoment {
		time.Sleep(time.Duration(s.rng.Int64N(int64(2500 * time.Millisecond))))
	} else {
		s.awaitListing("op/config")
	}
	dropped := roundKey(round - 1)
	s.store.put("op/config", roundConfig(round))
	acknowledged := time.Now()
	s.logf("the store acknowledges a version that drops %s, %d ms after a listing", dropped, acknowledged.Sub(s.store.lastListing("op/config")).Milliseconds())
	time.Sleep(configApply + watched) // the clients still use the key
	s.mu.Lock()
	s.key = roundKey(round)
	requests := append([]request(nil), s.requests...)
	s.mu.Unlock()
	ran := make(map[string]bool)
	for _, a := range s.runs.all() {
		ran[a.id] = true
	}
	late, last := 0, time.Duration(0)
	for _, x := range requests {
		if after := x.sent.Sub(acknowledged); x.key == dropped && ran[x.id] && after > 0 {
			last = max(last, after)
			if after > configApply {
				late++
			}
		}
	}
	s.logf("the last request with %s that ran was sent %d ms after the acknowledgement, %d later than %d ms", dropped, last.Milliseconds(), late, configApply.Milliseconds())
	time.Sleep(settle)
	return late
}

// awaitListing waits until the store has just answered a listing of a prefix.
func (s *scenario) awaitListing(prefix string) {
	before := s.store.lastListing(prefix)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end) && s.store.lastListing(prefix).Equal(before); {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
}

// call sends one request after the other to a gateway.
func (s *scenario) call(g *gateway, n int, stop chan struct{}) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableCompression: true}}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(clientPause):
		}
		id := fmt.Sprintf("%04x%012x", n, i)
		r, err := http.NewRequest(http.MethodGet, "http://"+g.frontAddr()+"/lookup/2f", nil)
		if err != nil {
			continue
		}
		r.Host = "desk.example"
		r.Header.Set("Attempt-Id", id)
		r.Header.Set("Deadline-Ms", "1000")
		x := request{id: id, gateway: g.name, key: s.currentKey(), sent: time.Now()}
		r.Header.Set("Authorization", "Token "+x.key)
		resp, err := client.Do(r)
		ok := false
		if err == nil {
			body, failed := io.ReadAll(resp.Body)
			resp.Body.Close()
			x.status = resp.StatusCode
			ok = failed == nil && resp.StatusCode == http.StatusOK && strings.HasSuffix(string(body), id+"\n") && resp.Header.Get("Origin-Seal") != ""
		}
		x.took = time.Since(x.sent)
		s.keep(x, ok)
	}
}
