package gateway

import (
	"fmt"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/route"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// endpointsOfOthers returns endpoints of this fleet and others, each of a service of its own.
func endpointsOfOthers(others, round int) *Endpoints {
	in := testEndpoints(1, 1)
	for i := range others {
		in.Rows = append(in.Rows, Registration{
			ID: wire.EndpointID(fmt.Sprintf("other-%02d", i)), Service: fmt.Sprintf("other-%d-%d", round, i),
			Addr: fmt.Sprintf("10.9.1.%d:80", i+1), Slots: 1,
		})
	}
	return in
}

// TestServicesThatNoConfigurationNamesAreNotKept guards against rows of services that other programs
// register under ever new names.
func TestServicesThatNoConfigurationNamesAreNotKept(t *testing.T) {
	c := newTestCore(t, 0, 1)
	for round := range 20 {
		c.Tick(time.Duration(round)*time.Second, Input{Endpoints: endpointsOfOthers(50, round)})
	}
	if n := c.endpoints.Len(); n != 2 {
		t.Errorf("%d endpoints, want the two of named services", n)
	}
	if n := c.services.Len(); n > 2 {
		t.Errorf("%d services, want the two that are named at most", n)
	}
}

// TestGatewayWithEndpointsOfUnnamedServicesOnlyIsNotReady guards against a gateway that takes callers
// though it knows no endpoint for them.
func TestGatewayWithEndpointsOfUnnamedServicesOnlyIsNotReady(t *testing.T) {
	c := newTestCore(t, 0, 1)
	in := endpointsOfOthers(5, 0)
	in.Rows = in.Rows[2:]
	c.Tick(0, Input{Endpoints: in})
	if c.ready.OK {
		t.Error("the gateway is ready, want not: no endpoint of a named service has registered")
	}
}

// TestEndpointsAreUsedOnceAConfigurationNamesTheirService guards against endpoints that have
// registered before their service was named and are then missing.
func TestEndpointsAreUsedOnceAConfigurationNamesTheirService(t *testing.T) {
	c := newTestCore(t, 0, 1)
	c.Tick(0, Input{Endpoints: endpointsOfOthers(2, 0)})
	cfg := &route.Config{Version: 100, Services: []route.Service{{Name: engineService}, {Name: plainService}, {Name: "other-0-1"}}}
	table, err := route.Compile(cfg)
	if err != nil {
		t.Fatal(err)
	}
	c.Tick(time.Second, Input{Config: table})
	if c.endpoints.Get("other-01") == nil || c.endpoints.Get("other-00") != nil {
		t.Error("want the endpoint of the service that is named now, and no other")
	}
	if s := c.services.Get("other-0-1"); s == nil || len(s.endpoints) != 1 {
		t.Errorf("the service has %+v, want its endpoint", s)
	}
}
