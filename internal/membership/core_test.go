package membership

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func listOf(nodes ...VM) []VM { return nodes }

func TestListLagsBothWays(t *testing.T) {
	m := New(Config{})
	a, b := VM{Node: "a", Address: "10.0.0.1:1"}, VM{Node: "b", Address: "10.0.0.2:1"}
	m.SetList(0, listOf(a))
	// A heartbeat of b arrives before the list shows b.
	m.HandleHeartbeat(0, Heartbeat{Node: "b", Incarnation: 1})
	if got, _ := m.Get("b"); got.State != Alive || got.OnList {
		t.Fatalf("node b, heartbeat before the list: %+v", got)
	}
	m.SetList(time.Second, listOf(a, b))
	// a is on the list but silent: it is suspected, then ejected, and kept.
	m.Tick(DefaultSuspectAfter)
	if got, _ := m.Get("a"); got.State != Suspect {
		t.Fatalf("silent node a: %+v", got)
	}
	m.HandleHeartbeat(DefaultSuspectAfter, Heartbeat{Node: "b", Incarnation: 1})
	m.Tick(DefaultSuspectAfter + DefaultEjectAfter)
	if got, ok := m.Get("a"); !ok || got.State != Ejected || !got.OnList {
		t.Fatalf("silent node a after EjectAfter: %+v, member: %v", got, ok)
	}
	// b leaves the list while it sends heartbeats, and is removed once it is
	// silent.
	now := DefaultSuspectAfter + DefaultEjectAfter
	m.HandleHeartbeat(now, Heartbeat{Node: "b", Incarnation: 1})
	m.SetList(now, listOf(a))
	if got, _ := m.Get("b"); got.State != Alive {
		t.Fatalf("node b, off the list: %+v", got)
	}
	m.Tick(now + DefaultSuspectAfter)
	m.Tick(now + DefaultSuspectAfter + DefaultEjectAfter)
	if _, ok := m.Get("b"); ok {
		t.Fatal("b is still a member although it is neither on the list nor alive")
	}
}

func TestSuspectReturns(t *testing.T) {
	m := New(Config{})
	m.SetList(0, listOf(VM{Node: "a", Address: "x"}))
	m.HandleHeartbeat(0, Heartbeat{Node: "a", Incarnation: 4})
	m.TransportFailed(time.Second, "a")
	m.HandleHeartbeat(2*time.Second, Heartbeat{Node: "a", Incarnation: 4})
	m.TakeChanges()
	m.Tick(2*time.Second + DefaultSuspectAfter - 1)
	if changes := m.TakeChanges(); len(changes) != 0 {
		t.Fatalf("changes %+v although a heartbeat arrived in time", changes)
	}
}

func TestNewIncarnationReplacesTheOldOne(t *testing.T) {
	m := New(Config{})
	m.HandleHeartbeat(0, Heartbeat{Node: "a", Incarnation: 4, Leaving: true})
	m.TakeChanges()
	if !m.HandleHeartbeat(1, Heartbeat{Node: "a", Incarnation: 5}) {
		t.Fatal("heartbeat of a new incarnation refused")
	}
	if diff := cmp.Diff([]Change{{Node: "a", State: Alive, NewIncarnation: true}}, m.TakeChanges()); diff != "" {
		t.Fatalf("changes (-want +got):\n%s", diff)
	}
	if got, _ := m.Get("a"); got.Leaving {
		t.Fatal("the new incarnation counts as leaving")
	}
	if m.HandleHeartbeat(2, Heartbeat{Node: "a", Incarnation: 4}) {
		t.Fatal("heartbeat of the old incarnation accepted")
	}
	m.SetList(3, listOf(VM{Node: "a", Address: "x", Leaving: true}))
	if got, _ := m.Get("a"); !got.Leaving {
		t.Fatal("node a does not count as leaving although the list says so")
	}
}

func TestFetch(t *testing.T) {
	for _, tc := range []struct {
		name, body, err string
		status          int
	}{
		{"ok", `{"vms":[{"node":"a","address":"10.0.0.1:1","region":"r","failure_domain":"f","leaving":true,"endpoint":"e"}]}`, "", 200},
		{"status", `{}`, "status 503", 503},
		{"not JSON", `<`, "invalid character", 200},
		{"no address", `{"vms":[{"node":"a"}]}`, "row 0", 200},
		{"twice", `{"vms":[{"node":"a","address":"x"},{"node":"a","address":"y"}]}`, "occurs twice", 200},
	} {
		t.Run(tc.name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/v1/vms" {
					w.WriteHeader(http.StatusNotFound)
					return
				}
				w.WriteHeader(tc.status)
				w.Write([]byte(tc.body))
			}))
			defer srv.Close()
			vms, err := NewVMListClient(srv.URL, srv.Client()).Fetch(context.Background())
			if tc.err != "" {
				if err == nil || !strings.Contains(err.Error(), tc.err) {
					t.Fatalf("error %v, want %q", err, tc.err)
				}
				return
			}
			want := []VM{{Node: "a", Address: "10.0.0.1:1", Region: "r", FailureDomain: "f", Leaving: true, Endpoint: "e"}}
			if diff := cmp.Diff(want, vms); err != nil || diff != "" {
				t.Fatalf("error %v, VMs (-want +got):\n%s", err, diff)
			}
		})
	}
}

// FuzzParseList checks that a list is either rejected or has only complete,
// distinct rows.
func FuzzParseList(f *testing.F) {
	f.Add([]byte(`{"vms":[{"node":"a","address":"10.0.0.1:1","leaving":true}]}`))
	f.Add([]byte(`{"vms":[{"node":"a","address":"x"},{"node":"a","address":"y"}]}`))
	f.Add([]byte(`{"vms":null}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		vms, err := parseList(raw)
		if err != nil {
			return
		}
		seen := make(map[string]bool)
		for _, vm := range vms {
			if vm.Node == "" || vm.Address == "" || seen[string(vm.Node)] {
				t.Fatalf("accepted %+v", vm)
			}
			seen[string(vm.Node)] = true
		}
	})
}
