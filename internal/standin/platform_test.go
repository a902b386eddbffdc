package standin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"trefoilpath.org/trefoilpath/internal/httponce"
	"trefoilpath.org/trefoilpath/internal/standin"
	"trefoilpath.org/trefoilpath/internal/store"
)

func startStore(t *testing.T) (*standin.Store, *store.HTTPClient) {
	t.Helper()
	s, err := standin.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	tr := &http.Transport{}
	t.Cleanup(func() {
		s.Close()
		tr.CloseIdleConnections()
	})
	return s, store.NewHTTPClient(s.URL(), &http.Client{Transport: tr})
}

func TestStoreLosesTheAnswerOfAWriteThatTookEffect(t *testing.T) {
	s, c := startStore(t)
	s.LoseAnswers(1)
	put := store.Op{ID: 1, Kind: store.OpPut, Key: "root", Value: []byte("v")}
	if r := c.Do(context.Background(), put); r.Status != store.StatusUnknown {
		t.Errorf("write with a lost answer has status %d, want StatusUnknown", r.Status)
	}
	r := c.Do(context.Background(), store.Op{ID: 2, Kind: store.OpGet, Key: "root"})
	if diff := cmp.Diff(store.Result{ID: 2, Status: store.StatusOK, Version: 1, Latest: 1, Value: []byte("v")}, r); diff != "" {
		t.Error(diff)
	}
	if writes := s.Counts().Writes; writes != 1 {
		t.Errorf("the write was executed %d times", writes)
	}
}

func TestStoreOutageBreaksWatches(t *testing.T) {
	s, c := startStore(t)
	answered := make(chan store.Result, 1)
	go func() {
		answered <- c.Do(context.Background(), store.Op{Kind: store.OpWatch, Key: "d/", TTL: time.Hour})
	}()
	for s.Counts().Reads == 0 {
		time.Sleep(time.Millisecond)
	}
	s.SetDown(true)
	if r := <-answered; r.Status != store.StatusUnavailable {
		t.Errorf("watch during an outage has status %d, want StatusUnavailable", r.Status)
	}
	s.SetDown(false)
	go func() {
		answered <- c.Do(context.Background(), store.Op{Kind: store.OpWatch, Key: "d/", TTL: time.Hour})
	}()
	for s.Counts().Reads < 2 {
		time.Sleep(time.Millisecond)
	}
	s.Do(store.Op{Kind: store.OpPut, Key: "d/1"})
	if r := <-answered; r.Status != store.StatusOK || len(r.Pairs) != 1 {
		t.Errorf("watch after the outage answered %+v, want StatusOK with one key", r)
	}
}

func TestStoreLeaseExpiresOnTheRealClock(t *testing.T) {
	s, c := startStore(t)
	lease := s.Do(store.Op{Kind: store.OpGrant, TTL: 20 * time.Millisecond}).Lease
	s.Do(store.Op{Kind: store.OpPut, Key: "holder", Lease: lease})
	r := c.Do(context.Background(), store.Op{Kind: store.OpWatch, Key: "holder", Expect: 1, TTL: time.Minute})
	if diff := cmp.Diff([]store.Pair{{Key: "holder", Version: 2, Deleted: true}}, r.Pairs); diff != "" {
		t.Error(diff)
	}
}

// callAndBreak sends a write with an idempotency key over a kept-alive connection to
// a service that executes it and closes the connection without an answer. It returns
// how often the write was executed.
func callAndBreak(t *testing.T, rt http.RoundTripper, body []byte) (executions int) {
	t.Helper()
	s, err := standin.NewService()
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	hc := &http.Client{Transport: rt}
	defer hc.CloseIdleConnections()
	resp, err := hc.Get(s.URL() + "/stock")
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	s.BreakNext(1)
	req, err := http.NewRequest(http.MethodPost, s.URL()+"/reservations", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Idempotency-Key", "maple-7")
	if resp, err := hc.Do(req); err == nil {
		resp.Body.Close()
	}
	return s.Executions("maple-7")
}

func TestHTTPClientResendsNothing(t *testing.T) {
	for _, body := range [][]byte{nil, []byte(`{"billet":7}`)} {
		if n := callAndBreak(t, &httponce.Transport{Base: &http.Transport{}}, body); n != 1 {
			t.Errorf("body %q: executed %d times", body, n)
		}
		if n := callAndBreak(t, &http.Transport{}, body); n < 2 {
			t.Errorf("body %q: without httponce the call was executed %d times, want a resend that the test can detect", body, n)
		}
	}
}

func TestVMListLags(t *testing.T) {
	l, err := standin.NewVMList(time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	vm := standin.VM{Node: "entry-antigua-1", Address: "127.0.0.1:1", Region: "guate-central", FailureDomain: "zona-antigua"}
	l.Set([]standin.VM{vm})
	if vms := fetchVMs(t, l); len(vms) != 0 {
		t.Errorf("%d VMs before the lag has passed", len(vms))
	}
	l.SetLeaving("entry-antigua-1", true)
	l.SetLag(0)
	vm.Leaving = true
	if diff := cmp.Diff([]standin.VM{vm}, fetchVMs(t, l)); diff != "" {
		t.Error(diff)
	}
}

func fetchVMs(t *testing.T, l *standin.VMList) []standin.VM {
	t.Helper()
	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	resp, err := (&http.Client{Transport: tr}).Get(l.URL() + "/v1/vms")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var answer struct{ VMs []standin.VM }
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		t.Fatal(err)
	}
	return answer.VMs
}
