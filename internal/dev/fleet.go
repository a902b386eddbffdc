package dev

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"trefoilpath.org/trefoilpath/internal/agent"
	agentshell "trefoilpath.org/trefoilpath/internal/agent/shell"
	"trefoilpath.org/trefoilpath/internal/entry"
	entryshell "trefoilpath.org/trefoilpath/internal/entry/shell"
	"trefoilpath.org/trefoilpath/internal/settings"
	"trefoilpath.org/trefoilpath/internal/standin"
	"trefoilpath.org/trefoilpath/internal/tlsconfig"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// OperatorKey is the operators' key of a development run.
const OperatorKey = "example-operator-key"

// Times of the processes in a development run.
const (
	balancerLag = 100 * time.Millisecond // entry.Config.BalancerLag; short, because there is no balancer to wait for
	drainWait   = 5 * time.Second        // limit on the time in which a stopping process finishes the requests in flight
)

// fleet holds the entries and agents of a deployment.
type fleet struct {
	entries []*entryProcess
	agents  []*agentshell.Agent
}

// entryProcess is one entry with its listeners.
type entryProcess struct {
	entry     *entryshell.Entry
	listeners entryshell.Listeners
}

// newFleet creates one entry for each failure domain and one agent for each
// endpoint, without starting them, and sets the VM list to them.
func newFleet(cfg Config, p *platform) (*fleet, error) {
	authority, err := tlsconfig.NewAuthority()
	if err != nil {
		return nil, err
	}
	f := &fleet{}
	var vms []standin.VM
	for i, domain := range cfg.Deployment.FailureDomains {
		e, vm, err := newEntry(cfg, p, authority, i, domain)
		if err != nil {
			f.closeListeners()
			return nil, err
		}
		f.entries = append(f.entries, e)
		vms = append(vms, vm)
	}
	for _, ep := range p.endpoints {
		a, vm, err := newAgent(cfg, p, authority, ep)
		if err != nil {
			f.closeListeners()
			return nil, err
		}
		f.agents = append(f.agents, a)
		vms = append(vms, vm)
	}
	p.vms.Set(vms)
	return f, nil
}

// newEntry creates the i-th entry, counted from 0, with its listeners, and returns it
// with its item for the VM list. Only the first listens for callers at Config.Listen.
func newEntry(cfg Config, p *platform, authority *tlsconfig.Authority, i int, domain wire.FailureDomain) (*entryProcess, standin.VM, error) {
	name := fmt.Sprintf("entry-%s-1", domain)
	callers := "127.0.0.1:0"
	if i == 0 {
		callers = cfg.Listen
	}
	l, err := listen(callers)
	if err != nil {
		return nil, standin.VM{}, err
	}
	address := l.Peers.Addr().String()
	source, err := authority.Issue(name, tlsconfig.RoleEntry)
	if err != nil {
		closeAll(l)
		return nil, standin.VM{}, err
	}
	e, err := entryshell.New(entryshell.Config{
		Core: entry.Config{
			Self:          wire.NodeID(name),
			Incarnation:   wire.Incarnation(time.Now().UnixMilli()),
			Address:       address,
			Region:        cfg.Deployment.Region,
			FailureDomain: domain,
			Rand:          rand.New(rand.NewPCG(cfg.Seed, uint64(i))),
			Domains:       cfg.Deployment.FailureDomains,
			BalancerLag:   balancerLag,
		},
		StoreURL:    p.store.URL(),
		VMListURL:   p.vms.URL(),
		TLS:         source,
		Limits:      settings.DefaultEntry().Limits,
		OperatorKey: settings.NewCredential(OperatorKey),
		DrainWait:   drainWait,
		Log:         cfg.Log.With().Str("node", name).Logger(),
	})
	if err != nil {
		closeAll(l)
		return nil, standin.VM{}, err
	}
	vm := standin.VM{Node: name, Address: address, Region: string(cfg.Deployment.Region), FailureDomain: string(domain)}
	return &entryProcess{entry: e, listeners: l}, vm, nil
}

// listen opens the listeners of one entry: for callers at the given address, for
// peers and operators at free ports.
func listen(callers string) (l entryshell.Listeners, err error) {
	for _, s := range []struct {
		socket  *net.Listener
		address string
	}{{&l.Callers, callers}, {&l.Peers, "127.0.0.1:0"}, {&l.Operators, "127.0.0.1:0"}} {
		if *s.socket, err = net.Listen("tcp", s.address); err != nil {
			closeAll(l)
			return l, errors.Wrap(err, "open listener of entry")
		}
	}
	return l, nil
}

