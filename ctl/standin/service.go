package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pistachioarch/pistachioarch/wire/target"
)

// ServiceFaults are the switches of a Service.
type ServiceFaults struct {
	// Refuse answers 503 with the proof that nothing was started.
	Refuse bool `json:"refuse"`
	// LoseReplyEvery loses each n-th reply after the order was executed.
	LoseReplyEvery int `json:"lose_reply"`
	// Freeze lets every request hang after it was executed.
	Freeze bool `json:"freeze"`
	// SlowMS delays the reply.
	SlowMS int64 `json:"slow_ms"`
}

// Order is one executed request of a Service.
type Order struct {
	Call string          `json:"call"`
	Body json.RawMessage `json:"body"`
}

// Service is a stand-in for a plain service whose calls must not be repeated:
// it executes every request it gets, and remembers them (GET /v1/orders).
type Service struct {
	mu     sync.Mutex
	faults ServiceFaults
	orders []Order
	count  int
}

// NewService returns a service without orders.
func NewService() *Service { return &Service{} }

// SetFaults replaces the switches.
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

// Orders returns what was executed, in order.
func (s *Service) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.orders)
}

// Handler serves the protocol.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /", s.execute)
	mux.HandleFunc("GET /v1/orders", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.Orders()) })
	handleFaults(mux, s.currentFaults, s.SetFaults)
	return mux
}

// receipt is the reply to an order.
type receipt struct {
	Confirmed bool   `json:"confirmed"`
	Call      string `json:"call"`
}

func (s *Service) execute(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || !json.Valid(body) {
		http.Error(w, "an order is JSON", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	f := s.faults
	if f.Refuse {
		s.mu.Unlock()
		w.Header().Set(target.NotStartedHeader, "true")
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	id := r.Header.Get(target.CallHeader)
	s.orders = append(s.orders, Order{Call: id, Body: body})
	s.count++
	lose := f.LoseReplyEvery > 0 && s.count%f.LoseReplyEvery == 0
	s.mu.Unlock()
	if f.Freeze {
		<-r.Context().Done()
		return
	}
	if !pause(r.Context(), time.Duration(f.SlowMS)*time.Millisecond) {
		return
	}
	if lose {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(target.CallHeader, id)
	reply(w, receipt{Confirmed: true, Call: id})
}
