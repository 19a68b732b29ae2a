package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pistachioarch/pistachioarch/wire/ownheaders"
)

// Run is one request that a TurnEngine ran.
type Run struct {
	ID      string
	Program string
	Body    string
	At      time.Time
	// Customer is whose request it is, as the system says.
	Customer string
}

// TurnEngine is a model engine or plain service behind the entry role: it checks
// that it is meant, has a number of places, streams events, and records what ran.
type TurnEngine struct {
	// ID is its identity; a request that names another is refused.
	ID string
	// Capacity is how many requests run at once; more are refused as not run.
	Capacity int
	// Events is the number of events in a stream, Step the time to each.
	Events     int
	EventDelay time.Duration

	mu     sync.Mutex
	active int
	runs   []Run
	// loseNext answers are cut off after the request ran.
	loseNext int
}

// LoseAnswers lets the next n requests run and breaks their connections off.
func (e *TurnEngine) LoseAnswers(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loseNext = n
}

// Runs returns what ran so far.
func (e *TurnEngine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// ServeHTTP implements http.Handler.
func (e *TurnEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(ownheaders.ID)
	w.Header().Set(ownheaders.ID, id)
	if r.Header.Get(ownheaders.Target) != e.ID {
		w.Header().Set(ownheaders.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	lost, ok := e.begin(Run{ID: id, Program: r.Header.Get(ownheaders.Program), Body: string(body), At: time.Now(), Customer: r.Header.Get(ownheaders.Customer)})
	if !ok {
		w.Header().Set(ownheaders.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.end()
	if lost {
		time.Sleep(e.EventDelay)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(ownheaders.Signature, "s-"+id)
	if r.Header.Get(ownheaders.MaxTokens) == "" {
		e.plain(w, r, id)
		return
	}
	e.stream(w, r, id)
}

func (e *TurnEngine) begin(run Run) (lost, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.active >= e.Capacity {
		return false, false
	}
	e.active++
	e.runs = append(e.runs, run)
	if e.loseNext > 0 {
		e.loseNext--
		return true, true
	}
	return false, true
}

func (e *TurnEngine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active--
}

func (e *TurnEngine) plain(w http.ResponseWriter, r *http.Request, id string) {
	select {
	case <-time.After(e.EventDelay):
	case <-r.Context().Done():
		return
	}
	_, _ = io.WriteString(w, "done "+id)
}

func (e *TurnEngine) stream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	after, err := strconv.Atoi(r.Header.Get(ownheaders.LastEvent))
	if err != nil {
		after = 0
	}
	flush := http.NewResponseController(w)
	for i := after + 1; i <= e.Events; i++ {
		select {
		case <-time.After(e.EventDelay):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s.%d\n\n", i, id, i); err != nil {
			return
		}
		if err := flush.Flush(); err != nil {
			return
		}
	}
}
