package crowdtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/examples"
	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/settings"
	"trefoilpath.org/trefoilpath/internal/standin"
	"trefoilpath.org/trefoilpath/internal/store"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Limits of the settings of an entry and its agent in the tests.
const (
	entryMemoryMB       = 96
	entryBodyLimit      = 1 << 20
	entryHeadLimit      = 16 << 10
	fewEntryDescriptors = 256
	// entryCrowd is the number of connections of a crowd, largeEntryCrowd of one against few
	// descriptors.
	entryCrowd      = 200
	largeEntryCrowd = 300
	operatorKey     = "operator"
)

// fleet is an entry and the agent of a plain service, with stand-ins for the rest.
type fleet struct {
	t            *testing.T
	entry, agent *process
	entryConfig  settings.Entry
	agentConfig  settings.Agent
	service      string // name
	key          string // of a client account
	calm         int    // descriptors of the entry before the crowd
}

// startFleet starts the processes and waits until they serve. The handler is the plain service.
func startFleet(t *testing.T, descriptors int, service http.Handler) *fleet {
	t.Helper()
	d, _ := examples.Find("atitlan")
	keys, err := d.Keys()
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, service: d.Service.Name, key: keys[0].Key}
	storeURL, vms := startPlatform(t, d)
	endpoint := serveHTTP(t, service)

	f.entryConfig = settings.DefaultEntry()
	e := &f.entryConfig
	e.Node, e.Region, e.FailureDomain = "entry-1", d.Region, d.FailureDomains[0]
	e.StoreURL, e.VMListURL = storeURL, vms.URL()
	e.ListenCallers, e.ListenOperators, e.ListenPeers = loopback(t), loopback(t), loopback(t)
	e.BalancerLagMS, e.DrainWaitMS = 0, 1_000
	e.Limits.MemoryBytes, e.Limits.MaxDescriptors = entryMemoryMB<<20, int64(descriptors)
	e.Limits.MaxBodyBytes, e.Limits.MaxHeaderBytes = entryBodyLimit, entryHeadLimit

	f.agentConfig = settings.DefaultAgent()
	a := &f.agentConfig
	a.Endpoint, a.Region, a.FailureDomain = wire.EndpointID(f.service+"-01"), d.Region, d.FailureDomains[0]
	a.Kind, a.Service, a.EndpointURL = settings.KindService, f.service, endpoint
	a.ListenOperators, a.StoreURL, a.VMListURL = loopback(t), storeURL, vms.URL()
	a.Limits.MemoryBytes, a.Limits.MaxDescriptors = entryMemoryMB<<20, int64(descriptors)
	a.Limits.MaxBodyBytes = entryBodyLimit

	vms.Set([]standin.VM{
		{Node: string(e.Node), Address: e.ListenPeers, Region: string(e.Region), FailureDomain: string(e.FailureDomain)},
		{Node: string(a.Endpoint), Address: a.ListenOperators, Region: string(a.Region), FailureDomain: string(a.FailureDomain), Endpoint: string(a.Endpoint)},
	})
	f.entry = startProcess(t, "entry", "--settings", writeSettings(t, "entry.json", e))
	f.agent = startProcess(t, "agent", "--settings", writeSettings(t, "agent.json", a))
	f.serveOrdinary()
	f.calm = f.entry.descriptors()
	return f
}

// startPlatform starts a store that holds the deployment's lists, and a VM list.
func startPlatform(t *testing.T, d examples.Deployment) (storeURL string, vms *standin.VMList) {
	t.Helper()
	s, err := standin.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	if vms, err = standin.NewVMList(0); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { vms.Close() })
	lists, err := d.Lists()
	if err != nil {
		t.Fatal(err)
	}
	client := store.NewHTTPClient(s.URL(), &http.Client{Transport: &http.Transport{}})
	if _, err := declaration.Accept(t.Context(), client, declaration.Update{Lists: lists, Author: "test", Nonce: 1}); err != nil {
		t.Fatal(err)
	}
	return s.URL(), vms
}

// serveHTTP serves h on loopback and returns the base URL.
func serveHTTP(t *testing.T, h http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: h}
	go srv.Serve(l) // ends with Close
	t.Cleanup(func() { srv.Close() })
	return "http://" + l.Addr().String()
}

func loopback(t *testing.T) string { return fmt.Sprintf("127.0.0.1:%d", freePort(t)) }

