package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The bounds of a page of a listing.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

// maxValueBytes is the platform's valueBytes.
const maxValueBytes = 1 << 20

// item is a key with its value, in a listing or as an event of a watch.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    int    `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// store is a stand-in of the platform's store. Its answers are linearizable, it is never down,
// and it keeps its whole history.
type store struct {
	mu      sync.Mutex
	current uint64
	items   map[string]item
	history []item
	changed chan struct{} // closed at the next change
	failed  int           // calls that were answered with another status than 200
}

func startStore(addr string) (*store, error) {
	s := &store{current: 100, items: make(map[string]item), changed: make(chan struct{})}
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.key)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// put writes a value and returns the time of the acknowledgement.
func (s *store) put(key string, value []byte) time.Time {
	if len(key) > 200 || len(value) > maxValueBytes {
		panic("the store takes no such key or value")
	}
	return s.change(item{Key: key, Value: value})
}

// putJSON writes a value encoded as JSON.
func (s *store) putJSON(key string, value any) time.Time {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.put(key, raw)
}

func (s *store) remove(key string) time.Time { return s.change(item{Key: key, Removed: true}) }

func (s *store) change(i item) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current++
	i.Revision = s.current
	if i.Removed {
		delete(s.items, i.Key)
	} else {
		i.Created = s.current
		if old, ok := s.items[i.Key]; ok {
			i.Created = old.Created
		}
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

func (s *store) fail(w http.ResponseWriter, status int) {
	s.failed++
	w.WriteHeader(status)
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has left
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, struct {
		item
		Current uint64 `json:"currentRev"`
	}{i, s.current})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page, bytes := []item{}, 0
	for _, key := range keys {
		if len(page) == pageItems || bytes >= pageBytes {
			break
		}
		page = append(page, s.items[key])
		bytes += len(s.items[key].Value)
	}
	more, current := len(page) < len(keys), s.current
	s.mu.Unlock()
	reply(w, struct {
		Items   []item `json:"items"`
		More    bool   `json:"hasMore"`
		Current uint64 `json:"currentRev"`
	}{page, more, current})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("waitMs"))
	if err != nil || err2 != nil || wait > 30_000 {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.fail(w, http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for i := len(s.history) - 1; i >= 0 && s.history[i].Revision > after; i-- {
			if strings.HasPrefix(s.history[i].Key, q.Get("prefix")) {
				events = append(events, s.history[i])
			}
		}
		slices.Reverse(events)
		current, changed := s.current, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "currentRev": current})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, map[string]any{"events": events, "currentRev": current})
			return
		case <-r.Context().Done():
			return
		}
	}
}
