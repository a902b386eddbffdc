package experiment

import (
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"trefoilpath.org/trefoilpath/internal/report"
	"trefoilpath.org/trefoilpath/internal/soak"
	"trefoilpath.org/trefoilpath/internal/workload"
)

// DefaultVirtual is the length of the load of one run.
const DefaultVirtual = 10 * time.Minute

// Matrix is the set of runs of one experiment.
type Matrix struct {
	Deployment workload.Deployment
	Loads      []float64 // shares of the deployment's capacity
	Policies   []soak.Policy
	Faults     []Faults
	Seeds      []uint64
	Long       bool // with long prompts, and again without for the slowdown of short ones
	Floor      bool // measures the slowdown that random choices alone bring
	Virtual    time.Duration
	Parallel   int
}

// Faults says whether runs are disturbed.
type Faults string

// The kinds of runs.
const (
	FaultsNone  Faults = "none"
	FaultsMixed Faults = "mixed"
)

// Cell is one policy under one load with one seed.
type Cell struct {
	Deployment workload.Deployment
	Load       float64
	Policy     soak.Policy
	Faults     Faults
	Seed       uint64
}

// cells lists the matrix in a fixed order.
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

// Run carries out the matrix. It calls progress as cells end; calls do not
// overlap. The rows are in the order of the matrix, whatever ran in parallel.
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

// otherChoices is the Shuffle of the run that gives the floor of the slowdown.
const otherChoices = 1

// runCell runs one cell, with long prompts and without as far as wanted.
func (m Matrix) runCell(c Cell) ([]report.Row, error) {
	without, err := m.run(c, true, 0)
	if err != nil {
		return nil, err
	}
	if !m.Long {
		return rowsOf(c, without, slowdowns{}), nil
	}
	with, err := m.run(c, false, 0)
	if err != nil {
		return nil, err
	}
	s := slowdowns{p95: slowdownP95(with, without)}
	if m.Floor {
		again, err := m.run(c, true, otherChoices)
		if err != nil {
			return nil, err
		}
		s.floorP95 = slowdownP95(again, without)
	}
	return rowsOf(c, with, s), nil
}

func (m Matrix) run(c Cell, omitLong bool, shuffle uint64) (*soak.Result, error) {
	mix := workload.DefaultMix()
	mix.OmitLong = omitLong
	opts := soak.Options{
		Deployment: c.Deployment,
		Seed:       c.Seed,
		Virtual:    m.Virtual,
		Load:       c.Load,
		Mix:        mix,
		Burst:      workload.DefaultBurst(),
		FaultEvery: soak.DefaultFaultEvery,
		Policy:     c.Policy,
		Measure:    true,
		Shuffle:    shuffle,
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
