// Command world plays a small deployment around the project's gateways, which run as processes:
// the platform's store and rotation, replicas and clients. It checks a rule of the pages by what
// clients and replicas have seen.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

var zones = []string{"zona-antigua", "zona-xela", "zona-capital"}

const (
	host   = "ficu95.example"
	apiKey = "n2ctnfzs989anu6wsjnb"
	tenant = "hule930"
	llm    = "huvo11a"
	desk   = "wuno96b"
)

// Bounds of the settings.
const (
	stable    = 3 * time.Second         // bounds.stableMs
	drain     = 2 * time.Second         // bounds.drainMs
	heartbeat = 1200 * time.Millisecond // heartbeatMs
)

type world struct {
	dir, binary string
	trouble     bool
	start       time.Time
	store       *store
	stop        chan struct{}
	wg          sync.WaitGroup

	attempts atomic.Uint64

	mu           sync.Mutex
	gateways     []*gateway
	replicas     []*replica
	replicaCount int
	idle         []*client
	calls        map[string]*call
	runs         []*run
	record       *bufio.Writer
	recordFile   *os.File
	version      int
}

func (w *world) nextAttempt() string {
	return fmt.Sprintf("%016x", 0x9c41000000000000+w.attempts.Add(1))
}

// note writes a line to the record.
func (w *world) note(format string, a ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteLocked(format, a...)
}

func (w *world) noteLocked(format string, a ...any) {
	fmt.Fprintf(w.record, "%9.4f  "+format+"\n", append([]any{time.Since(w.start).Seconds()}, a...)...)
}

func (w *world) sent(x *call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[x.attempt] = x
	w.noteLocked("sent      %s %s %s to %s", x.attempt, x.kind.name, x.path, x.gateway.name)
}

func (w *world) answered(x *call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteLocked("answered  %s %s status=%d sealed=%v bytes=%d err=%v", x.attempt, x.kind.name, x.status, x.sealed, len(x.text), x.err)
}

func (w *world) reached(x *run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, x)
}

func (w *world) beginRun(x *run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x.ran = true
	w.noteLocked("runs      %s at %s", x.attempt, x.replica)
}

func (w *world) endRun(x *run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x.ended = time.Now()
	w.noteLocked("run ended %s at %s", x.attempt, x.replica)
}

// configure writes the next version of the configuration.
func (w *world) configure() time.Time {
	w.version += 3
	route := func(name, prefix, kind, service string, timeout, goal, gap, attempts, priority int) map[string]any {
		r := map[string]any{"name": "r-" + name, "host": host, "prefix": "/" + prefix + "/", "kind": kind, "timeoutMs": timeout, "goalMs": goal,
			"priority": priority, "service": service, "attempts": attempts, "public": false}
		if kind == "streaming" {
			r["sticky"], r["resumable"], r["gapGoalMs"] = true, true, gap
		}
		return r
	}
	return w.store.put("op/config", map[string]any{
		"version": w.version,
		"routes": []any{
			route("quote", "quote", "streaming", llm, 10000, 300, 200, 2, 1), route("season", "season", "streaming", llm, 10000, 1500, 500, 2, 1),
			route("mill", "mill", "streaming", llm, 15000, 3000, 800, 2, 1), route("book", "book", "unsafe", desk, 600, 100, 0, 1, 2),
			route("stock", "stock", "safe", desk, 600, 100, 0, 2, 2),
		},
		"services": []any{
			map[string]any{"name": llm, "healthPath": "/health", "maxConns": 364, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 16, "kvTokens": 450000, "kvBytes": 327680, "linkMbps": 400000.0, "stride": 46, "models": []any{map[string]any{"name": "m"}},
				"step_ms": 0.925, "per_seq_ms": 0.00483, "context_per_k": 0.00254, "read_per_s": 256000.0, "pairs_per_m": 0.0917, "chunk": 2048,
				"report_lag_ms": 200.0, "usual": map[string]any{"prompt": 13239, "answer": 1540}, "hopMs": 0.1}},
			map[string]any{"name": desk, "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": tenant, "keys": []any{apiKey}, "priority": 1}},
	})
}

// build starts the store, the replicas of both services and the gateways.
func (w *world) build(engines, plains, gateways int) error {
	var err error
	if w.store, err = newStore(); err != nil {
		return err
	}
	w.configure()
	for i := range engines {
		r, err := w.newReplica(llm, i, true)
		if err != nil {
			return err
		}
		r.register("ready")
	}
	for i := range plains {
		r, err := w.newReplica(desk, i, false)
		if err != nil {
			return err
		}
		r.register("ready")
	}
	return w.startGateways(gateways)
}

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	unable = 2
)

var scenarios = map[string]func(*world) int{}

func main() {
	os.Exit(play())
}

func play() int {
	name := flag.String("scenario", "", "case to play")
	binary := flag.String("gateway", "", "the project's program")
	trouble := flag.Bool("trouble", true, "bring about the disruption")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	scenario := scenarios[*name]
	path, err := filepath.Abs(*binary)
	if scenario == nil || err != nil {
		fmt.Println("usage: world --scenario NAME --gateway PROGRAM")
		return unable
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println(err)
		return unable
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	f, err := os.Create(*record)
	if err != nil {
		fmt.Println(err)
		return unable
	}
	w := &world{dir: dir, binary: path, trouble: *trouble, start: time.Now(), stop: make(chan struct{}),
		calls: map[string]*call{}, record: bufio.NewWriterSize(f, 1<<20), recordFile: f}
	defer f.Close()
	defer func() { w.mu.Lock(); w.record.Flush(); w.mu.Unlock() }()
	defer w.stopGateways()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	done := make(chan int, 1)
	go func() { done <- scenario(w) }()
	select {
	case code := <-done:
		return code
	case <-interrupted:
		return unable
	}
}

// fail reports on standard output and in the record why the case could not run.
func (w *world) fail(err error) int {
	fmt.Println("the case could not run:", err)
	w.note("the case could not run: %v", err)
	return unable
}
