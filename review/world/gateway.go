package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// gateway is a process of the project on a machine of its own, which is a loopback address.
type gateway struct {
	name, ip, zone string
	proxy          *proxy // between it and the store
	settings       string
	binary         string
	log            *os.File

	mu        sync.Mutex
	proc      *os.Process
	exited    chan struct{}
	inService atomic.Bool // in the rotation of the platform
}

const (
	frontPort   = 8227
	readyPort   = 8220
	controlPort = 8229
	peerPort    = 7340
	metricsPort = 9100
)

// settingsText returns the settings of a small deployment with the fields of the pages.
func (w *world) settingsText(g *gateway, seeds []string) string {
	var b strings.Builder
	add := func(format string, a ...any) { fmt.Fprintf(&b, format+"\n", a...) }
	add("node=%s\nrole=gateway\nmachineClass=front\nserves=front,control\nip=%s\nzone=%s\nregion=guate-central", g.name, g.ip, g.zone)
	for _, z := range zones {
		add("zones.%s=guate-central", z)
	}
	add("bind.front=%s:%d\nbind.ready=%s:%d\nbind.control=%s:%d\nportRange=%d,%d", g.ip, frontPort, g.ip, readyPort, g.ip, controlPort, peerPort, peerPort+15)
	add("seeds=%s\nbootstrap=true\ncountsAsLoss=false", strings.Join(seeds, ","))
	add("limits.cpuShare=0.304\nlimits.cores=1\nlimits.memoryMb=284\nlimits.maxFds=4100\nlimits.linkMbps=1000.0\nlimits.diskMb=0")
	add("discovery=platform\nentry=vip\nheartbeatMs=1200\npolicies=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,spans")
	add("faultTolerance.machines=%d\nfaultTolerance.zones=0\nfaultTolerance.regions=0", min(len(w.gateways)-1, 2))
	for _, s := range []string{"seedLagS=3", "reuseS=2", "stableMs=3000", "ackMs=4000", "syncS=4", "drainMs=2000", "graceS=8", "lossSlackMs=200",
		"configApplyMs=2000", "downgradeMs=250", "maxSkewMs=5000", "strictRevoke=false", "revokeMs=5000", "retryBudgetRatio=0.2", "budgetWindowS=10",
		"budgetSlack=104", "recoveryS=12", "maxDelayMs=120", "retryAfterS=0", "stall_ms=1500", "holdMaxMs=20000", "freeMs=4000", "idleMaxMs=9000"} {
		add("bounds.%s", s)
	}
	add("platform.addr=%s\nplatform.form=kv\nplatform.writesPerS=400\nplatform.readsPerS=2000\nplatform.historyS=20\nplatform.valueBytes=1048576\nplatform.ttlMinMs=1000", g.proxy.addr())
	return b.String()
}

// start starts the process with the command of the deploy file.
func (g *gateway) start() error {
	args := []string{g.binary, "platform-gateway", "--metrics-port", fmt.Sprint(metricsPort)}
	proc, err := os.StartProcess(g.binary, args, &os.ProcAttr{
		Env: []string{"TREFOILPATH_SETTINGS=" + g.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, Files: []*os.File{nil, g.log, g.log},
	})
	if err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() { proc.Wait(); close(exited) }()
	g.mu.Lock()
	g.proc, g.exited = proc, exited
	g.mu.Unlock()
	return nil
}

func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.proc != nil {
		_ = g.proc.Signal(s)
	}
}

func (g *gateway) hasExited() bool {
	g.mu.Lock()
	e := g.exited
	g.mu.Unlock()
	select {
	case <-e:
		return true
	default:
		return false
	}
}

func (g *gateway) wait(d time.Duration) bool {
	g.mu.Lock()
	e := g.exited
	g.mu.Unlock()
	select {
	case <-e:
		return true
	case <-time.After(d):
		return false
	}
}

func (g *gateway) front() string { return net.JoinHostPort(g.ip, fmt.Sprint(frontPort)) }

func (g *gateway) askReady() bool {
	c := http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/ready", g.ip, readyPort))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}

// pollReady keeps the gateway in the rotation, or takes it out after two misses, as the platform
// does.
func (g *gateway) pollReady(stop <-chan struct{}) {
	misses := 0
	for {
		if g.askReady() {
			misses = 0
			g.inService.Store(true)
		} else if misses++; misses >= 2 {
			g.inService.Store(false)
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// loopback returns the address of the i-th machine in a part of the loopback range.
func loopback(network, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", network, 1+i%len(zones), 40+i)
}

// freeNetwork returns a part of the loopback range in which no address of n machines is in use.
func freeNetwork(n int) (int, error) {
	for range 50 {
		network := 10 + rand.IntN(240)
		free := true
		for i := range n {
			for _, port := range []int{frontPort, readyPort, controlPort, metricsPort} {
				l, err := net.Listen("tcp4", net.JoinHostPort(loopback(network, i), fmt.Sprint(port)))
				if err != nil {
					free = false
					continue
				}
				l.Close()
			}
		}
		if free {
			return network, nil
		}
	}
	return 0, errors.New("no free loopback addresses")
}

// startGateways starts n gateways and waits until all are ready.
func (w *world) startGateways(n int) error {
	var seeds []string
	network, err := freeNetwork(n)
	if err != nil {
		return err
	}
	for i := range n {
		g := &gateway{name: fmt.Sprintf("front-%d", i+1), ip: loopback(network, i), zone: zones[i%len(zones)], binary: w.binary}
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", g.ip, controlPort))
		}
		w.gateways = append(w.gateways, g)
	}
	for _, g := range w.gateways {
		var err error
		if g.proxy, err = newProxy(w.store.addr()); err != nil {
			return err
		}
		g.settings = filepath.Join(w.dir, g.name+".conf")
		if err := os.WriteFile(g.settings, []byte(w.settingsText(g, seeds)), 0o600); err != nil {
			return err
		}
		if g.log, err = os.Create(filepath.Join(w.dir, g.name+".log")); err != nil {
			return err
		}
		if err := g.start(); err != nil {
			return err
		}
	}
	for _, g := range w.gateways {
		for end := time.Now().Add(15 * time.Second); !g.askReady(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) || g.hasExited() {
				return fmt.Errorf("%s is not ready", g.name)
			}
		}
		g.inService.Store(true)
		go g.pollReady(w.stop)
	}
	return nil
}

func (w *world) stopGateways() {
	for _, g := range w.gateways {
		g.signal(syscall.SIGCONT)
		g.signal(syscall.SIGKILL)
		if g.proc != nil {
			g.wait(5 * time.Second)
		}
	}
}
