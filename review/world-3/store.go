package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// item is a key of the store with its value, or an event of a watch.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    int    `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// store is a stand-in of the platform's store, with the read calls of the pages.
type store struct {
	listener net.Listener

	mux *http.ServeMux

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}        // closed at the next change
	listedAt map[string]time.Time // end of the latest listing of each prefix
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, revision: 100, items: make(map[string]item), changed: make(chan struct{}), listedAt: make(map[string]time.Time)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	s.mux = mux
	go func() { _ = http.Serve(l, mux) }() // ends with the process
	return s, nil
}

// door is an address of the store for one machine, which the store can turn away there.
type door struct {
	listener net.Listener
	server   *http.Server
	shut     atomic.Bool
	cut      chan struct{} // closed when the machine is turned away
}

// newDoor opens an address of the store.
func (s *store) newDoor() (*door, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &door{listener: l, cut: make(chan struct{})}
	d.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.shut.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		go func() {
			select {
			case <-d.cut:
				cancel() // a watch that waits ends without an answer
			case <-ctx.Done():
			}
		}()
		s.mux.ServeHTTP(w, r.WithContext(ctx))
	})}
	go func() { _ = d.server.Serve(l) }() // ends with close
	return d, nil
}

func (d *door) addr() string { return d.listener.Addr().String() }

// turnAway lets the store answer 503 to all calls of the machine, and cuts those that wait.
func (d *door) turnAway() {
	d.shut.Store(true)
	close(d.cut)
}

// open ends turnAway.
func (d *door) open() {
	d.cut = make(chan struct{})
	d.shut.Store(false)
}

func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.change(item{Key: key, Value: raw})
}

func (s *store) remove(key string) { s.change(item{Key: key, Removed: true}) }

func (s *store) change(i item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	}
	if i.Removed {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has left
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	s.mu.Lock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > r.URL.Query().Get("after") {
			items = append(items, i)
		}
	}
	revision := s.revision
	s.listedAt[prefix] = time.Now()
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	answer(w, map[string]any{"items": items, "hasMore": false, "currentRev": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		changed, revision := s.changed, s.revision
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, map[string]any{"events": events, "currentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			answer(w, map[string]any{"events": events, "currentRev": revision})
			return
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// lastListing returns when a prefix was listed last.
func (s *store) lastListing(prefix string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listedAt[prefix]
}
