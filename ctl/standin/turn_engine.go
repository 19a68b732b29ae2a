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

// Run is the record of one request that a TurnEngine ran.
type Run struct {
	ID      string // request id
	Program string
	Body    string
	At      time.Time // start
	// Customer is the customer that the system names in its headers.
	Customer string
	// CrashedAt is when the engine crashed while it ran the request; zero if it did not.
	CrashedAt time.Time
}

// TurnEngine is a stand-in for a model engine or plain service behind entry hosts. It
// refuses requests for another target (421) and requests above its capacity (503),
// streams events, and records the requests that it ran.
type TurnEngine struct {
	// ID is the target id; a request that names another target is refused.
	ID string
	// Capacity is the number of requests that run at once; others are refused as
	// not run.
	Capacity int
	// Events is the number of events of a stream; EventDelay is the time before each
	// event, and before a plain answer.
	Events     int
	EventDelay time.Duration
	// LoseEvery makes the connection of every n-th run break without an answer; 0 for none.
	LoseEvery int

	mu     sync.Mutex
	active map[int]bool // indices in runs of the requests under way
	crash  crashTrigger
	// version is written into the events if it is set.
	version string
	runs    []Run
	// answersToLose is the number of next requests whose connections break after they
	// ran.
	answersToLose int
}

// losesShare reports whether LoseEvery applies to the run at index.
func (e *TurnEngine) losesShare(index int) bool { return e.LoseEvery > 0 && (index+1)%e.LoseEvery == 0 }

// SetEvents sets the software version, which the engine then writes into its events, and the number of
// events of a stream.
func (e *TurnEngine) SetEvents(version string, events int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version, e.Events = version, events
}

// eventSettings returns the number of events of a stream, and what follows the data of each.
func (e *TurnEngine) eventSettings() (events int, suffix string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.version != "" {
		suffix = "@" + e.version
	}
	return e.Events, suffix
}

// LoseAnswers makes the engine run the next n requests and break their connections
// without an answer.
func (e *TurnEngine) LoseAnswers(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answersToLose = n
}

// Runs returns the requests that ran so far, in order of their start.
func (e *TurnEngine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// ServeHTTP implements http.Handler. A request with a token limit gets a stream of
// events, any other a plain answer.
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
	index, loseAnswer, ok := e.startRun(Run{ID: id, Program: r.Header.Get(ownheaders.Program), Body: string(body), At: time.Now(), Customer: r.Header.Get(ownheaders.Customer)})
	if !ok {
		w.Header().Set(ownheaders.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.finishRun(index)
	if loseAnswer || e.losesShare(index) {
		time.Sleep(e.EventDelay)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(ownheaders.Signature, "s-"+id)
	if e.crash.matches(string(body)) {
		e.serveCrashing(w, r, index, string(body))
		return
	}
	e.answer(w, r, id)
}

// answer sends a stream of events to a request with a token limit, and a plain answer to any other.
func (e *TurnEngine) answer(w http.ResponseWriter, r *http.Request, id string) {
	if r.Header.Get(ownheaders.MaxTokens) == "" {
		e.answerPlain(w, r, id)
		return
	}
	e.streamEvents(w, r, id)
}

// startRun records a request that starts. ok is false if the engine is at capacity;
// loseAnswer reports whether the connection must break in place of an answer. index is that of the
// run in runs.
func (e *TurnEngine) startRun(run Run) (index int, loseAnswer, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crash.crashed || len(e.active) >= e.Capacity {
		return 0, false, false
	}
	index = len(e.runs)
	if e.active == nil {
		e.active = map[int]bool{}
	}
	e.active[index] = true
	e.runs = append(e.runs, run)
	if e.answersToLose > 0 {
		e.answersToLose--
		return index, true, true
	}
	return index, false, true
}

func (e *TurnEngine) finishRun(index int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.active, index)
}

func (e *TurnEngine) answerPlain(w http.ResponseWriter, r *http.Request, id string) {
	select {
	case <-time.After(e.EventDelay):
	case <-r.Context().Done():
		return
	}
	_, _ = io.WriteString(w, "done "+id)
}

// streamEvents streams the events after the last one that the caller has received.
func (e *TurnEngine) streamEvents(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	lastEvent, err := strconv.Atoi(r.Header.Get(ownheaders.LastEvent))
	if err != nil {
		lastEvent = 0
	}
	controller := http.NewResponseController(w)
	events, suffix := e.eventSettings()
	for i := lastEvent + 1; i <= events; i++ {
		select {
		case <-time.After(e.EventDelay):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s.%d%s\n\n", i, id, i, suffix); err != nil {
			return
		}
		if err := controller.Flush(); err != nil {
			return
		}
	}
}
