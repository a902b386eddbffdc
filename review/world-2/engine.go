package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The constants of the engines, as the configuration states them.
const (
	engineMemory  = 450_000 // tokens
	maxTickets    = 64
	eventInterval = 100 * time.Millisecond
	events        = 12
)

// ticket is memory that is set aside at an engine.
type ticket struct {
	tokens  int
	expires time.Time
	users   int       // requests that use it now
	over    time.Time // when the last request that used it ended; zero: none has
}

// freed is the end of a ticket that a request has used.
type freed struct {
	engine, ticket string
	over, at       time.Time // when its last request ended, and when it was free
}

// lateOrders says which orders are left unanswered and carried out late.
type lateOrders struct {
	mu            sync.Mutex
	random        *rand.Rand
	share         float64
	until         time.Time
	orders, late  int // orders in all windows, and those of them that were left unanswered
	lateByOp      map[string]int
	minLate, span time.Duration
}

// begin begins a window of a length.
func (l *lateOrders) begin(length time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until = time.Now().Add(length)
}

// draw returns after which time an order is carried out; 0: at once. No more than the share of all orders
// so far are late.
func (l *lateOrders) draw(op string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !time.Now().Before(l.until) {
		return 0
	}
	l.orders++
	if l.random.Float64() >= l.share || float64(l.late+1) > l.share*float64(l.orders) {
		return 0
	}
	l.late++
	l.lateByOp[op]++
	return l.minLate + time.Duration(l.random.Int63n(int64(l.span)))
}

// engine is a sound model replica, except that it may go dark and leave orders unanswered.
type engine struct {
	w       *world
	addr    string
	zone    string
	service string
	late    *lateOrders
	peers   map[string]*engine // by address; read only
	first   time.Duration      // from the arrival of a prompt to its first event

	writing sync.Mutex // held during a write of the entry; taken before mu
	mu      sync.Mutex
	id      string
	life    int
	born    int64
	dark    bool
	state   string        // in its entry
	ended   chan struct{} // closed when the engine goes dark
	woken   chan struct{} // closed when it has power again; its old connections are reset then
	tickets map[string]*ticket
	freed   []freed
	runs    []arrival
	onRun   func(e *engine, request string) // called when a request has arrived
}

// start serves the engine's address for the whole case and begins its first life.
func (e *engine) start() error {
	l, err := net.Listen("tcp4", e.addr)
	if err != nil {
		return err
	}
	e.wake()
	go func() { _ = http.Serve(l, e) }()
	return nil
}

// wake begins a new life.
func (e *engine) wake() {
	e.mu.Lock()
	e.life++
	e.id, e.born = fmt.Sprintf("e-%s-%d", e.addr[strings.LastIndex(e.addr, ".")+1:strings.Index(e.addr, ":")], e.life), time.Now().UnixMilli()
	if e.woken != nil {
		close(e.woken)
	}
	e.dark, e.state, e.ended, e.woken, e.tickets = false, "ready", make(chan struct{}), make(chan struct{}), make(map[string]*ticket)
	ended := e.ended
	e.mu.Unlock()
	go e.beat(ended)
}

// leave reports that the engine leaves, serves for a while longer, and ends. Nothing runs there then.
func (e *engine) leave() {
	e.mu.Lock()
	id := e.id
	e.state = "draining"
	e.mu.Unlock()
	e.write()
	time.Sleep(drainMS*time.Millisecond + time.Second)
	e.mu.Lock()
	e.dark = true
	close(e.ended)
	e.mu.Unlock()
	e.w.store.remove("servers/" + id)
}

// goDark loses power for a time: nothing that reaches the engine is answered. Its entry is removed after
// three heartbeats of silence.
func (e *engine) goDark(length time.Duration) {
	e.mu.Lock()
	id := e.id
	e.dark = true
	for name := range e.tickets {
		delete(e.tickets, name)
	}
	close(e.ended)
	e.mu.Unlock()
	time.AfterFunc(3*heartbeat, func() { e.w.store.remove("servers/" + id) })
	time.AfterFunc(length, e.wake)
}

func (e *engine) beat(ended chan struct{}) {
	for {
		e.write()
		select {
		case <-ended:
			return
		case <-time.After(heartbeat):
		}
	}
}