// writeSettings writes settings with the hash of the operators' key, which they don't show.
func writeSettings(t *testing.T, name string, s any) string {
	t.Helper()
	text, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	var fields map[string]any
	if err := json.Unmarshal(text, &fields); err != nil {
		t.Fatal(err)
	}
	fields["operator_key_sha256"] = fmt.Sprintf("%x", declaration.HashKey(operatorKey))
	if text, err = json.Marshal(fields); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// echo is a plain service that answers with the size of the body.
func echo(w http.ResponseWriter, r *http.Request) {
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	fmt.Fprint(w, n)
}

// head returns the request line and headers of a call, up to where the body's framing follows.
func (f *fleet) head() string {
	return "POST /services/" + f.service + "/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer " + f.key + "\r\n"
}

// send sends a call with a body in chunks, on a connection of its own, and returns the status, or 0
// without a complete response.
func (f *fleet) send(body io.Reader) int {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	url := "http://" + f.entryConfig.ListenCallers + "/services/" + f.service + "/x"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(body))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+f.key)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

func (f *fleet) serveOrdinary() {
	f.t.Helper()
	eventually(f.t, "an ordinary request is served", func() bool {
		return f.send(strings.NewReader("an ordinary body")) == http.StatusOK
	})
}

// serveLargestInCalm waits until the crowd's connections are closed, and fails the test if a call
// with a body of the limit is not served then.
func (f *fleet) serveLargestInCalm() {
	f.t.Helper()
	eventually(f.t, "the connections of the crowd are closed", func() bool { return f.entry.descriptors() <= f.calm+4 })
	if status := f.send(strings.NewReader(strings.Repeat("x", entryBodyLimit))); status != http.StatusOK {
		f.t.Errorf("status %d for a body of the limit, want 200", status)
	}
}

// manyEntryDescriptors is a limit of descriptors that no crowd reaches.
const manyEntryDescriptors = 4100

// testEntryCrowd plays a crowd against the callers' listener of an entry, and checks the bounds of
// both processes and that ordinary calls are served meanwhile, and the largest afterwards.
func testEntryCrowd(t *testing.T, descriptors, size int, newMember func(f *fleet, i int) member) {
	testFleetCrowd(t, descriptors, size, http.HandlerFunc(echo), func(f *fleet) string { return f.entryConfig.ListenCallers }, newMember)
}

func testFleetCrowd(t *testing.T, descriptors, size int, service http.Handler, addr func(f *fleet) string, newMember func(f *fleet, i int) member) {
	f := startFleet(t, descriptors, service)
	members := make([]member, size)
	for i := range members {
		members[i] = newMember(f, i)
	}
	leave := runCrowd(&gateway{process: f.entry, addr: addr(f)}, members)
	time.Sleep(stay)
	f.checkBounds(descriptors)
	f.serveOrdinary()
	leave()
	f.serveLargestInCalm()
	f.checkBounds(descriptors)
}

func (f *fleet) checkBounds(descriptors int) {
	f.t.Helper()
	f.entry.checkBounds(entryMemoryMB, descriptors)
	f.agent.checkBounds(entryMemoryMB, descriptors)
}

func (f *fleet) chunked(body []byte) member {
	return member{[]byte(f.head() + "Transfer-Encoding: chunked\r\n\r\n"), body}
}

func (f *fleet) announced(size int, body []byte) member {
	return member{[]byte(f.head() + fmt.Sprintf("Content-Length: %d\r\n\r\n", size)), body}
}

func TestEntryKeepsLargeChunksOneByteShortWithinMemory(t *testing.T) {
	testEntryCrowd(t, manyEntryDescriptors, entryCrowd, func(f *fleet, _ int) member { return f.chunked(largeChunks) })
}

func TestEntryKeepsTinyChunksOneByteShortWithinMemory(t *testing.T) {
	testEntryCrowd(t, manyEntryDescriptors, entryCrowd, func(f *fleet, _ int) member { return f.chunked(tinyChunks) })
}

func TestEntryKeepsAnnouncedBodiesOneByteShortWithinMemory(t *testing.T) {
	testEntryCrowd(t, manyEntryDescriptors, entryCrowd, func(f *fleet, _ int) member { return f.announced(entryBodyLimit, almostBody) })
}

func TestEntryKeepsBodiesFarOverTheLimitWithinMemory(t *testing.T) {
	testEntryCrowd(t, manyEntryDescriptors, entryCrowd, func(f *fleet, i int) member {
		if i%2 == 0 {
			return f.announced(len(farTooLong), farTooLong)
		}
		return f.chunked(farTooMany)
	})
}

