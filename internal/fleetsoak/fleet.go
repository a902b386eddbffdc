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
	// defaultGrace is the time limit of a gateway from SIGTERM to its exit in Run.
	defaultGrace = 4 * time.Second
	// retriesPerWindow is the number of retries that the fleet may make in each
	// budgetWindow, in addition to standin.RetryRatio of the requests.
	retriesPerWindow = 20
	budgetWindow     = 10 * time.Second
	// startTimeout bounds the time until a started gateway is ready.
	startTimeout = 15 * time.Second
)

// fleet is the deployment under test.
type fleet struct {
	dir          string
	store        *standin.Store
	storeProxies []*proxy // between each gateway and the store
	replicas     []*replica
	gateways     []*gatewayProcess
	version      int // of the configuration
	evacuations  evacuations
}

// replica is a stand-in of an endpoint behind a proxy.
type replica struct {
	*standin.Replica
	proxy    *proxy
	service  string
	zone     int
	draining atomic.Bool // a fault drains it now
}

// gatewayProcess is a gateway: its current process and those started after it.
type gatewayProcess struct {
	name, ip string
	args     []string
	env      []string
	log      *os.File

	restartMu sync.Mutex   // held while a fault stops and restarts the process
	pauses    atomic.Int64 // number of faults that suspend it now

	mu             sync.Mutex
	running        *os.Process
	exited         chan struct{}
	disturbedUntil time.Time // until then a cut-off answer is not a violation
}

// startFleet starts the stand-ins and the gateways and waits until all are ready.
// On an error the fleet returned is to be closed as well.
func startFleet(o Options, dir string) (*fleet, error) {
	f := &fleet{dir: dir, store: standin.NewStore()}
	f.configure()
	for i := range o.Replicas {
		for _, service := range standin.Services {
			if err := f.addReplica(fmt.Sprintf("%s-%d", service, i), service, i%zones); err != nil {
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

// writeAgain writes the configuration and the registrations as the operator and the
// replicas know them.
func (f *fleet) writeAgain() {
	f.store.Configure(f.version)
	for _, r := range f.replicas {
		state := "ready"
		if r.draining.Load() {
			state = "draining"
		}
		f.register(r, state)
	}
	f.evacuations.writeAgain(f.store)
}

// oddWrites is the number of odd registrations that are written with each version.
const oddWrites = 5

// configure publishes the next version of the configuration, which moves a route, beside odd registrations.
func (f *fleet) configure() {
	f.version++
	for i := range oddWrites {
		f.store.RegisterOdd(oddWrites*f.version + i)
	}
	f.store.Configure(f.version)
}

func (f *fleet) addReplica(id, service string, zone int) error {
	r, err := standin.NewReplica(id)
	if err != nil {
		return errors.Wrap(err, "start replica")
	}
	proxy, err := newProxy(r.Addr())
	if err != nil {
		return errors.Wrap(err, "start proxy")
	}
	r.CutAfter, r.CutByReset = 12*len(f.replicas), zone == 0
	r.Status = http.StatusServiceUnavailable
	r.OnFault = f.faultStrikes
	added := &replica{Replica: r, proxy: proxy, service: service, zone: zone}
	f.replicas = append(f.replicas, added)
	f.register(added, "ready")
	return nil
}

// faultStrikes marks all gateways as disturbed at the moment at which a replica injects a fault into a request.
// Other faults may have been queued before it. Its own failure cuts no response.
func (f *fleet) faultStrikes(fault standin.Fault) {
	if fault == standin.FaultError {
		return
	}
	for _, p := range f.gateways {
		p.markDisturbed(0)
	}
}

func (f *fleet) register(r *replica, state string) {
	f.store.RegisterIn(fmt.Sprintf("z%d", r.zone), r.ID, r.service, r.proxy.addr(), state)
}

func (f *fleet) addGateway(o Options, i int) error {
	proxy, err := newProxy(f.store.Addr())
	if err != nil {
		return errors.Wrap(err, "start proxy")
	}
	f.storeProxies = append(f.storeProxies, proxy)
	p := &gatewayProcess{name: fmt.Sprintf("g-%d", i), ip: loopback(i)}
	var seeds []string
	for j := range min(o.Gateways, 3) {
		seeds = append(seeds, loopback(j))
	}
	settings := filepath.Join(f.dir, p.name+".conf")
	text := (&standin.GatewaySettings{
		Name: p.name, IP: p.ip, CallerPort: callerPort, ReadyPort: readyPort, PeerPort: peerPort,
		Seeds: seeds, StoreAddr: proxy.addr(), Grace: o.Grace, MemoryMB: 200, RetryBudget: retriesPerWindow,
	}).Text()
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	if p.log, err = os.Create(filepath.Join(f.dir, p.name+".log")); err != nil {
		return errors.Wrap(err, "create log")
	}
	p.args = append([]string{o.Binary}, "platform-gateway", "--settings", settings)
	// A program built with the race detector sleeps for a second before it exits.
	p.env = append(os.Environ(), "GOMAXPROCS=2", "GORACE=atexit_sleep_ms=0")
	f.gateways = append(f.gateways, p)
	return p.start()
}

// loopback returns the address of the i-th gateway; all use the same ports. The
// second byte depends on the process ID, so that runs of several processes at the
// same time rarely use the same addresses.
func loopback(i int) string { return fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, i/200, i%200+1) }

func (p *gatewayProcess) start() error {
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

// currentExit returns a channel that is closed when the current process has exited.
func (p *gatewayProcess) currentExit() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// signal sends a signal to the current process by its handle, so that no process
// that this run did not start can receive it. An exited process is no error.
func (p *gatewayProcess) signal(s syscall.Signal) error {
	p.mu.Lock()
	proc := p.running
	p.mu.Unlock()
	err := proc.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return errors.Wrap(err, "signal "+p.name)
}

// waitExit waits until the current process exits, and kills it after timeout.
func (p *gatewayProcess) waitExit(timeout time.Duration) (inTime bool, err error) {
	exited := p.currentExit()
	select {
	case <-exited:
		return true, nil
	case <-time.After(timeout):
		err := p.signal(syscall.SIGKILL)
		<-exited
		return false, err
	}
}

// markDisturbed records that for d from now this gateway may cut off answers.
func (p *gatewayProcess) markDisturbed(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until := time.Now().Add(d); until.After(p.disturbedUntil) {
		p.disturbedUntil = until
	}
}

// undisturbedSince reports whether the last disturbance of the gateway ended
// before from.
func (p *gatewayProcess) undisturbedSince(from time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.disturbedUntil.Before(from)
}

func (p *gatewayProcess) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/ready", p.ip, readyPort))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body) // only the status matters
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (p *gatewayProcess) waitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if p.ready() {
			return nil
		}
		if p.stopped() {
			return errors.Errorf("%s has exited before it was ready", p.name)
		}
	}
	return errors.Errorf("%s is not ready within %v", p.name, startTimeout)
}

func (p *gatewayProcess) callerAddr() string { return net.JoinHostPort(p.ip, fmt.Sprint(callerPort)) }

// close stops all processes, stand-ins and proxies of the fleet and returns the
// last error.
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
		r.proxy.close()
		r.Close()
	}
	for _, p := range f.storeProxies {
		p.close()
	}
	f.store.Close()
	return failed
}