// write writes the entry unless the engine has ended.
func (e *engine) write() {
	e.writing.Lock()
	defer e.writing.Unlock()
	e.mu.Lock()
	id, dark, entry := e.id, e.dark, map[string]any{
		"service": e.service, "addr": e.addr, "zone": e.zone, "version": "v1", "slots": 16, "state": e.state, "coldLeftMs": 0,
		"stage": "unified", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "sequence": 0, "born": e.born,
	}
	e.mu.Unlock()
	if !dark {
		e.w.store.putJSON("servers/"+id, entry)
	}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	id, dark, ended, woken, state := e.id, e.dark, e.ended, e.woken, e.state
	e.mu.Unlock()
	if state == "draining" {
		w.Header().Set("Server-Leaving", "1")
	}
	if dark {
		silent(w, r, woken)
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != id {
		w.Header().Set("Replica-Id", id)
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		w.Header().Set("Replica-Id", id)
	case "/report":
		e.report(w)
	case "/order":
		e.order(w, r, body)
	default:
		e.run(w, r, id, ended, woken)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, map[string]any{
		"stage": "unified", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false, "sequence": 0,
		"queued": 0, "running": 0, "kvUsed": e.setAside(), "kvTotal": engineMemory, "handles": 0, "pace": 1.0, "born": e.born,
	})
}

// setAside returns the tokens that are set aside.
func (e *engine) setAside() int {
	n := 0
	for _, t := range e.tickets {
		n += t.tokens
	}
	return n
}

func (e *engine) order(w http.ResponseWriter, r *http.Request, body []byte) {
	var o struct {
		Op     string `json:"op"`
		ID     string `json:"id"`
		Tokens int    `json:"tokens"`
		HoldMS int    `json:"holdMs"`
	}
	if json.Unmarshal(body, &o) != nil || o.Op != "reserve" && o.Op != "release" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if after := e.late.draw(o.Op); after > 0 {
		e.w.logf("engine %s leaves the order %s %s unanswered and carries it out after %v", e.addr, o.Op, o.ID, after.Round(time.Millisecond))
		time.AfterFunc(after, func() { e.carryOut(o.Op, o.ID, o.Tokens, o.HoldMS) })
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status := e.carryOut(o.Op, o.ID, o.Tokens, o.HoldMS)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if status == http.StatusOK {
		_ = json.NewEncoder(w).Encode(map[string]any{"unused": o.Tokens})
	}
}

// carryOut carries out an order and returns the status of its answer.
func (e *engine) carryOut(op, id string, tokens, holdMS int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dark {
		return 0
	}
	t := e.tickets[id]
	if op == "release" {
		if t != nil {
			e.free(id, t, time.Now(), "released")
		}
		return http.StatusOK
	}
	switch {
	case tokens > engineMemory:
		return http.StatusBadRequest
	case t == nil && (e.setAside()+tokens > engineMemory || len(e.tickets) >= maxTickets):
		return http.StatusConflict
	case t == nil:
		t = &ticket{tokens: tokens}
		e.tickets[id] = t
		e.w.logf("engine %s sets %d tokens aside as %s", e.addr, tokens, id)
	}
	hold := time.Duration(holdMS) * time.Millisecond
	t.expires = time.Now().Add(hold)
	time.AfterFunc(hold, func() { e.expire(id, t) })
	return http.StatusOK
}

// expire frees a ticket whose time is over.
func (e *engine) expire(id string, t *ticket) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.tickets[id] == t && !time.Now().Before(t.expires) {
		e.free(id, t, t.expires, "expired")
	}
}

// free ends a ticket. It is called with the lock held.
func (e *engine) free(id string, t *ticket, at time.Time, why string) {
	delete(e.tickets, id)
	if t.over.IsZero() || t.users > 0 {
		e.w.logf("engine %s: %s has %s", e.addr, id, why)
		return
	}
	e.w.logf("engine %s: %s has %s %.0f ms after its request was over", e.addr, id, why, at.Sub(t.over).Seconds()*1000)
	e.freed = append(e.freed, freed{e.addr, id, t.over, at})
}

// use records that a request begins or ends to use a ticket, and reports whether there is one.
func (e *engine) use(id string, users int, at time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.tickets[id]
	if t == nil {
		return false
	}
	t.users += users
	if t.users == 0 {
		t.over = at
	}
	return true
}

// silent sends nothing more on a connection until the gateway closes it, or the engine has power again.
func silent(w http.ResponseWriter, r *http.Request, woken chan struct{}) {
	select {
	case <-r.Context().Done():
	case <-woken:
	}
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // resets it
		}
		c.Close()
	}
	panic(http.ErrAbortHandler)
}

func (e *engine) name() string { return e.addr }

func (e *engine) seen() []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]arrival(nil), e.runs...)
}

// run runs a request: a stream of events.
func (e *engine) run(w http.ResponseWriter, r *http.Request, id string, ended, woken chan struct{}) {
	request := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", request)
	type use struct {
		engine *engine
		ticket string
	}
	var uses []use
	over := func(at time.Time) {
		for _, u := range uses {
			u.engine.use(u.ticket, -1, at)
		}
	}
	for _, entry := range strings.Split(r.Header.Get("Helpers"), ",") {
		addr, name, _ := strings.Cut(strings.TrimSpace(entry), "/")
		helper := e.peers[addr]
		if addr == "" {
			continue
		}
		if helper == nil || name != "" && !helper.use(name, 1, time.Time{}) {
			over(time.Now())
			w.Header().Set("Not-Executed", "1")
			w.Header().Set("At-Server", addr)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if name != "" {
			uses = append(uses, use{helper, name})
		}
	}
	e.mu.Lock()
	e.runs = append(e.runs, arrival{time.Now(), request})
	onRun := e.onRun
	e.mu.Unlock()
	if onRun != nil && len(uses) > 0 {
		onRun(e, request)
	}
	from := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		from = last
	}
	w.Header().Set("Origin-Seal", id+"."+request)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := from + 1; n <= events; n++ {
		pause := eventInterval
		if n == from+1 {
			pause = e.first
		}
		select {
		case <-ended:
			at := time.Now()
			over(at)
			e.w.logAt(at, "request %s is over: its engine %s is dark", request, e.addr)
			silent(w, r, woken)
		case <-r.Context().Done():
			over(time.Now())
			return
		case <-time.After(pause):
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, request, n)
		_ = http.NewResponseController(w).Flush()
	}
	over(time.Now())
}
