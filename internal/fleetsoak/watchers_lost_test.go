package fleetsoak

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/platform"
	"trefoilpath.org/trefoilpath/platform/standin"
)

// applyBound is the time within which an acknowledged configuration is in force at all gateways
// of a fleet of largeFleet. firstListings is how long after their start gateways list the store once
// more, as long as they know few others.
const (
	applyBound        = 3 * time.Second
	largeFleet        = 31
	survivingGateways = 3
	firstListings     = 3 * time.Second
)

// TestChangeReachesGatewaysWhoseWatchingOnesAreLost guards against a change that is not in force in
// time because all gateways that watch the store are lost just before it.
func TestChangeReachesGatewaysWhoseWatchingOnesAreLost(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for some seconds")
	}
	o := soakOptions(t, 1)
	o.Gateways, o.Replicas, o.Grace = largeFleet, 2, defaultGrace
	f, err := startFleet(o, o.Dir)
	defer func() {
		if err := f.close(); err != nil {
			t.Error(err)
		}
	}()
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(firstListings)
	f.configure() // ends the watches that began before the gateways knew each other
	watching, others := watchingGateways(t, f)
	s := &run{opts: o, fleet: f, start: time.Now()}
	transport := &http.Transport{DisableKeepAlives: true}
	for _, p := range watching { // the others hear of its requests at once
		if a := s.send(transport, p, standin.KindSafe, "request-"+p.name); !a.served() {
			t.Errorf("%s answers with %d %v", p.name, a.status, a.err)
		}
	}
	survivors, lost := others[:survivingGateways], append(others[survivingGateways:], watching...)
	for _, p := range lost {
		if err := p.signal(syscall.SIGKILL); err != nil {
			t.Fatal(err)
		}
	}
	f.configure()
	time.Sleep(applyBound)
	for _, p := range survivors {
		if a := s.send(transport, p, fmt.Sprintf("v%d", f.version), "request-"+p.name); a.status != http.StatusOK {
			t.Errorf("%s answers the route of the new configuration with %d %v after %v (logs in %s)", p.name, a.status, a.err, applyBound, o.Dir)
		}
	}
	if !t.Failed() {
		os.RemoveAll(o.Dir)
	}
}

// watchingGateways waits until most gateways leave it to a few to watch the configuration, and returns both.
func watchingGateways(t *testing.T, f *fleet) (watching, others []*gatewayProcess) {
	t.Helper()
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		watching, others = nil, nil
		for _, p := range f.gateways {
			if watchesStore(t, filepath.Join(f.dir, p.name+".log")) {
				watching = append(watching, p)
			} else {
				others = append(others, p)
			}
		}
		if len(watching) <= largeFleet/4 {
			return watching, others
		}
	}
	t.Fatalf("%d of %d gateways watch the store", len(watching), len(f.gateways))
	return nil, nil
}

// watchesStore reports whether the last line of a gateway's log about it says that it watches the
// configuration, or no line does.
func watchesStore(t *testing.T, path string) bool {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	watches := true
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, "event=store-watch") && strings.Contains(line, "prefix="+platform.ConfigKey) {
			watches = strings.Contains(line, "ok=true")
		}
	}
	return watches
}
