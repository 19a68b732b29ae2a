package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pistachioarch/pistachioarch/core/ident"
	"github.com/pistachioarch/pistachioarch/wire/api"
	"github.com/pistachioarch/pistachioarch/wire/target"
)

// EngineConfig is the size and speed of an Engine.
type EngineConfig struct {
	BatchSize       int           // calls run at once
	CacheTokens     int64         // size of the prefix cache
	PrefillPerToken time.Duration // per prompt token that is not cached
	DecodePerToken  time.Duration // per output token
	OutputTokens    int64         // of an answer, if the request allows as many
	ChecksFencing   bool
	ReportLag       time.Duration // age of load reports
}

// EngineFaults are the switches of an Engine.
type EngineFaults struct {
	// Refuse answers 503 with the proof that nothing was started.
	Refuse bool `json:"refuse"`
	// BreakEvery breaks the connection in the middle of each n-th answer.
	BreakEvery int `json:"break"`
	// Freeze lets every request hang.
	Freeze bool `json:"freeze"`
	// SlowMS delays every answer.
	SlowMS int64 `json:"slow_ms"`
	// CrossEvery sends each n-th call the answer, with its call id, of the one
	// before it.
	CrossEvery int `json:"cross"`
	// FailReleaseEvery answers each n-th order (release) with an error after doing
	// nothing.
	FailReleaseEvery int `json:"lose_orders"`
	// HideCacheEvery leaves each n-th program out of the cache report.
	HideCacheEvery int `json:"hide_cache"`
	// ExtraReportLagMS adds to the age of load reports.
	ExtraReportLagMS int64 `json:"late_ms"`
	// IgnoreFencing accepts old fencing tokens.
	IgnoreFencing bool `json:"ignore_fencing"`
}

// EngineCall is what an Engine saw of one call that it started.
type EngineCall struct {
	ID       string
	Program  string
	Sequence int
	Epoch    uint64
	At       time.Time
	Done     bool
	Prompt   int64
	Output   int64
}

// Engine is a stand-in for a model engine with continuous batching and a
// limited prefix cache.
type Engine struct {
	cfg EngineConfig

	mu      sync.Mutex
	faults  EngineFaults
	running int
	queued  int
	room    chan struct{} // closed and replaced when a place gets free
	cache   map[string]int64
	order   []string // least recently used first
	fences  map[string]uint64
	calls   []EngineCall
	lastID  string
	// lastPieces is the answer that went with lastID.
	lastPieces []string
	counted    map[string]int // for the "each n-th" switches
	load       []loadAt
	hits       int64
	misses     int64
}

type loadAt struct {
	at   time.Time
	load target.Load
}

// NewEngine returns an idle engine.
func NewEngine(cfg EngineConfig) *Engine {
	if cfg.BatchSize == 0 {
		cfg.BatchSize = 8
	}
	if cfg.CacheTokens == 0 {
		cfg.CacheTokens = 120_000
	}
	if cfg.OutputTokens == 0 {
		cfg.OutputTokens = 16
	}
	return &Engine{
		cfg: cfg, room: make(chan struct{}), cache: map[string]int64{}, fences: map[string]uint64{}, counted: map[string]int{},
	}
}

// SetFaults replaces the switches.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

func (e *Engine) currentFaults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Calls returns what the engine has started, in order.
func (e *Engine) Calls() []EngineCall {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.calls)
}

// CachedPrograms returns the programs whose cache is kept.
func (e *Engine) CachedPrograms() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.order)
}

// ClearCache forgets the cache, as a new process would.
func (e *Engine) ClearCache() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache, e.order = map[string]int64{}, nil
}

// Handler serves the protocol.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, r *http.Request) {
		if e.frozen(r) {
			return
		}
		reply(w, e.report())
	})
	mux.HandleFunc("GET /v1/cache", func(w http.ResponseWriter, r *http.Request) {
		if e.frozen(r) {
			return
		}
		reply(w, target.Cache{Programs: e.reported()})
	})
	mux.HandleFunc("GET /v1/calls", func(w http.ResponseWriter, _ *http.Request) { reply(w, e.Calls()) })
	mux.HandleFunc("DELETE /v1/cache/{program}", e.release)
	handleFaults(mux, e.currentFaults, e.SetFaults)
	return mux
}

// frozen lets a request hang until its client gives up.
func (e *Engine) frozen(r *http.Request) bool {
	f := e.currentFaults().Freeze
	if f {
		<-r.Context().Done()
	}
	return f
}

// each reports whether this is the n-th time since the last.
func (e *Engine) each(what string, n int) bool {
	if n == 0 {
		return false
	}
	e.counted[what]++
	return e.counted[what]%n == 0
}

// CountTokens is the number of tokens the stand-ins count in a text: one for every
// four bytes, and no more than there are bytes.
func CountTokens(text string) int64 { return int64(len(text)+3) / 4 }

// Digest is what the engine says of a conversation, so that its client can
// verify that the whole history came, and no other.
func Digest(messages []api.Message) string {
	var b strings.Builder
	for _, m := range messages {
		fmt.Fprintf(&b, "%s\x00%s\x00", m.Role, m.Content)
	}
	return strconv.FormatUint(ident.Hash([]byte(b.String())), 16)
}

