package store_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"trefoilpath.org/trefoilpath/internal/store"
)

func serve(t *testing.T, h http.HandlerFunc) (*store.HTTPClient, *atomic.Int64) {
	t.Helper()
	var calls atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		h(w, r)
	}))
	hc := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(func() {
		hc.CloseIdleConnections()
		srv.Close()
	})
	return store.NewHTTPClient(srv.URL+"/", hc), &calls
}

func answer(w http.ResponseWriter, r *http.Request) {
	var op store.Op
	if err := json.NewDecoder(r.Body).Decode(&op); err != nil || r.URL.Path != "/v1/op" || r.Method != http.MethodPost {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	json.NewEncoder(w).Encode(store.Result{ID: op.ID, Status: store.StatusOK, Version: 5, Value: op.Value})
}

func TestHTTPClientRoundTrip(t *testing.T) {
	c, _ := serve(t, answer)
	got := c.Do(context.Background(), store.Op{ID: 3, Kind: store.OpPut, Key: "k", Value: []byte{0, 1}})
	if diff := cmp.Diff(store.Result{ID: 3, Status: store.StatusOK, Version: 5, Value: []byte{0, 1}}, got); diff != "" {
		t.Fatal(diff)
	}
}

// TestHTTPClientNeverResends closes connections after the operation was read,
// on a fresh connection and on one that http.Transport keeps alive.
func TestHTTPClientNeverResends(t *testing.T) {
	kill := false
	c, calls := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if !kill {
			answer(w, r)
			return
		}
		io.Copy(io.Discard, r.Body)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			conn.Close()
		}
	})
	write, read := store.Op{ID: 1, Kind: store.OpPut, Key: "k"}, store.Op{ID: 2, Kind: store.OpGet, Key: "k"}
	c.Do(context.Background(), write) // leaves an idle connection
	kill = true
	for _, tc := range []struct {
		op   store.Op
		want store.Status
	}{{write, store.StatusUnknown}, {write, store.StatusUnknown}, {read, store.StatusUnavailable}} {
		before := calls.Load()
		if got := c.Do(context.Background(), tc.op); got.Status != tc.want || got.ID != tc.op.ID {
			t.Fatalf("operation %d: %+v, want status %d", tc.op.ID, got, tc.want)
		}
		if n := calls.Load() - before; n != 1 {
			t.Fatalf("operation sent %d times, want once", n)
		}
	}
}

func TestHTTPClientRefusedConnectionIsUnavailable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	url := "http://" + l.Addr().String()
	l.Close()
	c := store.NewHTTPClient(url, &http.Client{Transport: &http.Transport{}})
	if got := c.Do(context.Background(), store.Op{ID: 1, Kind: store.OpPut}); got.Status != store.StatusUnavailable {
		t.Fatalf("status %d, want StatusUnavailable", got.Status)
	}
}

func TestHTTPClientClassifiesAnswers(t *testing.T) {
	for _, tc := range []struct {
		name        string
		status      int
		body        string
		write, read store.Status
	}{
		{"overloaded", 429, "", store.StatusUnavailable, store.StatusUnavailable},
		{"too large", 413, "", store.StatusInvalid, store.StatusInvalid},
		{"gateway", 502, "", store.StatusUnknown, store.StatusUnavailable},
		{"redirect", 307, "", store.StatusUnknown, store.StatusUnavailable},
		{"found", 302, "", store.StatusUnknown, store.StatusUnavailable},
		{"not JSON", 200, "<html>", store.StatusUnknown, store.StatusUnavailable},
		{"other operation", 200, `{"id":9,"status":1}`, store.StatusUnknown, store.StatusUnavailable},
		{"no status", 200, `{"id":1}`, store.StatusUnknown, store.StatusUnavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, calls := serve(t, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(tc.status)
				io.WriteString(w, tc.body)
			})
			write := c.Do(context.Background(), store.Op{ID: 1, Kind: store.OpDelete})
			read := c.Do(context.Background(), store.Op{ID: 1, Kind: store.OpList})
			if write.Status != tc.write || read.Status != tc.read {
				t.Fatalf("wrong status: write %d, read %d", write.Status, read.Status)
			}
			if calls.Load() != 2 {
				t.Fatalf("%d calls for two operations", calls.Load())
			}
		})
	}
}