func TestEntryKeepsHalfHeadsOfManyFieldsWithinMemory(t *testing.T) {
	fields := manyFields(2 * entryHeadLimit)
	testEntryCrowd(t, manyEntryDescriptors, entryCrowd, func(f *fleet, _ int) member { return member{[]byte(f.head() + fields)} })
}

func TestEntryKeepsHeadsOfManyFieldsBeforeShortBodiesWithinMemory(t *testing.T) {
	fields := manyFields(entryHeadLimit - 400)
	testEntryCrowd(t, manyEntryDescriptors, entryCrowd, func(f *fleet, _ int) member {
		return member{[]byte(f.head() + fields + "Content-Length: 2\r\n\r\nx")}
	})
}

func TestEntryKeepsWholeBodiesAtASlowServiceWithinMemory(t *testing.T) {
	left := make(chan struct{})
	t.Cleanup(func() { close(left) })
	slow := func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if r.Header.Get("X-Slow") != "" {
			select {
			case <-left:
			case <-r.Context().Done():
			}
		}
		fmt.Fprint(w, "done")
	}
	body := bytes.Repeat([]byte("x"), entryBodyLimit)
	testFleetCrowd(t, manyEntryDescriptors, entryCrowd, http.HandlerFunc(slow), func(f *fleet) string { return f.entryConfig.ListenCallers }, func(f *fleet, _ int) member {
		return member{[]byte(f.head() + fmt.Sprintf("X-Slow: 1\r\nContent-Length: %d\r\n\r\n", len(body))), body}
	})
}

func TestEntryKeepsSilentConnectionsWithinDescriptors(t *testing.T) {
	testEntryCrowd(t, fewEntryDescriptors, largeEntryCrowd, func(*fleet, int) member { return nil })
}

func TestEntryKeepsHalfHeadsWithinDescriptors(t *testing.T) {
	testEntryCrowd(t, fewEntryDescriptors, largeEntryCrowd, func(*fleet, int) member { return member{[]byte("POST /services/x HTTP/1.1\r\nHost: h.exa")} })
}

func TestEntryKeepsBodiesOfUnknownCallersWithinDescriptors(t *testing.T) {
	testEntryCrowd(t, fewEntryDescriptors, largeEntryCrowd, func(*fleet, int) member {
		return member{[]byte("POST /services/x/y HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1000\r\n\r\n")}
	})
}

func TestEntryKeepsBodiesThatDoNotComeWithinDescriptors(t *testing.T) {
	testEntryCrowd(t, fewEntryDescriptors, largeEntryCrowd, func(f *fleet, _ int) member { return f.announced(entryBodyLimit, nil) })
}

func TestEntryKeepsAnswersOfCallersThatDoNotReadWithinMemory(t *testing.T) {
	answer := bytes.Repeat([]byte("x"), 3<<20)
	large := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Large") != "" {
			_, _ = w.Write(answer) // the call may be cancelled
			return
		}
		echo(w, r)
	}
	testFleetCrowd(t, manyEntryDescriptors, entryCrowd, http.HandlerFunc(large), func(f *fleet) string { return f.entryConfig.ListenCallers }, func(f *fleet, _ int) member {
		return member{[]byte(strings.Repeat(f.head()+"X-Large: 1\r\nContent-Length: 0\r\n\r\n", 4))}
	})
}

func TestOperatorsListenersKeepSilentConnectionsWithinDescriptors(t *testing.T) {
	silent := func(*fleet, int) member { return nil }
	t.Run("entry", func(t *testing.T) {
		testFleetCrowd(t, fewEntryDescriptors, largeEntryCrowd, http.HandlerFunc(echo), func(f *fleet) string { return f.entryConfig.ListenOperators }, silent)
	})
	t.Run("agent", func(t *testing.T) {
		testFleetCrowd(t, fewEntryDescriptors, largeEntryCrowd, http.HandlerFunc(echo), func(f *fleet) string { return f.agentConfig.ListenOperators }, silent)
	})
}

func TestEntryKeepsCrowdOfAllKindsWithinMemoryAndDescriptors(t *testing.T) {
	fields := manyFields(2 * entryHeadLimit)
	testEntryCrowd(t, fewEntryDescriptors, largeEntryCrowd, func(f *fleet, i int) member {
		return []member{
			f.chunked(largeChunks), f.chunked(tinyChunks), f.chunked(farTooMany), f.announced(entryBodyLimit, almostBody),
			f.announced(entryBodyLimit, nil), f.announced(len(farTooLong), farTooLong), {[]byte(f.head() + fields)}, nil,
		}[i%8]
	})
}
