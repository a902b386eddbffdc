package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"trefoilpath.org/trefoilpath/internal/wire"
)

func TestCellCount(t *testing.T) {
	for _, test := range []struct{ gateways, endpoints, cells int }{
		{1, 18, 1}, {5, 18, 1}, {31, 54, 1}, {maxSingleCellGateways, 1000, 1},
		{48, 200, 2}, {68, 150, 2}, {100, 400, 4}, {300, 1000, 8}, // at least 24 gateways each
		{68, 1000, 4}, {100, 1000, 8}, {300, 3000, 16}, {430, 12_000, 32}, // fewer for the sake of endpoints
	} {
		got := cellCount(test.gateways, test.endpoints)
		if got != test.cells {
			t.Errorf("%d gateways, %d endpoints: %d cells, want %d", test.gateways, test.endpoints, got, test.cells)
		}
		if got > 1 && test.gateways/got < minCellGateways/2 {
			t.Errorf("%d gateways, %d endpoints: a cell has %d gateways, want at least %d", test.gateways, test.endpoints, test.gateways/got, minCellGateways/2)
		}
	}
}

// TestCellsDivideTheFleet checks that gateways that know all others agree on the
// cells: each endpoint is in exactly one cell, and two gateways agree on whether they
// share one.
func TestCellsDivideTheFleet(t *testing.T) {
	const gateways, engines = 64, 200
	s := newSimulationWith(t, gateways, engines)
	s.run(5 * time.Second)
	cellsOf := make(map[wire.EndpointID]map[int]bool)
	for i, c := range s.cores {
		if n := c.Gateways(); n != gateways {
			t.Fatalf("gateway %d knows %d gateways, want %d", i, n, gateways)
		}
		if n := c.cellPeers() + 1; n != gateways/cellCount(gateways, engines) {
			t.Errorf("gateway %d is in a cell of %d gateways, want an equal part of the fleet", i, n)
		}
		for p := range c.peers.Values() {
			other := s.gatewayIndex(p.addr)
			if back := s.cores[other].peers.Get(c.cfg.Addr); back == nil || p.inCell != back.inCell {
				t.Errorf("gateways %d and %d don't agree on whether they share a cell", i, other)
			}
		}
		for e := range c.endpoints.Values() {
			if e.engine == nil || !e.inCell {
				continue
			}
			if cellsOf[e.registration.ID] == nil {
				cellsOf[e.registration.ID] = make(map[int]bool)
			}
			cellsOf[e.registration.ID][c.ownCell] = true
		}
	}
	if len(cellsOf) != engines {
		t.Errorf("%d engines are in a cell, want %d", len(cellsOf), engines)
	}
	for id, cells := range cellsOf {
		if len(cells) != 1 {
			t.Errorf("engine %s is in %d cells, want 1", id, len(cells))
		}
	}
}

// TestCellWithoutEndpointsUsesOthers checks that a request is sent to an engine of
// another cell if all engines of the own cell are ejected.
func TestCellWithoutEndpointsUsesOthers(t *testing.T) {
	s := newSimulationWith(t, 64, 200)
	s.run(5 * time.Second)
	c := s.cores[0]
	ownCellEngines := make(map[wire.EndpointID]bool)
	for e := range c.endpoints.Values() {
		if e.inCell && e.engine != nil {
			ownCellEngines[e.registration.ID] = true
			c.eject(e, "test", time.Minute)
		}
	}
	d := dispatchOf(submit(c, s.now, 1<<20, "short"))
	if d == nil || ownCellEngines[d.Endpoint] {
		t.Errorf("dispatch %+v, want one to an engine of another cell", d)
	}
}

// TestNewVersionReachesAllGateways publishes a version at one gateway of fleets up to the
// target's, over links that lose a tenth of the messages and with a sixth of the gateways
// away, and checks the worst time over several seeds: a change has to be in force within
// two seconds, of which a second is left for the store's watch and the fetch.
func TestNewVersionReachesAllGateways(t *testing.T) {
	for _, test := range []struct{ gateways, seeds int }{{20, 8}, {68, 6}, {120, 4}, {218, 3}, {430, 1}} {
		if testing.Short() && test.gateways > 120 {
			continue
		}
		for seed := range uint64(test.seeds) {
			s := newSimulationWith(t, test.gateways, 40)
			s.run(5 * time.Second)
			worst := s.publishVersion(rand.New(rand.NewPCG(seed, 1)), 2*time.Second)
			t.Logf("%d gateways, seed %d: the last one knows the version after %v", test.gateways, seed, worst)
			if worst > time.Second {
				t.Errorf("%d gateways, seed %d: the last one knows the version after %v, want 1s", test.gateways, seed, worst)
			}
		}
	}
}

// publishVersion publishes a version at the first gateway while a sixth of the others are
// away and a tenth of the messages are lost. It returns the time until all that are not
// away have it, or limit.
func (s *simulation) publishVersion(rng *rand.Rand, limit time.Duration) time.Duration {
	const fetchTime = 60*time.Millisecond + 30*time.Millisecond // the wait for the watch, then the transfer
	away := make(map[int]bool)
	for i := 1; i < len(s.cores); i++ {
		away[i] = rng.IntN(6) == 0
	}
	s.dropMessage = func(from, to int) bool { return away[from] || away[to] || rng.IntN(10) == 0 }
	v := Versions{}
	v.Config.Revision, v.Config.Digest = 7, 1
	start := s.now
	s.tick(0, Input{Versions: &v})
	fetching := make(map[int]bool)
	for s.now < start+limit {
		missing := 0
		for i, c := range s.cores {
			if c.versions == v || away[i] {
				continue
			}
			missing++
			if s.notifiedOfNewer[i] && !fetching[i] {
				fetching[i] = true
				s.schedule(fetchTime, func() { s.tick(i, Input{Versions: &v}) })
			}
		}
		if missing == 0 {
			return s.now - start
		}
		s.run(s.now + 5*time.Millisecond)
	}
	return limit
}

// TestBytesDoNotGrowWithTheFleet offers the same load per gateway to fleets of 48 and
// of 100 gateways and compares the bytes that each gateway sends.
func TestBytesDoNotGrowWithTheFleet(t *testing.T) {
	perGateway := func(gateways int) float64 {
		s := newSimulationWith(t, gateways, gateways*4)
		s.run(5 * time.Second)
		bytes := 0
		s.onPeerMessage = func(m *PeerMessage) {
			raw, err := cbor.Marshal(m)
			if err != nil {
				t.Fatal(err)
			}
			bytes += len(raw)
		}
		const length = 2 * time.Second
		n := float64(gateways)
		s.offerLoad(rand.New(rand.NewPCG(1, 1)), requestRates{short: 8 * n, medium: 0.6 * n, long: 0.05 * n}, length)
		return float64(bytes) / n / length.Seconds()
	}
	small, large := perGateway(48), perGateway(100)
	t.Logf("%.0f B/s per gateway in a fleet of 48, %.0f in one of 100", small, large)
	if large > 1.25*small {
		t.Errorf("%.0f B/s per gateway at 48 gateways, %.0f at 100, want at most 25%% more", small, large)
	}
}
