package fleetsoak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"

	"trefoilpath.org/trefoilpath/internal/httpconn"
	"trefoilpath.org/trefoilpath/platform/standin"
)

const (
	// patientTimeout is how long callers wait. It is above the grace and the routes' timeouts.
	patientTimeout = 10 * time.Second
	// lossSlack is how long after the last byte of a request its connection may end
	// without an answer if no replica got the request.
	lossSlack = 200 * time.Millisecond
	// A request that was sent up to lateSend after SIGTERM may be cut at the end of the grace,
	// if a replica still works on it in the last 1/lastPart of the grace.
	lateSend = 3 * time.Second
	lastPart = 6
	// maxSignalPause is the longest time between two signals of a series.
	maxSignalPause = 2 * time.Second
	// maxUnusedTime is the longest time from opening a connection to its first request, which
	// is below the gateways' limit.
	maxUnusedTime = 5 * time.Second
	// readyInterval is how often callers' balancer checks readiness; unreadyAfter misses in a
	// row take a gateway out.
	readyInterval = time.Second
	unreadyAfter  = 2
)

// shutdownRun restarts gateways gracefully while callers go on using open connections.
type shutdownRun struct {
	*run
	rotation *rotation

	mu       sync.Mutex
	sigterms map[*gatewayProcess][]sigterm
	sent     map[string]time.Time // when the last byte of each request was written, by ID
}

// sigterm is the first SIGTERM of one process of a gateway.
type sigterm struct {
	at     time.Time
	exited <-chan struct{} // identifies the process
}

// RunShutdowns sends SIGTERM and SIGHUP to gateways, and changes the configuration, in
// series that overlap, and checks that each request that a gateway took is answered.
func RunShutdowns(o Options) (Result, error) { return onFleet(o, runShutdowns) }

func runShutdowns(o Options, f *fleet) (Result, error) {
	for i, r := range f.replicas {
		r.Events = 20
		// Streams of 0.1 to 7.8 s; replicas of the services alternate.
		r.Pause = []time.Duration{5, 40, 150, 390}[i/len(standin.Services)%4] * time.Millisecond
	}
	s := &shutdownRun{
		run: &run{opts: o, fleet: f, start: time.Now(), events: f.replicas[0].Events}, rotation: newRotation(f),
		sigterms: make(map[*gatewayProcess][]sigterm), sent: make(map[string]time.Time),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	callers.Go(func() { s.rotation.run(ctx) })
	for n := range o.Callers {
		callers.Go(func() { s.callOnOpenConnections(ctx, n, rand.New(rand.NewPCG(o.Seed, uint64(n)+100))) })
	}
	for n := range o.Callers / 2 {
		callers.Go(func() { s.callOnUnusedConnections(ctx, n, rand.New(rand.NewPCG(o.Seed, uint64(n)+10_000))) })
	}
	failed := s.inSeries(maxSignalPause, s.signalOnce)
	cancel()
	callers.Wait()
	s.checkLost()
	res := Result{Requests: len(s.outcomes), Violations: s.violations}
	for _, o := range s.outcomes {
		if o.served() {
			res.Served++
		}
	}
	return res, failed
}

// signalOnce carries out one planned disturbance.
func (s *shutdownRun) signalOnce(rng *rand.Rand) error {
	p := s.fleet.gateways[rng.IntN(len(s.fleet.gateways))]
	kind := rng.IntN(6)
	s.logf("planned kind=%d gateway=%s", kind, p.name)
	switch kind {
	case 0:
		return p.signal(syscall.SIGHUP)
	case 1:
		s.changeConfig()
		return nil
	}
	if !p.restartMu.TryLock() { // it shuts down or starts
		if rng.IntN(2) == 0 {
			return p.signal(syscall.SIGHUP)
		}
		return s.terminate(p)
	}
	defer p.restartMu.Unlock()
	if err := s.terminate(p); err != nil {
		return err
	}
	inTime, err := p.waitExit(s.opts.Grace)
	if err != nil {
		return err
	}
	if !inTime {
		s.recordViolation("grace", p.name+" runs on after its grace")
	}
	return s.restartUntilReady(p)
}

// terminate sends SIGTERM to the current process of a gateway.
func (s *shutdownRun) terminate(p *gatewayProcess) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	exited := p.currentExit()
	if list := s.sigterms[p]; len(list) == 0 || list[len(list)-1].exited != exited {
		s.sigterms[p] = append(list, sigterm{time.Now(), exited})
	}
	return p.signal(syscall.SIGTERM)
}

