package dev

import (
	"context"
	"net/http"
	"testing"

	"go.uber.org/goleak"

	"trefoilpath.org/trefoilpath/examples"
	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/standin/servicemodel"
	"trefoilpath.org/trefoilpath/internal/store"
	"trefoilpath.org/trefoilpath/internal/wire"
)

func TestMain(m *testing.M) {
	// go-metrics starts one ticker goroutine that runs until the process exits.
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"))
}

func TestPlatformHasTheDeploymentsShape(t *testing.T) {
	defer http.DefaultClient.CloseIdleConnections()
	for _, d := range examples.Deployments() {
		p, err := startPlatform(d)
		if err != nil {
			t.Fatal(err)
		}
		defer p.close()
		counts := make(map[wire.Kind]int)
		domains := make(map[wire.FailureDomain]bool)
		ids := make(map[wire.EndpointID]bool)
		for _, ep := range p.endpoints {
			counts[ep.kind]++
			domains[ep.domain] = true
			ids[ep.id] = true
		}
		if counts[wire.KindEngine] != d.Model.Count || counts[wire.KindService] != d.Service.Count {
			t.Errorf("%s: endpoints by kind %v, want %d engines and %d services", d.Name, counts, d.Model.Count, d.Service.Count)
		}
		if len(domains) != len(d.FailureDomains) || len(ids) != len(p.endpoints) {
			t.Errorf("%s: endpoints have %d failure domains and %d IDs, want %d and %d",
				d.Name, len(domains), len(ids), len(d.FailureDomains), len(p.endpoints))
		}
		revision, err := p.acceptLists(context.Background(), d)
		if err != nil {
			t.Fatal(err)
		}
		accepted, err := declaration.Fetch(context.Background(), store.NewHTTPClient(p.store.URL(), nil))
		if err != nil || revision != 1 || accepted.Record.Root.Revision != 1 {
			t.Errorf("%s: lists written as revision %d, error %v when fetched; want revision 1 written and fetched", d.Name, revision, err)
		}
	}
}

func TestDoubledCallsAreCountedOverAllServices(t *testing.T) {
	p, err := startPlatform(examples.Deployments()[0])
	if err != nil {
		t.Fatal(err)
	}
	defer p.close()
	post := func(service int, key string) {
		t.Helper()
		ep := p.endpoints[len(p.endpoints)-1-service]
		tr := &http.Transport{DisableKeepAlives: true}
		req, err := http.NewRequest(http.MethodPost, ep.url()+"/reservations", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Idempotency-Key", key)
		resp, err := tr.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
	}
	post(0, "a")
	post(1, "b")
	if n := p.doubled(); n != 0 {
		t.Errorf("%d doubled calls with two different keys, want 0", n)
	}
	post(1, "a")
	if n := p.doubled(); n != 1 {
		t.Errorf("%d doubled calls after one key ran at two services, want 1", n)
	}
	var ledger []servicemodel.Execution
	for _, ep := range p.endpoints {
		if ep.kind == wire.KindService {
			ledger = append(ledger, ep.service.Ledger()...)
		}
	}
	if len(ledger) != 3 || p.heldTokens() != 0 {
		t.Errorf("executions %v, want 3; engines hold %d tokens, want 0", ledger, p.heldTokens())
	}
}
