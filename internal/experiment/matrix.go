package experiment

import (
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"trefoilpath.org/trefoilpath/internal/report"
	"trefoilpath.org/trefoilpath/internal/soak"
	"trefoilpath.org/trefoilpath/internal/workload"
)

// DefaultVirtualDuration is the virtual time during which one run sends requests.
const DefaultVirtualDuration = 10 * time.Minute

// Matrix describes the runs of one experiment: every combination of load, policy,
// faults and seed.
type Matrix struct {
	Deployment      workload.Deployment
	Loads           []float64 // fractions of the deployment's capacity
	Policies        []soak.Policy
	Faults          []Faults
	Seeds           []uint64
	IncludeLong     bool          // include prompts above the medium band, and run again without them to measure the slowdown of short ones
	MeasureFloor    bool          // with IncludeLong: also measure the slowdown between two runs without long prompts that differ in random choices only
	VirtualDuration time.Duration // virtual time during which each run sends requests
	Parallel        int           // cells run at the same time; below 1 counts as 1
}

// Faults selects the faults that are injected into runs.
type Faults string

// Values of Faults. FaultsMixed injects all kinds of package soak.
const (
	FaultsNone  Faults = "none"
	FaultsMixed Faults = "mixed"
)

// Cell is one combination of a Matrix.
type Cell struct {
	Deployment workload.Deployment
	Load       float64
	Policy     soak.Policy
	Faults     Faults
	Seed       uint64
}

// cells lists the cells by faults, then load, seed and policy.
func (m Matrix) cells() []Cell {
	var out []Cell
	for _, f := range m.Faults {
		for _, load := range m.Loads {
			for _, seed := range m.Seeds {
				for _, p := range m.Policies {
					out = append(out, Cell{Deployment: m.Deployment, Load: load, Policy: p, Faults: f, Seed: seed})
				}
			}
		}
	}
	return out
}

// Run runs all cells and returns their rows in the order of cells, regardless of
// the order in which they end. It calls progress as each cell ends, with the real
// time that it took; the calls do not overlap.
func (m Matrix) Run(progress func(Cell, time.Duration, []report.Row)) ([]report.Row, error) {
	cells := m.cells()
	results := make([][]report.Row, len(cells))
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(max(m.Parallel, 1))
	for i, cell := range cells {
		g.Go(func() error {
			began := time.Now()
			rows, err := m.runCell(cell)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			results[i] = rows
			progress(cell, time.Since(began), rows)
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	var rows []report.Row
	for _, r := range results {
		rows = append(rows, r...)
	}
	return rows, nil
}

// floorShuffle is the soak.Options.Shuffle of the second run without long prompts,
// which gives the floor of the slowdown.
const floorShuffle = 1

// runCell runs one cell without long prompts and, if IncludeLong is set, with them. The
// rows are those of the run with long prompts if there is one.
func (m Matrix) runCell(c Cell) ([]report.Row, error) {
	without, err := m.runOnce(c, true, 0)
	if err != nil {
		return nil, err
	}
	if !m.IncludeLong {
		return rowsOf(c, without, slowdowns{}), nil
	}
	with, err := m.runOnce(c, false, 0)
	if err != nil {
		return nil, err
	}
	s := slowdowns{p95: slowdownP95(with, without)}
	if m.MeasureFloor {
		again, err := m.runOnce(c, true, floorShuffle)
		if err != nil {
			return nil, err
		}
		s.floorP95 = slowdownP95(again, without)
	}
	return rowsOf(c, with, s), nil
}

// runOnce runs one cell once. omitLong leaves out the prompts above the medium band;
// shuffle changes all random choices but those of the workload.
func (m Matrix) runOnce(c Cell, omitLong bool, shuffle uint64) (*soak.Result, error) {
	mix := workload.DefaultMix()
	mix.OmitLong = omitLong
	opts := soak.Options{
		Deployment:  c.Deployment,
		Seed:        c.Seed,
		VirtualTime: m.VirtualDuration,
		Load:        c.Load,
		Mix:         mix,
		Burst:       workload.DefaultBurst(),
		FaultEvery:  soak.DefaultFaultEvery,
		Policy:      c.Policy,
		Measure:     true,
		Shuffle:     shuffle,
	}
	if c.Faults == FaultsMixed {
		opts.Faults = []string{soak.FaultsMixed}
	}
	w, err := soak.New(opts)
	if err != nil {
		return nil, err
	}
	return w.Run(), nil
}
