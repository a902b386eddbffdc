package gateway

import (
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// probes returns the engines that are queried in outputs.
func probes(out []Output) []wire.EndpointID {
	var ids []wire.EndpointID
	for _, o := range out {
		if o.Probe != nil {
			ids = append(ids, o.Probe.Endpoint)
		}
	}
	return ids
}

// TestCalmEnginesAreSeldomQueried checks that engines that report their published speed
// and answer in time are queried every calmProbeInterval, and slow ones every second.
func TestCalmEnginesAreSeldomQueried(t *testing.T) {
	c := newTestCore(t, 0, 1)
	const length = 20 * time.Second
	queried := make(map[wire.EndpointID]int)
	for now := time.Duration(0); now < length; now += 50 * time.Millisecond {
		for _, id := range probes(slices.Clone(c.Tick(now))) {
			queried[id]++
			slowdown := 1.0
			if id == "e-07" {
				slowdown = 4
			}
			c.Tick(now, Input{Report: &EngineReport{Endpoint: id, OK: true, Slowdown: slowdown}})
		}
	}
	for id, n := range queried {
		if most := int(length/calmProbeInterval) + 1; id != "e-07" && n > most {
			t.Errorf("%s is queried %d times in %v, want at most %d", id, n, length, most)
		}
	}
	if n := queried["e-07"]; n < 17 {
		t.Errorf("the slow engine is queried %d times in %v, want every second", n, length)
	}
}

// TestLateFirstEventQueriesTheEngine checks that a gateway queries an engine itself at the
// first event that is much later than predicted, whichever gateway usually queries it, and
// tells the others, so that a slow engine is found no later than by a query each second.
func TestLateFirstEventQueriesTheEngine(t *testing.T) {
	for gateway := range 3 {
		c := newTestCore(t, gateway, 3)
		for i := range 3 {
			if i != gateway {
				c.Tick(0, Input{Peer: &PeerMessage{From: gatewayAddr(i), Incarnation: uint64(i + 1)}})
			}
		}
		for now := time.Second; now <= 6*time.Second; now += 100 * time.Millisecond {
			for _, id := range probes(slices.Clone(c.Tick(now))) {
				c.Tick(now, Input{Report: &EngineReport{Endpoint: id, OK: true, Slowdown: 1}})
			}
		}
		now := 7200 * time.Millisecond
		d := dispatchOf(submit(c, now, 1, "short"))
		if d == nil {
			t.Fatal("not dispatched")
		}
		now += 400 * time.Millisecond
		out := slices.Clone(c.Tick(now, Input{First: &FirstEvent{ID: 1, Attempt: d.Attempt}}))
		if !slices.Contains(probes(out), d.Endpoint) {
			t.Errorf("gateway %d does not query %s, whose first event took 400 ms", gateway, d.Endpoint)
		}
		c.Tick(now, Input{Report: &EngineReport{Endpoint: d.Endpoint, OK: true, Slowdown: 5}})
		told := false
		for _, o := range slices.Clone(c.Tick(now + time.Second)) {
			if o.ToPeer != nil {
				for _, row := range o.ToPeer.Msg.Paces {
					told = told || row.Endpoint == xxhash.Sum64String(string(d.Endpoint)) && row.Pace == 5
				}
			}
		}
		if !told {
			t.Errorf("gateway %d does not tell the others that %s is slow", gateway, d.Endpoint)
		}
	}
}
