package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// historyTime is how long the store keeps its history (platform.historyS).
const historyTime = 20 * time.Second

// pageSize is the number of items in a page of a listing.
const pageSize = 50

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
	at       time.Time
}

// store is a stand-in of the platform's metadata store, for reading calls.
type store struct {
	mu        sync.Mutex
	revision  uint64
	compacted uint64 // history holds the changes after this revision
	items     map[string]item
	history   []item
	changed   chan struct{}
	listener  net.Listener
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{revision: 100, compacted: 100, items: map[string]item{}, changed: make(chan struct{}), listener: l}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("GET /kv-key", s.get)
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", "1")
		mux.ServeHTTP(w, r)
	}))
	return s, nil
}

func (s *store) addr() string { return s.listener.Addr().String() }

// put writes a value as JSON and returns when the store has acknowledged it.
func (s *store) put(key string, value any) time.Time {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.change(item{Key: key, Value: raw})
}

func (s *store) remove(key string) time.Time { return s.change(item{Key: key, Removed: true}) }

func (s *store) change(i item) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Revision, i.at = s.revision, time.Now()
	if i.Removed {
		delete(s.items, i.Key)
	} else {
		i.Created = s.revision
		if old, ok := s.items[i.Key]; ok {
			i.Created = old.Created
		}
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
		s.compacted = s.history[0].Revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return i.at
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	rev := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, struct {
		item
		Current uint64 `json:"currentRev"`
	}{i, rev})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	page, more := []item{}, false
	for _, k := range keys {
		if len(page) == pageSize {
			more = true
			break
		}
		page = append(page, s.items[k])
	}
	rev := s.revision
	s.mu.Unlock()
	time.Sleep(3 * time.Millisecond) // 4 ms an answer
	reply(w, map[string]any{"items": page, "hasMore": more, "currentRev": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if after < s.compacted || after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		var events []item
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		rev, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "currentRev": rev})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, map[string]any{"events": []item{}, "currentRev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}
