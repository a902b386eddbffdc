package standin

import (
	"io"
	"net/http"
	"sync"
	"time"

	"trefoilpath.org/trefoilpath/internal/standin/servicemodel"
)

// maxCallBytes is the maximum size of the body of a service call.
const maxCallBytes = 16 << 20

// Service is a stand-in for a plain service with a ledger, such as an order desk. It
// is safe for concurrent use.
type Service struct {
	*server
	done chan struct{}
	stop sync.Once

	mu        sync.Mutex
	model     *servicemodel.Model
	delay     time.Duration // between the execution of a call and its answer
	breakNext int           // calls still to be left without an answer
}

// NewService starts a service with an empty ledger.
func NewService() (*Service, error) {
	s := &Service{done: make(chan struct{}), model: servicemodel.New()}
	srv, err := listen(http.HandlerFunc(s.serve))
	if err != nil {
		return nil, err
	}
	s.server = srv
	return s, nil
}

// Close stops the service.
func (s *Service) Close() error {
	s.stop.Do(func() { close(s.done) })
	return s.server.Close()
}

// SetDown makes the service close the connection of every call without reading it.
func (s *Service) SetDown(down bool) { s.down.Store(down) }

// SetDelay delays the answer of each call by d after the call was executed.
func (s *Service) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// BreakNext closes the connections of the next n calls without an answer, after the
// calls were read and executed.
func (s *Service) BreakNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breakNext = n
}

// Executions returns how often writes with the idempotency key were executed.
func (s *Service) Executions(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.Executions(key)
}

// Ledger returns all executed writes in order.
func (s *Service) Ledger() []servicemodel.Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.Ledger()
}

// DuplicatedKeys returns the number of idempotency keys whose write was executed more than
// once.
func (s *Service) DuplicatedKeys() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.DuplicatedKeys()
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer, delay, broken := s.execute(servicemodel.Call{
		Method: r.Method, Path: r.URL.Path, IdempotencyKey: r.Header.Get("Idempotency-Key"), Body: body,
	})
	if broken {
		panic(http.ErrAbortHandler)
	}
	s.pause(delay)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(answer.Status)
	w.Write(answer.Body)
}

func (s *Service) execute(c servicemodel.Call) (answer servicemodel.Answer, delay time.Duration, broken bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.breakNext > 0 {
		s.breakNext--
		broken = true
	}
	return s.model.Do(c), s.delay, broken
}

func (s *Service) pause(d time.Duration) {
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