// Answer is the engine's whole answer to a conversation with so many tokens.
func Answer(messages []api.Message, tokens int64) string {
	return strings.Join(answerPieces(messages, tokens), "")
}

func answerPieces(messages []api.Message, tokens int64) []string {
	pieces := []string{"digest=" + Digest(messages)}
	for i := CountTokens(pieces[0]); i < tokens; i++ {
		pieces = append(pieces, " abc") // one token
	}
	return pieces
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var c target.Completion
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.frozen(r) {
		return
	}
	e.mu.Lock()
	refuse, f := e.faults.Refuse, e.faults
	slot, epoch := splitFence(r.Header.Get(target.FencingTokenHeader))
	stale := epoch < e.fences[slot]
	e.fences[slot] = max(e.fences[slot], epoch)
	e.mu.Unlock()
	if refuse {
		w.Header().Set(target.NotStartedHeader, "true")
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	if stale && e.cfg.ChecksFencing && !f.IgnoreFencing {
		http.Error(w, "old fencing token", http.StatusPreconditionFailed)
		return
	}
	if !e.enter(r) {
		return
	}
	defer e.leave()
	e.run(w, r, &c, epoch)
}

func splitFence(token string) (slot string, epoch uint64) {
	slot, number, _ := strings.Cut(token, ":")
	epoch, _ = strconv.ParseUint(number, 10, 64) // a missing token is epoch 0
	return slot, epoch
}

// enter waits for a place in the batch.
func (e *Engine) enter(r *http.Request) bool {
	e.mu.Lock()
	e.queued++
	e.noteLoad()
	for e.running >= e.cfg.BatchSize {
		room := e.room
		e.mu.Unlock()
		select {
		case <-room:
		case <-r.Context().Done():
			e.mu.Lock()
			e.queued--
			e.mu.Unlock()
			return false
		}
		e.mu.Lock()
	}
	e.queued--
	e.running++
	e.noteLoad()
	e.mu.Unlock()
	return true
}

func (e *Engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.noteLoad()
	close(e.room)
	e.room = make(chan struct{})
}

// run executes one call: prefill of what is not cached, then the output.
func (e *Engine) run(w http.ResponseWriter, r *http.Request, c *target.Completion, epoch uint64) {
	prompt := int64(0)
	for _, m := range c.Messages {
		prompt += CountTokens(m.Content)
	}
	output := min(e.cfg.OutputTokens, c.MaxTokens)
	id := r.Header.Get(target.CallHeader)
	number, cached := e.begin(id, c.Program, epoch, prompt)
	e.mu.Lock()
	breaks := e.each("break", e.faults.BreakEvery)
	slow := time.Duration(e.faults.SlowMS) * time.Millisecond
	pieces := answerPieces(c.Messages, output)
	if e.each("cross", e.faults.CrossEvery) && e.lastID != "" {
		id, pieces, e.lastID, e.lastPieces = e.lastID, e.lastPieces, id, pieces
	} else {
		e.lastID, e.lastPieces = id, pieces
	}
	e.mu.Unlock()
	if !pause(r.Context(), slow+e.cfg.PrefillPerToken*time.Duration(prompt-cached)) {
		return
	}
	out := json.NewEncoder(&sse{w})
	w.Header().Set("Content-Type", "text/event-stream")
	for i, piece := range pieces {
		if breaks && i > 0 {
			panic(http.ErrAbortHandler)
		}
		if !pause(r.Context(), e.cfg.DecodePerToken) {
			return
		}
		_ = out.Encode(target.CompletionChunk{ID: id, Choices: []target.CompletionDelta{{Delta: api.Message{Role: "assistant", Content: piece}}}})
		_ = http.NewResponseController(w).Flush() // a client that has gone away ends the pause
	}
	e.end(number, c.Program, prompt, output)
	_ = out.Encode(target.CompletionChunk{ID: id, Usage: &target.CompletionUsage{PromptTokens: prompt, CompletionTokens: output, CachedTokens: cached}})
	_, _ = w.Write([]byte("data: " + target.DoneMarker + "\n\n"))
}

// sse frames each JSON value as an event.
type sse struct{ w http.ResponseWriter }

func (s *sse) Write(b []byte) (int, error) {
	if _, err := s.w.Write([]byte("data: ")); err != nil {
		return 0, err
	}
	if _, err := s.w.Write(b); err != nil {
		return 0, err
	}
	_, err := s.w.Write([]byte("\n"))
	return len(b), err
}

func (e *Engine) begin(id, program string, epoch uint64, prompt int64) (number int, cached int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	sequence := -1
	if parts := strings.Split(id, "/"); len(parts) == 3 {
		sequence, _ = strconv.Atoi(parts[1]) // the call id of a host is well formed
	}
	cached = min(e.cache[program], prompt)
	e.hits += cached
	e.misses += prompt - cached
	e.calls = append(e.calls, EngineCall{ID: id, Program: program, Sequence: sequence, Epoch: epoch, At: time.Now(), Prompt: prompt})
	e.keep(program, prompt)
	return len(e.calls) - 1, cached
}

func (e *Engine) end(number int, program string, prompt, output int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls[number].Done, e.calls[number].Output = true, output
	if _, kept := e.cache[program]; kept {
		e.keep(program, prompt+output)
	}
}
