package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"trefoilpath.org/trefoilpath/internal/operator"
	"trefoilpath.org/trefoilpath/internal/settings"
	"trefoilpath.org/trefoilpath/internal/standin"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	// fleetEntries is the number of entries that a script can start.
	fleetEntries = 3
	// fleetWait is how long a script waits for a revision.
	fleetWait = 20 * time.Second
)

// prepareFleet writes settings for fleetEntries entries of one failure domain to
// e1.json, e2.json and so on, sets E1, E2 and so on to the URLs of their operators'
// interfaces, and puts them on the VM list.
func prepareFleet(env *testscript.Env, p *platform) error {
	vms, err := standin.NewVMList(0)
	if err != nil {
		return err
	}
	env.Defer(func() { _ = vms.Close() })
	var list []standin.VM
	for i := 1; i <= fleetEntries; i++ {
		s, err := fleetSettings(fmt.Sprint("entry-", i), p.store.URL(), vms.URL())
		if err != nil {
			return err
		}
		if err := writeSettings(filepath.Join(env.WorkDir, fmt.Sprintf("e%d.json", i)), s); err != nil {
			return err
		}
		env.Setenv(fmt.Sprint("E", i), "http://"+s.ListenOperators)
		list = append(list, standin.VM{
			Node: string(s.Node), Address: s.ListenPeers, Region: string(s.Region), FailureDomain: string(s.FailureDomain),
		})
	}
	vms.Set(list)
	return nil
}

// fleetSettings returns the settings of one entry with free ports on loopback.
func fleetSettings(name, storeURL, vmListURL string) (settings.Entry, error) {
	s := settings.DefaultEntry()
	s.Node, s.Region, s.FailureDomain = wire.NodeID(name), "r", "d"
	s.StoreURL, s.VMListURL = storeURL, vmListURL
	s.BalancerLagMS, s.DrainWaitMS = 0, 1_000
	for _, address := range []*string{&s.ListenCallers, &s.ListenOperators, &s.ListenPeers} {
		var err error
		if *address, err = freeAddress(); err != nil {
			return s, err
		}
	}
	return s, nil
}

// usedAddresses are the addresses that freeAddress has returned. Nothing listens on them until a process
// starts, so that they look free.
var usedAddresses sync.Map

// freeAddress returns an address on loopback whose port is free, and that it has not returned before. The
// port is below the ephemeral ones, so that no other listener is assigned it before the process opens it.
func freeAddress() (string, error) {
	var failed error
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", 10_000+rand.IntN(20_000))
		l, err := net.Listen("tcp", address)
		if err != nil {
			failed = err
			continue
		}
		if err := l.Close(); err != nil {
			return "", err
		}
		if _, used := usedAddresses.LoadOrStore(address, true); !used {
			return address, nil
		}
	}
	return "", fmt.Errorf("no free port was found: %w", failed)
}

// TestProcessesOfAScriptGetAddressesOfTheirOwn guards against two processes that are given the same port,
// of which the second one can't start.
func TestProcessesOfAScriptGetAddressesOfTheirOwn(t *testing.T) {
	seen := make(map[string]bool)
	for range 300 {
		s, err := fleetSettings("entry", "", "")
		if err != nil {
			t.Fatal(err)
		}
		for _, address := range []string{s.ListenCallers, s.ListenOperators, s.ListenPeers} {
			if seen[address] {
				t.Fatalf("%s was returned twice", address)
			}
			seen[address] = true
		}
	}
}

// writeSettings writes the settings and the hash of the operators' key, which
// json.Marshal of the settings does not show.
func writeSettings(path string, s settings.Entry) error {
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	var fields map[string]any
	if err := json.Unmarshal(text, &fields); err != nil {
		return err
	}
	fields["operator_key_sha256"] = hexHash("operator")
	if text, err = json.Marshal(fields); err != nil {
		return err
	}
	return os.WriteFile(path, text, listFileMode)
}

// setStoreDown implements store-down: with argument true the store refuses all calls,
// with false it serves again.
func setStoreDown(ts *testscript.TestScript, _ bool, args []string) {
	down, err := strconv.ParseBool(args[0])
	ts.Check(err)
	platformOf(ts).store.SetDown(down)
}

// waitInForce implements in-force: it waits until the revision in the first argument
// is active at the entries in the others.
func waitInForce(ts *testscript.TestScript, _ bool, args []string) {
	revision, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	var clients []*operator.Client
	for _, url := range args[1:] {
		clients = append(clients, operator.NewClient(url, "operator", http.DefaultClient))
	}
	ctx, cancel := context.WithTimeout(context.Background(), fleetWait)
	defer cancel()
	if lagging := operator.Wait(ctx, clients, revision); len(lagging) > 0 {
		ts.Fatalf("revision %d is not active after %v at: %v", revision, fleetWait, lagging)
	}
}
