package soak

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"trefoilpath.org/trefoilpath/internal/wire"
	"trefoilpath.org/trefoilpath/internal/workload"
)

// shortRun returns options of a short run with a fault every 5 s on average.
func shortRun(d workload.Deployment, seed uint64) Options {
	return Options{
		Deployment:  d,
		Seed:        seed,
		VirtualTime: 4 * time.Minute,
		Load:        DefaultLoad,
		Mix:         workload.DefaultMix(),
		Burst:       workload.DefaultBurst(),
		Faults:      []string{FaultsMixed},
		FaultEvery:  5 * time.Second,
		Policy:      PolicyTrefoilpath,
	}
}

func mustRun(t *testing.T, opts Options) *Result {
	t.Helper()
	w, err := New(opts)
	if err != nil {
		t.Fatal(err)
	}
	return w.Run()
}

// TestFixedSeeds runs five fixed seeds of two deployments with all faults. Every
// change must pass them.
func TestFixedSeeds(t *testing.T) {
	for _, d := range []workload.Deployment{workload.Atitlan(), workload.Sanabil()} {
		for seed := uint64(1); seed <= 5; seed++ {
			t.Run(d.Name, func(t *testing.T) {
				t.Parallel()
				r := mustRun(t, shortRun(d, seed))
				if v := r.Violation; v != nil {
					for _, l := range v.Trace {
						t.Log(l)
					}
					t.Fatalf("seed %d breaks %s at %v for %s: %s", seed, v.Promise, v.At, v.Subject, v.Detail)
				}
				s := r.Summary()
				if s.Completed < s.Calls/2 {
					t.Errorf("seed %d: %d of %d calls completed", seed, s.Completed, s.Calls)
				}
			})
		}
	}
}

func TestSameSeedSameRun(t *testing.T) {
	first := mustRun(t, shortRun(workload.Sanabil(), 11))
	second := mustRun(t, shortRun(workload.Sanabil(), 11))
	if diff := cmp.Diff(first.Summary(), second.Summary()); diff != "" {
		t.Errorf("two runs of one seed differ (-first +second):\n%s", diff)
	}
	other := mustRun(t, shortRun(workload.Sanabil(), 12))
	if other.Digest == first.Digest {
		t.Error("two seeds give the same run")
	}
}

func TestUnknownNamesAreRefused(t *testing.T) {
	opts := shortRun(workload.Atitlan(), 1)
	opts.Faults = []string{"earthquake"}
	if _, err := New(opts); err == nil {
		t.Error("an unknown fault was accepted")
	}
	opts = shortRun(workload.Atitlan(), 1)
	opts.DisabledMechanisms = []string{"luck"}
	if _, err := New(opts); err == nil {
		t.Error("an unknown mechanism was accepted")
	}
}

// TestOmittingLongPromptsKeepsTheOthers checks that omitting long prompts leaves
// the arrivals of all other prompts unchanged.
func TestOmittingLongPromptsKeepsTheOthers(t *testing.T) {
	opts := shortRun(workload.Atitlan(), 3)
	opts.Faults = nil
	opts.Measure = true
	with := mustRun(t, opts)
	opts.Mix.OmitLong = true
	without := mustRun(t, opts)
	sent := make(map[uint64]time.Duration)
	for _, c := range with.Calls {
		if c.Kind == wire.KindEngine && c.Band <= wire.BandMedium {
			sent[c.Number] = c.Sent
		}
	}
	found := 0
	for _, c := range without.Calls {
		if c.Kind != wire.KindEngine {
			continue
		}
		if at, ok := sent[c.Number]; !ok || at != c.Sent {
			t.Fatalf("request %d sent at %v without long prompts, at %v (%t) with them", c.Number, c.Sent, at, ok)
		}
		found++
	}
	if found != len(sent) {
		t.Errorf("%d prompts without long ones, %d with them", found, len(sent))
	}
}
