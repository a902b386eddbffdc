package fleetsoak

import (
	"context"
	"flag"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/gateway/shell"
	"trefoilpath.org/trefoilpath/internal/httpconn"
	"trefoilpath.org/trefoilpath/platform"
)

// TestMain runs a gateway if the soak has started this binary as one.
func TestMain(m *testing.M) {
	if len(os.Args) == 4 && os.Args[1] == "platform-gateway" {
		os.Exit(gatewayMain(os.Args[3]))
	}
	os.Exit(m.Run())
}

func gatewayMain(path string) int {
	load := func() (shell.Settings, error) { return platform.LoadSettings(path) }
	s, err := load()
	if err != nil {
		return 2
	}
	cfg := shell.Config{
		Settings: s, Translator: platform.HeaderTranslator{}, Decoder: platform.NewDecoder(),
		Store: platform.NewStore(s.StoreAddr, &http.Client{Transport: httpconn.NewTransport(new(net.Dialer).DialContext)}), Log: os.Stdout, Reload: load,
	}
	if m := os.Getenv(withoutEnv); m != "" {
		mechanisms[m].remove(&cfg)
	}
	g := shell.New(cfg)
	if g.Run(context.Background()) != nil {
		return 1
	}
	return 0
}

var (
	seeds     = flag.Int("soak.seeds", 0, "number of fresh seeds to run besides the regression cases")
	firstSeed = flag.Uint64("soak.first", 1000, "first fresh seed")
	faultTime = flag.Duration("soak.for", 8*time.Second, "length of the fault phase of a run")
	fleets    = flag.Int("soak.gateways", 3, "number of gateways")
)

// regressions are the seeds of every run: the one of the short run of CI, then
// those that once found a violation, with its cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{1, "none: the short run of CI"},
	{5101, "a 503 of an endpoint that had run the request reached callers whose request may run once only"},
	{9003, "a restore of the store from a backup: later versions stayed unknown, a replica that had left got requests"},
}

func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for some seconds")
	}
	for _, r := range regressions {
		runSeed(t, r.seed)
	}
	for n := range uint64(*seeds) {
		runSeed(t, *firstSeed+n)
	}
}

func runSeed(t *testing.T, seed uint64) {
	t.Helper()
	res, dir := runAndReport(t, seed, *faultTime)
	for _, v := range res.Violations {
		t.Errorf("seed %d: %s at %v: %s (logs in %s)", seed, v.Promise, v.At, v.Detail, dir)
	}
	if len(res.Violations) == 0 {
		os.RemoveAll(dir)
	}
}

// runAndReport runs a seed with a fault phase of the given length and returns its result and the directory of its logs.
func runAndReport(t *testing.T, seed uint64, duration time.Duration) (Result, string) {
	t.Helper()
	o := soakOptions(t, seed)
	o.Duration, o.Gateways, o.Replicas, o.Callers, o.MaxConcurrentFaults = duration, *fleets, 3, 12, 2
	res, err := Run(o)
	if err != nil {
		t.Fatalf("seed %d: %v (logs in %s)", seed, err, o.Dir)
	}
	t.Logf("seed %d: %d requests, %d served, %.3f in the fault-free phase", seed, res.Requests, res.Served, res.FaultFreeServed)
	return res, o.Dir
}

// soakOptions returns the options of a run of this binary, with a new directory and a log
// that is closed at the end of the test.
func soakOptions(t *testing.T, seed uint64) Options {
	t.Helper()
	binary, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	dir, err := os.MkdirTemp("", "fleetsoak")
	if err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(dir + "/run.log")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { log.Close() })
	return Options{Seed: seed, Binary: binary, Dir: dir, Log: log}
}
