package fleetsoak

import (
	"flag"
	"os"
	"testing"
	"time"
)

var (
	shutdownSeeds   = flag.Int("shutdown.seeds", 1, "number of seeds of the shutdown soak")
	shutdownFirst   = flag.Uint64("shutdown.first", 1, "first seed of the shutdown soak")
	shutdownFor     = flag.Duration("shutdown.for", 12*time.Second, "length of a run of the shutdown soak")
	shutdownFleet   = flag.Int("shutdown.gateways", 3, "number of gateways in the shutdown soak")
	shutdownCallers = flag.Int("shutdown.callers", 60, "number of callers in the shutdown soak")
	shutdownKeep    = flag.Bool("shutdown.keep", false, "keep the logs of runs without a violation")
	shutdownSeries  = flag.Int("shutdown.series", 3, "number of overlapping series of signals")
)

// TestNoRequestIsLostAroundSIGTERM restarts gateways gracefully under callers that use open
// connections until the process is gone.
func TestNoRequestIsLostAroundSIGTERM(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for some seconds")
	}
	for n := range uint64(*shutdownSeeds) {
		runShutdownSeed(t, *shutdownFirst+n)
	}
}

func runShutdownSeed(t *testing.T, seed uint64) {
	t.Helper()
	o := soakOptions(t, seed)
	o.Duration, o.Gateways, o.Callers, o.MaxConcurrentFaults = *shutdownFor, *shutdownFleet, *shutdownCallers, *shutdownSeries
	o.Grace, o.Replicas = 8*time.Second, 4
	res, err := RunShutdowns(o)
	if err != nil {
		t.Fatalf("seed %d: %v (logs in %s)", seed, err, o.Dir)
	}
	t.Logf("seed %d: %d requests, %d served, %d violations", seed, res.Requests, res.Served, len(res.Violations))
	for _, v := range res.Violations {
		t.Errorf("seed %d: %s at %v: %s (logs in %s)", seed, v.Promise, v.At, v.Detail, o.Dir)
	}
	if len(res.Violations) == 0 && !*shutdownKeep {
		os.RemoveAll(o.Dir)
	}
}
