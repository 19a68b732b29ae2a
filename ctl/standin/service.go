package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pistachioarch/pistachioarch/wire/target"
	"github.com/pistachioarch/pistachioarch/wire/wait"
)

// ServiceFaults are the faults that a Service can show.
type ServiceFaults struct {
	// Refuse answers orders with 503 and the header that states that the order was
	// not started.
	Refuse bool `json:"refuse"`
	// LoseReplyEvery breaks the connection of each n-th order after it was executed;
	// 0 means never.
	LoseReplyEvery int `json:"lose_reply"`
	// Freeze leaves every order without a reply after it was executed.
	Freeze bool `json:"freeze"`
	// SlowMS is the delay added to every reply, in milliseconds.
	SlowMS int64 `json:"slow_ms"`
}

// Order is the record of one request that a Service executed.
type Order struct {
	Call string          `json:"call"` // call id
	Body json.RawMessage `json:"body"`
}

// Service is a stand-in for a plain service whose calls must not be repeated: it
// executes every request that it receives, also repeated ones, and records them
// (GET /v1/orders).
type Service struct {
	mu       sync.Mutex
	faults   ServiceFaults
	orders   []Order
	executed int
}

// NewService returns a service that has executed no orders.
func NewService() *Service { return &Service{} }

// SetFaults replaces the active faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Service) currentFaults() ServiceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Orders returns the executed orders, in order of execution.
func (s *Service) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.orders)
}

// Handler returns the handler of orders, of the recorded orders and of the faults.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /", s.execute)
	mux.HandleFunc("GET /v1/orders", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Orders()) })
	registerFaultHandlers(mux, s.currentFaults, s.SetFaults)
	return mux
}

// receipt is the reply to an executed order.
type receipt struct {
	Confirmed bool   `json:"confirmed"`
	Call      string `json:"call"`
}

func (s *Service) execute(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || !json.Valid(body) {
		http.Error(w, "order is not valid JSON", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	faults := s.faults
	if faults.Refuse {
		s.mu.Unlock()
		w.Header().Set(target.NotStartedHeader, "true")
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	id := r.Header.Get(target.CallHeader)
	s.orders = append(s.orders, Order{Call: id, Body: body})
	s.executed++
	loseReply := faults.LoseReplyEvery > 0 && s.executed%faults.LoseReplyEvery == 0
	s.mu.Unlock()
	if faults.Freeze {
		<-r.Context().Done()
		return
	}
	if !wait.For(r.Context(), time.Duration(faults.SlowMS)*time.Millisecond) {
		return
	}
	if loseReply {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(target.CallHeader, id)
	writeJSON(w, receipt{Confirmed: true, Call: id})
}
