package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// The ports of all gateways; each has an address of its own.
const (
	frontPort   = 18227
	readyPort   = 18220
	controlPort = 18229
	peerPort    = 17340
)

// gateway is a process of the deploy file's role.
type gateway struct {
	name, ip, zone string
	dir            string
	settings       string // path of the settings file

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// writeSettings writes the settings file. extra are further lines.
func (g *gateway) writeSettings(storeAddr string, seeds []string, extra ...string) error {
	lines := append([]string{
		"node=" + g.name, "role=gateway", "machineClass=front", "serves=front,control", "ip=" + g.ip, "zone=" + g.zone, "region=r",
		"zones.zone-a=r", "zones.zone-b=r", "zones.zone-c=r",
		fmt.Sprintf("bind.front=%s:%d", g.ip, frontPort), fmt.Sprintf("bind.ready=%s:%d", g.ip, readyPort),
		fmt.Sprintf("bind.control=%s:%d", g.ip, controlPort), fmt.Sprintf("portRange=%d,%d", peerPort, peerPort+15),
		"seeds=" + strings.Join(seeds, ","), "bootstrap=true", "countsAsLoss=false",
		"limits.cpuShare=0.304", "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4100", "limits.linkMbps=1000.0", "limits.diskMb=0",
		"discovery=platform", "entry=vip", "heartbeatMs=1200",
		"bounds.seedLagS=3", "bounds.reuseS=2", "bounds.stableMs=3000", "bounds.ackMs=4000", "bounds.syncS=4", "bounds.drainMs=2000",
		"bounds.graceS=8", "bounds.lossSlackMs=200", "bounds.configApplyMs=2000", "bounds.downgradeMs=250", "bounds.maxSkewMs=5000",
		"bounds.strictRevoke=false", "bounds.revokeMs=5000", "bounds.retryBudgetRatio=0.2", "bounds.budgetWindowS=10",
		"bounds.budgetSlack=104", "bounds.recoveryS=12",
		"platform.addr=" + storeAddr, "platform.form=kv", "platform.writesPerS=400", "platform.readsPerS=2000", "platform.historyS=20",
		"platform.valueBytes=1048576", "platform.ttlMinMs=1000",
	}, extra...)
	g.settings = filepath.Join(g.dir, g.name+".conf")
	temporary := g.settings + ".new"
	if err := os.WriteFile(temporary, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
		return err
	}
	return os.Rename(temporary, g.settings)
}

// start starts the process with the command of the deploy file.
func (g *gateway) start(root string) error {
	log, err := os.OpenFile(filepath.Join(g.dir, g.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(root, "target/trefoilpath"), "platform-gateway", "--metrics-port", "9100")
	cmd.Dir, cmd.Stdout, cmd.Stderr = root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + g.dir, "TREFOILPATH_SETTINGS=" + g.settings}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		log.Close()
		close(exited)
	}()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.process, g.exited = cmd, exited
	return nil
}

// signal sends a signal to the process.
func (g *gateway) signal(s os.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process != nil {
		_ = g.process.Process.Signal(s) // it may have ended
	}
}

// kill ends the process and waits for its end.
func (g *gateway) kill() {
	g.signal(os.Kill)
	g.mu.Lock()
	exited := g.exited
	g.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// running reports whether the process has not ended.
func (g *gateway) running() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.exited == nil {
		return false
	}
	select {
	case <-g.exited:
		return false
	default:
		return true
	}
}

var readyClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// ready asks the process whether it takes clients, as the platform does.
func (g *gateway) ready() bool {
	resp, err := readyClient.Get(fmt.Sprintf("http://%s:%d/ready", g.ip, readyPort))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
