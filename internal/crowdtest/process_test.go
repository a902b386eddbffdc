package crowdtest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// patience bounds every wait of the tests. It ends tests that hang; no test passes by it.
	patience = 30 * time.Second
	// sampleInterval is the time between two counts of a process's descriptors.
	sampleInterval = 5 * time.Millisecond
)

// process is a process under test.
type process struct {
	t       *testing.T
	args    []string
	cmd     *exec.Cmd
	log     string // path
	exited  chan struct{}
	maxFds  atomic.Int64 // most descriptors seen open
	sampler sync.WaitGroup
}

// startProcess starts the program. It is killed at the end of the test.
func startProcess(t *testing.T, args ...string) *process {
	t.Helper()
	p := &process{t: t, args: args, cmd: exec.Command(binary, args...), log: filepath.Join(t.TempDir(), "log"), exited: make(chan struct{})}
	out, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait() // its state is read from cmd.ProcessState
		out.Close()
		close(p.exited)
	}()
	p.sampler.Go(p.sampleDescriptors)
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // fails only if it has ended
		<-p.exited
		p.sampler.Wait()
		if t.Failed() {
			t.Logf("end of the log:\n%s", p.logTail())
		}
	})
	return p
}

// restart kills the process and returns another one with the same arguments.
func (p *process) restart() *process {
	p.t.Helper()
	if err := p.cmd.Process.Kill(); err != nil {
		p.t.Fatalf("kill the process: %v", err)
	}
	<-p.exited
	return startProcess(p.t, p.args...)
}

func (p *process) sampleDescriptors() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.exited:
			return
		case <-ticker.C:
			p.maxFds.Store(max(p.maxFds.Load(), int64(p.descriptors())))
		}
	}
}

// descriptors returns the number of open descriptors, 0 after the end of the process.
func (p *process) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// peakMemory returns the largest resident size so far in bytes.
func (p *process) peakMemory() int64 {
	p.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatalf("the process has ended: %v", err)
	}
	for line := range strings.Lines(string(status)) {
		if f := strings.Fields(line); len(f) == 3 && f[0] == "VmHWM:" {
			kb, err := strconv.ParseInt(f[1], 10, 64)
			if err != nil {
				p.t.Fatal(err)
			}
			return kb << 10
		}
	}
	p.t.Fatal("the process has ended: no VmHWM")
	return 0
}

// checkBounds fails the test if the process has ended, or if it has used more than its memory or
// descriptors.
func (p *process) checkBounds(memoryMB, descriptors int) {
	p.t.Helper()
	select {
	case <-p.exited:
		p.t.Fatalf("the process has ended: %v", p.cmd.ProcessState)
	default:
	}
	peak, open := p.peakMemory(), p.maxFds.Load()
	p.t.Logf("peak memory %d MB of %d, descriptors %d of %d", peak>>20, memoryMB, open, descriptors)
	if peak > int64(memoryMB)<<20 {
		p.t.Errorf("peak memory %d MB, limit %d MB", peak>>20, memoryMB)
	}
	if open > int64(descriptors) {
		p.t.Errorf("%d descriptors were open, limit %d", open, descriptors)
	}
}

func (p *process) logTail() string {
	text, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(text[max(len(text)-4000, 0):])
}

// eventually waits for a condition.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("not within %v: %s", patience, what)
}

func (p *process) wholeLog() string {
	text, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(text)
}
