package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is a request that reached a replica.
type run struct {
	attempt, replica, gateway, path, body, tenant string
	at                                            time.Time
	ran                                           bool
	ended                                         time.Time
}

// replica is a stand-in of a replica of the model service or of the plain service.
type replica struct {
	w             *world
	id, service   string
	zone          string
	slots         int
	engine        bool
	born          int64
	listener      net.Listener
	work          time.Duration // of a plain request
	eventInterval time.Duration

	mu       sync.Mutex
	conns    map[net.Conn]bool
	leaving  bool // it says so in all its answers
	draining bool // its entry says so
	leftAt   time.Time
	gone     bool
	running  int
	tickets  map[string]int64

	strays  func() bool // whether additional bytes follow an answer; nil: never
	doubles func() bool // whether an answer that turns a request away comes a second time; nil: never
}

// newReplica starts a replica at a free address.
func (w *world) newReplica(service string, n int, engine bool) (*replica, error) {
	return w.newReplicaAt("127.0.0.1:0", service, n, engine)
}

func (w *world) newReplicaAt(addr, service string, n int, engine bool) (*replica, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.replicaCount++
	id := fmt.Sprintf("i-%06x%02d", 0x5a1000+w.replicaCount*7919, n)
	w.mu.Unlock()
	r := &replica{w: w, id: id, service: service, zone: zones[n%len(zones)], slots: 16, engine: engine, born: time.Now().UnixMilli(), listener: l,
		work: 15 * time.Millisecond, eventInterval: 43 * time.Millisecond, conns: map[net.Conn]bool{}, tickets: map[string]int64{}}
	if !engine {
		r.slots = 6
	}
	go r.accept()
	w.mu.Lock()
	w.replicas = append(w.replicas, r)
	w.mu.Unlock()
	return r, nil
}

func (r *replica) addr() string { return r.listener.Addr().String() }

// register writes the replica's entry and returns when the store has acknowledged it.
func (r *replica) register(state string) time.Time {
	doc := map[string]any{"service": r.service, "addr": r.addr(), "zone": r.zone, "version": "v1", "slots": r.slots, "state": state,
		"coldLeftMs": 0, "sequence": 1, "born": r.born}
	if r.engine {
		doc["stage"] = "unified"
		doc["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	return r.w.store.put("servers/"+r.id, doc)
}

// leaveSilently removes the replica's entry without a report that it drains. It goes on serving
// and says in its answers that it leaves.
func (r *replica) leaveSilently() time.Time {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	at := r.w.store.remove("servers/" + r.id)
	r.mu.Lock()
	r.leftAt = at
	r.mu.Unlock()
	return at
}

// exit ends the replica and its connections.
func (r *replica) exit() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gone = true
	r.listener.Close()
	for c := range r.conns {
		c.Close()
	}
}

func (r *replica) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go func() {
			r.serve(c)
			c.Close()
			r.mu.Lock()
			delete(r.conns, c)
			r.mu.Unlock()
		}()
	}
}

func (r *replica) serve(c net.Conn) {
	in := bufio.NewReaderSize(c, 64<<10)
	extra := "" // an answer that comes where the next one is expected
	for {
		c.SetReadDeadline(time.Now().Add(5 * time.Second)) // its Keep-Alive
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		c.SetReadDeadline(time.Time{})
		if extra != "" {
			io.WriteString(c, extra)
			extra = ""
		}
		if !r.handle(c, req, string(body), &extra) {
			return
		}
	}
}

// common returns the header lines of all answers.
func (r *replica) common() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := "Keep-Alive: timeout=5\r\nReplica-Load: " + fmt.Sprintf("%d,0,%d\r\n", min(r.running, r.slots), r.slots)
	if r.leaving || r.draining {
		h += "Server-Leaving: 1\r\n"
	}
	return h
}

func (r *replica) answer(c net.Conn, status int, headers, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%s%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), r.common(), headers, len(body), body)
	return err == nil
}

