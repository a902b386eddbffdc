package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is the time between two writes of a replica's entry.
const heartbeat = 1200 * time.Millisecond

// arrival is a request that reached a replica. A request that got 421 is not among them.
type arrival struct {
	at      time.Time
	request string
}

// replica is a sound replica of a plain service.
type replica struct {
	store   *store
	addr    string
	service string
	zone    string
	work    time.Duration // for which a request runs

	writing  sync.Mutex // held during a write of the entry; taken before mu
	mu       sync.Mutex
	id       string
	born     int64 // Unix ms, on the clock of its machine
	state    string
	coldTill time.Time
	arrivals []arrival
	server   *http.Server
	down     bool
	stop     chan struct{} // ends the heartbeats
}

// start begins a new life. clock is the error of the machine's time of day.
func (r *replica) start(id string, clock, cold time.Duration) error {
	l, err := net.Listen("tcp4", r.addr)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.id, r.born, r.state, r.coldTill = id, time.Now().Add(clock).UnixMilli(), "ready", time.Now().Add(cold)
	r.server, r.stop, r.down = &http.Server{Handler: r}, make(chan struct{}), false
	go func(s *http.Server) { _ = s.Serve(l) }(r.server)
	go r.beat(r.stop)
	return nil
}

// crash ends the process of the replica: its connections are reset, and it writes nothing.
func (r *replica) crash() {
	r.writing.Lock()
	defer r.writing.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.stop)
	r.down = true
	_ = r.server.Close()
}

// exit ends the process after its entry has been removed.
func (r *replica) exit() {
	r.crash()
	r.store.remove("servers/" + r.id)
}

// drain reports that the replica leaves, and returns the time of the acknowledgement.
func (r *replica) drain() time.Time {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	return r.write()
}

func (r *replica) beat(stop chan struct{}) {
	for {
		r.write()
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// write writes the entry and returns the time of the acknowledgement.
func (r *replica) write() time.Time {
	r.writing.Lock()
	defer r.writing.Unlock()
	r.mu.Lock()
	if r.down {
		r.mu.Unlock()
		return time.Time{}
	}
	entry := map[string]any{
		"service": r.service, "addr": r.addr, "zone": r.zone, "version": "v1", "slots": 64, "state": r.state,
		"coldLeftMs": max(time.Until(r.coldTill), 0).Milliseconds(), "sequence": 0, "born": r.born,
	}
	id := r.id
	r.mu.Unlock()
	return r.store.putJSON("servers/"+id, entry)
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	id, state, cold := r.id, r.state, time.Until(r.coldTill)
	r.mu.Unlock()
	w.Header().Set("Replica-Load", "0,0,64")
	if state == "draining" {
		w.Header().Set("Server-Leaving", "1")
	}
	if req.URL.Path == "/health" {
		w.Header().Set("Replica-Id", id)
		if cold > 0 {
			w.Header().Set("Cold-Ms", strconv.FormatInt(cold.Milliseconds(), 10))
		}
		if state != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	request := req.Header.Get("Attempt-Id")
	if request != "" {
		w.Header().Set("Attempt-Id", request)
	}
	if want := req.Header.Get("Expect-Instance"); want != "" && want != id {
		w.Header().Set("Replica-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival{time.Now(), request})
	r.mu.Unlock()
	_, _ = io.Copy(io.Discard, req.Body) // a body that ends early is that of a client that has left
	time.Sleep(r.work)
	body := fmt.Sprintf("answer of %s to %s\n", id, request)
	if state == "draining" {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Origin-Seal", id+"."+request)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

func (r *replica) name() string { return r.addr }

func (r *replica) seen() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}
