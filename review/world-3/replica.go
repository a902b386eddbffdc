package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// workTime is how long a replica works on a request, unless its work says otherwise.
const workTime = 15 * time.Millisecond

// arrival is a request that reached a replica and was meant for it.
type arrival struct {
	id, replica, tenant string
	at                  time.Time
}

// arrivals records what the replicas have run.
type arrivals struct {
	mu   sync.Mutex
	list []arrival
}

func (a *arrivals) add(x arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, x)
}

func (a *arrivals) all() []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]arrival(nil), a.list...)
}

// replica is a stand-in of a replica of a plain service.
type replica struct {
	id, service string
	born        int64
	listener    net.Listener
	running     atomic.Int64
	seals       atomic.Int64
	record      *arrivals
	work        time.Duration
	coldUntil   atomic.Int64 // Unix time in ms
	crashAt     int          // requests in one second at which it crashes while it is cold; 0: it doesn't

	mu      sync.Mutex
	server  *http.Server
	recent  []time.Time // arrivals of the last second, from told after it became cold
	crashed bool
}

// crashes records an arrival, and reports whether it is one too many for a cold replica.
func (r *replica) crashes(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	end := time.UnixMilli(r.coldUntil.Load())
	if r.crashAt == 0 || now.After(end) || now.Before(end.Add(told-warmup)) {
		r.recent = nil
		return r.crashed
	}
	for len(r.recent) > 0 && now.Sub(r.recent[0]) > time.Second {
		r.recent = r.recent[1:]
	}
	r.recent = append(r.recent, now)
	r.crashed = r.crashed || len(r.recent) >= r.crashAt
	return r.crashed
}

func (r *replica) hasCrashed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashed
}

func newReplica(id, service string, record *arrivals) (*replica, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{id: id, service: service, born: time.Now().UnixMilli(), listener: l, record: record, work: workTime}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }() // ends with the process, or a crash
	return r, nil
}

// registration is what the replica writes to the store.
func (r *replica) registration(state string) map[string]any {
	return map[string]any{
		"service": r.service, "addr": r.listener.Addr().String(), "zone": "z1", "version": "v1", "slots": 6,
		"state": state, "coldLeftMs": max(r.coldUntil.Load()-time.Now().UnixMilli(), 0), "sequence": 0, "born": r.born,
	}
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/health" {
		w.Header().Set("Replica-Id", r.id)
		if left := r.coldUntil.Load() - time.Now().UnixMilli(); left > 0 {
			w.Header().Set("Cold-Ms", fmt.Sprint(left))
		}
		return
	}
	id := q.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Replica-Id", r.id)
	if expected := q.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("At-Server", r.listener.Addr().String())
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	now := time.Now()
	r.record.add(arrival{id: id, replica: r.id, tenant: q.Header.Get("Tenant"), at: now})
	if r.crashes(now) {
		_ = r.server.Close() // ends all connections; fails only if they have ended
		panic(http.ErrAbortHandler)
	}
	n := r.running.Add(1)
	defer r.running.Add(-1)
	time.Sleep(r.work)
	w.Header().Set("Replica-Load", fmt.Sprintf("%d,0,6", n))
	w.Header().Set("Origin-Seal", fmt.Sprintf("%s.%d", r.id, r.seals.Add(1)))
	fmt.Fprintf(w, "%s answered %s\n", r.id, id)
}
