package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// gateway is a process of the project's gateway, with the command of the deploy file.
type gateway struct {
	name, ip string
	front    int
	ready    int
	cmd      *exec.Cmd
}

// ports are the ports that the gateways use, each at an address of its own.
type ports struct{ front, ready, control, peer, metrics int }

// freePorts returns ports that are free at the moment.
func freePorts() (ports, error) {
	var found [5]int
	for i := range found {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return ports{}, err
		}
		defer l.Close()
		found[i] = l.Addr().(*net.TCPAddr).Port
	}
	return ports{found[0], found[1], found[2], found[3], found[4]}, nil
}

// settingsText follows the example of DEPLOY.md, with the figures of the sheet of Atitlán.
func settingsText(name, ip string, p ports, seeds []string, storeAddr string) string {
	return strings.Join([]string{
		"node=" + name, "role=gateway", "machineClass=front", "serves=front,control", "ip=" + ip,
		"zone=z1", "region=r1", "zones.z1=r1",
		fmt.Sprintf("bind.front=%s:%d", ip, p.front), fmt.Sprintf("bind.ready=%s:%d", ip, p.ready), fmt.Sprintf("bind.control=%s:%d", ip, p.control),
		fmt.Sprintf("portRange=%d,%d", p.peer, p.peer+1), "seeds=" + strings.Join(seeds, ","),
		"bootstrap=true", "countsAsLoss=false", "limits.cpuShare=0.304", "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4100",
		"limits.linkMbps=1000.0", "limits.diskMb=0", "discovery=platform", "entry=vip", "heartbeatMs=1200",
		"policies=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,spans",
		"bounds.seedLagS=3", "bounds.reuseS=2", "bounds.stableMs=3000", "bounds.ackMs=4000", "bounds.syncS=4", "bounds.drainMs=2000",
		"bounds.graceS=8", "bounds.lossSlackMs=200", "bounds.configApplyMs=2000", "bounds.downgradeMs=250", "bounds.maxSkewMs=5000",
		"bounds.strictRevoke=false", "bounds.revokeMs=5000", "bounds.retryBudgetRatio=0.2", "bounds.budgetWindowS=10", "bounds.budgetSlack=104",
		"bounds.recoveryS=12", "bounds.maxDelayMs=120", "bounds.retryAfterS=0", "bounds.stall_ms=1500", "bounds.holdMaxMs=20000",
		"bounds.freeMs=4000", "bounds.idleMaxMs=9000",
		"platform.addr=" + storeAddr, "platform.form=kv", "platform.writesPerS=400", "platform.readsPerS=2000", "platform.historyS=20",
		"platform.valueBytes=1048576", "platform.ttlMinMs=1000", "",
	}, "\n")
}

// startGateway starts a gateway from the root of the repository.
func startGateway(root, dir, name, ip string, p ports, seeds []string, storeAddr string, extra ...string) (*gateway, error) {
	path := filepath.Join(dir, name+".conf")
	if err := os.WriteFile(path, []byte(settingsText(name, ip, p, seeds, storeAddr)+strings.Join(append(extra, ""), "\n")), 0o600); err != nil {
		return nil, err
	}
	out, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("target/trefoilpath", "platform-gateway", "--metrics-port", fmt.Sprint(p.metrics))
	cmd.Dir, cmd.Stdout, cmd.Stderr = root, out, out
	cmd.Env = []string{"TREFOILPATH_SETTINGS=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + dir}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	return &gateway{name: name, ip: ip, front: p.front, ready: p.ready, cmd: cmd}, nil
}

func (g *gateway) frontAddr() string { return fmt.Sprintf("%s:%d", g.ip, g.front) }

// isReady asks as the platform does.
func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/ready", g.ip, g.ready))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (g *gateway) waitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if g.isReady() {
			return true
		}
	}
	return false
}

// kill sends SIGKILL to the process and waits for its end.
func (g *gateway) kill() {
	_ = g.cmd.Process.Kill() // fails only if it has ended
	_ = g.cmd.Wait()         // reports the signal
}
