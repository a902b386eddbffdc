package standin

import (
	"net/http"
	"slices"
	"sync"
	"time"
)

// VM is one row of the platform's VM list.
type VM struct {
	Node          string `json:"node"`
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	Leaving       bool   `json:"leaving"`
	Endpoint      string `json:"endpoint,omitempty"` // set for an agent's VM
}

// vmListAnswer is the answer to GET /v1/vms.
type vmListAnswer struct {
	VMs []VM `json:"vms"`
}

// VMList is a stand-in for the platform's list of running and draining VMs. Changes
// become visible after its lag. It is safe for concurrent use.
type VMList struct {
	*server
	mu       sync.Mutex
	lag      time.Duration
	versions []vmListVersion // oldest first; never empty
}

type vmListVersion struct {
	at  time.Time
	vms []VM
}

// NewVMList starts an empty list with the given lag.
func NewVMList(lag time.Duration) (*VMList, error) {
	l := &VMList{lag: lag, versions: []vmListVersion{{}}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/vms", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, vmListAnswer{VMs: l.visible(time.Now())})
	})
	srv, err := listen(mux)
	if err != nil {
		return nil, err
	}
	l.server = srv
	return l, nil
}

// SetLag sets the time after which changes become visible.
func (l *VMList) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// SetDown makes the list close the connections of all calls.
func (l *VMList) SetDown(down bool) { l.down.Store(down) }

// Set replaces the list. The change becomes visible after the lag.
func (l *VMList) Set(vms []VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, vmListVersion{at: time.Now(), vms: slices.Clone(vms)})
}

// SetLeaving marks whether a VM is draining. The change becomes visible after the lag.
func (l *VMList) SetLeaving(node string, leaving bool) {
	l.mu.Lock()
	vms := slices.Clone(l.versions[len(l.versions)-1].vms)
	l.mu.Unlock()
	for i := range vms {
		if vms[i].Node == node {
			vms[i].Leaving = leaving
		}
	}
	l.Set(vms)
}

// visible returns the list as it was at now-lag.
func (l *VMList) visible(now time.Time) []VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.versions) > 1 && !l.versions[1].at.After(now.Add(-l.lag)) {
		l.versions = l.versions[1:]
	}
	if l.versions[0].vms == nil {
		return []VM{}
	}
	return l.versions[0].vms
}