// restartUntilReady starts a gateway, again if a signal of another series ends it meanwhile.
func (s *shutdownRun) restartUntilReady(p *gatewayProcess) error {
	for {
		if err := s.restart(p); err == nil || !p.stopped() {
			return err
		}
	}
}

// callOnOpenConnections sends requests until ctx ends. Callers with an odd n stay with their
// gateway, and their connections to it, until it is gone; the others take a gateway in
// rotation and a new connection for each request.
func (s *shutdownRun) callOnOpenConnections(ctx context.Context, n int, rng *rand.Rand) {
	transport := &http.Transport{DisableKeepAlives: n%2 == 0, MaxIdleConnsPerHost: 4}
	defer transport.CloseIdleConnections()
	p := s.rotation.pick(rng)
	for i := 0; ctx.Err() == nil; i++ {
		kind := []string{standin.KindStream, standin.KindSafe, standin.KindUnsafe}[rng.IntN(3)]
		if n%2 == 0 || p.stopped() {
			p = s.rotation.pick(rng)
		}
		id := fmt.Sprintf("s%d-%d", n, i)
		traced := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
			WroteRequest: func(httptrace.WroteRequestInfo) { s.noteSent(id) },
		})
		o := s.sendWith(traced, transport, p, kind, id, patientTimeout)
		s.keep(o)
		if !o.served() {
			p = s.rotation.pick(rng)
		}
		time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
	}
}

// callOnUnusedConnections opens connections and sends one request on each after a while.
// Until its process is gone, a gateway answers the first request on a connection, if only
// with a refusal.
func (s *shutdownRun) callOnUnusedConnections(ctx context.Context, n int, rng *rand.Rand) {
	for i := 0; ctx.Err() == nil; i++ {
		p := s.rotation.pick(rng)
		conn, err := net.DialTimeout("tcp4", p.callerAddr(), time.Second)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		exited := p.currentExit()
		select {
		case <-time.After(time.Duration(rng.Int64N(int64(maxUnusedTime)))):
		case <-exited:
		}
		if !httpconn.OpenAndSilent(conn) {
			conn.Close()
			continue
		}
		kind := []string{standin.KindStream, standin.KindSafe, standin.KindUnsafe}[rng.IntN(3)]
		o := s.exchangeOn(conn, p, kind, fmt.Sprintf("u%d-%d", n, i))
		conn.Close()
		select {
		case <-exited:
		case <-time.After(lossSlack): // the process was not about to exit
			if o.err != nil && !o.timedOut() {
				s.recordViolation("answered", fmt.Sprintf("%s %s at %s on an unused connection, ended without an answer after %v: %v", kind, o.id, p.name, o.took, o.err))
			}
		}
		s.keep(o)
	}
}

// exchangeOn sends one request on a connection and reads its answer.
func (s *shutdownRun) exchangeOn(conn net.Conn, p *gatewayProcess, kind, id string) *outcome {
	o := &outcome{id: id, kind: kind, gateway: p, began: time.Now()}
	defer func() { o.took = time.Since(o.began) }()
	req, err := standin.NewRequest(context.Background(), p.callerAddr(), kind, id, patientTimeout)
	if err != nil {
		o.err = err
		return o
	}
	_ = conn.SetDeadline(time.Now().Add(patientTimeout + answerSlack)) // fails only on a closed connection
	if o.err = req.Write(conn); o.err != nil {
		return o
	}
	s.noteSent(id)
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		o.err = err
		return o
	}
	o.status, o.header = resp.StatusCode, resp.Header
	text, err := io.ReadAll(resp.Body)
	o.body, o.err = string(text), err
	return o
}

