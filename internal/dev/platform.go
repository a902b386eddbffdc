package dev

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/examples"
	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/httpconn"
	"trefoilpath.org/trefoilpath/internal/standin"
	"trefoilpath.org/trefoilpath/internal/standin/enginemodel"
	"trefoilpath.org/trefoilpath/internal/store"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Times of the stand-ins.
const (
	vmListLag      = time.Second           // until the VM list shows a change
	engineLoadTime = 2 * time.Second       // of a model
	freePoll       = 50 * time.Millisecond // between checks of the engines' memory
)

// endpoint is the stand-in of one engine or plain service, for which the fleet runs
// an agent.
type endpoint struct {
	id      wire.EndpointID
	domain  wire.FailureDomain
	kind    wire.Kind
	engine  *standin.Engine  // for wire.KindEngine
	service *standin.Service // for wire.KindService
}

func (e *endpoint) url() string {
	if e.kind == wire.KindService {
		return e.service.URL()
	}
	return e.engine.URL()
}

func (e *endpoint) address() string {
	if e.kind == wire.KindService {
		return e.service.Address()
	}
	return e.engine.Address()
}

// platform holds the stand-ins for everything outside entries and agents.
type platform struct {
	store     *standin.Store
	vms       *standin.VMList
	endpoints []*endpoint    // engines, then services
	closers   []func() error // in the order of start
}

// startPlatform starts the stand-ins of a deployment.
func startPlatform(d examples.Deployment) (*platform, error) {
	p := &platform{}
	if err := p.start(d); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

func (p *platform) start(d examples.Deployment) error {
	var err error
	if p.store, err = standin.NewStore(); err != nil {
		return err
	}
	p.closers = append(p.closers, p.store.Close)
	if p.vms, err = standin.NewVMList(vmListLag); err != nil {
		return err
	}
	p.closers = append(p.closers, p.vms.Close)
	if err := p.startEngines(d); err != nil {
		return err
	}
	return p.startServices(d)
}

// startEngines starts engines that have the deployment's model loaded from the start.
func (p *platform) startEngines(d examples.Deployment) error {
	have, err := assignmentOf(d)
	if err != nil {
		return err
	}
	exchange := enginemodel.NewExchange()
	for i := range d.Model.Count {
		ep := newEndpoint(d, d.Model.Name, i, wire.KindEngine)
		ep.engine, err = standin.NewEngine(enginemodel.Config{
			Name:       string(ep.id),
			Seed:       uint64(i),
			Have:       have,
			Exchange:   exchange,
			LoadTime:   engineLoadTime,
			CheckFence: checksFence(d),
		})
		if err != nil {
			return err
		}
		p.closers = append(p.closers, ep.engine.Close)
		p.endpoints = append(p.endpoints, ep)
	}
	return nil
}

func (p *platform) startServices(d examples.Deployment) error {
	for i := range d.Service.Count {
		ep := newEndpoint(d, d.Service.Name, i, wire.KindService)
		var err error
		if ep.service, err = standin.NewService(); err != nil {
			return err
		}
		p.closers = append(p.closers, ep.service.Close)
		p.endpoints = append(p.endpoints, ep)
	}
	return nil
}

func newEndpoint(d examples.Deployment, name string, i int, kind wire.Kind) *endpoint {
	return &endpoint{
		id:     wire.EndpointID(fmt.Sprintf("%s-%02d", name, i+1)),
		domain: d.FailureDomains[i%len(d.FailureDomains)],
		kind:   kind,
	}
}

// checksFence reports whether the deployment's engines reject orders with an old
// fencing token. Only one of the two examples does, so that both kinds are run.
func checksFence(d examples.Deployment) bool { return d.Name == "atitlan" }

// assignmentOf returns the deployment's model with the version and adapters that its
// lists declare.
func assignmentOf(d examples.Deployment) (wire.Assignment, error) {
	lists, err := d.Lists()
	if err != nil {
		return wire.Assignment{}, err
	}
	for _, m := range lists.Entitlements.Models {
		if m.Name == d.Model.Name {
			return wire.Assignment{Model: m.Name, Version: m.Version, Adapters: m.Adapters, Role: wire.RoleServe}, nil
		}
	}
	return wire.Assignment{}, errors.Errorf("the example lists of %s have no model %q", d.Name, d.Model.Name)
}

// acceptLists writes the deployment's lists to the store and returns their revision.
func (p *platform) acceptLists(ctx context.Context, d examples.Deployment) (uint64, error) {
	lists, err := d.Lists()
	if err != nil {
		return 0, err
	}
	hc := &http.Client{Transport: httpconn.NewStrict(&http.Transport{})}
	defer hc.CloseIdleConnections()
	receipt, err := declaration.Accept(ctx, store.NewHTTPClient(p.store.URL(), hc), declaration.Update{
		Lists:  lists,
		Author: "dev",
		Nonce:  rand.Uint64() | 1, // Accept rejects 0
	})
	if err != nil {
		return 0, err
	}
	return receipt.Revision, nil
}

// doubled returns the number of idempotency keys whose call ran more than once, over
// all services.
func (p *platform) doubled() int {
	n := 0
	executed := make(map[string]int)
	for _, ep := range p.endpoints {
		if ep.kind != wire.KindService {
			continue
		}
		for _, e := range ep.service.Ledger() {
			if e.IdempotencyKey == "" {
				continue
			}
			executed[e.IdempotencyKey]++
			if executed[e.IdempotencyKey] == 2 {
				n++
			}
		}
	}
	return n
}

// heldTokens returns the KV cache tokens that all engines hold.
func (p *platform) heldTokens() int64 {
	total := int64(0)
	for _, ep := range p.endpoints {
		if ep.kind == wire.KindEngine {
			total += ep.engine.Ledger().HeldTokens
		}
	}
	return total
}

// awaitFree waits until no engine holds KV cache tokens, at most for limit.
func (p *platform) awaitFree(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(freePoll)
	defer ticker.Stop()
	for p.heldTokens() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// close stops the stand-ins in the reverse order of their start.
func (p *platform) close() {
	for i := len(p.closers) - 1; i >= 0; i-- {
		p.closers[i]()
	}
}
