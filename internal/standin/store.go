package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"trefoilpath.org/trefoilpath/internal/standin/storemodel"
	"trefoilpath.org/trefoilpath/internal/store"
)

// maxOpBytes is the maximum size of an operation in JSON, with its value in base64.
const maxOpBytes = 4 * store.MaxValueBytes

// Store is a stand-in for the platform's key-value service on the real clock. It is
// safe for concurrent use.
type Store struct {
	*server
	start time.Time
	wake  chan struct{} // makes run advance the model at once
	done  chan struct{}
	stop  sync.Once

	mu          sync.Mutex
	model       *storemodel.Model
	waiting     map[*storemodel.Watch]chan store.Result
	delay       time.Duration // before the execution of an operation
	loseAnswers int           // writes still to be left without an answer
	outage      chan struct{} // closed when the store goes down
}

// NewStore starts an empty store.
func NewStore() (*Store, error) {
	s := &Store{
		start:   time.Now(),
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
		model:   storemodel.New(),
		waiting: make(map[*storemodel.Watch]chan store.Result),
		outage:  make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/op", s.serveOp)
	srv, err := listen(mux)
	if err != nil {
		return nil, err
	}
	s.server = srv
	go s.run()
	return s, nil
}

// Close stops the store.
func (s *Store) Close() error {
	s.stop.Do(func() { close(s.done) })
	return s.server.Close()
}

// SetDown starts or ends an outage: calls are not executed and their connections are
// closed, also those of waiting watches. Leases still expire.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down == s.down.Load() {
		return
	}
	s.down.Store(down)
	if down {
		close(s.outage)
	} else {
		s.outage = make(chan struct{})
	}
}

// SetDelay delays the execution of each operation by d.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// LoseAnswers closes the connections of the next n writes without an answer, after
// the writes have taken effect.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseAnswers = n
}

// Counts returns the operations executed so far.
func (s *Store) Counts() storemodel.Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.Counts()
}

// Do executes an operation directly, without the network and injected faults. A
// watch that would have to wait returns StatusTimeout.
func (s *Store) Do(op store.Op) store.Result {
	if op.Kind == store.OpWatch {
		op.TTL = 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r, _ := s.model.Do(time.Since(s.start), op)
	s.deliver()
	return r
}

// run expires leases and watches when they are due.
func (s *Store) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-s.wake:
		case <-timer.C:
		}
		timer.Reset(s.advance())
	}
}

func (s *Store) advance() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Since(s.start)
	s.model.Tick(now)
	s.deliver()
	return min(max(s.model.Next()-now, 0), maxTimerWait)
}

func (s *Store) deliver() {
	for _, w := range s.model.TakeWatches() {
		if waiter := s.waiting[w]; waiter != nil {
			waiter <- w.Result
			delete(s.waiting, w)
		}
	}
}

func (s *Store) serveOp(w http.ResponseWriter, r *http.Request) {
	var op store.Op
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOpBytes)).Decode(&op); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.pause()
	if s.down.Load() {
		panic(http.ErrAbortHandler)
	}
	result, watch, lost := s.execute(op)
	if lost {
		panic(http.ErrAbortHandler)
	}
	if watch != nil {
		result = s.await(r, watch)
	}
	writeJSON(w, http.StatusOK, result)
}

// pause waits for the delay set by SetDelay. The operation is executed afterwards even
// if the caller has given up.
func (s *Store) pause() {
	s.mu.Lock()
	d := s.delay
	s.mu.Unlock()
	if d == 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.done:
	}
}

// pendingWatch is a waiting watch of one HTTP call.
type pendingWatch struct {
	watch  *storemodel.Watch
	result chan store.Result
	outage chan struct{}
}

func (s *Store) execute(op store.Op) (result store.Result, pending *pendingWatch, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	result, watch := s.model.Do(time.Since(s.start), op)
	s.deliver()
	if op.Writes() && s.loseAnswers > 0 {
		s.loseAnswers--
		lost = true
	}
	if watch != nil {
		pending = &pendingWatch{watch: watch, result: make(chan store.Result, 1), outage: s.outage}
		s.waiting[watch] = pending.result
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return result, pending, lost
}

func (s *Store) await(r *http.Request, p *pendingWatch) store.Result {
	select {
	case result := <-p.result:
		return result
	case <-r.Context().Done():
	case <-p.outage:
	case <-s.done:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.RemoveWatch(p.watch)
	delete(s.waiting, p.watch)
	panic(http.ErrAbortHandler)
}
