package fleetsoak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/platform/standin"
)

const (
	callerPort = 18080
	readyPort  = 18081
	peerPort   = 18082
	// grace is what a gateway has from SIGTERM to its end.
	grace = 4 * time.Second
	// retrySlack is what the fleet may repeat in a window beside a ratio of the
	// requests, and budgetWindow that window.
	retrySlack   = 20
	budgetWindow = 10 * time.Second
	// startTimeout bounds the time until a started gateway is ready.
	startTimeout = 15 * time.Second
)

// fleet is the deployment under test.
type fleet struct {
	dir      string
	store    *standin.Store
	storeVia []*proxy // of each gateway
	replicas []*replica
	gateways []*process
	version  int
}

// replica is a stand-in behind a proxy.
type replica struct {
	*standin.Replica
	via     *proxy
	service string
}

// process is a gateway process and its successors.
type process struct {
	name, ip string
	args     []string
	env      []string
	log      *os.File

	life   sync.Mutex   // held while a fault ends and restarts the process
	pauses atomic.Int64 // faults that hold it stopped

	mu      sync.Mutex
	running *os.Process
	exited  chan struct{}
	disturb time.Time // until then a cut answer is no finding
}

// startFleet starts the stand-ins and the gateways and waits until all are ready.
func startFleet(o Options, dir string) (*fleet, error) {
	f := &fleet{dir: dir, store: standin.NewStore()}
	f.configure()
	for i := range o.Replicas {
		for _, service := range standin.Services {
			if err := f.addReplica(fmt.Sprintf("%s-%d", service, i), service); err != nil {
				return f, err
			}
		}
	}
	for i := range o.Gateways {
		if err := f.addGateway(o, i); err != nil {
			return f, err
		}
	}
	for _, p := range f.gateways {
		if err := p.waitReady(); err != nil {
			return f, err
		}
	}
	return f, nil
}

// configure publishes the next version, which moves one route.
func (f *fleet) configure() {
	f.version++
	f.store.Configure(f.version)
}

func (f *fleet) addReplica(id, service string) error {
	r, err := standin.NewReplica(id)
	if err != nil {
		return errors.Wrap(err, "start replica")
	}
	via, err := newProxy(r.Addr())
	if err != nil {
		return errors.Wrap(err, "start proxy")
	}
	added := &replica{Replica: r, via: via, service: service}
	f.replicas = append(f.replicas, added)
	f.register(added, "ready")
	return nil
}

func (f *fleet) register(r *replica, state string) {
	f.store.Register(r.ID, r.service, r.via.addr(), state)
}

func (f *fleet) addGateway(o Options, i int) error {
	via, err := newProxy(f.store.Addr())
	if err != nil {
		return errors.Wrap(err, "start proxy")
	}
	f.storeVia = append(f.storeVia, via)
	p := &process{name: fmt.Sprintf("g-%d", i), ip: loopback(i)}
	var seeds []string
	for j := range min(o.Gateways, 3) {
		seeds = append(seeds, loopback(j))
	}
	settings := filepath.Join(f.dir, p.name+".conf")
	text := (&standin.GatewaySettings{
		Name: p.name, IP: p.ip, CallerPort: callerPort, ReadyPort: readyPort, PeerPort: peerPort,
		Seeds: seeds, StoreAddr: via.addr(), Grace: grace, MemoryMB: 200, RetryBudget: retrySlack,
	}).Text()
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	if p.log, err = os.Create(filepath.Join(f.dir, p.name+".log")); err != nil {
		return errors.Wrap(err, "create log")
	}
	p.args = append([]string{o.Binary}, "platform-gateway", "--settings", settings)
	p.env = append(os.Environ(), "GOMAXPROCS=2")
	f.gateways = append(f.gateways, p)
	return p.start()
}

// loopback returns the address of the i-th gateway; all use the same ports. Runs
// of several processes at the same time have networks of their own.
func loopback(i int) string { return fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, i/200, i%200+1) }

func (p *process) start() error {
	proc, err := os.StartProcess(p.args[0], p.args, &os.ProcAttr{Env: p.env, Files: []*os.File{nil, p.log, p.log}})
	if err != nil {
		return errors.Wrap(err, "start "+p.name)
	}
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		if _, err := proc.Wait(); err != nil {
			fmt.Fprintf(p.log, "event=wait-failed error=%q\n", err)
		}
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running, p.exited = proc, exited
	return nil
}

// signal sends a signal to the process that runs now. It has been started here,
// and is signalled by its handle, so that no other process can be hit.
func (p *process) signal(s syscall.Signal) error {
	p.mu.Lock()
	proc := p.running
	p.mu.Unlock()
	err := proc.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return errors.Wrap(err, "signal "+p.name)
}

// waitExit waits for the end of the process that runs now, and kills it after a
// time-out.
func (p *process) waitExit(timeout time.Duration) (inTime bool, err error) {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
		return true, nil
	case <-time.After(timeout):
		err := p.signal(syscall.SIGKILL)
		<-exited
		return false, err
	}
}

// disturbed marks a time in which answers of this gateway may be cut.
func (p *process) disturbed(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until := time.Now().Add(d); until.After(p.disturb) {
		p.disturb = until
	}
}

// calm reports whether nothing has disturbed the gateway since from.
func (p *process) calm(from time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.disturb.Before(from)
}

func (p *process) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/ready", p.ip, readyPort))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body) // the status tells all
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (p *process) waitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if p.ready() {
			return nil
		}
	}
	return errors.Errorf("%s is not ready within %v", p.name, startTimeout)
}

func (p *process) callers() string { return net.JoinHostPort(p.ip, fmt.Sprint(callerPort)) }

// close ends everything that the fleet started.
func (f *fleet) close() error {
	var failed error
	for _, p := range f.gateways {
		if p.running == nil {
			continue
		}
		if err := p.signal(syscall.SIGKILL); err != nil {
			failed = err
		}
		if _, err := p.waitExit(5 * time.Second); err != nil {
			failed = err
		}
		_ = p.log.Close() // all has been written
	}
	for _, r := range f.replicas {
		r.via.close()
		r.Close()
	}
	for _, p := range f.storeVia {
		p.close()
	}
	f.store.Close()
	return failed
}