func (s *shutdownRun) noteSent(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent[id] = time.Now()
}

// checkLost records a violation for each request that a gateway took and whose connection
// ended without a complete answer, whatever signal or change was under way.
func (s *shutdownRun) checkLost() {
	runs := make(map[string][]standin.Run)
	for _, r := range s.fleet.replicas {
		for _, record := range r.Runs() {
			runs[record.RequestID] = append(runs[record.RequestID], record)
		}
	}
	for _, o := range s.outcomes {
		if !o.served() { // explains the number served, also if nothing was lost
			s.logf("unserved kind=%s request=%s gateway=%s began=%v took=%v status=%d runs=%d error=%q",
				o.kind, o.id, o.gateway.name, o.began.Sub(s.start), o.took, o.status, len(runs[o.id]), fmt.Sprint(o.err))
		}
		if o.err == nil || o.timedOut() {
			continue
		}
		sent, wrote := s.sent[o.id]
		if !wrote {
			continue
		}
		ended := o.began.Add(o.took)
		sigterm, stopping := s.sigtermBefore(o.gateway, ended)
		passedOn := len(runs[o.id]) > 0
		crossed := !passedOn && ended.Sub(sent) <= lossSlack
		cutAtEnd := stopping && s.workedAtEnd(runs[o.id], sigterm) && sent.Before(sigterm.Add(lateSend))
		if crossed || cutAtEnd {
			continue
		}
		s.recordViolation("answered", fmt.Sprintf("%s %s at %s, sent %v after SIGTERM, passed on: %v, ended without an answer after %v: %v",
			o.kind, o.id, o.gateway.name, sent.Sub(sigterm).Round(time.Millisecond), passedOn, ended.Sub(sent).Round(time.Millisecond), o.err))
	}
}

// timedOut reports whether the request had reached its route's timeout when it ended.
func (o *outcome) timedOut() bool { return o.took >= standin.Timeout(o.kind) }

// sigtermBefore returns the last SIGTERM of p at or before a time, if its grace had not
// been over for a second by then.
func (s *shutdownRun) sigtermBefore(p *gatewayProcess, at time.Time) (time.Time, bool) {
	var last time.Time
	for _, t := range s.sigterms[p] {
		if !t.at.After(at) {
			last = t.at
		}
	}
	return last, !last.IsZero() && at.Sub(last) <= s.opts.Grace+time.Second
}

// workedAtEnd reports whether a replica worked on one of the runs in the last part of the
// grace after sigterm.
func (s *shutdownRun) workedAtEnd(runs []standin.Run, sigterm time.Time) bool {
	lastFrom := sigterm.Add(s.opts.Grace * (lastPart - 1) / lastPart)
	for _, r := range runs {
		if r.Ended.IsZero() || r.Ended.After(lastFrom) {
			return true
		}
	}
	return false
}

// rotation is what the callers' balancer knows of the gateways.
type rotation struct {
	fleet *fleet
	mu    sync.Mutex
	out   map[*gatewayProcess]int // misses in a row
}

func newRotation(f *fleet) *rotation { return &rotation{fleet: f, out: make(map[*gatewayProcess]int)} }

// run checks the readiness of all gateways every readyInterval until ctx ends.
func (r *rotation) run(ctx context.Context) {
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, p := range r.fleet.gateways {
			go r.check(p)
		}
	}
}

func (r *rotation) check(p *gatewayProcess) {
	ready := p.ready()
	r.mu.Lock()
	defer r.mu.Unlock()
	if ready {
		r.out[p] = 0
	} else {
		r.out[p]++
	}
}

// pick returns a gateway in rotation, or any if there is none.
func (r *rotation) pick(rng *rand.Rand) *gatewayProcess {
	r.mu.Lock()
	defer r.mu.Unlock()
	var in []*gatewayProcess
	for _, p := range r.fleet.gateways {
		if r.out[p] < unreadyAfter {
			in = append(in, p)
		}
	}
	if len(in) == 0 {
		in = r.fleet.gateways
	}
	return in[rng.IntN(len(in))]
}