func closeAll(l entryshell.Listeners) {
	for _, s := range []net.Listener{l.Callers, l.Peers, l.Operators} {
		if s != nil {
			s.Close()
		}
	}
}

func (f *fleet) closeListeners() {
	for _, e := range f.entries {
		closeAll(e.listeners)
	}
}

// newAgent creates the agent of an endpoint and returns it with its item for the VM
// list.
func newAgent(cfg Config, p *platform, authority *tlsconfig.Authority, ep *endpoint) (*agentshell.Agent, standin.VM, error) {
	source, err := authority.Issue(string(ep.id), tlsconfig.RoleAgent)
	if err != nil {
		return nil, standin.VM{}, err
	}
	core := agent.Config{
		Endpoint:      ep.id,
		FailureDomain: ep.domain,
		Kind:          ep.kind,
		Incarnation:   wire.Incarnation(time.Now().UnixMilli()),
	}
	if ep.kind == wire.KindService {
		core.Service = cfg.Deployment.Service.Name
	} else if !checksFence(cfg.Deployment) {
		core.Fence = agent.FenceIgnored
	}
	a, err := agentshell.New(agentshell.Config{
		Core:        core,
		EndpointURL: ep.url(),
		VMListURL:   p.vms.URL(),
		TLS:         source,
		DrainWait:   drainWait,
		Log:         cfg.Log.With().Str("node", string(ep.id)).Logger(),
	})
	vm := standin.VM{
		Node: string(ep.id), Address: ep.address(), Region: string(cfg.Deployment.Region),
		FailureDomain: string(ep.domain), Endpoint: string(ep.id),
	}
	return a, vm, err
}

// run runs all processes until ctx ends or one fails. Then the entries finish the
// requests in flight, and after them the agents shut down.
func (f *fleet) run(ctx context.Context) error {
	agentCtx := context.WithoutCancel(ctx)
	entryCtx, fail := context.WithCancel(ctx)
	defer fail()
	var agentGroup errgroup.Group
	for _, a := range f.agents {
		agentGroup.Go(func() error {
			err := a.Run(agentCtx)
			if err != nil {
				fail()
			}
			return err
		})
	}
	var entryGroup errgroup.Group
	for _, e := range f.entries {
		entryGroup.Go(func() error {
			err := e.entry.Serve(entryCtx, e.listeners)
			if err != nil {
				fail()
			}
			return err
		})
	}
	err := entryGroup.Wait()
	for _, a := range f.agents {
		a.Leave()
	}
	if agentErr := agentGroup.Wait(); err == nil {
		err = agentErr
	}
	return err
}

// awaitReady waits until every entry is ready and has the given number of endpoints
// up. It returns an error after readyTimeout, or if running or ctx ends before.
func (f *fleet) awaitReady(ctx, running context.Context, endpoints int) error {
	deadline := time.Now().Add(readyTimeout)
	for _, e := range f.entries {
		for !e.ready(running, endpoints) {
			if time.Now().After(deadline) {
				_, reason := e.entry.Ready()
				return errors.Errorf("entry %s is not ready (reason %q), or not all %d endpoints are up, after %v",
					e.listeners.Peers.Addr(), reason, endpoints, readyTimeout)
			}
			select {
			case <-ctx.Done():
				return errors.Wrap(ctx.Err(), "wait until the deployment is ready")
			case <-running.Done():
				return errors.New("a process stopped before the deployment was ready")
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

// ready reports whether the entry is ready and has that many endpoints up.
func (e *entryProcess) ready(ctx context.Context, endpoints int) bool {
	if ok, _ := e.entry.Ready(); !ok {
		return false
	}
	d, err := e.entry.Dump(ctx)
	if err != nil {
		return false
	}
	up := 0
	for _, ep := range d.Endpoints {
		if ep.Up {
			up++
		}
	}
	return up == endpoints
}

func (f *fleet) callerURLs() []string {
	urls := make([]string, 0, len(f.entries))
	for _, e := range f.entries {
		urls = append(urls, "http://"+e.listeners.Callers.Addr().String())
	}
	return urls
}

func (f *fleet) operatorURLs() []string {
	urls := make([]string, 0, len(f.entries))
	for _, e := range f.entries {
		urls = append(urls, "http://"+e.listeners.Operators.Addr().String())
	}
	return urls
}