func (r *replica) handle(c net.Conn, req *http.Request, body string, extra *string) bool {
	attempt := req.Header.Get("Attempt-Id")
	echo := ""
	if attempt != "" {
		echo = "Attempt-Id: " + attempt + "\r\n"
	}
	if want := req.Header.Get("Expect-Instance"); want != "" && want != r.id {
		headers := echo + "Replica-Id: " + r.id + "\r\n"
		if r.doubles != nil && r.doubles() {
			*extra = "HTTP/1.1 421 Misdirected Request\r\n" + r.common() + headers + "Content-Length: 0\r\n\r\n"
			r.w.note("trouble   %s: a second answer follows its answer 421 to %s", r.id, attempt)
		}
		return r.answer(c, 421, headers, "")
	}
	switch req.URL.Path {
	case "/report":
		r.mu.Lock()
		text := fmt.Sprintf(`{"stage":"unified","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"queued":0,"running":%d,"kvUsed":0,"kvTotal":450000,"handles":0,"pace":1,"born":%d}`, r.running, r.born)
		r.mu.Unlock()
		return r.answer(c, 200, "Content-Type: application/json\r\n", text)
	case "/order":
		return r.order(c, body)
	case "/health":
		return r.answer(c, 200, "Replica-Id: "+r.id+"\r\n", "")
	}
	x := &run{attempt: attempt, replica: r.id, gateway: c.RemoteAddr().String(), path: req.RequestURI, body: body, tenant: req.Header.Get("Tenant"), at: time.Now()}
	r.w.reached(x)
	r.mu.Lock()
	full := r.running >= r.slots
	if !full {
		r.running++
	}
	r.mu.Unlock()
	if full {
		return r.answer(c, 503, echo+"Not-Executed: 1\r\n", "")
	}
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
		r.w.endRun(x)
	}()
	r.w.beginRun(x)
	id := echo + "Origin-Seal: " + seal(r.id, attempt) + "\r\n"
	if r.strays != nil && r.strays() {
		*extra = "HTTP/1.1 200 OK\r\nReplica-Id: " + r.id + "\r\nReplica-Load: 1,0,6\r\nContent-Length: 0\r\n\r\n"
		r.w.note("trouble   %s: additional bytes follow its answer to %s", r.id, attempt)
	}
	if !r.engine {
		time.Sleep(r.work)
		return r.answer(c, 200, id, plainAnswer(req.Method, req.RequestURI, attempt, body))
	}
	return r.stream(c, req, id)
}

func seal(replica, attempt string) string { return replica + "." + attempt }

func plainAnswer(method, target, attempt, body string) string {
	return fmt.Sprintf("%s %s %s %d:%s", method, target, attempt, len(body), body)
}

// stream answers with events. A prompt takes its time to be read, and each event one pass.
func (r *replica) stream(c net.Conn, req *http.Request, id string) bool {
	prompt, output, _ := strings.Cut(req.Header.Get("Token-Count"), ",")
	tokens, _ := strconv.Atoi(prompt)
	out, _ := strconv.Atoi(output)
	parts := 1
	if h := req.Header.Get("Helpers"); h != "" {
		parts += strings.Count(h, ",") + 1
	}
	time.Sleep(time.Duration(tokens/256/parts)*time.Millisecond + 10*time.Millisecond)
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.common(), id); err != nil {
		return false
	}
	for n := last + 1; n <= events(out); n++ {
		e := event(n, req.RequestURI)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
			return false
		}
		time.Sleep(r.eventInterval)
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

func events(out int) int { return max(1, out/46) }

func event(n int, target string) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, target, n) }

func (r *replica) order(c net.Conn, body string) bool {
	var o struct {
		Op     string `json:"op"`
		ID     string `json:"id"`
		Tokens int64  `json:"tokens"`
	}
	if json.Unmarshal([]byte(body), &o) != nil {
		return r.answer(c, 400, "", "")
	}
	r.mu.Lock()
	switch o.Op {
	case "reserve":
		r.tickets[o.ID] = o.Tokens
	case "release":
		delete(r.tickets, o.ID)
	}
	r.mu.Unlock()
	return r.answer(c, 200, "Content-Type: application/json\r\n", `{"unused":400000}`)
}
