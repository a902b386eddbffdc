// Command world plays one case of the review: it starts gateways as processes, with a store, replicas
// and clients of its own around them, and writes what it sees to the record of the case.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case
// couldn't run.
package main

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// world is one play of a case.
type world struct {
	root     string // of the repository
	dir      string // temporary
	prefix   string // the first three bytes of all addresses
	trouble  bool   // with the disruption
	store    *store
	gateways []*gateway
	replicas []*replica

	began    time.Time
	recordMu sync.Mutex
	record   *os.File
}

// errCantRun says that a case couldn't be played.
type errCantRun struct{ cause string }

func (e errCantRun) Error() string { return e.cause }

var cases = map[string]func(*world) (broken bool, err error){
	"foreign-entries":        foreignEntries,
	"stale-seeds":            staleSeeds,
	"earlier-start":          earlierStart,
	"lost-engine-slowly":     lostEngineSlowly,
	"lost-engine-and-orders": lostEngineAndOrders,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: world CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w := &world{root: root, trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	if w.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.record.Close()
	if w.dir, err = os.MkdirTemp("", "review"); err != nil {
		w.logf("can't run: %v", err)
		return 2
	}
	defer os.RemoveAll(w.dir)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-stop
		w.end()
		os.Exit(2)
	}()
	defer w.end()
	w.logf("case %s, disruption: %t", name, w.trouble)
	broken, err := cases[name](w)
	switch {
	case err != nil:
		w.logf("can't run: %v", err)
		return 2
	case broken:
		w.logf("result: the rule was broken")
		return 1
	}
	w.logf("result: the rule held")
	return 0
}

// end ends all processes.
func (w *world) end() {
	for _, g := range w.gateways {
		g.kill()
	}
	if kept := os.Getenv("KEEP_LOGS"); kept != "" {
		for _, g := range w.gateways {
			if raw, err := os.ReadFile(filepath.Join(w.dir, g.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(kept, g.name+".log"), raw, 0o644)
			}
		}
	}
}

// logf writes a line to the record, with the time since the start.
func (w *world) logf(format string, args ...any) {
	w.logAt(time.Now(), format, args...)
}

func (w *world) logAt(at time.Time, format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintf(w.record, "%8.3f s  %s\n", at.Sub(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// chooseAddresses finds a block of loopback addresses on which the ports of a gateway are free.
func (w *world) chooseAddresses() error {
	for try := range 200 {
		prefix := fmt.Sprintf("127.%d.%d.", 20+(os.Getpid()+try)%200, 1+(os.Getpid()/200+try)%250)
		free := true
		for _, host := range []int{1, 101, 201} {
			for _, port := range []int{frontPort, readyPort, controlPort, peerPort, 9100, 8080} {
				l, err := net.Listen("tcp4", fmt.Sprintf("%s%d:%d", prefix, host, port))
				if err != nil {
					free = false
					continue
				}
				l.Close()
			}
		}
		if free {
			w.prefix = prefix
			return nil
		}
	}
	return errCantRun{"no free loopback addresses"}
}

// storeAddr is the address of the store.
func (w *world) storeAddr() string { return w.prefix + "201:8080" }

// startStore starts the store.
func (w *world) startStore() (err error) {
	if err = w.chooseAddresses(); err == nil {
		w.store, err = startStore(w.storeAddr())
	}
	return err
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// addReplica returns a replica that has not been started.
func (w *world) addReplica(service, zone string, work time.Duration) *replica {
	r := &replica{store: w.store, addr: fmt.Sprintf("%s%d:8080", w.prefix, 101+len(w.replicas)), service: service, zone: zone, work: work}
	w.replicas = append(w.replicas, r)
	return r
}

// addGateway returns a gateway that has not been started.
func (w *world) addGateway() *gateway {
	n := len(w.gateways)
	g := &gateway{name: fmt.Sprintf("front-%d", n+1), ip: fmt.Sprintf("%s%d", w.prefix, n+1), zone: zones[n%len(zones)], dir: w.dir}
	w.gateways = append(w.gateways, g)
	return g
}

// controlOf returns the control addresses of gateways, as seeds name them.
func controlOf(gateways []*gateway) []string {
	var out []string
	for _, g := range gateways {
		out = append(out, fmt.Sprintf("%s:%d", g.ip, controlPort))
	}
	return out
}

// awaitReady waits until all gateways are ready.
func (w *world) awaitReady() error {
	end := time.Now().Add(10 * time.Second)
	for _, g := range w.gateways {
		for !g.ready() {
			if time.Now().After(end) || !g.running() {
				return errCantRun{g.name + " doesn't become ready"}
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

// route is a route of the configuration.
type route struct {
	Name      string `json:"name"`
	Host      string `json:"host"`
	Prefix    string `json:"prefix"`
	Kind      string `json:"kind"`
	TimeoutMS int    `json:"timeoutMs"`
	GoalMS    int    `json:"goalMs"`
	Priority  int    `json:"priority"`
	Service   string `json:"service"`
	Attempts  int    `json:"attempts"`
	Public    bool   `json:"public"`
	Sticky    bool   `json:"sticky,omitempty"`
	Resumable bool   `json:"resumable,omitempty"`
	GapGoalMS int    `json:"gapGoalMs,omitempty"`
}

// configure writes a configuration. services are in the platform's format.
func (w *world) configure(version int, routes []route, services []map[string]any) {
	w.store.putJSON("op/config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "t1", "keys": []string{key}, "priority": 1}},
	})
}

// runner is a replica of any kind.
type runner interface {
	name() string
	seen() []arrival
}

// recordRequests writes to the record what was sent, answered and run, in order of time.
func recordRequests[R runner](w *world, l *load, replicas []R) {
	type line struct {
		at   time.Time
		text string
	}
	var lines []line
	l.mu.Lock()
	for _, a := range l.answers {
		result := fmt.Sprintf("status %d", a.status)
		if a.status == 0 {
			result = "no answer: " + a.err
		}
		lines = append(lines, line{a.sent, fmt.Sprintf("sent %s to %s: %s %s", a.id, a.to, a.method, a.path)})
		lines = append(lines, line{a.ended, fmt.Sprintf("answered %s: %s, %d bytes, sealed %t", a.id, result, len(a.body), a.sealed)})
	}
	l.mu.Unlock()
	for _, r := range replicas {
		for _, a := range r.seen() {
			lines = append(lines, line{a.at, fmt.Sprintf("run %s by the replica at %s", a.request, r.name())})
		}
	}
	slices.SortStableFunc(lines, func(a, b line) int { return a.at.Compare(b.at) })
	for _, x := range lines {
		w.logAt(x.at, "%s", x.text)
	}
}
